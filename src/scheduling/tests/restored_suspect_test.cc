// Tests of what a new owner takes over of the suspicion against a task.
#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduling/tests/crash_fleet.h"

namespace dn {
namespace {

using testing::CrashFleet;
using testing::Fate;

constexpr JobId kJob = 0x100;
// The platform expects a task that lasts back within 6 s of its last run, and tolerates 3 s more.
constexpr Duration kRestartBound{9'000};
// More than a registration, the leases and the isolation of a task take together.
constexpr Duration kLossIsSeen{12'000};
constexpr Duration kOwnerOpens{500};
constexpr Duration kOwnerSettles{2'000};
constexpr int kWorkers = 8;

std::size_t WorkerOf(const CrashFleet& fleet, JobId id) {
  for (std::size_t i = 0; i < kWorkers; ++i) {
    if (fleet.JobsOn(i).count(id) > 0) return i;
  }
  FAIL("the job has no run");
  return 0;
}

// Returns whether the job's task was started `count` times by the end of `limit`.
bool StartsWithin(CrashFleet& fleet, std::size_t count, Duration limit) {
  constexpr Duration kPoll{10};
  for (const Time end = fleet.now + limit; fleet.now < end;) {
    if (fleet.StartsOf(kJob).size() >= count) return true;
    fleet.RunFor(kPoll);
  }
  return fleet.StartsOf(kJob).size() >= count;
}

enum class RunEnd { kFailed, kLapsed, kStopped, kCrashed };

void EndRun(CrashFleet& fleet, RunEnd how) {
  const std::size_t worker = WorkerOf(fleet, kJob);
  switch (how) {
    case RunEnd::kFailed:
      return fleet.EndRuns(worker, EndKind::kFailed);
    case RunEnd::kLapsed:
      return fleet.EndRuns(worker, EndKind::kLapsed);
    case RunEnd::kStopped:
      return fleet.Drain(worker);
    case RunEnd::kCrashed:
      return fleet.CrashWorker(worker);
  }
}

// Guards against tasks without a run for the rest of their job: a new owner held a task for a
// suspect although its loss had been taken back, so that no worker was held for its next start.
TEST_CASE("a task starts again after a change of owner although an earlier loss was taken back",
          "[scheduling][crashes][suspects]") {
  const bool long_running = GENERATE(true, false);
  const bool changes_owner = GENERATE(false, true);
  const auto end = GENERATE(RunEnd::kFailed, RunEnd::kLapsed, RunEnd::kStopped, RunEnd::kCrashed);
  // From the next start to the loss being taken back.
  const auto taken_back_after = GENERATE(Duration(50), Duration(300), Duration(2'000));
  if (end == RunEnd::kStopped && !long_running) return;  // Batch tasks end before the worker does.
  CAPTURE(long_running, changes_owner, static_cast<int>(end), taken_back_after.count());
  CrashFleet fleet({.workers = kWorkers, .run_time = Duration(60'000)});
  fleet.RunFor(Duration(200));
  fleet.Submit(kJob,
               {.count = 1,
                .demand = {.millicores = 2'000, .memory_mb = 1'000},
                .estimate_ms = 60'000,
                .long_running = long_running},
               {Fate::kLapses});
  fleet.RunFor(Duration(50));
  const std::size_t cut_off = WorkerOf(fleet, kJob);
  REQUIRE(StartsWithin(fleet, 2, kLossIsSeen));
  fleet.RunFor(taken_back_after);
  fleet.Reconnect(cut_off);
  fleet.RunFor(Duration(100));
  REQUIRE(fleet.DecisionsOf("loss-explained") == 1);
  if (changes_owner) {
    fleet.KillOwner(kOwnerOpens);
    fleet.RunFor(kOwnerSettles);
  }
  EndRun(fleet, end);
  CHECK(StartsWithin(fleet, 3, kRestartBound));
}

// Guards against tasks that wait for an earlier crash once more with each change of owner, although
// their last run ended in another way.
TEST_CASE("a new owner does not delay a task whose last run did not crash",
          "[scheduling][crashes][suspects]") {
  // The platform expects a task that lasts back by then.
  constexpr Duration kBackWithin{6'000};
  constexpr int kCrashes = 4;
  constexpr Duration kAllCrashes{60'000};
  constexpr Duration kBetweenOwners{2'000};
  const auto end = GENERATE(RunEnd::kFailed, RunEnd::kLapsed);
  const int changes = GENERATE(1, 2, 3);  // Of the owner, after the end of the run.
  CAPTURE(static_cast<int>(end), changes);
  CrashFleet fleet({.workers = kWorkers});
  fleet.RunFor(Duration(200));
  fleet.Submit(kJob,
               {.count = 1,
                .demand = {.millicores = 2'000, .memory_mb = 1'000},
                .estimate_ms = 1'000,
                .long_running = true},
               std::vector<Fate>(kCrashes, Fate::kCrashes));
  REQUIRE(StartsWithin(fleet, kCrashes + 1, kAllCrashes));
  fleet.RunFor(Duration(100));
  EndRun(fleet, end);
  const Time ended = fleet.now;
  for (int i = 0; i < changes; ++i) {
    fleet.KillOwner(kOwnerOpens);
    fleet.RunFor(kBetweenOwners);
  }
  CHECK(
      StartsWithin(fleet, kCrashes + 2, std::max(kBackWithin - (fleet.now - ended), Duration(0))));
}

}  // namespace
}  // namespace dn
