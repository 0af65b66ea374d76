// Keeps every job progressing: starts a task at reduced speed for a job whose tasks no worker
// accepts at full speed, and moves tasks that have been at speed 0 for long.
#include <algorithm>
#include <map>

#include "scheduling/internal/reduced_start.h"
#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Time at speed 0 after which a task is moved: the throttling speeds it up within 0.9 s where the
// load falls again, and half of the time without a run that the platform tolerates is left for the
// move.
constexpr Duration kMoveStoppedAfter{1'500};

// Largest number of reduced starts in one plan. Each is a search of all workers; with plans every
// 10 ms, 1,600 a second are more than the tasks that start at the peak.
constexpr int kMaxReducedStarts = 16;

}  // namespace

void Shard::UpdateIdleTime(JobRow& job, bool ready, Time now) {
  const bool has_run = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const TaskRow& task) {
    return task.phase == TaskPhase::kPlaced && task.stage == StartStage::kConfirmed &&
           !task.stopping && now - std::max(task.reported_at, task.confirmed_at) < kReportTimeout;
  });
  if (has_run || !ready) {
    job.without_run_since.reset();
  } else if (!job.without_run_since) {
    job.without_run_since = now;
  }
}

bool Shard::StartIsPending(const JobRow& job, Time now) const {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const TaskRow& task) {
    return task.phase == TaskPhase::kPlaced && !task.stopping &&
           now - task.phase_since < policy_->reduced_start_after;
  });
}

void Shard::PlaceReduced(const std::vector<Waiting>& waiting, Time now) {
  std::vector<const Waiting*> overdue;
  for (const Waiting& entry : waiting) {
    const JobRow& job = *entry.job;
    const StepSpec& step = job.accepted->spec->steps[entry.step];
    if (!step->best_effort || step->gang || !job.without_run_since) continue;
    if (now - *job.without_run_since >= policy_->reduced_start_after) overdue.push_back(&entry);
  }
  // The job that has been without a run for longest comes first, whatever its urgency, so that none
  // starves.
  std::stable_sort(overdue.begin(), overdue.end(), [](const Waiting* a, const Waiting* b) {
    return *a->job->without_run_since < *b->job->without_run_since;
  });
  SearchMemo memo;
  const PlacementView view{.interference = interference_, .policy = policy_, .now = now};
  std::map<std::string, ReducedStartLimits> limits;  // By service.
  int started = 0;
  for (const Waiting* entry : overdue) {
    JobRow& job = *entry->job;
    const StepSpec& step = job.accepted->spec->steps[entry->step];
    const std::string& service = job.accepted->queue->service;
    if (StartIsPending(job, now) || memo.WillFail(service, step, job.images[entry->step])) continue;
    if (limits.count(service) == 0) {
      limits[service] = ReducedStartLimitsFor(UnusedFraction(workers_, service, view));
    }
    if (PlaceOneReduced(*entry, limits[service], now)) {
      if (++started == kMaxReducedStarts) return;
    } else {
      memo.RecordFailure(service, step, job.images[entry->step]);
    }
  }
}

void Shard::MoveThrottled(Time now) {
  SearchMemo memo;
  for (auto& [id, worker] : workers_.workers()) {
    if (worker.best_effort_millicores == 0) continue;
    for (const auto& [ref, job] : worker.tasks) {
      const StepSpec& step = job->StepOf(ref.position);
      const TaskRow& task = job->tasks[ref.position];
      if (!step->best_effort || task.stage != StartStage::kConfirmed || task.stopping) continue;
      if (task.speed_percent > 0 || now - task.speed_changed_at < kMoveStoppedAfter) continue;
      const std::string& service = job->accepted->queue->service;
      const ImageId image = job->ImageOf(ref.position);
      if (!WorthMoving(*job, ref.position) || memo.WillFail(service, step, image)) continue;
      MoveIfSlow(*job, ref.position, now);
      if (task.stopping) return;  // The next one must not rely on the same room.
      memo.RecordFailure(service, step, image);
    }
  }
}

bool Shard::PlaceOneReduced(const Waiting& waiting, const ReducedStartLimits& limits, Time now) {
  JobRow& job = *waiting.job;
  const auto [first, last] = job.RangeOf(waiting.occurrence, waiting.step);
  std::size_t position = first;
  while (position < last && (job.tasks[position].phase != TaskPhase::kWaiting ||
                             job.tasks[position].not_before > now)) {
    ++position;
  }
  if (position == last) return false;
  const PlacementView view{.interference = interference_, .policy = policy_, .now = now};
  WorkerRow* best = nullptr;
  ReducedStart best_start;
  for (auto& [id, worker] : workers_.workers()) {
    ++workers_evaluated_;
    if (RefusalOf(worker, job, position, now) || !MayUse(worker, job, position, now)) continue;
    const ReducedStartOffer offer =
        ReducedStartOn(worker, job.StepOf(position), job.ImageOf(position), limits, view);
    const auto* const start = std::get_if<ReducedStart>(&offer);
    if (start == nullptr) continue;
    const bool better = best == nullptr || start->speed_percent > best_start.speed_percent ||
                        (start->speed_percent == best_start.speed_percent &&
                         start->expected_load < best_start.expected_load);
    const bool both_cold_or_warm = best == nullptr || worker.IsCold(now) == best->IsCold(now);
    if (both_cold_or_warm ? !better : worker.IsCold(now)) continue;
    best = &worker;
    best_start = *start;
  }
  if (best == nullptr) return false;
  Place(job, position, *best, now);
  TaskRow& task = job.tasks[position];
  task.reduced_start = true;
  task.speed_percent = best_start.speed_percent;
  task.speed_changed_at = now;
  task.speed_orders.acknowledged = false;
  throttling_.insert({.job = job.accepted->id, .position = position});
  Decide("reduced-start", FormatTaskKey(job.KeyOf(position)),
         "worker=" + best->entry->id.value + " to=" + std::to_string(best_start.speed_percent) +
             " waited_ms=" + std::to_string((now - *job.without_run_since).count()));
  return true;
}

}  // namespace dn
