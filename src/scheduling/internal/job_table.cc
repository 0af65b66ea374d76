// Maintains the table of jobs and tasks.
#include "scheduling/internal/job_table.h"

#include <algorithm>

namespace dn {
namespace {

// Returns, by step, the longest path to the end of the job by estimated run time. Steps depend on
// earlier steps only.
std::vector<std::int64_t> CriticalPathsFrom(const std::vector<StepSpec>& steps) {
  std::vector<std::int64_t> paths(steps.size(), 0);
  for (std::size_t i = steps.size(); i-- > 0;) {
    paths[i] += steps[i]->estimate_ms;
    for (const int earlier : steps[i]->after) {
      std::int64_t& before = paths[static_cast<std::size_t>(earlier)];
      before = std::max(before, paths[i]);
    }
  }
  return paths;
}

}  // namespace

std::size_t JobRow::PositionOf(const TaskKey& key) const {
  const auto step = static_cast<std::size_t>(key.step);
  return static_cast<std::size_t>(key.occurrence) * tasks_per_occurrence + step_offset[step] +
         static_cast<std::size_t>(key.index);
}

TaskKey JobRow::KeyOf(std::size_t position) const {
  const std::size_t within = position % tasks_per_occurrence;
  const std::size_t step = step_of[within];
  return {.job = accepted->id,
          .occurrence = static_cast<int>(position / tasks_per_occurrence),
          .step = static_cast<int>(step),
          .index = static_cast<int>(within - step_offset[step])};
}

std::size_t JobRow::CountedPosition(std::size_t position) const {
  if (!StepOf(position)->gang) return position;
  return position - position % tasks_per_occurrence + step_offset[StepIndexOf(position)];
}

std::pair<std::size_t, std::size_t> JobRow::RangeOf(std::size_t occurrence,
                                                    std::size_t step) const {
  const std::size_t first = occurrence * tasks_per_occurrence + step_offset[step];
  return {first, first + static_cast<std::size_t>(accepted->spec->steps[step]->count)};
}

bool JobRow::StepDone(std::size_t occurrence, std::size_t step) const {
  const auto [first, last] = RangeOf(occurrence, step);
  return std::all_of(tasks.begin() + static_cast<std::ptrdiff_t>(first),
                     tasks.begin() + static_cast<std::ptrdiff_t>(last),
                     [](const TaskRow& task) { return task.phase == TaskPhase::kDone; });
}

bool JobRow::StepReady(std::size_t occurrence, std::size_t step) const {
  const std::vector<int>& after = accepted->spec->steps[step]->after;
  return std::all_of(after.begin(), after.end(), [&](int earlier) {
    return StepDone(occurrence, static_cast<std::size_t>(earlier));
  });
}

std::int64_t JobRow::objective_ms() const {
  return static_cast<std::int64_t>(accepted->queue->stretch *
                                   static_cast<double>(critical_path_ms)) +
         accepted->queue->target_latency_ms;
}

bool JobTable::Accept(const AcceptedJob& accepted, Time now) {
  const auto [entry, added] = jobs_.try_emplace(accepted->id);
  if (!added) return false;
  JobRow& job = entry->second;
  job.accepted = accepted;
  job.received_at = now;
  for (const StepSpec& step : accepted->spec->steps) {
    job.step_of.insert(job.step_of.end(), static_cast<std::size_t>(step->count),
                       job.step_offset.size());
    job.step_offset.push_back(job.tasks_per_occurrence);
    job.images.push_back(images_.Of(step->image));
    job.tasks_per_occurrence += static_cast<std::size_t>(step->count);
  }
  job.critical_path_from_ms = CriticalPathsFrom(accepted->spec->steps);
  for (const std::int64_t path : job.critical_path_from_ms) {
    job.critical_path_ms = std::max(job.critical_path_ms, path);
  }
  if (accepted->spec->occurrences == 0) {
    job.tasks.resize(job.tasks_per_occurrence);
    job.waiting = job.tasks.size();
  }
  return true;
}

void JobTable::AddDueOccurrences(JobRow& job, std::int64_t wall_ms) {
  const JobSpec& spec = job.accepted->spec;
  while (job.occurrences() < static_cast<std::size_t>(spec->occurrences)) {
    const std::int64_t due =
        spec->first_due_ms + static_cast<std::int64_t>(job.occurrences()) * spec->interval_ms;
    if (wall_ms < due) return;
    job.tasks.resize(job.tasks.size() + job.tasks_per_occurrence);
    job.waiting += job.tasks_per_occurrence;
  }
}

void JobTable::Restore(const JobProgress& progress, Time now) {
  JobRow* job = Find(progress->id);
  if (job == nullptr) return;
  if (job->tasks.size() < progress->tasks.size()) job->tasks.resize(progress->tasks.size());
  job->done = 0;
  job->waiting = 0;
  for (std::size_t i = 0; i < progress->tasks.size(); ++i) {
    const TaskProgress& from = progress->tasks[i];
    TaskRow& task = job->tasks[i];
    task = TaskRow();
    task.phase = from->phase;
    task.run = from->run;
    task.failures = from->failures;
    task.worker = {from->worker};
    task.worker_start_time_ms = from->worker_start_time_ms;
    task.checkpoint = from->checkpoint;
    task.phase_since = now;
    task.last_progress_at = now;
    task.stage = StartStage::kSent;
    task.inherited = from->phase == TaskPhase::kPlaced;
    if (from->run > 0) job->has_earlier_intent = true;
    // The run number is no evidence: an intent is recorded before its start is sent.
    if (from->phase == TaskPhase::kDone || from->failures > 0 || !from->checkpoint.empty()) {
      job->begun = true;
    }
  }
  for (const TaskRow& task : job->tasks) {
    if (task.phase == TaskPhase::kDone) ++job->done;
    if (task.phase == TaskPhase::kWaiting) ++job->waiting;
  }
  job->phase = progress->phase;
  job->recorded_phase = progress->phase;
  if (job->phase != JobPhase::kOpen) job->finished_at = now;
}

JobRow* JobTable::Find(JobId id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const JobRow* JobTable::Find(JobId id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

TaskRow* JobTable::Find(const TaskKey& key) {
  JobRow* job = Find(key.job);
  if (job == nullptr || key.step < 0 || key.occurrence < 0 || key.index < 0) return nullptr;
  if (static_cast<std::size_t>(key.step) >= job->step_offset.size()) return nullptr;
  if (key.index >= job->accepted->spec->steps[static_cast<std::size_t>(key.step)]->count) {
    return nullptr;
  }
  const std::size_t position = job->PositionOf(key);
  return position < job->tasks.size() ? &job->tasks[position] : nullptr;
}

void JobTable::SetPhase(JobRow& job, std::size_t position, TaskPhase phase, Time now) {
  TaskRow& task = job.tasks[position];
  if (task.phase == TaskPhase::kDone) --job.done;
  if (task.phase == TaskPhase::kWaiting) --job.waiting;
  if (phase == TaskPhase::kDone) ++job.done;
  if (phase == TaskPhase::kWaiting) ++job.waiting;
  task.phase = phase;
  task.phase_since = now;
  MarkDirty(job);
}

void JobTable::MarkDirty(JobRow& job) {
  if (job.dirty) return;
  job.dirty = true;
  dirty_.insert(job.accepted->id);
}

void JobTable::ClearDirty() {
  for (const JobId id : dirty_) {
    if (JobRow* job = Find(id)) job->dirty = false;
  }
  dirty_.clear();
}

void JobTable::Erase(JobId id) {
  jobs_.erase(id);
  dirty_.erase(id);
}

JobProgress JobTable::ProgressOf(const JobRow& job) {
  JobProgressFields progress{.id = job.accepted->id, .phase = job.phase, .tasks = {}};
  progress.tasks.reserve(job.tasks.size());
  for (const TaskRow& task : job.tasks) {
    progress.tasks.emplace_back(
        TaskProgressFields{.phase = task.phase,
                           .run = task.run,
                           .failures = task.failures,
                           .worker = task.worker.value,
                           .worker_start_time_ms = task.worker_start_time_ms,
                           .checkpoint = task.checkpoint});
  }
  return JobProgress(std::move(progress));
}

JobCrashes JobTable::CrashesOf(const JobRow& job) {
  JobCrashesFields crashes{.id = job.accepted->id, .tasks = {}};
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const TaskRow& task = job.tasks[i];
    // Without losses the rest of the history matters only to jobs that have had some, and to gangs
    // of which another member may still end as failed.
    const bool matters = task.history->crashes > 0 ||
                         (task.history->ended_otherwise && job.has_crash_record) ||
                         (task.history->failed_run > 0 && job.StepOf(i)->gang);
    if (!matters || task.phase == TaskPhase::kDone) continue;
    crashes.tasks.emplace_back(TaskCrashesFields{.position = i, .history = task.history});
  }
  return JobCrashes(std::move(crashes));
}

}  // namespace dn
