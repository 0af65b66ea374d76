// Ages of what was read from the store while its responses are held up.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "store/store.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

const Partition kPartition({.topic = "keyed.t", .number = 0});
constexpr Duration kDelay{300};
// Time from the start of a call until it is sent.
constexpr Duration kSendTime{100};

// Guards against an old view that counts as new because the response to its read was held
// up: an answer was based on it for as long as that again.
TEST_CASE("reads and contacts are dated by sending", "[store][view]") {
  struct Case {
    std::string name;
    Task<> (*read)(KeyedFollower&);
  };
  const auto c = GENERATE(values<Case>({
      {"newest records", [](KeyedFollower& follower) -> Task<> { co_await follower.Load(); }},
      {"records after a position",
       [](KeyedFollower& follower) -> Task<> { co_await follower.Poll(Duration(0)); }},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  KeyedFollower follower(store, kPartition, {}, log, [](const auto&, bool) {});
  CHECK(follower.last_complete() == Time());
  standin.SetFault({.delay = kDelay});
  const Time called = Now();
  runner.Wait([](KeyedFollower& reader, Task<> (*read)(KeyedFollower&)) -> Task<bool> {
    co_await read(reader);
    co_return true;
  }(follower, c.read));
  REQUIRE(Now() - called >= kDelay);
  CHECK(follower.last_complete() >= called);
  CHECK(follower.last_complete() < called + kSendTime);
  CHECK(store.last_contact() >= called);
  CHECK(store.last_contact() < called + kSendTime);
  // A failed read changes neither.
  const Time complete = follower.last_complete();
  const Time contact = store.last_contact();
  standin.SetFault({.busy = true});
  runner.Wait([](KeyedFollower& reader) -> Task<bool> {
    co_await reader.Poll(Duration(0));
    co_return true;
  }(follower));
  CHECK(follower.last_complete() == complete);
  CHECK(store.last_contact() == contact);
  CHECK(!follower.reachable());
}

}  // namespace
}  // namespace dn
