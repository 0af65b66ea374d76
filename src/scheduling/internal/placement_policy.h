// Which worker a task goes to. One strategy for each kind of step.
#pragma once

#include <map>
#include <optional>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// What matters of a worker for fills.
struct FillOutlook {
  std::int64_t leftover = 0;  // Cores that no task uses, in thousandths.
  // Expected tail latency as a share of the target, by serving image: the worst
  // task of the image, with fills that reports do not show yet.
  std::map<std::string, double> serving;
};

struct PlacementView;

// Outlooks of workers, worked out once and kept until the worker changes.
class OutlookCache {
 public:
  const FillOutlook& Of(const WorkerRow& worker, const PlacementView& view);
  void Forget(const WorkerRow& worker) { outlooks_.erase(&worker); }
  void Clear() { outlooks_.clear(); }

 private:
  std::map<const WorkerRow*, FillOutlook> outlooks_;
};

// What the strategies see besides the worker.
struct PlacementView {
  const std::map<JobId, JobRow>& jobs;
  const Interference& interference;
  const Policy& policy;
  OutlookCache& outlooks;
  Time now;
};

// Kinds of step that are placed by different rules.
enum class StepKind { kServing, kBatch, kFill };
StepKind KindOf(const StepSpec& step);

class PlacementRule {
 public:
  virtual ~PlacementRule() = default;
  // Cost of one more task of `step` on `worker`; the lowest is taken. Nothing:
  // the task must not go there now. Room, labels and spread were checked.
  virtual std::optional<double> Cost(const WorkerRow& worker, const StepSpec& step,
                                     const PlacementView& view) const = 0;
};

// Rule for steps of `kind`.
const PlacementRule& PlacementRuleFor(StepKind kind);

// Checks that hold for every kind: service, life, drain, quarantine, room,
// label, rack and `max_per_worker`.
bool MayHold(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now);

}  // namespace dn
