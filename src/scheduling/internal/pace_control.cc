// Throttling decisions for one worker.
#include "scheduling/internal/pace_control.h"

#include <algorithm>
#include <set>

namespace dn {
namespace {

// Least time between two changes on a worker, after which reports show the effect of the first
// change: 0.5 s of averaging, the delay of the report, and the time that the worker needs to apply
// the change.
constexpr Duration kSettling{700};
constexpr int kFullSpeed = 100;
constexpr int kMinSpeed = 10;  // Percent; a lower speed is set to 0.
// A best-effort task that adds less normalised load than this is not throttled.
constexpr double kNegligibleLoad = 0.02;
// Normalised load that throttling aims at.
constexpr double kTargetLoad = 0.93;
constexpr double kMillicores = 1'000;

struct BestEffortRun {
  TaskRef ref;
  const TaskRow* task;
  // Normalised load that the run adds at full speed to the task that it affects most.
  double added_load;
};

struct WorkerSummary {
  double worst_load = 0;  // Highest among the latency-critical tasks that serve requests.
  // Longest time that a latency-critical task has been over its target.
  Duration longest_over_target{0};
  std::vector<BestEffortRun> runs;
  Time last_change{};
};

WorkerSummary Summarise(const WorkerRow& worker, const Interference& interference, Time now) {
  WorkerSummary out;
  std::set<ImageId> images;       // Images of all latency-critical tasks.
  std::set<ImageId> over_images;  // Images of latency-critical tasks over target.
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    if (!step->long_running || step->target_latency_ms <= 0) continue;
    const TaskRow& task = job->tasks[ref.position];
    images.insert(job->ImageOf(ref.position));
    out.worst_load = std::max(out.worst_load, task.normalised_load);
    if (!task.over_target_since) continue;
    over_images.insert(job->ImageOf(ref.position));
    out.longest_over_target = std::max(out.longest_over_target, now - *task.over_target_since);
  }
  const auto& affected = over_images.empty() ? images : over_images;
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    const TaskRow& task = job->tasks[ref.position];
    if (!step->best_effort || task.stage != StartStage::kConfirmed || task.stopping) continue;
    double added_load = 0;
    for (const ImageId image : affected) {
      added_load =
          std::max(added_load, interference.InterferencePerCore(image, job->ImageOf(ref.position)));
    }
    added_load *= static_cast<double>(step->demand.millicores) / kMillicores;
    out.runs.push_back({.ref = ref, .task = &task, .added_load = added_load});
    out.last_change = std::max(out.last_change, task.speed_changed_at);
  }
  std::sort(out.runs.begin(), out.runs.end(), [](const BestEffortRun& a, const BestEffortRun& b) {
    return a.added_load > b.added_load;
  });
  return out;
}

std::vector<SpeedChange> SlowDown(const WorkerSummary& summary) {
  std::vector<SpeedChange> changes;
  double excess = summary.worst_load - kTargetLoad;
  for (const BestEffortRun& run : summary.runs) {
    if (excess <= 0 || run.added_load < kNegligibleLoad) break;
    if (run.task->speed_percent == 0) continue;
    const double current_load = run.added_load * run.task->speed_percent / kFullSpeed;
    const double kept_fraction = std::max(0.0, current_load - excess) / run.added_load;
    int percent = static_cast<int>(kept_fraction * kFullSpeed);
    if (percent < kMinSpeed) percent = 0;
    excess -= current_load - run.added_load * percent / kFullSpeed;
    changes.push_back({.task = run.ref, .percent = percent});
  }
  return changes;
}

std::vector<SpeedChange> SuspendAll(const WorkerSummary& summary) {
  std::vector<SpeedChange> changes;
  for (const BestEffortRun& run : summary.runs) {
    if (run.task->speed_percent > 0) changes.push_back({.task = run.ref, .percent = 0});
  }
  return changes;
}

// Speeds up throttled tasks in ascending order of interference, as far as the normalised loads of
// the latency-critical tasks allow.
std::vector<SpeedChange> SpeedUp(const WorkerSummary& summary) {
  std::vector<SpeedChange> changes;
  double available_load = kTargetLoad - summary.worst_load;
  for (auto run = summary.runs.rbegin(); run != summary.runs.rend(); ++run) {
    const int speed_percent = run->task->speed_percent;
    if (speed_percent >= kFullSpeed) continue;
    int percent = kFullSpeed;
    if (run->added_load >= kNegligibleLoad) {
      percent =
          std::min(kFullSpeed,
                   speed_percent + static_cast<int>(available_load / run->added_load * kFullSpeed));
      if (percent < speed_percent + kMinSpeed) continue;
    }
    available_load -= run->added_load * (percent - speed_percent) / kFullSpeed;
    changes.push_back({.task = run->ref, .percent = percent});
  }
  return changes;
}

}  // namespace

std::vector<SpeedChange> SpeedChanges(const WorkerRow& worker, const Interference& interference,
                                      const Policy& policy, Time now) {
  if (worker.best_effort_millicores == 0) return {};
  const WorkerSummary summary = Summarise(worker, interference, now);
  if (summary.longest_over_target >= policy->suspend_after) return SuspendAll(summary);
  if (now - summary.last_change < kSettling) return {};
  if (summary.longest_over_target >= policy->throttle_after) return SlowDown(summary);
  const bool under_target = summary.longest_over_target == Duration(0);
  if (under_target && now - summary.last_change >= policy->speed_up_after) return SpeedUp(summary);
  return {};
}

}  // namespace dn
