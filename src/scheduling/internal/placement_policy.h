// Selects the worker for a task, with one placement strategy for each kind of step.
#pragma once

#include <optional>
#include <variant>

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
// Names in logs.
template <>
struct EnumNames<StepKind> {
  static constexpr std::array<EnumName<StepKind>, 3> kNames = {
      {{StepKind::kLatencyCritical, "serving"},
       {StepKind::kBatch, "batch"},
       {StepKind::kBestEffort, "fills"}}};
};
StepKind KindOf(const StepSpec& step);

// Why a task must not be placed on a worker now.
enum class PlacementRefusal {
  kUnlisted,
  kDraining,
  kUnconfirmed,  // No report has arrived since the owner took the shard over.
  kSilent,       // The last renewal got no response, or the last report is too old.
  kOtherService,
  kOtherIncarnation,  // The registration and the last report are of different incarnations.
  kAvoided,
  kNoMemory,
  kNoAccelerator,
  kNoCores,
  kLabel,
  kSpread,        // The worker has `max_per_worker` tasks of the step.
  kFewIdleCores,  // Best-effort tasks only.
  kLoad,          // The expected load of a latency-critical task would be too high.
  kEvacuated,     // The worker's zone is evacuated.
  kCold,          // The worker is cold and has got as many starts as it may.
};
template <>
struct EnumNames<PlacementRefusal> {
  static constexpr std::array<EnumName<PlacementRefusal>, 16> kNames = {
      {{PlacementRefusal::kUnlisted, "unlisted"},
       {PlacementRefusal::kDraining, "draining"},
       {PlacementRefusal::kUnconfirmed, "unconfirmed"},
       {PlacementRefusal::kSilent, "silent"},
       {PlacementRefusal::kOtherService, "other_service"},
       {PlacementRefusal::kOtherIncarnation, "other_incarnation"},
       {PlacementRefusal::kAvoided, "avoided"},
       {PlacementRefusal::kNoMemory, "memory"},
       {PlacementRefusal::kNoAccelerator, "accelerators"},
       {PlacementRefusal::kNoCores, "cores"},
       {PlacementRefusal::kLabel, "label"},
       {PlacementRefusal::kSpread, "spread"},
       {PlacementRefusal::kFewIdleCores, "idle_cores"},
       {PlacementRefusal::kLoad, "load"},
       {PlacementRefusal::kEvacuated, "evacuated"},
       {PlacementRefusal::kCold, "cold"}}};
};

// Cost of placing a task on a worker, or why it must not be placed there now.
using PlacementCost = std::variant<double, PlacementRefusal>;

class PlacementRule {
 public:
  virtual ~PlacementRule() = default;
  // Returns the cost of placing one more task of `step`, which runs `image`, on `worker`; the
  // worker with the lowest cost is selected. The caller has checked resources, labels and spread. A
  // rule must not accept a task on a worker where it refuses one with a smaller demand.
  virtual PlacementCost Cost(const WorkerRow& worker, const StepSpec& step, ImageId image,
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

// Returns the first condition for every kind of step that `worker` does not satisfy: registration,
// service, incarnation, drain, zone, quarantine, cold start, free resources, label and
// `max_per_worker`.
std::optional<PlacementRefusal> RefusalOf(const WorkerRow& worker, const JobRow& job,
                                          std::size_t position, Time now);

// Returns the cost of placing a task on `worker`: all conditions and the rule for its kind of step.
PlacementCost CostOf(const WorkerRow& worker, const JobRow& job, std::size_t position,
                     const PlacementView& view);

}  // namespace dn
