// Planning of a shard: which tasks start on which workers, which tasks move, and at which speed
// best-effort tasks run.
#include <algorithm>

#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Full speed; also the progress that a latency-critical task reports while it serves requests.
constexpr int kFullPercent = 100;
// Limits in percent. A best-effort task below the slow speed is moved if its placement rule
// accepts it on some worker, unless the task is nearly done or would lose more than a little
// progress.
constexpr int kSlowSpeed = 50;
constexpr int kNearlyDone = 85;
constexpr int kLittleProgress = 15;
// Period of the search for stalled tasks and lost workers. They are detected only after seconds, so
// a tenth of a second is short enough.
constexpr Duration kSweepPeriod{100};
// Longest period between two evaluations of the throttling on a worker without a new report.
// Without one the result changes with time only, in tenths of seconds.
constexpr Duration kThrottlingPeriod{100};
// How long after the deletion of a job a read of the submitted jobs may still return it. A read of
// more than 1 s ends with the changes since its first page. Only a deletion after the request for
// the last page of these is missing: 20 s is enough for the largest page at a twentieth of a link
// of 10 Mbit/s.
constexpr Duration kLateReadLimit{20'000};
// Longest time from its first plan for which a new owner waits for the first reports before it
// starts tasks: three round trips of 100 ms between regions and a retry after 200 ms. A silent
// worker delays the shard by no more than this.
constexpr Duration kFirstReportsLimit{500};

}  // namespace

void Shard::Plan(Time now, std::int64_t wall_ms) {
  if (now - last_sweep_ >= kSweepPeriod) {
    last_sweep_ = now;
    ReleaseLostWorkers(now);
    open_losses_.Expire(now);
    ReleaseSilentWorkers(now);
    MoveStalled(now);
    MoveThrottled(now);
    ClearSuspects(now);
    WithdrawAllEvacuated(now);
    CollectOpenJobs(now);
  }
  if (MaySendStarts(now)) PlaceWaiting(now, wall_ms);
  ControlThrottling(now);
}

void Shard::PlaceWaiting(Time now, std::int64_t wall_ms) {
  HoldWorkers(now);
  UpdateOverload(now, wall_ms);
  SearchMemo memo;
  const std::vector<Waiting> all_waiting = CollectWaiting(now, wall_ms);
  for (const Waiting& waiting : all_waiting) {
    const StepSpec& step = waiting.job->accepted->spec->steps[waiting.step];
    if (step->gang) {
      PlaceGang(waiting, memo, now);
    } else {
      PlaceStep(waiting, memo, now);
    }
  }
  PlaceReduced(all_waiting, now);
}

void Shard::ReleaseLostWorkers(Time now) {
  // Blame depends on how many workers are gone, so they are noted first.
  const auto ended_on = [&](const WorkerRow& worker) {
    std::vector<TaskRef> ended;
    for (const auto& [ref, job] : worker.tasks) {
      if (HasEndedUnreported(job->tasks[ref.position], worker, policy_, now)) ended.push_back(ref);
    }
    return ended;
  };
  for (const auto& [id, worker] : workers_.workers()) {
    const bool lost = workers_.IsLost(worker, now) && !worker.entry->draining;
    if (lost && !ended_on(worker).empty()) losses_.Add(id, now);
  }
  for (auto entry = workers_.workers().begin(); entry != workers_.workers().end();) {
    WorkerRow& worker = entry->second;
    if (!workers_.IsLost(worker, now)) {
      ++entry;
      continue;
    }
    const std::vector<TaskRef> lost = ended_on(worker);
    if (!worker.entry->draining) {
      CountCrash(worker, lost,
                 worker.replaced ? CrashEvidence::kReplaced : CrashEvidence::kLeaseExpired, now);
    }
    for (const TaskRef& ref : lost) {
      JobRow& job = *jobs_.Find(ref.job);
      if (job.tasks[ref.position].phase != TaskPhase::kPlaced) continue;
      Decide("task-lost", FormatTaskKey(job.KeyOf(ref.position)),
             ToText(MakeLostRun(job.tasks[ref.position], worker, "lease-over", token_,
                                ReportAge(worker, now), now)));
      Unplace(job, ref.position, TaskPhase::kWaiting, now);
    }
    if (!worker.tasks.empty()) {
      ++entry;
      continue;
    }
    Decide("worker-gone", entry->first.value, "tasks=" + std::to_string(lost.size()));
    entry = workers_.Erase(entry);
  }
}

