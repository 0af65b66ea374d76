// Decisions of a shard's owner on workers that crash and on the tasks that were running there.
#include <algorithm>
#include <iterator>
#include <tuple>

#include "scheduling/internal/crash_blame.h"
#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Largest number of workers that are kept free of other starts for suspects at the same time: a
// bound on the cost of a plan.
constexpr std::size_t kMaxHeldWorkers = 64;

// Returns whether the task could be placed on `worker` once tasks there have ended.
bool CouldFit(const WorkerRow& worker, const JobRow& job, std::size_t position) {
  const StepSpec& step = job.StepOf(position);
  const WorkerEntry& entry = worker.entry;
  if (!worker.listed || entry->draining || !worker.confirmed || worker.silent_since) return false;
  if (worker.evacuated || entry->service != job.accepted->queue->service) return false;
  if (!step->required_label.empty() && !worker.HasLabel(step->required_label)) return false;
  return entry->capacity.memory_mb >= step->demand.memory_mb &&
         entry->capacity.accelerators >= step->demand.accelerators &&
         entry->capacity.millicores - worker.latency_critical_millicores >= step->demand.millicores;
}

}  // namespace

void Shard::MarkRunsOfIncarnation(const WorkerRow& worker, const RunReport& report) {
  const auto mark = [&](const TaskKey& key, int run) {
    TaskRow* const task = jobs_.Find(key);
    if (task == nullptr || task->phase != TaskPhase::kPlaced) return;
    if (task->worker != worker.entry->id || task->run != run) return;
    task->worker_start_time_ms = report->start_time_ms;
  };
  for (const ReportedRun& run : report->running) mark(run->task, run->run);
  for (const ReportedEnd& end : report->ended) mark(end->task, end->run);
}

void Shard::HandleRestart(WorkerRow& worker, std::int64_t start_time_ms, Time now) {
  std::vector<TaskRef> lost;
  for (const auto& [ref, job] : worker.tasks) {
    const std::int64_t placed_in = job->tasks[ref.position].worker_start_time_ms;
    if (placed_in != 0 && placed_in != start_time_ms && placed_in != worker.drained_start_time_ms) {
      lost.push_back(ref);
    }
  }
  CountCrash(worker, lost, CrashEvidence::kRestarted, now);
  for (const TaskRef& ref : lost) {
    JobRow& job = *jobs_.Find(ref.job);
    TaskRow& task = job.tasks[ref.position];
    if (task.phase != TaskPhase::kPlaced) continue;
    if (task.stage == StartStage::kUnrecorded) {
      Unplace(job, ref.position, TaskPhase::kWaiting, now);
      continue;
    }
    // An open copy of the start may be carried out by the new incarnation, until that refuses it.
    // Starts of earlier owners are refused from now on.
    const std::optional<Time> open_until = OpenUntil(task);
    if (!open_until || now >= *open_until || task.inherited) continue;
    task.stage = StartStage::kSent;
    task.worker_start_time_ms = start_time_ms;
    task.revoked_at.reset();
  }
}

void Shard::RenewalFailed(const WorkerId& id, bool timed_out, Time now) {
  WorkerRow* const worker = workers_.Find(id);
  if (worker == nullptr) return;
  NoteUnanswered(id, "renewal", TokenOf(token_, worker->calls.renewal_series()), now);
  if (worker->silent_since) return;
  worker->silent_since = now;
  // Only a broken connection tells when the worker ceased to respond.
  if (timed_out) return;
  worker->connection_broke = true;
  for (const auto& [ref, row] : worker->tasks) {
    JobRow& job = *row;
    const TaskRow& task = job.tasks[ref.position];
    const bool sent_by_this_owner = task.placement > 0 && task.stage != StartStage::kUnrecorded;
    if (!sent_by_this_owner || now - task.start_sent_at > kSuspectPeriod) continue;
    SetEarlyRun(job, ref.position, task.run);
  }
}

void Shard::SetEarlyRun(JobRow& job, std::size_t position, int run) {
  RunHistory& history = job.tasks[job.CountedPosition(position)].history;
  history = history.With([&](RunHistoryFields& fields) { fields.early_run = run; });
  jobs_.MarkDirty(job);
}

void Shard::HeardAgain(WorkerRow& worker) {
  for (const auto& [ref, row] : worker.tasks) {
    JobRow& job = *row;
    const TaskRow& task = job.tasks[ref.position];
    const RunHistory& counted = job.tasks[job.CountedPosition(ref.position)].history;
    if (counted->early_run != task.run || task.run == 0) continue;
    if (task.worker_start_time_ms != worker.start_time_ms) continue;
    SetEarlyRun(job, ref.position, 0);
  }
}

