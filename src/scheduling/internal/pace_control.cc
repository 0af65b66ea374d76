// Throttling decisions for one worker.
#include "scheduling/internal/pace_control.h"

#include <algorithm>
#include <set>

namespace dn {
namespace {

// Least time between two changes on a worker, after which reports show the effect of the first: 0.5
// s of averaging, the delay of the report, and the time that the worker needs to apply the change.
constexpr Duration kSettling{700};
constexpr int kFullPace = 100;
constexpr int kMinPace = 10;  // Percent; a lower speed is set to 0.
// A best-effort task that adds less normalised load than this is not throttled.
constexpr double kNegligible = 0.02;
// Normalised load that throttling aims at.
constexpr double kAim = 0.93;
constexpr double kMillicores = 1'000;

struct Fill {
  TaskRef ref;
  const TaskRow* task;
  double harm;  // Normalised load at full speed that it adds to the task that it affects most.
};

struct Situation {
  double worst_pressure = 0;  // Highest among the latency-critical tasks that serve requests.
  Duration longest_over{0};   // Longest time that a latency-critical task has been over its target.
  std::vector<Fill> fills;
  Time last_change{};
};

Situation Survey(const WorkerRow& worker, const Interference& interference, Time now) {
  Situation out;
  std::set<ImageId> images;       // Images of all latency-critical tasks.
  std::set<ImageId> over_images;  // Images of those over their target.
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    if (!step->long_running || step->target_latency_ms <= 0) continue;
    const TaskRow& task = job->tasks[ref.position];
    images.insert(job->ImageOf(ref.position));
    out.worst_pressure = std::max(out.worst_pressure, task.pressure);
    if (!task.over_target_since) continue;
    over_images.insert(job->ImageOf(ref.position));
    out.longest_over = std::max(out.longest_over, now - *task.over_target_since);
  }
  const auto& affected = over_images.empty() ? images : over_images;
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    const TaskRow& task = job->tasks[ref.position];
    if (!step->fills || task.stage != StartStage::kConfirmed || task.stopping) continue;
    double harm = 0;
    for (const ImageId image : affected) {
      harm = std::max(harm, interference.HarmPerCore(image, job->ImageOf(ref.position)));
    }
    harm *= static_cast<double>(step->demand.millicores) / kMillicores;
    out.fills.push_back({.ref = ref, .task = &task, .harm = harm});
    out.last_change = std::max(out.last_change, task.paced);
  }
  std::sort(out.fills.begin(), out.fills.end(),
            [](const Fill& a, const Fill& b) { return a.harm > b.harm; });
  return out;
}

std::vector<PaceChange> Lower(const Situation& there) {
  std::vector<PaceChange> changes;
  double excess = there.worst_pressure - kAim;
  for (const Fill& fill : there.fills) {
    if (excess <= 0 || fill.harm < kNegligible) break;
    if (fill.task->pace == 0) continue;
    const double now_causes = fill.harm * fill.task->pace / kFullPace;
    const double kept = std::max(0.0, now_causes - excess) / fill.harm;
    int percent = static_cast<int>(kept * kFullPace);
    if (percent < kMinPace) percent = 0;
    excess -= now_causes - fill.harm * percent / kFullPace;
    changes.push_back({.task = fill.ref, .percent = percent});
  }
  return changes;
}

std::vector<PaceChange> StopAll(const Situation& there) {
  std::vector<PaceChange> changes;
  for (const Fill& fill : there.fills) {
    if (fill.task->pace > 0) changes.push_back({.task = fill.ref, .percent = 0});
  }
  return changes;
}

// Speeds tasks up, those with the least interference first, as far as the load below the target
// allows.
std::vector<PaceChange> Raise(const Situation& there) {
  std::vector<PaceChange> changes;
  double room = kAim - there.worst_pressure;
  for (auto fill = there.fills.rbegin(); fill != there.fills.rend(); ++fill) {
    const int pace = fill->task->pace;
    if (pace >= kFullPace) continue;
    int percent = kFullPace;
    if (fill->harm >= kNegligible) {
      percent = std::min(kFullPace, pace + static_cast<int>(room / fill->harm * kFullPace));
      if (percent < pace + kMinPace) continue;
    }
    room -= fill->harm * (percent - pace) / kFullPace;
    changes.push_back({.task = fill->ref, .percent = percent});
  }
  return changes;
}

}  // namespace

std::vector<PaceChange> PaceChanges(const WorkerRow& worker, const Interference& interference,
                                    const Policy& policy, Time now) {
  if (worker.fill_millicores == 0) return {};
  const Situation there = Survey(worker, interference, now);
  if (there.longest_over >= policy->harm_limit) return StopAll(there);
  if (now - there.last_change < kSettling) return {};
  if (there.longest_over >= policy->harm_patience) return Lower(there);
  const bool calm = there.longest_over == Duration(0);
  if (calm && now - there.last_change >= policy->raise_after) return Raise(there);
  return {};
}

}  // namespace dn