void Shard::MoveStalled(Time now) {
  for (auto& [id, worker] : workers_.workers()) {
    const bool leaving = worker.entry->draining;
    const bool leaving_soon = leaving && now + 2 * policy_->max_stop_time >= worker.leaves_at;
    bool stalled = false;
    for (const auto& [ref, row] : worker.tasks) {
      JobRow& job = *row;
      TaskRow& task = job.tasks[ref.position];
      if (task.stage == StartStage::kSent && now - task.start_sent_at >= policy_->slow_response) {
        worker.avoid_until = std::max(worker.avoid_until, now + kSweepPeriod + kSweepPeriod);
        // The next report tells whether the run has begun, and that it cannot begin later.
        if (task.starts_sent > 0) worker.calls.Unanswered(task.start_series);
      }
      if (task.stage != StartStage::kConfirmed || task.stopping) continue;
      const StepSpec& step = job.StepOf(ref.position);
      const bool task_stalled =
          !step->gang && task.progress < kFullPercent && task.speed_percent >= kFullPercent &&
          task.speed_orders.acknowledged && now - task.last_progress_at > policy_->stall_limit &&
          worker.last_report > task.last_progress_at + policy_->stall_limit;
      stalled = stalled || task_stalled;
      if (task_stalled || (leaving && step->long_running) ||
          (leaving_soon && step->checkpointing)) {
        Stop(job, ref.position);
        Decide("task-moved", FormatTaskKey(job.KeyOf(ref.position)),
               "worker=" + id.value +
                   (task_stalled ? " cause=stalled progress=" : " cause=draining progress=") +
                   std::to_string(task.progress));
      }
    }
    if (stalled) worker.avoid_until = std::max(worker.avoid_until, now + policy_->quarantine);
  }
}

void Shard::CollectOpenJobs(Time now) {
  std::erase_if(deleted_, [&](const auto& entry) { return now - entry.second > kLateReadLimit; });
  open_jobs_.clear();
  for (auto& [id, job] : jobs_.jobs()) {
    if (job.phase == JobPhase::kOpen) {
      open_jobs_.push_back(&job);
      continue;
    }
    const bool retention_over =
        job.finished_at && now - *job.finished_at > policy_->finished_retention;
    const bool placed = job.waiting + job.done < job.tasks.size();
    if (retention_over && !placed && !job.dirty && !job.deletion_taken) expired_.insert(id);
  }
}

std::vector<Shard::Waiting> Shard::CollectWaiting(Time now, std::int64_t wall_ms) {
  std::vector<Waiting> out;
  for (JobRow* const open_job : open_jobs_) {
    JobRow& job = *open_job;
    if (job.phase != JobPhase::kOpen) continue;
    if (job.accepted->spec->occurrences > 0) jobs_.AddDueOccurrences(job, wall_ms);
    if (job.waiting == 0) {
      if (job.without_run_since) UpdateIdleTime(job, true, now);
      continue;
    }
    if (job.accepted->queue->needs_advice) {
      if (!advice_reported_) {
        Decide("advice-not-supported", FormatJobId(job.accepted->id), "waits");
      }
      advice_reported_ = true;
      continue;
    }
    const std::int64_t age = wall_ms - job.accepted->accepted_ms;
    const std::size_t steps_before = out.size();
    for (std::size_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
      for (std::size_t step = 0; step < job.step_offset.size(); ++step) {
        const auto [first, last] = job.RangeOf(occurrence, step);
        const bool has_waiting = std::any_of(
            job.tasks.begin() + static_cast<std::ptrdiff_t>(first),
            job.tasks.begin() + static_cast<std::ptrdiff_t>(last), [&](const TaskRow& task) {
              return task.phase == TaskPhase::kWaiting && task.not_before <= now;
            });
        if (!has_waiting || !job.StepReady(occurrence, step)) continue;
        out.push_back({.job = &job,
                       .occurrence = occurrence,
                       .step = step,
                       .urgency = UrgencyOf(job, step, age)});
      }
    }
    UpdateIdleTime(job, out.size() > steps_before, now);
  }
  std::erase_if(out, [&, unreported = UnreportedServices(now)](const Waiting& waiting) {
    return waiting.job->received_at <= first_plan_ &&
           unreported.count(waiting.job->accepted->queue->service) > 0;
  });
  std::sort(out.begin(), out.end());
  ShareRoom(out, now);
  return out;
}

