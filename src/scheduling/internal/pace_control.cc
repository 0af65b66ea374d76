// Pace decisions for one worker.
#include "scheduling/internal/pace_control.h"

#include <algorithm>

namespace dn {
namespace {

// After a change, the next waits until reports show it: half a second of
// averaging, half of delay, and the time that the worker takes to apply it.
constexpr Duration kSettling{700};
constexpr int kFullPace = 100;
constexpr int kMinPace = 10;  // A step further down stops the fill.

struct Fill {
  TaskRef ref;
  const TaskRow* task;
  double harm;  // Summed over the serving tasks that are over target.
};

struct Situation {
  std::vector<const TaskRow*> over;             // Serving tasks over target.
  std::vector<const std::string*> over_images;  // Their images.
  Duration longest_over{0};
  std::vector<Fill> fills;
  bool any_paced = false;
  Time last_change{};
};

Situation Survey(const WorkerState& worker, const std::map<JobId, JobState>& jobs,
                 const Interference& interference, Time now) {
  Situation out;
  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = jobs.at(ref.job);
    const StepSpec& step = job.StepOf(ref.position);
    const TaskRow& task = job.tasks[ref.position];
    if (step->long_running && task.over_target_since) {
      out.over.push_back(&task);
      out.over_images.push_back(&step->image);
      out.longest_over = std::max(out.longest_over, now - *task.over_target_since);
    }
  }
  for (const TaskRef& ref : worker.tasks) {
    const JobState& job = jobs.at(ref.job);
    const StepSpec& step = job.StepOf(ref.position);
    const TaskRow& task = job.tasks[ref.position];
    if (!step->fills || task.stage != StartStage::kConfirmed || task.stopping) continue;
    double harm = 0;
    for (const std::string* image : out.over_images) harm += interference.Harm(*image, step->image);
    out.fills.push_back({.ref = ref, .task = &task, .harm = harm});
    if (task.pace < kFullPace) out.any_paced = true;
    out.last_change = std::max(out.last_change, task.paced);
  }
  return out;
}

}  // namespace

std::vector<PaceChange> PaceChanges(const WorkerState& worker,
                                    const std::map<JobId, JobState>& jobs,
                                    const Interference& interference, const Policy& policy,
                                    Time now) {
  std::vector<PaceChange> changes;
  if (worker.fill_millicores == 0) return changes;
  Situation now_there = Survey(worker, jobs, interference, now);
  if (now_there.over.empty()) {
    if (!now_there.any_paced || now - now_there.last_change < policy->raise_after) return changes;
    for (const Fill& fill : now_there.fills) {
      if (fill.task->pace >= kFullPace) continue;
      const int raised = fill.task->pace == 0 ? kMinPace : fill.task->pace * 2;
      changes.push_back({.task = fill.ref, .percent = std::min(kFullPace, raised)});
    }
    return changes;
  }
  if (now_there.longest_over >= policy->harm_limit) {
    for (const Fill& fill : now_there.fills) {
      if (fill.task->pace > 0) changes.push_back({.task = fill.ref, .percent = 0});
    }
    return changes;
  }
  if (now_there.longest_over < policy->harm_patience) return changes;
  if (now - now_there.last_change < kSettling) return changes;
  // The most harmful half of the fills that still work is slowed down.
  std::erase_if(now_there.fills, [](const Fill& fill) { return fill.task->pace == 0; });
  std::sort(now_there.fills.begin(), now_there.fills.end(),
            [](const Fill& a, const Fill& b) { return a.harm > b.harm; });
  now_there.fills.resize((now_there.fills.size() + 1) / 2);
  for (const Fill& fill : now_there.fills) {
    const int lowered = fill.task->pace / 2;
    changes.push_back({.task = fill.ref, .percent = lowered < kMinPace ? 0 : lowered});
  }
  return changes;
}

}  // namespace dn
