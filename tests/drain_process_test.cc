// Tests of workers that give notice, with real processes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 2;
constexpr int kWorkers = 2;
constexpr Duration kReadyLimit{15'000};
constexpr Duration kSubmitLimit{5'000};
constexpr Duration kFinishLimit{15'000};
// Longest time until a worker's notice is in the store: the period of its registrations.
constexpr Duration kNoticeDelay{500};
// The platform's limit for starts after the notice.
constexpr Duration kStartsAfterNotice{2'500};
// How long the registrations cannot be read.
constexpr Duration kUnreadable{7'000};
constexpr Duration kSubmitPeriod{200};

Task<bool> WaitReady(NodeFleet& fleet) { co_return co_await fleet.WaitReady(kReadyLimit); }

// Guards against starts on a worker that has given notice seconds before: reads of the
// registrations got no response, and the owner went on with what it had read before.
TEST_CASE("no start reaches a worker long after a notice that the owner cannot read",
          "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
  REQUIRE(runner.Wait(WaitReady(fleet)));
  REQUIRE(runner.Wait(fleet.Submit(1, 2, kSubmitLimit)));
  REQUIRE(runner.Wait(fleet.WaitState(1, "completed", kFinishLimit)));
  fleet.store().SetFault({.silent = true, .only = "keyed.servers"});
  fleet.worker(0).SetFault({.draining = true});
  const Time noticed = Now() + kNoticeDelay;
  JobId last = 1;
  for (const Time end = Now() + kUnreadable; Now() < end;) {
    CHECK(runner.Wait(fleet.Submit(++last, 2, kSubmitLimit)));
    std::this_thread::sleep_for(kSubmitPeriod);
  }
  fleet.store().SetFault({});
  for (JobId job = 2; job <= last; ++job) {
    CAPTURE(job);
    CHECK(runner.Wait(fleet.WaitState(job, "completed", kFinishLimit)));
  }
  const auto runs = fleet.worker(0).Runs();
  const auto late = std::count_if(runs.begin(), runs.end(), [&](const auto& run) {
    return run.started > noticed + kStartsAfterNotice;
  });
  CHECK(late == 0);
  CHECK(runs.size() > static_cast<std::size_t>(late));
}

}  // namespace
}  // namespace dn::testing
