// Take-overs by real processes that find a record of progress in a later format.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "node/internal/shards.h"
#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr JobId kJob = 1;
constexpr int kTasks = 4;
constexpr int kNodes = 2;
constexpr int kWorkers = 2;
constexpr Duration kReadyLimit{15'000};
constexpr Duration kStateLimit{25'000};
// Longer than a take-over, in which the lease of the former owner expires after 2 s.
constexpr Duration kAfterTakeOver{5'000};

Task<bool> Begin(NodeFleet& fleet, std::string payload, std::string state) {
  const bool ready = co_await fleet.WaitReady(kReadyLimit);
  if (!ready) co_return false;
  const bool accepted = co_await fleet.Submit(kJob, kTasks, kStateLimit, payload);
  if (!accepted) co_return false;
  co_return co_await fleet.WaitState(kJob, state, kStateLimit);
}

// Guards against tasks that run twice during a rolling update: an instance of an earlier version
// takes over, cannot read the progress of a job, and starts it from nothing.
TEST_CASE("a job whose progress has a later format does not run again after a take-over",
          "[node][processes][take_over]") {
  struct Case {
    std::string payload;
    std::string state;  // Before the take-over.
  };
  const auto c = GENERATE(values<Case>({{"short", "completed"}, {"long", "running"}}));
  CAPTURE(c.state);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
  REQUIRE(runner.Wait(Begin(fleet, c.payload, c.state)));
  REQUIRE(fleet.CountRuns(kJob) == kTasks);
  const int former = fleet.Owner();
  REQUIRE(former >= 0);
  fleet.Signal(former, SIGKILL);
  fleet.WaitExit(former, Duration(1'000));
  fleet.store().Put(kProgressTopic, FormatJobId(kJob), "\x7f later format");
  std::this_thread::sleep_for(kAfterTakeOver);
  const int successor = 1 - former;
  CAPTURE(fleet.LogOf(successor));
  REQUIRE(fleet.Owner() == successor);
  const HttpReply state =
      runner.Wait(fleet.Call(successor, HttpMethod::kGet, "/queue/" + FormatJobId(kJob)));
  CHECK(state.status == 503);
  CHECK(fleet.CountRuns(kJob) == kTasks);
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
  const std::string log = fleet.LogOf(successor);
  CHECK(log.find("\"job-held-back\"") != std::string::npos);
  CHECK(log.find(" unreadable=1 ") != std::string::npos);
}

}  // namespace
}  // namespace dn::testing
