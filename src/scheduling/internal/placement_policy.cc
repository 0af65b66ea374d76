// Placement rules: latency-critical and batch tasks are packed by best fit; best-effort tasks go
// where they interfere least.
#include "scheduling/internal/placement_policy.h"

#include <algorithm>
#include <array>
#include <set>

namespace dn {
namespace {

// Age from which a task is fully covered by the reports: they average over about 0.5 s and arrive
// about 0.5 s late.
constexpr Duration kReportLag{1'100};
// Weight in best fit of the fraction of memory that stays free, relative to the fraction of cores.
constexpr double kMemoryWeight = 0.3;

double ShareOf(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Best fit: selects the worker with the least free resources on which the task fits.
// Latency-critical tasks of the same image are placed together: the fewer images a worker runs, the
// fewer best-effort images interfere with them.
class PackingRule final : public PlacementRule {
 public:
  PlacementCost Cost(const WorkerRow& worker, const StepSpec& step, ImageId image,
                     const PlacementView& /*view*/) const override {
    const Resources free = worker.Free();
    const Resources& capacity = worker.entry->capacity;
    double cost =
        ShareOf(free.millicores - step->demand.millicores, capacity.millicores) +
        kMemoryWeight * ShareOf(free.memory_mb - step->demand.memory_mb, capacity.memory_mb);
    if (!step->long_running) return cost;
    std::set<ImageId> others;
    for (const auto& [ref, job] : worker.tasks) {
      const ImageId beside = job->ImageOf(ref.position);
      if (job->StepOf(ref.position)->long_running && beside != image) others.insert(beside);
    }
    return cost + kImageMixCost * static_cast<double>(others.size());
  }

 private:
  // Cost of each other latency-critical image on the worker, relative to the fraction of the worker
  // that stays free.
  static constexpr double kImageMixCost = 1.5;
};

constexpr double kMillicores = 1'000;
constexpr double kFullSpeed = 100;  // Percent.
// Smallest fraction of its cores that a task uses at full speed.
constexpr double kLeastUse = 0.66;

// Sets the idle cores of `headroom`.
void CountIdleCores(const WorkerRow& worker, const PlacementView& view,
                    BestEffortHeadroom& headroom) {
  const double left =
      static_cast<double>(worker.entry->capacity.millicores) -
      static_cast<double>(worker.latency_critical_millicores) * view.policy->latency_critical_use;
  double idle = left;
  double unused = left;
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    if (step->long_running) continue;
    const TaskRow& task = job->tasks[ref.position];
    const auto demand = static_cast<double>(step->demand.millicores);
    if (view.now - task.phase_since >= kReportLag) {
      // A throttled task needs its cores again once it is sped up.
      idle -= std::max(static_cast<double>(task.observed), demand * kLeastUse);
      unused -= static_cast<double>(task.observed);
    } else {
      // Reports do not cover the task yet.
      const double use = demand * view.policy->initial_use;
      idle -= use;
      unused -= use * task.speed_percent / kFullSpeed;
    }
  }
  headroom.idle_millicores = static_cast<std::int64_t>(idle);
  headroom.unused_millicores = static_cast<std::int64_t>(unused);
}

}  // namespace

double InterferenceOf(ImageId latency_critical_image, const StepSpec& best_effort,
                      ImageId best_effort_image, const PlacementView& view) {
  return view.interference.InterferencePerCore(latency_critical_image, best_effort_image) *
         static_cast<double>(best_effort->demand.millicores) / kMillicores;
}

namespace {

BestEffortHeadroom ComputeHeadroom(const WorkerRow& worker, const PlacementView& view) {
  BestEffortHeadroom headroom;
  CountIdleCores(worker, view, headroom);
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    if (!step->long_running || step->target_latency_ms <= 0) continue;
    const ImageId image = job->ImageOf(ref.position);
    auto entry = std::find_if(headroom.loads.begin(), headroom.loads.end(),
                              [&](const auto& pair) { return pair.first == image; });
    if (entry == headroom.loads.end()) entry = headroom.loads.insert(entry, {image, 0.0});
    entry->second = std::max(entry->second, job->tasks[ref.position].normalised_load);
  }
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    // Only tasks that were placed too recently to be covered by the reports are added here.
    if (!step->best_effort || view.now - job->tasks[ref.position].phase_since >= kReportLag)
      continue;
    for (auto& [image, load] : headroom.loads) {
      load += InterferenceOf(image, step, job->ImageOf(ref.position), view);
    }
  }
  return headroom;
}

// Best-effort tasks use idle cores on the workers where they interfere least.
class BestEffortRule final : public PlacementRule {
 public:
  PlacementCost Cost(const WorkerRow& worker, const StepSpec& step, ImageId image,
                     const PlacementView& view) const override {
    const BestEffortHeadroom& headroom = HeadroomOf(worker, view);
    const double use = static_cast<double>(step->demand.millicores) * view.policy->initial_use;
    if (static_cast<double>(headroom.idle_millicores) < use) {
      return PlacementRefusal::kFewIdleCores;
    }
    double worst = 0;
    for (const auto& [latency_critical_image, load] : headroom.loads) {
      const double added = InterferenceOf(latency_critical_image, step, image, view);
      if (added > kNegligibleLoad && load + added > view.policy->max_expected_load) {
        return PlacementRefusal::kLoad;
      }
      worst = std::max(worst, added);
    }
    // Among workers with equal interference, the one with the most idle cores has the lowest cost.
    return worst -
           kIdleWeight * ShareOf(headroom.idle_millicores, worker.entry->capacity.millicores);
  }

