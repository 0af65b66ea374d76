// Places a best-effort task that every worker refuses at full speed, at a speed that leaves the
// latency-critical tasks within their target. Without it, a task that interferes with
// latency-critical tasks on all workers would never start.
#pragma once

#include <string>
#include <variant>

#include "scheduling/internal/placement_policy.h"

namespace dn {

// Speed of a best-effort task that starts at reduced speed, and its effect on the worker.
struct ReducedStart {
  int speed_percent = 0;
  double expected_load = 0;  // Highest normalised load of a latency-critical task at that speed.

  friend auto operator<=>(const ReducedStart&, const ReducedStart&) = default;
};

// How far reduced starts may fill a worker.
struct ReducedStartLimits {
  std::int64_t max_per_worker = 0;  // Tasks that were started so.
  // The cores that count as idle, and the fraction of the worker's cores that must be so.
  std::int64_t BestEffortHeadroom::*idle_millicores = nullptr;
  double least_idle_fraction = 0;
  double least_free_memory_fraction = 0;  // Of the worker's memory, beside the task.

  friend bool operator==(const ReducedStartLimits&, const ReducedStartLimits&) = default;
};

// Returns the limits for a service of which `unused_fraction` of the cores is in use by no task.
// While most of its cores are idle, every job can have a run. A service that is fuller has better
// use for its cores than jobs that interfere everywhere.
ReducedStartLimits ReducedStartLimitsFor(double unused_fraction);

// Returns the fraction of the cores of a service that no task uses; 0 if it has no worker that
// takes tasks.
double UnusedFraction(const WorkerTable& workers, const std::string& service,
                      const PlacementView& view);

// Why a worker that satisfies RefusalOf() accepts no reduced start.
enum class ReducedStartRefusal {
  kOccupied,      // It already runs as many tasks that were started so as the limits allow.
  kFewIdleCores,  // Too few of its cores are idle.
  kLittleMemory,  // It would leave too little memory to other tasks.
};
template <>
struct EnumNames<ReducedStartRefusal> {
  static constexpr std::array<EnumName<ReducedStartRefusal>, 3> kNames = {
      {{ReducedStartRefusal::kOccupied, "occupied"},
       {ReducedStartRefusal::kFewIdleCores, "idle_cores"},
       {ReducedStartRefusal::kLittleMemory, "memory"}}};
};

using ReducedStartOffer = std::variant<ReducedStart, ReducedStartRefusal>;

// Returns the speed at which one more task of the best-effort `step`, which runs `image`, can start
// on `worker`: as fast as the policy's limit on the expected load allows, but at least the least
// speed. The caller has checked RefusalOf(). Does not accept a task on a worker where it refuses
// one with a smaller demand.
ReducedStartOffer ReducedStartOn(const WorkerRow& worker, const StepSpec& step, ImageId image,
                                 const ReducedStartLimits& limits, const PlacementView& view);

}  // namespace dn