void Shard::ShareRoom(std::vector<Waiting>& waiting, Time now) const {
  std::map<std::string, RoomShare> shares;  // Of the services with waiting latency-critical steps.
  for (const Waiting& step : waiting) {
    if (!step.urgency.latency_critical) continue;
    const Queue& queue = step.job->accepted->queue;
    shares[queue->service].AddWaiting(queue->priority);
  }
  if (shares.empty()) return;
  for (const auto& [id, worker] : workers_.workers()) {
    const auto share = shares.find(worker.entry->service);
    if (share != shares.end()) share->second.Add(worker);
  }
  for (Waiting& step : waiting) {
    const Queue& queue = step.job->accepted->queue;
    const StepSpec& spec = step.job->accepted->spec->steps[step.step];
    const auto share = shares.find(queue->service);
    if (share == shares.end() || step.urgency.latency_critical || step.urgency.no_value ||
        spec->best_effort) {
      continue;
    }
    const auto [first, last] = step.job->RangeOf(step.occurrence, step.step);
    const auto ready = std::count_if(
        step.job->tasks.begin() + static_cast<std::ptrdiff_t>(first),
        step.job->tasks.begin() + static_cast<std::ptrdiff_t>(last), [now](const TaskRow& task) {
          return task.phase == TaskPhase::kWaiting && task.not_before <= now;
        });
    step.urgency.shares_room =
        share->second.TakePrecedence(queue->priority, ready * spec->demand.millicores);
  }
  std::stable_sort(waiting.begin(), waiting.end());
}

std::set<std::string> Shard::UnreportedServices(Time now) {
  std::set<std::string> services;
  first_plan_ = std::min(first_plan_, now);
  if (now - first_plan_ >= kFirstReportsLimit) return services;
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.listed && !worker.confirmed) services.insert(worker.entry->service);
  }
  return services;
}

std::string Shard::PreferredRack(const JobRow& job, std::size_t position) {
  const StepSpec& step = job.StepOf(position);
  if (!step->same_rack || !step->data_rack.empty()) return step->data_rack;
  const TaskKey key = job.KeyOf(position);
  const auto [first, last] =
      job.RangeOf(static_cast<std::size_t>(key.occurrence), static_cast<std::size_t>(key.step));
  for (std::size_t i = first; i < last; ++i) {
    if (job.tasks[i].phase != TaskPhase::kPlaced) continue;
    const WorkerRow* const peer = workers_.Find(job.tasks[i].worker);
    if (peer != nullptr && !peer->entry->rack.empty()) return peer->entry->rack;
  }
  return {};
}

std::optional<double> Shard::CostOn(const WorkerRow& worker, const JobRow& job,
                                    std::size_t position, const std::string& rack, Time now) {
  // Added cost of a worker on another rack than the data or the step's other tasks.
  constexpr double kOffRackCost = 10;
  // Added cost of a cold worker: above all other costs, so that it is used after the warm ones.
  constexpr double kColdCost = 1'000;
  ++workers_evaluated_;
  if (!MayUse(worker, job, position, now)) return std::nullopt;
  const PlacementView view{.interference = interference_, .policy = policy_, .now = now};
  const PlacementCost offered = CostOf(worker, job, position, view);
  const double* const rule_cost = std::get_if<double>(&offered);
  if (rule_cost == nullptr) return std::nullopt;
  // Another crash under a suspect should cost as few runs as possible.
  const double base_cost =
      IsSuspect(job, position) ? static_cast<double>(worker.tasks.size()) : *rule_cost;
  const bool off_rack = !rack.empty() && worker.entry->rack != rack;
  return base_cost + (off_rack ? kOffRackCost : 0) + (worker.IsCold(now) ? kColdCost : 0);
}

