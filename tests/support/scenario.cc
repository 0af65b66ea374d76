// Runs scenarios and collects their results.
#include "tests/support/scenario.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <sstream>

namespace dn::testing {
namespace {

using standins::LoadOutcome;
using standins::LoadResult;

constexpr Duration kStartLimit{20'000};
constexpr Duration kPollInterval{100};
constexpr Duration kDelayBeforeFault{1000};

Task<> InjectFaultLater(Fleet& fleet, FaultInjection inject_fault, std::atomic<bool>& ended) {
  co_await SleepFor(kDelayBeforeFault);
  co_await inject_fault(fleet);
  ended = true;
}

Task<> RunLoadDuringFault(WorkerPool& pool, Fleet& fleet, const Scenario& scenario,
                          ScenarioResult& result) {
  const Configuration configuration = ScenarioConfiguration();
  if (!co_await fleet.Apply(configuration)) co_return;
  if (!co_await fleet.WaitServing(kStartLimit)) co_return;
  result.served = true;
  std::atomic<bool> fault_ended{scenario.inject_fault == nullptr};
  if (!fault_ended) pool.Spawn(InjectFaultLater(fleet, scenario.inject_fault, fault_ended));
  const standins::LoadSettings settings{.entries = fleet.EntryAddresses(),
                                        .service = configuration->services.front()->name,
                                        .requests_per_second = scenario.rate,
                                        .write_share = scenario.write_share};
  standins::CallerLoad load(pool, settings);
  co_await load.Run(scenario.load);
  while (!fault_ended) co_await SleepFor(kPollInterval);
  result.trace.workers = co_await fleet.Recordings();
  result.callers = load.results();
  result.statuses = co_await fleet.Statuses();
  result.store = co_await fleet.StoreStatistics();
}

}  // namespace

void RunningPool::RunToEnd(Task<> task) {
  asio::co_spawn(pool_.context(), std::move(task), asio::use_future).get();
}

Configuration ScenarioConfiguration() {
  const Service service({.name = {"desk"},
                         .slots_per_worker = 4,
                         .connections_per_worker = 8,
                         .timeout = Duration(1000),
                         .queue_time = Duration(300)});
  return Configuration({.deployment = "test",
                        .regions = {Region({.name = {"near"}, .availability_zones = {{"n1"}}}),
                                    Region({.name = {"far"}, .availability_zones = {{"f1"}}})},
                        .services = {service}});
}

FleetPlan ScenarioPlan(const Scenario& scenario) {
  FleetPlan plan;
  plan.bin = DN_BIN;
  plan.service = {"desk"};
  plan.zones = {{{"near"}, {"n1"}, 3, 3, false}, {{"far"}, {"f1"}, 2, 2, true}};
  plan.link_delay = Duration(10);
  plan.retention = scenario.retention;
  return plan;
}

ScenarioResult RunScenario(const Scenario& scenario) {
  ScenarioResult result;
  RunningPool running;
  Fleet fleet(running.pool(), ScenarioPlan(scenario));
  fleet.StartAll();
  running.RunToEnd(RunLoadDuringFault(running.pool(), fleet, scenario, result));
  const Configuration configuration = ScenarioConfiguration();
  const Service& service = configuration->services.front();
  result.trace.callers = result.callers;
  result.trace.slots_per_worker = service->slots_per_worker;
  result.trace.connections_per_worker = service->connections_per_worker;
  result.violations = CheckTrace(result.trace);
  return result;
}

std::size_t ScenarioResult::Count(LoadOutcome outcome) const {
  return static_cast<std::size_t>(
      std::count_if(callers.begin(), callers.end(),
                    [&](const LoadResult& result) { return result.outcome == outcome; }));
}

std::string ScenarioResult::Summary() const {
  std::map<std::pair<LoadOutcome, std::string>, int> counts;
  for (const LoadResult& result : callers) ++counts[{result.outcome, result.reason}];
  std::ostringstream out;
  for (const auto& [key, count] : counts) {
    out << "outcome " << static_cast<int>(key.first) << " (" << key.second << "): " << count
        << "\n";
  }
  for (const Violation& violation : violations) {
    out << violation.guarantee << ": " << violation.detail << "\n";
  }
  return out.str();
}

}  // namespace dn::testing
