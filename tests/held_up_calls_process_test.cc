// Tests of calls that a network partition holds up: their bytes are on a connection that was open
// when the partition began, and arrive when it ends unless their sender has reset the connection.
// With real processes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

using standins::RelayMode;
using standins::TaskWorkerStandin;

constexpr int kNodes = 3;
constexpr int kTasksPerWorker = 4;  // Each worker has room for as many.
constexpr JobId kOtherJob = 1;      // Of a worker that is never cut off.
constexpr JobId kFirstJob = 2;      // Opens the connections for orders.
constexpr JobId kJob = 3;           // Its starts are sent as the cut begins.
constexpr Duration kReadyLimit{15'000};
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kStartLimit{5'000};
// An idle worker's renewal waits for 2 s and times out after 3 s, and the next one waits for 2 s.
constexpr Duration kReportLimit{6'000};
constexpr Duration kPollInterval{20};
// Shorter than the link's delay, in order to observe a call while it is on its way.
constexpr Duration kShortPollInterval{1};
constexpr Duration kDark{300};  // How long a worker is down when it restarts.

// One way; a round trip between regions takes 40 ms.
constexpr Duration kLinkDelay{20};
// One way, of a link so slow that a cut can begin while a start is on its way.
constexpr Duration kSlowLinkDelay{100};
// The longest time for which a caller waits: a renewal waits for 2 s for the end of a run, and then
// for 1 s for the response. The timeout of an order is 1 s.
constexpr Duration kLongestTimeout{2'000 + 1'000};
// Scheduling delays of the processes of the test on a busy machine.
constexpr Duration kTolerance{500};
// No call may arrive later than this after it was sent: its caller has given it up.
constexpr Duration kLatestArrival = kLongestTimeout + kLinkDelay + kTolerance;

// When a response is on its way for this long, it has passed the relay, and the next renewal has
// not.
constexpr Duration kNextRenewalTime = kLinkDelay * 3 / 2;
// The held-up calls arrive within this time of the end of a cut, and hardly any other call does.
constexpr Duration kArrivalTime{100};
// After the beginning of the cuts: the starts have been sent and have not timed out.
constexpr Duration kKillTime{700};
// After the beginning of the cuts: the starts have timed out. Workers that come then may get the
// tasks.
constexpr Duration kSpareTime{1'500};
// By then each call that was sent before a cut has been executed or is over (12 s), and a lease
// that it granted has expired (6 s on a clock that is 2 % slow, and 0.2 s for the response).
constexpr Duration kLateCallLimit{12'000 + 6'300};
// Time in which the instances tell the workers which runs to stop once they are connected again.
constexpr Duration kSettleTime{1'500};

bool WaitUntil(Duration limit, const std::function<bool()>& condition,
               Duration interval = kPollInterval) {
  const Time deadline = Now() + limit;
  while (!condition()) {
    if (Now() >= deadline) return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

Task<bool> SubmitJob(NodeFleet& fleet, JobId id, int tasks, std::string payload) {
  const bool ready = co_await fleet.WaitReady(kReadyLimit);
  if (!ready) co_return false;
  co_return co_await fleet.Submit(id, tasks, kSubmitLimit, payload);
}

// Fills the only worker.
void OccupyFirstWorker(Runner& runner, NodeFleet& fleet) {
  REQUIRE(runner.Wait(SubmitJob(fleet, kOtherJob, kTasksPerWorker, "long")));
  REQUIRE(
      WaitUntil(kStartLimit, [&] { return fleet.CountLiveRuns(kOtherJob) == kTasksPerWorker; }));
}

bool WaitForReport(const TaskWorkerStandin& worker) {
  return WaitUntil(kReportLimit, [&] { return worker.Counts().reports > 0; });
}

// A worker that is cut off.
struct CutWorker {
  TaskWorkerStandin& worker;
  Duration length{};             // Of the cut.
  int reports = 0;               // Before the cut.
  std::optional<Time> answered;  // The last renewal before the cut.
  std::optional<Time> cut_at;
  Time restored_at{};
};

// Begins each cut when the worker has answered a renewal and the next one is on its way.
bool BeginCuts(std::vector<CutWorker>& workers) {
  for (CutWorker& cut : workers) cut.reports = cut.worker.Counts().reports;
  const auto all_cut = [&] {
    for (CutWorker& cut : workers) {
      if (cut.cut_at) continue;
      if (!cut.answered && cut.worker.Counts().reports > cut.reports) cut.answered = Now();
      if (!cut.answered || Now() < *cut.answered + kNextRenewalTime) continue;
      cut.worker.relay().SetMode(RelayMode::kPartition);
      cut.cut_at = Now();
    }
    return std::all_of(workers.begin(), workers.end(),
                       [](const CutWorker& cut) { return cut.cut_at.has_value(); });
  };
  return WaitUntil(kReportLimit, all_cut, kShortPollInterval);
}

// Checks that the cut held up calls, and that none of them arrived too late.
void CheckArrivals(const CutWorker& cut) {
  int held = 0;
  int late = 0;
  Duration latest{0};
  for (const standins::HeldPiece& piece : cut.worker.relay().HeldRequests()) {
    ++held;
    if (!piece.passed_on) continue;
    const Duration delay = *piece.passed_on - piece.received;
    latest = std::max(latest, delay);
    if (delay > kLatestArrival) ++late;
  }
  std::string arrived;  // Paths of the calls at the end of the cut.
  for (const standins::CallRecord& call : cut.worker.Calls()) {
    const Duration after = call.arrived - cut.restored_at;
    if (after >= Duration(0) && after < kArrivalTime) arrived += call.path + " ";
  }
  CAPTURE(cut.length.count(), held, late, latest.count(), arrived);
  CHECK(held > 0);
  CHECK(late == 0);
}

// Guards against calls that are executed seconds after their caller has given them up or was
// killed: a partition held up their bytes, and the caller's kernel sent them again after its end.
TEST_CASE("no call arrives after its timeout when a cut that held it up ends",
          "[node][processes][held_up]") {
  struct Case {
    std::string name;
    bool owner_killed;
  };
  const auto c =
      GENERATE(values<Case>({{"owner alive", false}, {"owner killed during the cuts", true}}));
  CAPTURE(c.name);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, 1);
  OccupyFirstWorker(runner, fleet);
  // In ascending order: shorter and longer than the 12 s for which a call may be late.
  std::vector<CutWorker> workers;
  for (const Duration length : {Duration(6'000), Duration(14'000), Duration(20'000)}) {
    fleet.AddWorkerBehindRelay(kLinkDelay);
    workers.push_back({.worker = fleet.worker(static_cast<int>(workers.size()) + 1),
                       .length = length,
                       .answered = {},
                       .cut_at = {}});
  }
  const int tasks = kTasksPerWorker * static_cast<int>(workers.size());
  for (CutWorker& cut : workers) REQUIRE(WaitForReport(cut.worker));
  for (CutWorker& cut : workers) cut.worker.Restart(kDark);
  for (CutWorker& cut : workers) REQUIRE(WaitForReport(cut.worker));
  REQUIRE(runner.Wait(SubmitJob(fleet, kFirstJob, tasks, "short")));
  REQUIRE(runner.Wait(fleet.WaitState(kFirstJob, "completed", kStartLimit)));

  const int owner = fleet.Owner();
  REQUIRE(owner >= 0);
  REQUIRE(BeginCuts(workers));
  const Time cut_at = Now();
  REQUIRE(runner.Wait(fleet.Submit(kJob, tasks, kSubmitLimit, "long")));
  if (c.owner_killed) {
    std::this_thread::sleep_for(cut_at + kKillTime - Now());
    fleet.Signal(owner, SIGKILL);
    fleet.WaitExit(owner, Duration(1'000));
  }
  std::this_thread::sleep_for(cut_at + kSpareTime - Now());
  for (std::size_t i = 0; i < workers.size(); ++i) fleet.AddWorker();
  for (CutWorker& cut : workers) {
    std::this_thread::sleep_for(*cut.cut_at + cut.length - Now());
    cut.restored_at = Now();
    cut.worker.relay().SetMode(RelayMode::kPass);
  }
  CHECK(WaitUntil(cut_at + kLateCallLimit + kStartLimit - Now(),
                  [&] { return fleet.CountLiveRuns(kJob) == tasks; }));
  std::this_thread::sleep_for(kSettleTime);
  for (const CutWorker& cut : workers) CheckArrivals(cut);
  for (const std::string& twice : fleet.RunsTwice()) FAIL_CHECK(twice);
  CHECK(fleet.CountRuns(kOtherJob) == kTasksPerWorker);
}

// Guards against a task that runs twice: its start, by the clock of a worker's former incarnation,
// was held up on a connection to the new one and given up, and began the first run at the end of
// the cut, when the second one was under way elsewhere.
TEST_CASE("no task runs twice when a cut holds up its start to a restarted worker",
          "[node][processes][held_up]") {
  const Duration length = GENERATE(Duration(9'000), Duration(14'000), Duration(20'000));
  CAPTURE(length.count());
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, 1);
  OccupyFirstWorker(runner, fleet);
  fleet.AddWorkerBehindRelay(kSlowLinkDelay);
  TaskWorkerStandin& worker = fleet.worker(1);
  REQUIRE(WaitForReport(worker));
  const int reports = worker.Counts().reports;
  REQUIRE(WaitUntil(kReportLimit, [&] { return worker.Counts().reports > reports; }));
  // The next renewal has arrived and waits for its response.
  std::this_thread::sleep_for(kSlowLinkDelay * 5 / 2);
  worker.SetFault({.heartbeats_lost = true});
  worker.Restart(Duration(0), standins::WorkerEnd::kPowerLoss);
  const std::uint64_t received = worker.relay().request_bytes();
  REQUIRE(runner.Wait(fleet.Submit(kJob, kTasksPerWorker, kSubmitLimit, "long")));
  REQUIRE(WaitUntil(
      kStartLimit, [&] { return worker.relay().request_bytes() > received; }, kShortPollInterval));
  worker.relay().SetMode(RelayMode::kPartition);
  const Time cut_at = Now();
  CHECK(worker.Runs().empty());
  std::this_thread::sleep_for(kSpareTime);
  worker.SetFault({.unregistered = true});
  fleet.AddWorker();
  std::this_thread::sleep_for(cut_at + length - Now());
  const int elsewhere = fleet.CountLiveRuns(kJob);
  worker.relay().SetMode(RelayMode::kPass);
  worker.SetFault({});
  CHECK(WaitUntil(cut_at + length + kLateCallLimit + kStartLimit - Now(),
                  [&] { return fleet.CountLiveRuns(kJob) == kTasksPerWorker; }));
  std::this_thread::sleep_for(kSettleTime);
  CHECK(!worker.relay().HeldRequests().empty());
  const std::size_t runs_here = worker.Runs().size();
  CAPTURE(elsewhere, runs_here);
  for (const std::string& twice : fleet.RunsTwice()) FAIL_CHECK(twice);
  CHECK(fleet.CountRuns(kOtherJob) == kTasksPerWorker);
}

}  // namespace
}  // namespace dn::testing
