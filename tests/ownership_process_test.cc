// Tests of take-overs from an owner that still runs and still reaches some workers, with real
// processes. Guards against tasks that run twice.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 4;
constexpr int kCutOffWorkers = 2;
constexpr JobId kFirstJob = 1;
constexpr JobId kSecondJob = 2;
// The tasks of both jobs fit on the workers that are not cut off.
constexpr int kFirstTasks = 6;
constexpr int kSecondTasks = 2;
constexpr Duration kReadyLimit{15'000};
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kStartLimit{5'000};
// A take-over of 2.3 s, then the time in which the former owner's leases expire: 1.8 s until its
// membership has run out and a lease of 5.3 s.
constexpr Duration kCutLimit{12'000};
// Time after the cut in which the instances agree on an owner and the workers are told.
constexpr Duration kSettleTime{1'500};
// Delay of the record of the second job's starts. Longer than a renewal takes, so that the owner
// has a new report of the worker when it learns of the record; shorter than a take-over.
constexpr Duration kRecordDelay{1'100};
// Time in which the owner sends that record.
constexpr Duration kPlanTime{150};
// Ends between the take-over and the end of the time for which the successor waits.
constexpr Duration kPause{5'500};
// Age of the lists of owners that instances keep, and the time in which each worker has received a
// renewal of a new owner.
constexpr Duration kListAge{3'500};
constexpr Duration kRenewalTime{200};
constexpr Duration kPollInterval{50};

// Submits a job. The tasks of the payload "long" run until the job is cancelled.
Task<bool> SubmitJob(NodeFleet& fleet, JobId id, int tasks, std::string payload) {
  const bool ready = co_await fleet.WaitReady(kReadyLimit);
  if (!ready) co_return false;
  co_return co_await fleet.Submit(id, tasks, kSubmitLimit, payload);
}

bool WaitUntil(Duration limit, const std::function<bool()>& condition) {
  const Time deadline = Now() + limit;
  while (!condition()) {
    if (Now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// Returns the highest fencing token of all calls to workers.
std::int64_t HighestCallToken(NodeFleet& fleet) {
  std::int64_t token = 0;
  for (int i = 0; i < kWorkers; ++i) {
    for (const auto& call : fleet.worker(i).Calls()) token = std::max(token, call.token);
  }
  return token;
}

// Separates a former owner and the first workers from the store, from the other workers and from
// later owners, but not from each other.
class Partition {
 public:
  Partition(NodeFleet& fleet, int owner) : fleet_(fleet), owner_(owner) {
    const std::int64_t token = LastTokenOf(HighestCallToken(fleet));
    fleet.store().SetEndpointFault(owner, {.silent = true});
    for (int i = 0; i < kWorkers; ++i) {
      standins::TaskWorkerFault cut;
      cut.unregistered = i < kCutOffWorkers;
      if (cut.unregistered) {
        cut.last_token = token;
      } else {
        cut.first_token = token + 1;
      }
      fleet.worker(i).SetFault(cut);
    }
  }
  ~Partition() {
    fleet_.store().SetEndpointFault(owner_, {});
    for (int i = 0; i < kWorkers; ++i) fleet_.worker(i).SetFault({});
  }
  Partition(const Partition&) = delete;
  Partition& operator=(const Partition&) = delete;

 private:
  NodeFleet& fleet_;
  const int owner_;
};

// Returns the number of live runs on the workers that are not cut off.
std::ptrdiff_t RunsOfOthers(NodeFleet& fleet) {
  std::ptrdiff_t runs = 0;
  for (int i = kCutOffWorkers; i < kWorkers; ++i) {
    const auto all = fleet.worker(i).Runs();
    runs += std::count_if(all.begin(), all.end(), [](const auto& run) { return !run.ended; });
  }
  return runs;
}

struct OwnerScenario {
  std::string name;
  // The owner is paused once it has sent the record of starts, and goes on after its replacement.
  bool paused = false;
};

// Guards against a former owner that keeps leases alive, or starts runs, on workers that its
// successor does not reach: the successor starts the tasks elsewhere, so that they run twice.
TEST_CASE("no task runs twice when the owner is cut off together with workers",
          "[node][processes]") {
  const auto scenario = GENERATE(values<OwnerScenario>(
      {{"owner runs", false}, {"owner paused between a record and its starts", true}}));
  CAPTURE(scenario.name);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
  REQUIRE(runner.Wait(SubmitJob(fleet, kFirstJob, kFirstTasks, "long")));
  REQUIRE(WaitUntil(kStartLimit, [&] { return fleet.CountLiveRuns(kFirstJob) == kFirstTasks; }));
  REQUIRE(RunsOfOthers(fleet) < kFirstTasks);
  const int owner = fleet.Owner();
  REQUIRE(owner >= 0);
  Time paused_at{};
  if (scenario.paused) {
    fleet.store().SetEndpointFault(owner, {.delay = kRecordDelay, .only = "keyed.dn-progress"});
    REQUIRE(runner.Wait(SubmitJob(fleet, kSecondJob, kSecondTasks, "long")));
    std::this_thread::sleep_for(kPlanTime);
    fleet.Signal(owner, SIGSTOP);
    paused_at = Now();
    std::this_thread::sleep_for(kRecordDelay);
  } else {
    // Its tasks end as done after the cut, when the owner cannot record that.
    REQUIRE(runner.Wait(SubmitJob(fleet, kSecondJob, kSecondTasks, "short")));
    REQUIRE(WaitUntil(kStartLimit, [&] { return fleet.CountRuns(kSecondJob) == kSecondTasks; }));
  }
  const int tasks = kFirstTasks + (scenario.paused ? kSecondTasks : 0);
  {
    const Partition partition(fleet, owner);
    if (scenario.paused) {
      std::this_thread::sleep_for(paused_at + kPause - Now());
      fleet.Signal(owner, SIGCONT);
    }
    // The successor starts the tasks of the workers that it does not reach on the others.
    CHECK(WaitUntil(kCutLimit, [&] { return RunsOfOthers(fleet) == tasks; }));
    CHECK(fleet.Owner() != owner);
  }
  std::this_thread::sleep_for(kSettleTime);
  for (const std::string& twice : fleet.RunsTwice()) FAIL_CHECK(twice);
  CHECK(fleet.CountLiveRuns(kFirstJob) == kFirstTasks);
  const std::string state = scenario.paused ? "running" : "completed";
  CHECK(runner.Wait(fleet.WaitState(kSecondJob, state, kStartLimit)));
}

// Guards against a successor that takes the owner before the last one for its predecessor, finds
// that it is gone, and does not count the leases that the last one still grants.
TEST_CASE("no task runs twice when owners change twice and the second one is cut off with workers",
          "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes + 1, kWorkers);
  REQUIRE(runner.Wait(SubmitJob(fleet, kFirstJob, kFirstTasks, "long")));
  REQUIRE(WaitUntil(kStartLimit, [&] { return fleet.CountLiveRuns(kFirstJob) == kFirstTasks; }));
  std::this_thread::sleep_for(kListAge);
  const int first = fleet.Owner();
  REQUIRE(first >= 0);
  const std::int64_t first_token = LastTokenOf(HighestCallToken(fleet));
  fleet.Signal(first, SIGKILL);
  const auto second_owner_renews = [&] { return HighestCallToken(fleet) > first_token; };
  REQUIRE(WaitUntil(kStartLimit, second_owner_renews));
  std::this_thread::sleep_for(kRenewalTime);
  const int second = fleet.Owner();
  REQUIRE(second != first);
  {
    const Partition partition(fleet, second);
    fleet.store().ReassignPartitions();
    CHECK(WaitUntil(kCutLimit, [&] { return RunsOfOthers(fleet) == kFirstTasks; }));
    CHECK(fleet.Owner() != second);
  }
  std::this_thread::sleep_for(kSettleTime);
  for (const std::string& twice : fleet.RunsTwice()) FAIL_CHECK(twice);
  CHECK(fleet.CountLiveRuns(kFirstJob) == kFirstTasks);
}

}  // namespace
}  // namespace dn::testing
