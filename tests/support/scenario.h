// Runs a small fleet under load while a fault happens, and
// gives what was recorded to the checker.
#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/checker.h"
#include "tests/support/fleet.h"

namespace dn::testing {

// What happens during the load; runs beside it.
using Disturbance = Task<> (*)(Fleet&);

struct Scenario {
  std::string name;
  Disturbance disturb = nullptr;
  Duration load{4000};
  double rate = 120;
  double write_share = 0.1;
  // Largest share of requests that may end otherwise than answered.
  double max_not_answered = 0;
  // Largest number of connections that may break without an answer.
  std::size_t max_broken = 0;
  Duration retention{3'600'000};
};

struct ScenarioResult {
  bool served = false;
  std::vector<standins::LoadResult> callers;
  Trace trace;
  std::vector<Violation> violations;
  std::vector<Status> statuses;
  standins::StoreStats store;

  std::size_t Count(standins::LoadOutcome outcome) const;
  // How many requests ended how, and why; for messages of failed checks.
  std::string Summary() const;
};

// The configuration that scenarios apply: service "desk".
Configuration ScenarioConfiguration();
FleetPlan ScenarioPlan(const Scenario& scenario);

// A pool on threads of its own, for fleets.
class RunningPool {
 public:
  RunningPool() : pool_(2), thread_([this] { pool_.Run(); }) {}
  ~RunningPool() {
    pool_.Stop();
    thread_.join();
  }
  WorkerPool& pool() { return pool_; }
  // Runs `task` to its end on the pool.
  void RunToEnd(Task<> task);

 private:
  WorkerPool pool_;
  std::thread thread_;
};

ScenarioResult RunScenario(const Scenario& scenario);

}  // namespace dn::testing
