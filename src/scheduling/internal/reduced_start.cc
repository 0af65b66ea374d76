// Computes the speed of a reduced start from the headroom of a worker.
#include "scheduling/internal/reduced_start.h"

#include <algorithm>

namespace dn {
namespace {

constexpr double kFullSpeed = 100;
// Percent; the throttling sets a speed below it to 0.
constexpr double kLeastSpeed = 10;
// Fraction of a worker's cores that must be idle. As long as less than half of all cores are in
// use, some worker has half of its own idle; a fleet that is fuller has better use for them.
constexpr double kLeastIdleFraction = 0.5;

}  // namespace

ReducedStartOffer ReducedStartOn(const WorkerRow& worker, const StepSpec& step, ImageId image,
                                 const PlacementView& view) {
  for (const auto& [ref, job] : worker.tasks) {
    if (job->tasks[ref.position].reduced_start) return ReducedStartRefusal::kOccupied;
  }
  const BestEffortHeadroom& headroom = HeadroomOf(worker, view);
  const double use = static_cast<double>(step->demand.millicores) * view.policy->initial_use;
  const double least_idle =
      kLeastIdleFraction * static_cast<double>(worker.entry->capacity.millicores);
  if (static_cast<double>(headroom.idle_millicores) < std::max(use, least_idle)) {
    return ReducedStartRefusal::kFewIdleCores;
  }
  double speed = kFullSpeed;
  for (const auto& [latency_critical_image, load] : headroom.loads) {
    const double added = InterferenceOf(latency_critical_image, step, image, view);
    if (added <= 0) continue;
    speed = std::min(speed, (view.policy->max_expected_load - load) / added * kFullSpeed);
  }
  speed = std::max(speed, kLeastSpeed);
  ReducedStart start{.speed_percent = static_cast<int>(speed)};
  for (const auto& [latency_critical_image, load] : headroom.loads) {
    const double added = InterferenceOf(latency_critical_image, step, image, view);
    start.expected_load = std::max(start.expected_load, load + added * speed / kFullSpeed);
  }
  return start;
}

}  // namespace dn