void Shard::CountCrash(WorkerRow& worker, const std::vector<TaskRef>& lost, CrashEvidence evidence,
                       Time now) {
  std::vector<TaskRef> counted;
  std::copy_if(lost.begin(), lost.end(), std::back_inserter(counted), [&](const TaskRef& ref) {
    const TaskRow& task = jobs_.Find(ref.job)->tasks[ref.position];
    return task.phase == TaskPhase::kPlaced && task.stage != StartStage::kUnrecorded;
  });
  if (counted.empty()) return;
  const bool many = evidence != CrashEvidence::kRestarted && losses_.HasMany(now);
  const bool has_crashed = evidence != CrashEvidence::kLeaseExpired;
  std::vector<OpenLoss> open;
  std::size_t suspects = 0;
  for (const TaskRef& ref : counted) {
    JobRow& job = *jobs_.Find(ref.job);
    const TaskRow& task = job.tasks[ref.position];
    const RunHistory& history = job.tasks[job.CountedPosition(ref.position)].history;
    const LossKind if_crashed = KindOfLoss(worker, task, history);
    if (job.phase == JobPhase::kOpen && !IsCounted(history, task.run)) {
      const LossKind kind = has_crashed ? if_crashed : Unexplained(if_crashed);
      if (!has_crashed) {
        open.emplace_back(OpenLossFields{.task = ref,
                                         .run = task.run,
                                         .worker_start_time_ms = task.worker_start_time_ms,
                                         .if_crashed = if_crashed});
      }
      // The crash came after the last report.
      const Duration ran = worker.last_report - RunStart(task);
      const bool started_by_this_owner = task.placement > 0;
      Decide("crash-counted", FormatTaskKey(job.KeyOf(ref.position)),
             "run=" + std::to_string(task.run) + " worker=" + worker.entry->id.value +
                 " evidence=" + std::string(NameOf(evidence)) +
                 " loss=" + std::string(NameOf(kind)) +
                 " incarnation=" + std::to_string(worker.start_time_ms) + " stage=" +
                 std::string(NameOf(task.stage)) + " ran_ms=" + std::to_string(ran.count()) +
                 " shown_ms=" + std::to_string(KnownRunTime(task).count()) +
                 " inherited=" + (started_by_this_owner ? "0" : "1") +
                 " before: " + AttemptsText(job.tasks[job.CountedPosition(ref.position)]));
      const bool fresh = started_by_this_owner && !many && ran <= kSuspectPeriod;
      Blame(job, ref.position, {.kind = kind, .ran = ran, .fresh = fresh}, now);
    }
    if (IsSuspect(job, ref.position)) ++suspects;
  }
  open_losses_.Add(worker.entry, std::move(open), now);
  Decide("worker-crashed", worker.entry->id.value,
         "evidence=" + std::string(NameOf(evidence)) + " tasks=" + std::to_string(counted.size()) +
             " suspects=" + std::to_string(suspects) + (many ? " many=yes" : ""));
}

void Shard::Blame(JobRow& job, std::size_t position, const Loss& loss, Time now) {
  const StepSpec& step = job.StepOf(position);
  TaskRow& counted = job.tasks[job.CountedPosition(position)];
  const TaskRow& task = job.tasks[position];
  if (CrashesExpire(step, loss.ran)) counted.history = WithoutLosses(counted.history);
  if (KnownRunTime(task) >= kSuspectPeriod) {
    counted.history = WithOtherEnd(counted.history, task.run);
  }
  counted.history = WithLoss(counted.history, task.run, loss.kind);
  crashed_.insert(CountedTask(job, position));
  jobs_.MarkDirty(job);
  SetSuspect(job, position, loss.fresh || MayCrashRepeatedly(step, counted.history));
  job.tasks[position].not_before = now + RestartDelay(step, counted);
  FailIfCause(job, position, now);
}

void Shard::FailIfCause(JobRow& job, std::size_t position, Time now) {
  const TaskRow& counted = job.tasks[job.CountedPosition(position)];
  if (job.StepOf(position)->long_running || !CrashesEachWorker(counted.history)) return;
  job.phase = JobPhase::kFailed;
  job.finished_at = now;
  Decide("job-failed", FormatJobId(job.accepted->id),
         "task=" + FormatTaskKey(job.KeyOf(position)) + " cause=crashes " + AttemptsText(counted));
  StopAll(job);
}

