// Runs both example deployments as separate processes on loopback: callers send
// requests to services through dn-entry and jobs through dn-node. Prints a table of
// the results.
#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <future>
#include <iomanip>
#include <iostream>
#include <thread>

#include "tests/support/checker.h"
#include "tests/support/fleet.h"
#include "tests/support/node_fleet.h"

namespace {

using dn::Duration;
using dn::Status;
using dn::Task;
using dn::standins::LoadOutcome;
using dn::testing::Fleet;
using dn::testing::FleetPlan;
using dn::testing::NodeFleet;
using dn::testing::Violation;

constexpr Duration kStartLimit{30'000};
constexpr Duration kJobLimit{40'000};
constexpr int kNodes = 3;
constexpr int kJobWorkers = 6;
constexpr int kJobs = 20;
constexpr int kTasksPerJob = 6;

struct Deployment {
  std::string file;
  FleetPlan plan;
};

// The results of one deployment. `p50`, `p99` and `p999` are in microseconds.
struct Outcome {
  std::string name;
  bool served = false;
  std::size_t answered = 0, not_run = 0, unknown = 0, other = 0;
  double p50 = 0, p99 = 0, p999 = 0;
  int jobs_completed = 0;
  std::uint64_t link_bytes = 0;
  std::uint64_t answered_by_processes = 0;
  std::vector<Violation> violations;
};

FleetPlan MakePlan(const std::string& service, std::vector<dn::testing::ZonePlan> zones) {
  FleetPlan plan;
  plan.bin = DN_BIN;
  plan.service = {service};
  plan.zones = std::move(zones);
  return plan;
}

std::vector<Deployment> Deployments() {
  return {{"kyriakidis", MakePlan("refill-desk", {{{"attica"}, {"piraeus"}, 3, 20, false},
                                                  {{"attica"}, {"marousi"}, 2, 15, false},
                                                  {{"macedonia"}, {"kalamaria"}, 3, 15, true}})},
          {"brassline", MakePlan("fitroom", {{{"erie-shore"}, {"sandusky"}, 3, 20, false},
                                             {{"erie-shore"}, {"toledo"}, 2, 15, false},
                                             {{"michigan-west"}, {"muskegon"}, 3, 15, true}})}};
}

std::uint64_t Sum(const std::vector<Status>& statuses, const std::string& counter) {
  std::uint64_t sum = 0;
  for (const Status& status : statuses) {
    const auto found = status->counters.find(counter);
    if (found != status->counters.end()) sum += found->second;
  }
  return sum;
}

Task<> RunCallers(dn::WorkerPool& pool, Fleet& fleet, dn::Configuration configuration,
                  Duration duration, double rate, Outcome& outcome) {
  if (!co_await fleet.Apply(configuration)) co_return;
  if (!co_await fleet.WaitServing(kStartLimit)) co_return;
  outcome.served = true;
  dn::standins::CallerLoad load(pool, {.entries = fleet.EntryAddresses(),
                                       .service = configuration->services.front()->name,
                                       .requests_per_second = rate});
  co_await load.Run(duration);
  const std::vector<Status> statuses = co_await fleet.Statuses();
  outcome.answered = load.Count(LoadOutcome::kAnswered);
  outcome.not_run = load.Count(LoadOutcome::kNotRun);
  outcome.unknown = load.Count(LoadOutcome::kUnknown);
  outcome.other = load.Count(LoadOutcome::kBroken) + load.Count(LoadOutcome::kWrong) +
                  load.Count(LoadOutcome::kDuplicate);
  outcome.p50 = load.Percentile(0.5);
  outcome.p99 = load.Percentile(0.99);
  outcome.p999 = load.Percentile(0.999);
  outcome.answered_by_processes = Sum(statuses, "requests_answered");
  outcome.link_bytes = fleet.LinkBytes();
  const dn::Service& service = configuration->services.front();
  dn::testing::Trace trace;
  trace.workers = co_await fleet.Recordings();
  trace.callers = load.results();
  trace.slots_per_worker = service->slots_per_worker;
  trace.connections_per_worker = service->connections_per_worker;
  for (Violation& violation : dn::testing::CheckTrace(trace)) {
    outcome.violations.push_back(std::move(violation));
  }
}

// Submits jobs to the nodes in turn and waits until the jobs are completed.
Task<> RunJobs(NodeFleet& nodes, Outcome& outcome) {
  if (!co_await nodes.WaitReady(kStartLimit)) co_return;
  for (dn::JobId id = 1; id <= kJobs; ++id) {
    co_await nodes.Submit(id, kTasksPerJob, kJobLimit);
  }
  for (dn::JobId id = 1; id <= kJobs; ++id) {
    if (co_await nodes.WaitState(id, "completed", kJobLimit)) ++outcome.jobs_completed;
  }
  for (const std::string& violation : nodes.Violations()) {
    outcome.violations.push_back({.guarantee = "one-place", .detail = violation});
  }
}

void Print(const std::vector<Outcome>& outcomes) {
  std::cout << std::left << std::setw(26) << "";
  for (const Outcome& o : outcomes) std::cout << std::right << std::setw(14) << o.name;
  std::cout << '\n';
  const auto row = [&](const std::string& name, auto value) {
    std::cout << std::left << std::setw(26) << name << std::right << std::fixed
              << std::setprecision(1);
    for (const Outcome& o : outcomes) std::cout << std::setw(14) << value(o);
    std::cout << '\n';
  };
  row("requests answered", [](const Outcome& o) { return o.answered; });
  row("  counted by dn-entry", [](const Outcome& o) { return o.answered_by_processes; });
  row("requests refused, not run", [](const Outcome& o) { return o.not_run; });
  row("requests unknown", [](const Outcome& o) { return o.unknown; });
  row("requests broken or wrong", [](const Outcome& o) { return o.other; });
  row("p50 ms", [](const Outcome& o) { return o.p50 / 1000; });
  row("p99 ms", [](const Outcome& o) { return o.p99 / 1000; });
  row("p99.9 ms", [](const Outcome& o) { return o.p999 / 1000; });
  row("jobs completed", [](const Outcome& o) { return o.jobs_completed; });
  row("bytes over the link", [](const Outcome& o) { return o.link_bytes; });
  row("guarantees violated", [](const Outcome& o) { return o.violations.size(); });
  for (const Outcome& o : outcomes) {
    for (const Violation& violation : o.violations) {
      std::cout << o.name << ": " << violation.guarantee << ": " << violation.detail << '\n';
    }
  }
}

bool MeetsExpectations(const Outcome& outcome) {
  return outcome.served && outcome.violations.empty() && outcome.answered > 0 &&
         outcome.other == 0 && outcome.jobs_completed == kJobs &&
         outcome.answered_by_processes >= outcome.answered;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("dn-demo", "Runs both deployments on loopback.");
  options.add_options()("seconds", "duration of the load in seconds",
                        cxxopts::value<int>()->default_value("20"))(
      "rate", "requests per second for each deployment",
      cxxopts::value<double>()->default_value("300"))("h,help", "show this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  dn::StartLogging(argv[0]);
  dn::testing::Runner runner;
  dn::WorkerPool& pool = runner.pool();
  std::vector<Outcome> outcomes;
  std::vector<std::unique_ptr<Fleet>> fleets;
  std::vector<std::unique_ptr<NodeFleet>> nodes;
  std::vector<std::future<void>> done;
  auto deployments = Deployments();
  outcomes.resize(deployments.size());
  for (std::size_t i = 0; i < deployments.size(); ++i) {
    dn::Findings findings;
    const auto configuration = dn::LoadFile<dn::Configuration>(
        std::string(DN_EXAMPLES) + "/" + deployments[i].file + ".json", findings);
    dn::PrintFindings(findings, std::cerr);
    if (!configuration) return dn::kExitInvalid;
    outcomes[i].name = deployments[i].file;
    fleets.push_back(std::make_unique<Fleet>(pool, deployments[i].plan));
    fleets.back()->StartAll();
    done.push_back(dn::asio::co_spawn(pool.context(),
                                      RunCallers(pool, *fleets.back(), *configuration,
                                                 Duration(parsed["seconds"].as<int>() * 1000),
                                                 parsed["rate"].as<double>(), outcomes[i]),
                                      dn::asio::use_future));
    nodes.push_back(std::make_unique<NodeFleet>(runner, DN_BIN, kNodes, kJobWorkers));
    done.push_back(dn::asio::co_spawn(pool.context(), RunJobs(*nodes.back(), outcomes[i]),
                                      dn::asio::use_future));
  }
  for (auto& future : done) future.get();
  Print(outcomes);
  const bool passed = std::all_of(outcomes.begin(), outcomes.end(), MeetsExpectations);
  std::cout << (passed ? "demo passed\n" : "demo FAILED\n");
  fleets.clear();
  nodes.clear();
  runner.Stop();
  return passed ? 0 : 1;
}
