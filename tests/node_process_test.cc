// Scheduler nodes as processes: jobs are handed in while faults strike, and every
// accepted job is completed, each task done once.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 4;
constexpr int kJobs = 24;
constexpr int kTasks = 3;
// Bounds from the platform's protocol: a lease of 6 s, a take-over of 2.5 s, and
// the work that waits meanwhile.
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kFinishLimit{25'000};

struct Scenario {
  std::string name;
  void (*strike)(NodeFleet&);  // After a third of the jobs.
  void (*heal)(NodeFleet&);    // 2.2 s later.
};

void KillOwner(NodeFleet& fleet) {
  const int owner = fleet.Owner();
  if (owner < 0) return;
  fleet.Signal(owner, SIGKILL);
  fleet.WaitExit(owner, Duration(1'000));
  fleet.Start(owner);
}

int paused = -1;

Task<bool> Drive(NodeFleet& fleet, const Scenario& scenario) {
  if (!co_await fleet.WaitReady(Duration(15'000))) co_return false;
  const std::string payload = "short";
  const std::string state = "completed";
  bool accepted = true;
  for (int i = 0; i < kJobs; ++i) {
    if (i == kJobs / 3) {
      scenario.strike(fleet);
    }
    if (i == 2 * kJobs / 3) {
      co_await SleepFor(Duration(2'200));
      scenario.heal(fleet);
    }
    // While the store or a node is away, callers come back later.
    const bool now =
        co_await fleet.Submit(static_cast<JobId>(i) + 0x100, kTasks, kSubmitLimit, payload);
    accepted = accepted && now;
  }
  for (int i = 0; i < kJobs; ++i) {
    const auto id = static_cast<JobId>(i) + 0x100;
    const bool completed = co_await fleet.WaitState(id, state, kFinishLimit);
    accepted = accepted && completed;
  }
  co_return accepted;
}

// Job 1: four tasks that run until it is cancelled.
Task<bool> StartLongJob(NodeFleet& fleet) {
  // Named: g++ 12 destroys string temporaries of a condition with co_await twice.
  const std::string payload = "long";
  const std::string running = "running";
  const bool ready = co_await fleet.WaitReady(Duration(15'000));
  if (!ready) co_return false;
  const bool accepted = co_await fleet.Submit(1, 4, kSubmitLimit, payload);
  if (!accepted) co_return false;
  co_return co_await fleet.WaitState(1, running, kFinishLimit);
}

// A fleet with a running job 1; what the nodes wrote explains why there is none.
struct FleetAtWork {
  FleetAtWork() {
    const bool running = runner.Wait(StartLongJob(fleet));
    CAPTURE(fleet.LogOf(0), fleet.LogOf(1), fleet.LogOf(2));
    REQUIRE(running);
  }

  Runner runner;
  NodeFleet fleet{runner.pool(), DN_BIN, kNodes, kWorkers};
};

// How the store turns callers away.
standins::StoreFault AnyOutage() {
  return GENERATE(standins::StoreFault{.busy = true}, standins::StoreFault{.silent = true});
}

TEST_CASE("accepted jobs are completed, each task done once", "[node][processes]") {
  const auto nothing = [](NodeFleet&) {};
  const auto scenario = GENERATE_COPY(values<Scenario>({
      {"calm", nothing, nothing},
      {"owner killed", KillOwner, nothing},
      {"owner paused for longer than its time to live",
       [](NodeFleet& fleet) {
         paused = fleet.Owner();
         fleet.Signal(paused, SIGSTOP);
       },
       [](NodeFleet& fleet) { fleet.Signal(paused, SIGCONT); }},
      {"shard dealt anew", [](NodeFleet& fleet) { fleet.store().ReassignPartitions(); },
       [](NodeFleet& fleet) { fleet.store().ReassignPartitions(); }},
      {"answers of the store lost",
       [](NodeFleet& fleet) { fleet.store().SetFault({.lost_answers_percent = 20}); },
       [](NodeFleet& fleet) { fleet.store().SetFault({}); }},
      {"store slow", [](NodeFleet& fleet) { fleet.store().SetFault({.delay = Duration(200)}); },
       [](NodeFleet& fleet) { fleet.store().SetFault({}); }},
      {"history dropped, then the owner killed",
       [](NodeFleet& fleet) {
         fleet.store().DropHistory();
         KillOwner(fleet);
       },
       [](NodeFleet& fleet) { fleet.store().DropHistory(); }},
      {"worker dead", [](NodeFleet& fleet) { fleet.worker(0).SetFault({.dead = true}); }, nothing},
      {"worker cut off", [](NodeFleet& fleet) { fleet.worker(0).SetFault({.disconnected = true}); },
       [](NodeFleet& fleet) { fleet.worker(0).SetFault({}); }},
      {"answers of workers lost",
       [](NodeFleet& fleet) {
         for (int i = 0; i < kWorkers; ++i) fleet.worker(i).SetFault({.lost_answers_percent = 20});
       },
       [](NodeFleet& fleet) {
         for (int i = 0; i < kWorkers; ++i) fleet.worker(i).SetFault({});
       }},
      {"settings signal",
       [](NodeFleet& fleet) {
         for (int i = 0; i < kNodes; ++i) fleet.Signal(i, SIGHUP);
       },
       nothing},
  }));
  CAPTURE(scenario.name);
  Runner runner;
  NodeFleet fleet(runner.pool(), DN_BIN, kNodes, kWorkers);
  CHECK(runner.Wait(Drive(fleet, scenario)));
  for (const std::string& finding : fleet.Findings()) FAIL_CHECK(finding);
}

TEST_CASE("the store is away: running tasks live on, nothing is accepted falsely",
          "[node][processes]") {
  const standins::StoreFault fault = AnyOutage();
  CAPTURE(fault.busy, fault.silent);
  FleetAtWork at_work;
  auto& [runner, fleet] = at_work;
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.store().SetFault(fault);
  const std::string job = R"({"Spec":"s","Steps":[{}]})";
  auto first = runner.Begin(fleet.Call(0, HttpMethod::kPost, "/queue/0000000000000002", job));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const HttpReply second =
      runner.Wait(fleet.Call(0, HttpMethod::kPost, "/queue/0000000000000004", job));
  // Refused only if it never runs; otherwise the outcome is unknown. The second
  // job was never sent.
  CHECK(second.status == 503);
  CHECK(first.get().status == (fault.busy ? 503 : 504));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  fleet.store().SetFault({});
  REQUIRE(runner.Wait(fleet.Submit(3, 1, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(3, "completed", kFinishLimit)));
  CHECK(fleet.RunsOf(1) == 4);
  if (fault.busy) CHECK(fleet.RunsOf(2) == 0);
  CHECK(fleet.RunsOf(4) == 0);
  for (const std::string& finding : fleet.Findings()) FAIL_CHECK(finding);
}

TEST_CASE("a node that the store turns away learns of a new owner from the others",
          "[node][processes]") {
  const standins::StoreFault fault = AnyOutage();
  CAPTURE(fault.busy, fault.silent);
  FleetAtWork at_work;
  auto& [runner, fleet] = at_work;
  // Long enough for every node to have heard of every other.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const int owner = fleet.Owner();
  const int turned_away = (owner + 1) % kNodes;
  fleet.store().SetEndpointFault(turned_away, fault);
  fleet.Signal(owner, SIGKILL);
  fleet.WaitExit(owner, Duration(1'000));
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const HttpReply state =
      runner.Wait(fleet.Call(turned_away, HttpMethod::kGet, "/queue/0000000000000001"));
  CAPTURE(state.body, fleet.LogOf(turned_away), fleet.LogOf((owner + 2) % kNodes));
  CHECK(state.status == 200);
  CHECK(state.body.find("running") != std::string::npos);
  CHECK(fleet.RunsOf(1) == 4);
}

TEST_CASE("a cancelled job stops, an unknown one is gone", "[node][processes]") {
  FleetAtWork at_work;
  auto& [runner, fleet] = at_work;
  REQUIRE(runner.Wait(fleet.Cancel(1, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(1, "cancelled", kFinishLimit)));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int i = 0; i < kWorkers; ++i) {
    for (const auto& run : fleet.worker(i).Runs()) CHECK(run.ended.has_value());
  }
  for (int node = 0; node < kNodes; ++node) {
    const std::string path = "/queue/00000000000000ff";
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kGet, path)).status == 410);
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kDelete, path)).status == 410);
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kGet, "/other/1")).status == 404);
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kPost, path, "{")).status == 400);
    const std::string large(262'145, ' ');  // One byte over the configured limit.
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kPost, path, large)).status == 413);
    CHECK(runner.Wait(fleet.Call(node, HttpMethod::kGet, "/queue/")).body == R"({"Waiting":0})");
  }
}

TEST_CASE("nodes are stopped in turn: each drains and ends by itself", "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner.pool(), DN_BIN, kNodes, kWorkers);
  REQUIRE(runner.Wait(fleet.WaitReady(Duration(15'000))));
  JobId next = 1;
  for (int node = 0; node < kNodes; ++node) {
    fleet.Signal(node, SIGTERM);
    for (int i = 0; i < 3; ++i) REQUIRE(runner.Wait(fleet.Submit(next++, 2, kSubmitLimit)));
    CHECK(fleet.WaitExit(node, Duration(6'000)) == 0);
    fleet.Start(node);
    REQUIRE(runner.Wait(fleet.WaitReady(Duration(15'000))));
  }
  for (JobId id = 1; id < next; ++id) {
    CHECK(runner.Wait(fleet.WaitState(id, "completed", kFinishLimit)));
  }
  for (const std::string& finding : fleet.Findings()) FAIL_CHECK(finding);
}

}  // namespace
}  // namespace dn::testing