void Shard::ExplainLosses(const WorkerEntry& entry, Time now) {
  for (const ExplainedLoss& explained : open_losses_.Take(entry)) {
    const OpenLoss& loss = explained->loss;
    JobRow* const job = jobs_.Find(loss->task.job);
    if (job == nullptr || job->phase != JobPhase::kOpen) continue;
    const std::size_t position = loss->task.position;
    TaskRow& counted = job->tasks[job->CountedPosition(position)];
    if (counted.phase == TaskPhase::kDone) continue;
    counted.history = explained->crashed ? WithExplanation(counted.history, loss->if_crashed)
                                         : WithOtherEnd(counted.history, loss->run);
    jobs_.MarkDirty(*job);
    Decide("loss-explained", FormatTaskKey(job->KeyOf(position)),
           "run=" + std::to_string(loss->run) + " worker=" + entry->id.value + " loss=" +
               (explained->crashed ? std::string(NameOf(loss->if_crashed)) : "worker-lives") + " " +
               AttemptsText(counted));
    ReviewSuspect(*job, position);
    if (explained->crashed) FailIfCause(*job, position, now);
  }
}

void Shard::NoteOtherEnd(JobRow& job, std::size_t position, const ReportedEnd& end) {
  // The members of a gang are ended with the one whose worker has crashed.
  if (job.StepOf(position)->gang && end->kind != EndKind::kFailed) return;
  TaskRow& counted = job.tasks[job.CountedPosition(position)];
  if (counted.history->ended_otherwise && !IsCounted(counted.history, end->run)) return;
  const bool was_counted = IsCounted(counted.history, end->run);
  counted.history = WithOtherEnd(counted.history, end->run);
  if (!was_counted) return;
  jobs_.MarkDirty(job);
  ReviewSuspect(job, position);
}

void Shard::ReviewSuspect(JobRow& job, std::size_t position) {
  const TaskRow& counted = job.tasks[job.CountedPosition(position)];
  SetSuspect(job, position,
             counted.suspect && MayCrashRepeatedly(job.StepOf(position), counted.history));
}

void Shard::SetSuspect(JobRow& job, std::size_t position, bool suspect) {
  const TaskRef group = CountedTask(job, position);
  job.tasks[group.position].suspect = suspect;
  if (suspect) crashed_.insert(group);
  for (std::size_t i = group.position;
       i < job.tasks.size() && job.CountedPosition(i) == group.position; ++i) {
    if (job.tasks[i].phase != TaskPhase::kPlaced) continue;
    WorkerRow* const worker = workers_.Find(job.tasks[i].worker);
    if (worker == nullptr) continue;
    const TaskRef ref{.job = group.job, .position = i};
    if (suspect) worker->suspects.insert(ref);
    if (!suspect) worker->suspects.erase(ref);
  }
}

void Shard::RestoreCrashes(const JobCrashes& crashes, Time now) {
  JobRow* const job = jobs_.Find(crashes->id);
  if (job == nullptr) {
    held_jobs_.Keep(crashes);
    return;
  }
  job->has_crash_record = true;
  for (const TaskCrashes& from : crashes->tasks) {
    if (from->position >= job->tasks.size()) continue;
    TaskRow& task = job->tasks[from->position];
    task.history = from->history;
    Decide("crashes-restored", FormatTaskKey(job->KeyOf(from->position)), AttemptsText(task));
    // A run that goes on, or that ended in another way, is no reason for a delay.
    if (IsCounted(task.history, task.run)) {
      task.not_before = now + RestartDelay(job->StepOf(from->position), task);
    }
    crashed_.insert(CountedTask(*job, from->position));
    // Whether a task that waits was a suspect after its first crash is not recorded.
    const bool isolated = task.phase == TaskPhase::kPlaced && task.history->crashes > 0 &&
                          task.history->isolated_run == task.run;
    SetSuspect(*job, from->position,
               isolated || MayCrashRepeatedly(job->StepOf(from->position), task.history));
  }
}

void Shard::ClearSuspects(Time now) {
  for (auto entry = crashed_.begin(); entry != crashed_.end();) {
    JobRow* const job = jobs_.Find(entry->job);
    if (job == nullptr || job->phase != JobPhase::kOpen ||
        job->tasks[entry->position].phase == TaskPhase::kDone) {
      entry = crashed_.erase(entry);
      continue;
    }
    const std::size_t first = entry->position;
    if (job->tasks[first].history->crashes == 0) {
      if (job->tasks[first].suspect) SetSuspect(*job, first, false);
      entry = crashed_.erase(entry);
      continue;
    }
    ++entry;
    for (std::size_t i = first; i < job->tasks.size() && job->CountedPosition(i) == first; ++i) {
      ClearIfRunning(*job, i);
    }
    const TaskRow& counted = job->tasks[first];
    if (!counted.suspect || !HasWaitedForIsolation(job->StepOf(first), counted, now)) continue;
    Decide("suspect-released", FormatTaskKey(job->KeyOf(first)),
           "crashes=" + std::to_string(counted.history->crashes) +
               " waited_ms=" + std::to_string((now - counted.phase_since).count()));
    SetSuspect(*job, first, false);
  }
}

