// Runs a small fleet under load during a fault and passes its records to the checker.
#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/checker.h"
#include "tests/support/fleet.h"

namespace dn::testing {

// Injects a fault; runs concurrently with the load.
using FaultInjection = Task<> (*)(Fleet&);

// A fault and the load during it, with the limits for the results.
struct Scenario {
  std::string name;
  FaultInjection inject_fault = nullptr;
  Duration load{4000};
  double rate = 120;         // Requests per second.
  double write_share = 0.1;  // Share of requests that write.
  // Largest share of requests that may end with another outcome than answered.
  double max_not_answered = 0;
  // Largest number of connections that may break without a response.
  std::size_t max_broken = 0;
  Duration retention{3'600'000};
};

struct ScenarioResult {
  bool served = false;  // Whether the fleet started to serve requests.
  std::vector<standins::LoadResult> callers;
  Trace trace;
  std::vector<Violation> violations;
  std::vector<Status> statuses;
  standins::StoreStats store;

  std::size_t Count(standins::LoadOutcome outcome) const;
  // Lists the number of requests by outcome and reason, and the violations, for the
  // messages of failed checks.
  std::string Summary() const;
};

// Returns the configuration that scenarios apply. It has one service, "desk".
Configuration ScenarioConfiguration();
FleetPlan ScenarioPlan(const Scenario& scenario);

// Runs a worker pool on its own threads, for fleets.
class RunningPool {
 public:
  RunningPool() : pool_(2), thread_([this] { pool_.Run(); }) {}
  ~RunningPool() {
    pool_.Stop();
    thread_.join();
  }
  WorkerPool& pool() { return pool_; }
  // Runs `task` on the pool and waits until it ends.
  void RunToEnd(Task<> task);

 private:
  WorkerPool pool_;
  std::thread thread_;
};

ScenarioResult RunScenario(const Scenario& scenario);

}  // namespace dn::testing
