// Tests of workers that restart and carry out starts before any instance hears of that, and of
// owners that are replaced right after, with real processes. Guards against tasks that run twice.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 3;
constexpr int kTasks = 4;  // Of each job. They fill one worker.
constexpr JobId kOtherJob = 1;
constexpr JobId kJob = 2;
constexpr int kOtherWorker = 0;
constexpr int kRestartedWorker = 1;
constexpr int kSpareWorker = 2;
constexpr int kNextLife = 2;  // Incarnation after the restart.
constexpr Duration kReadyLimit{15'000};
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kStartLimit{5'000};
// An idle worker's renewal waits for 2 s.
constexpr Duration kReportLimit{6'000};
constexpr Duration kPollInterval{20};
// The owner has to be replaced within 0.8 s after the starts.
constexpr Duration kShortPollInterval{1};
// A successor that finds an owner gone believes that if the owner took over this long ago: its time
// to live of 1.8 s, and twice the error of the time of day of 5 s.
constexpr Duration kOldOwner{12'000};
// Twice the time to live of an owner, and a take-over.
constexpr Duration kTakeOverLimit{5'000};
// The end of a lease, by a clock that is 2 % slow and with 0.2 s for the response, and the time in
// which the next run is planned and started.
constexpr Duration kNextRunTime{1'000};

bool WaitUntil(Duration limit, const std::function<bool()>& condition,
               Duration interval = kPollInterval) {
  const Time deadline = Now() + limit;
  while (!condition()) {
    if (Now() >= deadline) return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

Task<bool> SubmitJob(NodeFleet& fleet, JobId id) {
  const bool ready = co_await fleet.WaitReady(kReadyLimit);
  if (!ready) co_return false;
  co_return co_await fleet.Submit(id, kTasks, kSubmitLimit, "long");
}

// Number of runs that the worker's next life has begun.
std::ptrdiff_t RunsOfNextLife(NodeFleet& fleet) {
  const auto runs = fleet.worker(kRestartedWorker).Runs();
  return std::count_if(runs.begin(), runs.end(),
                       [](const auto& run) { return run.incarnation == kNextLife; });
}

bool HaveLapsed(const std::vector<standins::RunRecord>& runs) {
  return std::all_of(runs.begin(), runs.end(),
                     [](const auto& run) { return run.end_reason == "lapsed"; });
}

// The owner leaves the group.
void Leave(NodeFleet& fleet, int owner) { fleet.Signal(owner, SIGTERM); }

// The owner is cut off from the store and goes on until its time to live has run out.
void CutOff(NodeFleet& fleet, int owner) {
  fleet.store().SetEndpointFault(owner, {.silent = true});
  fleet.store().ReassignPartitions();
}

struct Replacement {
  std::string name;
  Duration max_lease;  // Of the platform.
  Duration owner_age;  // At its replacement, at least.
  void (*replace)(NodeFleet& fleet, int owner);
};

// Guards against a successor that takes the runs of an unregistered worker for ended by the lease
// that an owner grants, while the worker has restarted unheard of, has carried out starts by the
// clock of its former life, and goes on by the longer lease of the platform.
TEST_CASE("no task runs twice when a restart is unheard of and the owner is replaced",
          "[node][processes]") {
  const auto c = GENERATE(
      values<Replacement>({{"owner leaves", Duration(6'000), kOldOwner, Leave},
                           {"owner is cut off, 10 s", Duration(10'000), Duration(0), CutOff}}));
  CAPTURE(c.name);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, 1,
                  "Bounds.HoldMaxMs=" + std::to_string(c.max_lease.count()) + "\n");
  REQUIRE(runner.Wait(SubmitJob(fleet, kOtherJob)));
  REQUIRE(WaitUntil(kStartLimit, [&] { return fleet.CountLiveRuns(kOtherJob) == kTasks; }));
  const Time owned_at = Now();
  const int owner = fleet.Owner();
  REQUIRE(owner >= 0);
  fleet.AddWorker();
  standins::TaskWorkerStandin& worker = fleet.worker(kRestartedWorker);
  worker.SetMaxLease(c.max_lease);
  std::this_thread::sleep_for(owned_at + c.owner_age - Now());
  const int reports = worker.Counts().reports;
  REQUIRE(WaitUntil(
      kReportLimit, [&] { return worker.Counts().reports > reports; }, kShortPollInterval));

  worker.SetFault({.lost_answers_percent = 100, .heartbeats_lost = true});
  worker.Restart(Duration(0));
  REQUIRE(runner.Wait(fleet.Submit(kJob, kTasks, kSubmitLimit, "long")));
  REQUIRE(WaitUntil(
      kStartLimit, [&] { return RunsOfNextLife(fleet) == kTasks; }, kShortPollInterval));
  const Time started = Now();
  REQUIRE(fleet.Owner() == owner);
  // The worker is cut off from all instances and from the store.
  worker.SetFault({.disconnected = true});
  c.replace(fleet, owner);
  fleet.AddWorker();

  const Time limit = started + kTakeOverLimit + c.max_lease + kNextRunTime;
  const auto ran_again = [&] { return fleet.worker(kSpareWorker).Runs().size() == kTasks; };
  CHECK(WaitUntil(limit - Now(), ran_again));
  CHECK(fleet.Owner() != owner);
  CHECK(WaitUntil(limit - Now(), [&] { return HaveLapsed(worker.Runs()); }));
  CHECK(RunsOfNextLife(fleet) == kTasks);
  for (const std::string& twice : fleet.RunsTwice()) FAIL_CHECK(twice);
  CHECK(fleet.CountRuns(kOtherJob) == kTasks);
}

}  // namespace
}  // namespace dn::testing
