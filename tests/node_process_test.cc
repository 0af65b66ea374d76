// Tests of scheduler nodes as real processes: jobs are submitted during faults. Guards
// against accepted jobs that never complete and tasks that run twice.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"
#include "tests/support/test_caller.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 4;
constexpr int kJobs = 24;
constexpr int kTasks = 3;
// These limits cover the times of the platform's protocol, a lease of 6 s and a take-over
// of 2.5 s, and the tasks that are delayed by them.
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kFinishLimit{25'000};

// A fault that happens while jobs are submitted.
struct NodeScenario {
  std::string name;
  void (*inject_fault)(NodeFleet&);  // Called after a third of the jobs.
  void (*clear_fault)(NodeFleet&);   // Called after two thirds of the jobs and 2.2 s more.
};

// Kills the owner of the shard and starts its node again.
void RestartOwner(NodeFleet& fleet) {
  const int owner = fleet.Owner();
  if (owner < 0) return;
  fleet.Signal(owner, SIGKILL);
  fleet.WaitExit(owner, Duration(1'000));
  fleet.Start(owner);
}

int paused_node = -1;  // Set by the scenario that pauses the owner.

// Submits all jobs while the fault happens. Returns whether all were accepted and completed.
Task<bool> SubmitDuringFault(NodeFleet& fleet, const NodeScenario& scenario) {
  if (!co_await fleet.WaitReady(Duration(15'000))) co_return false;
  const std::string payload = "short";
  const std::string state = "completed";
  bool accepted = true;
  for (int i = 0; i < kJobs; ++i) {
    if (i == kJobs / 3) {
      scenario.inject_fault(fleet);
    }
    if (i == 2 * kJobs / 3) {
      co_await SleepFor(Duration(2'200));
      scenario.clear_fault(fleet);
    }
    // Submit() retries while the store or a node is unavailable.
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

// Starts job 1, whose four tasks run until the job is cancelled.
Task<bool> StartLongRunningJob(NodeFleet& fleet) {
  // The strings are variables because g++ 12 destroys string temporaries in a condition
  // with co_await twice.
  const std::string payload = "long";
  const std::string running = "running";
  const bool ready = co_await fleet.WaitReady(Duration(15'000));
  if (!ready) co_return false;
  const bool accepted = co_await fleet.Submit(1, 4, kSubmitLimit, payload);
  if (!accepted) co_return false;
  co_return co_await fleet.WaitState(1, running, kFinishLimit);
}

// A fleet in which job 1 is running. If the job does not start, the failed check shows
// the logs of the nodes.
struct FleetWithRunningJob {
  FleetWithRunningJob() {
    const bool running = runner.Wait(StartLongRunningJob(fleet));
    CAPTURE(fleet.LogOf(0), fleet.LogOf(1), fleet.LogOf(2));
    REQUIRE(running);
  }

  Runner runner;
  NodeFleet fleet{runner, DN_BIN, kNodes, kWorkers};
};

// Generates each way in which the store can be unavailable.
standins::StoreFault GenerateOutage() {
  return GENERATE(standins::StoreFault{.busy = true}, standins::StoreFault{.silent = true});
}

TEST_CASE("accepted jobs complete and no task runs twice during faults", "[node][processes]") {
  const auto no_action = [](NodeFleet&) {};
  const auto scenario = GENERATE_COPY(values<NodeScenario>({
      {"no fault", no_action, no_action},
      {"owner killed", RestartOwner, no_action},
      {"owner paused for longer than its TTL",
       [](NodeFleet& fleet) {
         paused_node = fleet.Owner();
         fleet.Signal(paused_node, SIGSTOP);
       },
       [](NodeFleet& fleet) { fleet.Signal(paused_node, SIGCONT); }},
      {"shard reassigned", [](NodeFleet& fleet) { fleet.store().ReassignPartitions(); },
       [](NodeFleet& fleet) { fleet.store().ReassignPartitions(); }},
      {"responses of the store lost",
       [](NodeFleet& fleet) { fleet.store().SetFault({.lost_answers_percent = 20}); },
       [](NodeFleet& fleet) { fleet.store().SetFault({}); }},
      {"store slow", [](NodeFleet& fleet) { fleet.store().SetFault({.delay = Duration(200)}); },
       [](NodeFleet& fleet) { fleet.store().SetFault({}); }},
      {"old records removed, then the owner killed",
       [](NodeFleet& fleet) {
         fleet.store().DropHistory();
         RestartOwner(fleet);
       },
       [](NodeFleet& fleet) { fleet.store().DropHistory(); }},
      {"worker crashed", [](NodeFleet& fleet) { fleet.worker(0).SetFault({.dead = true}); },
       no_action},
      {"worker unreachable",
       [](NodeFleet& fleet) { fleet.worker(0).SetFault({.disconnected = true}); },
       [](NodeFleet& fleet) { fleet.worker(0).SetFault({}); }},
      {"responses of workers lost",
       [](NodeFleet& fleet) {
         for (int i = 0; i < kWorkers; ++i) fleet.worker(i).SetFault({.lost_answers_percent = 20});
       },
       [](NodeFleet& fleet) {
         for (int i = 0; i < kWorkers; ++i) fleet.worker(i).SetFault({});
       }},
      {"settings reloaded by SIGHUP",
       [](NodeFleet& fleet) {
         for (int i = 0; i < kNodes; ++i) fleet.Signal(i, SIGHUP);
       },
       no_action},
  }));
  CAPTURE(scenario.name);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
  CHECK(runner.Wait(SubmitDuringFault(fleet, scenario)));
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
}

TEST_CASE("running tasks survive an outage of the store and refused jobs never run",
          "[node][processes]") {
  const standins::StoreFault fault = GenerateOutage();
  CAPTURE(fault.busy, fault.silent);
  FleetWithRunningJob fleet_with_job;
  auto& [runner, fleet] = fleet_with_job;
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.store().SetFault(fault);
  const std::string job = R"({"Spec":"s","Steps":[{}]})";
  auto first = runner.Begin(fleet.Call(0, HttpMethod::kPost, "/queue/0000000000000002", job));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const HttpReply second =
      runner.Wait(fleet.Call(0, HttpMethod::kPost, "/queue/0000000000000004", job));
  // A node may refuse a job (503) only if it never runs; otherwise the outcome is unknown
  // (504). The record of the second job was never sent to the store.
  CHECK(second.status == 503);
  CHECK(first.get().status == (fault.busy ? 503 : 504));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  fleet.store().SetFault({});
  REQUIRE(runner.Wait(fleet.Submit(3, 1, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(3, "completed", kFinishLimit)));
  CHECK(fleet.CountRuns(1) == 4);
  if (fault.busy) CHECK(fleet.CountRuns(2) == 0);
  CHECK(fleet.CountRuns(4) == 0);
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
}

TEST_CASE("a node without access to the store learns of a new owner from its siblings",
          "[node][processes]") {
  const standins::StoreFault fault = GenerateOutage();
  CAPTURE(fault.busy, fault.silent);
  FleetWithRunningJob fleet_with_job;
  auto& [runner, fleet] = fleet_with_job;
  // 5 s suffice for every node to learn of every other.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const int owner = fleet.Owner();
  const int cut_off_node = (owner + 1) % kNodes;
  fleet.store().SetEndpointFault(cut_off_node, fault);
  fleet.Signal(owner, SIGKILL);
  fleet.WaitExit(owner, Duration(1'000));
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const HttpReply state =
      runner.Wait(fleet.Call(cut_off_node, HttpMethod::kGet, "/queue/0000000000000001"));
  CAPTURE(state.body, fleet.LogOf(cut_off_node), fleet.LogOf((owner + 2) % kNodes));
  CHECK(state.status == 200);
  CHECK(state.body.find("running") != std::string::npos);
  CHECK(fleet.CountRuns(1) == 4);
}

TEST_CASE("a cancelled job stops and an unknown job returns 410", "[node][processes]") {
  FleetWithRunningJob fleet_with_job;
  auto& [runner, fleet] = fleet_with_job;
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

TEST_CASE("each node drains and exits on SIGTERM without losing jobs", "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
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
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
}

// Guards against a node that exits while a request is on its way on an open connection.
TEST_CASE("a node that drains responds on each open connection", "[node][processes]") {
  const std::string request = "GET /queue/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
  struct Case {
    std::string name;
    std::size_t bytes_before;  // Bytes of the request that are sent before the drain.
  };
  const std::vector<Case> cases = {{"connection without a request", 0},
                                   {"request line in part", 5},
                                   {"all but the last byte", request.size() - 1}};
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, 1, 1);
  REQUIRE(runner.Wait(fleet.WaitReady(Duration(15'000))));
  std::vector<TestCaller> callers(cases.size());
  for (std::size_t i = 0; i < cases.size(); ++i) {
    callers[i].Connect(fleet.front(0));
    callers[i].Send(request.substr(0, cases[i].bytes_before));
  }
  fleet.Signal(0, SIGTERM);
  REQUIRE(WaitUntilRefused(fleet.front(0)));
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(cases[i].name);
    callers[i].Send(request.substr(cases[i].bytes_before));
    const std::string response = callers[i].ReadUntil("");
    CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 "));
    CHECK_THAT(response, Catch::EndsWith("}, closed"));
  }
  CHECK(fleet.WaitExit(0, Duration(6'000)) == 0);
}

}  // namespace
}  // namespace dn::testing
