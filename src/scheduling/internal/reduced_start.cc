// Computes the speed of a reduced start from the headroom of a worker.
#include "scheduling/internal/reduced_start.h"

#include <algorithm>
#include <limits>

namespace dn {
namespace {

constexpr double kFullSpeed = 100;
// Percent; the throttling sets a speed below it to 0.
constexpr double kLeastSpeed = 10;
// Fraction of a service's cores that must be unused for every job to get a run: half of them, less
// a tenth, since the use of latency-critical tasks is an estimate.
constexpr double kLeastUnusedFraction = 0.4;
// Below that, a worker takes one reduced start while half of its own cores are idle.
constexpr ReducedStartLimits kFullLimits{.max_per_worker = 1,
                                         .idle_millicores = &BestEffortHeadroom::idle_millicores,
                                         .least_idle_fraction = 0.5,
                                         .least_free_memory_fraction = 0};
// Above it, what is unused is the only limit. A reduced start holds its memory for up to ten times
// as long as at full speed, so a quarter stays free: enough for any latency-critical task.
constexpr ReducedStartLimits kIdleLimits{.max_per_worker = std::numeric_limits<std::int64_t>::max(),
                                         .idle_millicores = &BestEffortHeadroom::unused_millicores,
                                         .least_idle_fraction = 0,
                                         .least_free_memory_fraction = 0.25};

}  // namespace

ReducedStartLimits ReducedStartLimitsFor(double unused_fraction) {
  return unused_fraction >= kLeastUnusedFraction ? kIdleLimits : kFullLimits;
}

double UnusedFraction(const WorkerTable& workers, const std::string& service,
                      const PlacementView& view) {
  std::int64_t unused = 0;
  std::int64_t capacity = 0;
  for (const auto& [id, worker] : workers.workers()) {
    if (!worker.listed || !worker.confirmed || worker.entry->service != service) continue;
    if (worker.evacuated) continue;
    if (worker.entry->draining || view.now - worker.last_report >= kReportTimeout) continue;
    unused += HeadroomOf(worker, view).unused_millicores;
    capacity += worker.entry->capacity.millicores;
  }
  return capacity == 0 ? 0 : static_cast<double>(unused) / static_cast<double>(capacity);
}

ReducedStartOffer ReducedStartOn(const WorkerRow& worker, const StepSpec& step, ImageId image,
                                 const ReducedStartLimits& limits, const PlacementView& view) {
  const auto started = std::count_if(
      worker.tasks.begin(), worker.tasks.end(),
      [](const auto& entry) { return entry.second->tasks[entry.first.position].reduced_start; });
  if (started >= limits.max_per_worker) return ReducedStartRefusal::kOccupied;
  const BestEffortHeadroom& headroom = HeadroomOf(worker, view);
  const double use = static_cast<double>(step->demand.millicores) * view.policy->initial_use;
  const double least_idle =
      limits.least_idle_fraction * static_cast<double>(worker.entry->capacity.millicores);
  if (static_cast<double>(headroom.*limits.idle_millicores) < std::max(use, least_idle)) {
    return ReducedStartRefusal::kFewIdleCores;
  }
  const double least_free =
      limits.least_free_memory_fraction * static_cast<double>(worker.entry->capacity.memory_mb);
  if (static_cast<double>(worker.Free().memory_mb - step->demand.memory_mb) < least_free) {
    return ReducedStartRefusal::kLittleMemory;
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