void Shard::ClearIfRunning(JobRow& job, std::size_t position) {
  const TaskRow& task = job.tasks[position];
  if (task.phase != TaskPhase::kPlaced || task.stage != StartStage::kConfirmed || task.stopping) {
    return;
  }
  const WorkerRow* const worker = workers_.Find(task.worker);
  if (worker == nullptr) return;
  const StepSpec& step = job.StepOf(position);
  TaskRow& counted = job.tasks[job.CountedPosition(position)];
  if (!step->long_running && KnownRunTime(task) >= kSuspectPeriod) {
    counted.history = WithOtherEnd(counted.history, task.run);
  }
  const Duration ran = worker->last_report - RunStart(task);
  const bool expired = CrashesExpire(step, ran);
  if (!expired && !(counted.suspect && IsCleared(step, counted, ran))) return;
  SetSuspect(job, position, false);
  counted.history =
      expired ? WithoutLosses(counted.history)
              : counted.history.With([](RunHistoryFields& fields) { fields.isolated_run = 0; });
  jobs_.MarkDirty(job);
}

void Shard::HoldWorkers(Time now) {
  held_.clear();
  holders_.clear();
  // Suspects that wait, in the order in which they get workers: latency-critical ones first, then
  // those that have waited for longest.
  std::vector<std::tuple<bool, Time, TaskRef>> waiting;
  for (const TaskRef& ref : crashed_) {
    const JobRow* const job = jobs_.Find(ref.job);
    if (job == nullptr || job->phase != JobPhase::kOpen || !job->tasks[ref.position].suspect) {
      continue;
    }
    const std::size_t first = ref.position;
    if (!job->StepReady(first / job->tasks_per_occurrence, job->StepIndexOf(first))) continue;
    for (std::size_t i = first; i < job->tasks.size() && job->CountedPosition(i) == first; ++i) {
      const TaskRow& task = job->tasks[i];
      if (task.phase != TaskPhase::kWaiting || task.not_before > now) continue;
      waiting.emplace_back(!job->StepOf(i)->long_running, task.phase_since,
                           TaskRef{.job = ref.job, .position = i});
    }
  }
  if (waiting.empty()) return;
  std::sort(waiting.begin(), waiting.end());
  const auto used = static_cast<std::size_t>(
      std::count_if(workers_.workers().begin(), workers_.workers().end(),
                    [](const auto& entry) { return !entry.second.suspects.empty(); }));
  // Half of the workers stay open to other tasks.
  const std::size_t limit =
      std::clamp<std::size_t>(workers_.workers().size() / 2, 1, kMaxHeldWorkers);
  for (const auto& [batch, since, ref] : waiting) {
    if (used + held_.size() >= limit) return;
    HoldWorker(*jobs_.Find(ref.job), ref.position, now);
  }
}

void Shard::HoldWorker(const JobRow& job, std::size_t position, Time now) {
  const TaskRef group = CountedTask(job, position);
  const PlacementView view{.interference = interference_, .policy = policy_, .now = now};
  const WorkerId* best = nullptr;
  // By rank: whether the task must wait for others to end, until when, and for how many.
  std::tuple<bool, Time, std::size_t> best_rank;
  for (const auto& [id, worker] : workers_.workers()) {
    ++workers_evaluated_;
    if (held_.count(id) > 0 || !worker.suspects.empty()) continue;
    if (!CouldFit(worker, job, position)) continue;
    const Time quiet = std::max(QuietAt(worker), now);
    const bool blocked =
        std::holds_alternative<PlacementRefusal>(CostOf(worker, job, position, view));
    const std::tuple rank{blocked, quiet, worker.tasks.size()};
    if (best != nullptr && best_rank <= rank) continue;
    best = &id;
    best_rank = rank;
  }
  if (best == nullptr) return;
  held_.emplace(*best, group);
  holders_.insert(group);
}

bool Shard::MayUse(const WorkerRow& worker, const JobRow& job, std::size_t position,
                   Time now) const {
  const auto held = held_.find(worker.entry->id);
  if (held != held_.end() && held->second != CountedTask(job, position)) return false;
  return MayStartBeside(worker, job, position, now);
}

}  // namespace dn
