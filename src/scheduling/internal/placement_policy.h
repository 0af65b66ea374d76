// Which worker a task goes to. One strategy for each kind of step.
#pragma once

#include <optional>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// What the strategies see besides the worker.
struct PlacementView {
  const Interference& interference;
  const Policy& policy;
  Time now;
};

// Kinds of step that are placed by different rules.
enum class StepKind { kServing, kBatch, kFill };
StepKind KindOf(const StepSpec& step);

class PlacementRule {
 public:
  virtual ~PlacementRule() = default;
  // Cost of one more task of `step`, which runs `image`, on `worker`; the lowest
  // is taken. Nothing: the task must not go there now. Room, labels and spread
  // were checked. The larger the demand, the fewer workers may take it.
  virtual std::optional<double> Cost(const WorkerRow& worker, const StepSpec& step, ImageId image,
                                     const PlacementView& view) const = 0;
};

// Rule for steps of `kind`.
const PlacementRule& PlacementRuleFor(StepKind kind);

// Checks that hold for every kind: service, life, drain, quarantine, room,
// label, rack and `max_per_worker`.
bool MayHold(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now);

}  // namespace dn
