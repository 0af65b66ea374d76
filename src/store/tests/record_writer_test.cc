// Outcomes of appends while the store misbehaves.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "store/store.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

const Partition kJobs({.topic = "keyed.t", .number = 0});
constexpr Duration kSendLimit{300};
constexpr Duration kDeadline{900};

// Appends one record; the error, if any.
Task<std::error_code> Append(std::shared_ptr<RecordWriter> writer, std::string key) {
  const Time now = Now();
  std::vector<StoreRecord> records = {StoreRecord({.key = std::move(key), .value = "v"})};
  const RecordWriter::Limits limits{.send_by = now + kSendLimit, .deadline = now + kDeadline};
  auto stored = co_await writer->Append(std::move(records), limits);
  co_return stored ? std::error_code() : stored.error();
}

// The pattern: callers hand jobs in while the store is away.
TEST_CASE("what was never sent is refused, what was sent is unknown", "[store][load]") {
  struct Case {
    std::string name;
    standins::StoreFault fault;
    std::error_code first;   // Sent at once.
    std::error_code second;  // Waits for the first.
  };
  const auto c = GENERATE(values<Case>({
      {"store answers", {}, {}, {}},
      {"store silent", {.silent = true}, Errc::kTimeout, Errc::kUnavailable},
      {"store refuses", {.busy = true}, Errc::kUnavailable, Errc::kUnavailable},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "node", 0);
  standin.SetFault(c.fault);
  auto first = runner.Begin(Append(writer, "first"));
  std::this_thread::sleep_for(Duration(50));
  const Time asked = Now();
  CHECK(runner.Wait(Append(writer, "second")) == c.second);
  if (c.fault.silent) CHECK(Now() - asked < kDeadline);
  CHECK(first.get() == c.first);
}

}  // namespace
}  // namespace dn