WorkerRow* Shard::BestWorker(const JobRow& job, std::size_t position, Time now) {
  return RankWorkers(job, position, now).Best();
}

WorkerRanking Shard::RankWorkers(const JobRow& job, std::size_t position, Time now) {
  WorkerRanking ranking;
  const std::string rack = PreferredRack(job, position);
  for (auto& [id, worker] : workers_.workers()) {
    if (const auto cost = CostOn(worker, job, position, rack, now)) ranking.Add(worker, *cost);
  }
  return ranking;
}

void Shard::Place(JobRow& job, std::size_t position, WorkerRow& worker, Time now) {
  TaskRow& task = job.tasks[position];
  task.run = std::max(task.run, task.other_run) + 1;
  task.placement = ++placements_;
  task.worker = worker.entry->id;
  task.worker_start_time_ms = worker.start_time_ms;
  task.stage = StartStage::kUnrecorded;
  task.shown_at = Time();
  if (IsSuspect(job, position)) {
    RunHistory& history = job.tasks[job.CountedPosition(position)].history;
    history = history.With([&](RunHistoryFields& fields) { fields.isolated_run = task.run; });
  }
  task.progress = 0;
  task.last_progress_at = now;
  task.observed = 0;
  task.normalised_load = 0;
  task.speed_changed_at = Time();
  WorkerTable::Reserve(worker, job, position);
  jobs_.SetPhase(job, position, TaskPhase::kPlaced, now);
  planned_.push_back(job.KeyOf(position));
}

bool Shard::LimitPerWorkerReached(const JobRow& job, std::size_t position, Time now) const {
  if (job.StepOf(position)->max_per_worker == 0) return false;
  return std::any_of(workers_.workers().begin(), workers_.workers().end(), [&](const auto& entry) {
    return RefusalOf(entry.second, job, position, now) == PlacementRefusal::kSpread;
  });
}

void Shard::PlaceStep(const Waiting& waiting, SearchMemo& memo, Time now) {
  JobRow& job = *waiting.job;
  const StepSpec& step = job.accepted->spec->steps[waiting.step];
  const std::string& service = job.accepted->queue->service;
  const ImageId image = job.images[waiting.step];
  // A search that failed says nothing of suspects: workers may be held for them.
  bool no_room = memo.WillFail(service, step, image);
  // Set if the previous task was placed on its best worker and the next one is alike.
  std::optional<WorkerRanking> ranking;
  const auto [first, last] = job.RangeOf(waiting.occurrence, waiting.step);
  for (std::size_t i = first; i < last; ++i) {
    if (no_room && holders_.empty()) return;
    const TaskRow& task = job.tasks[i];
    if (task.phase != TaskPhase::kWaiting || task.not_before > now) continue;
    if (task.suspect ? holders_.count({.job = job.accepted->id, .position = i}) == 0 : no_room) {
      continue;
    }
    if (task.suspect) ranking.reset();
    if (ranking) {
      ranking->UpdateBest(CostOn(*ranking->Best(), job, i, step->data_rack, now));
    } else {
      ranking = RankWorkers(job, i, now);
    }
    WorkerRow* worker = ranking->Best();
    if (worker == nullptr) {
      ranking.reset();
      if (task.suspect) continue;
      memo.RecordFailure(service, step, image, LimitPerWorkerReached(job, i, now));
      no_room = true;  // The other tasks of the step need the same resources.
      continue;
    }
    Place(job, i, *worker, now);
    if (task.suspect || step->same_rack) ranking.reset();
  }
}