 private:
  static constexpr double kIdleWeight = 0.3;
  // A worker is not refused for an added normalised load up to this value.
  static constexpr double kNegligibleLoad = 0.02;
};

}  // namespace

const BestEffortHeadroom& HeadroomOf(const WorkerRow& worker, const PlacementView& view) {
  if (!worker.headroom) worker.headroom = ComputeHeadroom(worker, view);
  return *worker.headroom;
}

StepKind KindOf(const StepSpec& step) {
  if (step->best_effort) return StepKind::kBestEffort;
  return step->long_running ? StepKind::kLatencyCritical : StepKind::kBatch;
}

const PlacementRule& PlacementRuleFor(StepKind kind) {
  static const PackingRule kPacking;
  static const BestEffortRule kBestEffortRule;
  static const std::array<const PlacementRule*, 3> kRules = {&kPacking, &kPacking,
                                                             &kBestEffortRule};
  return *kRules.at(static_cast<std::size_t>(kind));
}

std::optional<PlacementRefusal> RefusalOf(const WorkerRow& worker, const JobRow& job,
                                          std::size_t position, Time now) {
  const StepSpec& step = job.StepOf(position);
  const WorkerEntry& entry = worker.entry;
  if (!worker.listed) return PlacementRefusal::kUnlisted;
  if (entry->draining) return PlacementRefusal::kDraining;
  if (!worker.confirmed) return PlacementRefusal::kUnconfirmed;
  if (worker.silent_since || now - worker.last_report >= kReportTimeout) {
    return PlacementRefusal::kSilent;
  }
  if (entry->service != job.accepted->queue->service) return PlacementRefusal::kOtherService;
  if (worker.start_time_ms != entry->start_time_ms || !worker.calls.knows_incarnation()) {
    return PlacementRefusal::kOtherIncarnation;
  }
  if (worker.evacuated) return PlacementRefusal::kEvacuated;
  if (now < worker.avoid_until) return PlacementRefusal::kAvoided;
  if (worker.HasColdStartLimit(now)) return PlacementRefusal::kCold;
  const Resources free = worker.Free();
  if (free.memory_mb < step->demand.memory_mb) return PlacementRefusal::kNoMemory;
  if (free.accelerators < step->demand.accelerators) return PlacementRefusal::kNoAccelerator;
  if (!step->best_effort && free.millicores < step->demand.millicores) {
    return PlacementRefusal::kNoCores;
  }
  if (!step->required_label.empty() && !worker.HasLabel(step->required_label)) {
    return PlacementRefusal::kLabel;
  }
  if (step->max_per_worker > 0) {
    const TaskKey key = job.KeyOf(position);
    const auto [first, last] =
        job.RangeOf(static_cast<std::size_t>(key.occurrence), static_cast<std::size_t>(key.step));
    const auto from = worker.tasks.lower_bound({.job = key.job, .position = first});
    const auto to = worker.tasks.lower_bound({.job = key.job, .position = last});
    if (std::distance(from, to) >= step->max_per_worker) return PlacementRefusal::kSpread;
  }
  return std::nullopt;
}

PlacementCost CostOf(const WorkerRow& worker, const JobRow& job, std::size_t position,
                     const PlacementView& view) {
  if (const auto refusal = RefusalOf(worker, job, position, view.now)) return *refusal;
  const StepSpec& step = job.StepOf(position);
  return PlacementRuleFor(KindOf(step)).Cost(worker, step, job.ImageOf(position), view);
}

}  // namespace dn
