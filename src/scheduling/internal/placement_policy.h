// Selects the worker for a task, with one placement strategy for each kind of step.
#pragma once

#include <optional>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// Input of the placement strategies besides the worker itself.
struct PlacementView {
  const Interference& interference;
  const Policy& policy;
  Time now;
};

// Kinds of step; each kind has its own placement rule.
enum class StepKind { kLatencyCritical, kBatch, kBestEffort };
StepKind KindOf(const StepSpec& step);

class PlacementRule {
 public:
  virtual ~PlacementRule() = default;
  // Returns the cost of placing one more task of `step`, which runs `image`, on `worker`; the
  // worker with the lowest cost is selected. Returns nothing if the task must not be placed there
  // now. The caller has checked resources, labels and spread. A rule must not accept a task on a
  // worker where it refuses one with a smaller demand.
  virtual std::optional<double> Cost(const WorkerRow& worker, const StepSpec& step, ImageId image,
                                     const PlacementView& view) const = 0;
};

// Returns the placement rule for steps of `kind`.
const PlacementRule& PlacementRuleFor(StepKind kind);

// Returns the normalised load that a task of the best-effort step adds at full speed to a
// latency-critical task.
double InterferenceOf(ImageId latency_critical_image, const StepSpec& best_effort,
                      ImageId best_effort_image, const PlacementView& view);

// Returns the headroom of `worker`, which is cached in it.
const BestEffortHeadroom& HeadroomOf(const WorkerRow& worker, const PlacementView& view);

// Returns whether `worker` satisfies the conditions that apply to every kind of step: service,
// incarnation, drain, quarantine, free resources, label and `max_per_worker`.
bool CanPlace(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now);

}  // namespace dn