bool Shard::PlaceGang(const Waiting& waiting, SearchMemo& memo, Time now) {
  JobRow& job = *waiting.job;
  const StepSpec& step = job.accepted->spec->steps[waiting.step];
  const std::string& service = job.accepted->queue->service;
  const ImageId image = job.images[waiting.step];
  // A search that failed says nothing of suspects: workers may be held for them.
  if (holders_.empty() && memo.WillFail(service, step, image)) return false;
  const auto [first, last] = job.RangeOf(waiting.occurrence, waiting.step);
  int run = 0;
  for (std::size_t i = first; i < last; ++i) {
    const TaskRow& task = job.tasks[i];
    if (task.phase != TaskPhase::kWaiting || task.not_before > now) return false;
    run = std::max({run, task.run, task.other_run});
  }
  const std::size_t planned_before = planned_.size();
  for (std::size_t i = first; i < last; ++i) {
    WorkerRow* worker = BestWorker(job, i, now);
    if (worker == nullptr) {
      planned_.resize(planned_before);
      for (std::size_t j = first; j < i; ++j) Unplace(job, j, TaskPhase::kWaiting, now);
      if (i == first && !IsSuspect(job, i)) {
        memo.RecordFailure(service, step, image, LimitPerWorkerReached(job, i, now));
      }
      return false;
    }
    job.tasks[i].run = run;  // All tasks of a gang have the same run number.
    Place(job, i, *worker, now);
  }
  return true;
}

RunGaps Shard::CheckRunGaps(Time now, std::int64_t wall_ms) {
  const StartRestrictions restrictions{
      .owned = MaySendStarts(now),
      .is_held_for = [&](const TaskRef& group) { return holders_.count(group) > 0; },
      .may_use = [&](const WorkerRow& worker, const JobRow& job,
                     std::size_t position) { return MayUse(worker, job, position, now); }};
  return run_gaps_.Check(jobs_, workers_,
                         {.interference = interference_, .policy = policy_, .now = now}, wall_ms,
                         restrictions);
}

void Shard::ControlThrottling(Time now) {
  for (auto& [id, worker] : workers_.workers()) {
    if (worker.last_report <= worker.throttling_checked_at &&
        now - worker.throttling_checked_at < kThrottlingPeriod)
      continue;
    worker.throttling_checked_at = now;
    for (const SpeedChange& change : SpeedChanges(worker, interference_, policy_, now)) {
      JobRow& job = *jobs_.Find(change.task.job);
      TaskRow& task = job.tasks[change.task.position];
      const TaskKey key = job.KeyOf(change.task.position);
      Decide("pace", FormatTaskKey(key),
             "worker=" + id.value + " from=" + std::to_string(task.speed_percent) +
                 " to=" + std::to_string(change.percent));
      task.speed_percent = change.percent;
      task.speed_changed_at = now;
      task.last_progress_at = now;
      task.speed_orders.acknowledged = false;
      throttling_.insert(change.task);
      MoveIfSlow(job, change.task.position, now);
    }
  }
}

bool Shard::WorthMoving(const JobRow& job, std::size_t position) {
  const TaskRow& task = job.tasks[position];
  const StepSpec& step = job.StepOf(position);
  const bool keeps_progress = step->checkpointing || task.progress <= kLittleProgress;
  const bool slow_and_unfinished = task.speed_percent < kSlowSpeed && task.progress < kNearlyDone;
  return keeps_progress && slow_and_unfinished && !step->gang;
}

void Shard::MoveIfSlow(JobRow& job, std::size_t position, Time now) {
  const TaskRow& task = job.tasks[position];
  if (!WorthMoving(job, position)) return;
  if (BestWorker(job, position, now) == nullptr) return;
  Stop(job, position);
  Decide("task-moved", FormatTaskKey(job.KeyOf(position)),
         "worker=" + task.worker.value + " cause=harm progress=" + std::to_string(task.progress));
}

}  // namespace dn
