// Decisions of a shard's owner on reports, responses and records. Planning is in shard_plan.cc.
#include "scheduling/internal/shard.h"

#include <algorithm>
#include <tuple>

namespace dn {
namespace {

// Longest time that a worker waits for a run to end before it responds to a renewal. It depends on
// the tasks of the worker: a worker with both latency-critical and best-effort tasks reports more
// often, since its tail latency must be monitored.
constexpr std::int64_t kWaitMonitoredMs = 400;
constexpr std::int64_t kWaitBusyMs = 1'000;
constexpr std::int64_t kWaitIdleMs = 2'000;  // The platform's maximum.
// Longest such wait of a renewal that grants no lease for want of a confirmed ownership: once that
// is confirmed again, the leases have less than a second left.
constexpr std::int64_t kWaitUnownedMs = 250;
// Number of starts without a response after which the run is revoked.
constexpr int kMaxStartAttempts = 3;
// Period at which a stop is repeated until a report shows its effect: the platform's time limit for
// a stop, and a round trip.
constexpr Duration kStopRepeat{1'000};
// Period at which a change of speed is repeated until the worker has acknowledged it: the timeout
// of a call.
constexpr Duration kThrottleRepeat{1'000};
// Maximum orders in flight that set the speeds of inherited runs. After a take-over there are more
// than a thousand such runs, and the starts that waited for the take-over come first. With a round
// trip of 40 ms between regions, 1,500 orders take about a second.
constexpr std::size_t kMaxInheritedSpeedOrders = 64;
// Refusals of a change of speed by a worker that does not have the run.
constexpr std::array kRunIsGone = {OrderRefusal::kFenced, OrderRefusal::kObsolete,
                                   OrderRefusal::kOtherIncarnation};
// Number of consecutive reports without a confirmed run after which the run counts as lost. One is
// not enough, since a report may have overtaken the response to the start.
constexpr int kMaxMissedReports = 3;
// Full speed; also the progress that a latency-critical task reports while it serves requests.
constexpr int kFullPercent = 100;

}  // namespace

Shard::Shard(const Policy& policy, FencingToken token)
    : policy_(policy), token_(token), workers_(policy) {}

void Shard::Decide(std::string kind, std::string subject, std::string detail) {
  decisions_.emplace_back(DecisionFields{
      .kind = std::move(kind), .subject = std::move(subject), .detail = std::move(detail)});
}

std::vector<Decision> Shard::TakeDecisions() { return std::exchange(decisions_, {}); }

void Shard::Accept(const AcceptedJob& job, Time now) {
  if (deleted_.count(job->id) > 0) return;
  if (held_jobs_.IsHeldBack(job->id) || !jobs_.Accept(job, now)) return;
  open_jobs_.push_back(jobs_.Find(job->id));
  ObserveSize(job);
  ApplyHeld(job->id, now);
}

void Shard::HoldBack(JobId id) {
  held_jobs_.HoldBack(id);
  if (JobRow* const job = jobs_.Find(id)) {
    std::erase(open_jobs_, job);
    jobs_.Erase(id);
  }
  Decide("job-held-back", FormatJobId(id),
         "reason=unreadable-progress token=" + std::to_string(token_));
}

void Shard::ApplyHeld(JobId id, Time now) {
  const HeldJob held = held_jobs_.Take(id);
  if (!held->progress) return;
  Restore(*held->progress, now);
  if (held->crashes) RestoreCrashes(*held->crashes, now);
  // The next record of the job covers its ends, which are acknowledged then.
  jobs_.MarkDirty(*jobs_.Find(id));
  const std::vector<HeldEnd> ends = held_jobs_.EndsOf(id);
  for (const HeldEnd& end : ends) ApplyEnd(workers_.FindOrAdd(end->worker, now), end->end, now);
  Decide("progress-applied", FormatJobId(id),
         "tasks=" + std::to_string((*held->progress)->tasks.size()) +
             " ends=" + std::to_string(ends.size()) + " token=" + std::to_string(token_));
}

void Shard::Restore(const JobProgress& progress, Time now, bool settled) {
  JobRow* job = jobs_.Find(progress->id);
  if (job == nullptr) {
    held_jobs_.Keep(progress);
    Decide("progress-without-job", FormatJobId(progress->id),
           std::string("kept open=") + (progress->phase == JobPhase::kOpen ? "1" : "0") +
               " tasks=" + std::to_string(progress->tasks.size()) +
               " token=" + std::to_string(token_));
    return;
  }
  jobs_.Restore(progress, now);
  for (std::size_t i = 0; i < job->tasks.size(); ++i) {
    TaskRow& task = job->tasks[i];
    if (task.phase != TaskPhase::kPlaced) continue;
    WorkerRow& worker = workers_.FindOrAdd(task.worker, now);
    workers_.ExpectInheritedGrants(worker, task.worker_start_time_ms);
    WorkerTable::Reserve(worker, *job, i);
    task.late_until = workers_.EarlierOwnersUntil(now) + kLateCallLimit;
    task.settled = settled;
    if (job->phase != JobPhase::kOpen) Stop(*job, i);
  }
}

void Shard::WorkerUnlisted(const WorkerId& id, Time now) {
  if (workers_.Unlisted(id, now)) Decide("worker-unlisted", id.value, "");
}

std::optional<WorkerEntry> Shard::ManagedWorker(const WorkerId& id) {
  const WorkerRow* worker = workers_.Find(id);
  if (worker == nullptr || worker->entry->address.port == 0) return std::nullopt;
  if (!worker->listed && worker->tasks.empty()) return std::nullopt;
  return worker->entry;
}

std::vector<WorkerEntry> Shard::ManagedWorkers() const {
  std::vector<WorkerEntry> out;
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.entry->address.port == 0) continue;
    if (worker.listed || !worker.tasks.empty()) out.push_back(worker.entry);
  }
  return out;
}

Renewal Shard::NextRenewal(const WorkerId& id, Time now) {
  WorkerRow* worker = workers_.Find(id);
  if (worker == nullptr) return Renewal({.worker = id, .token = TokenOf(token_, 0)});
  // A worker that does not respond gets no further lease, so that its runs are known to have ended
  // once the last lease has expired.
  std::optional<ClockReading> until;
  if (IsOwned(now) && now - worker->last_report < kReportTimeout &&
      !WorkerTable::HasRestarted(*worker)) {
    until = workers_.LeaseExpiry(*worker, now);
  }
  if (until) {
    workers_.LeaseGranted(*worker, now);
    ShowDoubtfulLease(*worker, "renewal", now);
  }
  std::int64_t wait = worker->tasks.empty() ? kWaitIdleMs : kWaitBusyMs;
  if (worker->best_effort_millicores > 0 && worker->latency_critical_millicores > 0)
    wait = kWaitMonitoredMs;
  if (!IsOwned(now)) wait = std::min(wait, kWaitUnownedMs);
  // What the worker refuses, and what it does not run, is known after the response.
  if (!worker->confirmed || !worker->calls.settled()) wait = 0;
  worker->calls.RenewalSent();
  return Renewal({.worker = id,
                  .lease_until = until.value_or(0),
                  .ends_seen = EndsToAcknowledge(*worker, now),
                  .wait_ms = wait,
                  .token = CallToken(*worker)});
}

void Shard::Reported(const WorkerId& id, const OrderResponse& response, Time sent, Time now) {
  WorkerRow* worker = workers_.Find(id);
  if (worker == nullptr) return;
  // Another worker answers at the address of one that is no longer listed: it has ended, and so
  // have its leases.
  if (response->refusal == OrderRefusal::kOtherIncarnation && !worker->listed) {
    worker->leases_expire_at = now;
    worker->unheard_leases_expire_at = now;
    worker->replaced = true;
  }
  if (response->refusal != OrderRefusal::kNone) return;
  const RunReport& report = response->report;
  WorkerTable::ClockRead(*worker, report, sent, now);
  if (worker->start_time_ms != report->start_time_ms) {
    if (worker->start_time_ms != 0) {
      Decide("worker-reborn", id.value, "born=" + std::to_string(report->start_time_ms));
      worker->calls.Restarted();
      workers_.ExpectStaleGrants(*worker);
    }
    worker->start_time_ms = report->start_time_ms;
    MarkRunsOfIncarnation(*worker, report);
    WithdrawStarts(*worker, now);
    held_jobs_.WorkerRestarted(id);
    HandleRestart(*worker, report->start_time_ms, now);
    worker->ends_seen = 0;
    worker->ends_recorded = 0;
    worker->failed_jobs.clear();
    ends_taken_.erase(id);
  }
  workers_.RenewalAnswered(*worker, now);
  if (worker->silent_since || !worker->confirmed) HeardAgain(*worker);
  worker->silent_since.reset();
  worker->connection_broke = false;
  worker->confirmed = true;
  worker->last_report = now;
  worker->unanswered_calls = 0;
  worker->headroom.reset();
  worker->lists_ends = !report->ended.empty();
  for (const ReportedEnd& end : report->ended) {
    if (end->number <= worker->ends_seen) continue;
    worker->ends_seen = end->number;
    if (held_jobs_.Covers(end->task, end->run, id)) {
      held_jobs_.AddEnd(id, end);
      Decide("end-held", FormatTaskKey(end->task),
             "run=" + std::to_string(end->run) + " worker=" + id.value +
                 " number=" + std::to_string(end->number) + " token=" + std::to_string(token_));
      continue;
    }
    ApplyEnd(*worker, end, now);
  }
  for (const ReportedRun& running : report->running) {
    if (!held_jobs_.Covers(running->task, running->run, id)) ApplyRunning(*worker, running, now);
  }
  Reconcile(*worker, report, sent, now);
  ObserveInterference(*worker);
}

void Shard::NoteUnanswered(const WorkerId& id, std::string_view call, FencingToken token,
                           Time now) {
  WorkerRow* const worker = workers_.Find(id);
  if (worker == nullptr) return;
  worker->calls.Unanswered(SeriesOf(token));
  ++worker->unanswered_calls;
  Decide("call-unanswered", id.value,
         "call=" + std::string(call) + " " + ContactText(*worker, now) +
             " token=" + std::to_string(token));
}

FencingToken Shard::CallToken(const WorkerRow& worker) const {
  return TokenOf(token_, worker.calls.series());
}

FencingToken Shard::CallToken(const WorkerId& id) const {
  const WorkerRow* const worker = workers_.Find(id);
  return worker == nullptr ? TokenOf(token_, 0) : CallToken(*worker);
}

void Shard::ShowDoubtfulLease(const WorkerRow& worker, std::string_view call, Time now) {
  const bool restarted = worker.entry->start_time_ms > worker.start_time_ms;
  if (!worker.silent_since && !restarted) return;
  Decide("lease-in-doubt", worker.entry->id.value,
         "call=" + std::string(call) + " " + ContactText(worker, now) +
             " token=" + std::to_string(token_));
}

void Shard::MarkBegun(JobRow& job, const WorkerId& worker, Time now) {
  if (job.begun) return;
  job.begun = true;
  // An earlier owner may have seen the job begin, and a take-over concerns many jobs at once.
  if (job.has_earlier_intent) return;
  const Duration waited = now - job.received_at;
  decisions_.emplace_back(DecisionFields{
      .kind = "job-begun",
      .subject = FormatJobId(job.accepted->id),
      .detail = "worker=" + worker.value + " waited_ms=" + std::to_string(waited.count()),
      .waited = waited});
}

void Shard::ApplyEnd(WorkerRow& worker, const ReportedEnd& end, Time now) {
  TaskRow* task = jobs_.Find(end->task);
  if (task != nullptr) {
    JobRow& ended = *jobs_.Find(end->task.job);
    MarkBegun(ended, worker.entry->id, now);
    NoteOtherEnd(ended, ended.PositionOf(end->task), end);
  }
  const bool placed_elsewhere =
      task != nullptr && task->phase == TaskPhase::kPlaced && task->worker != worker.entry->id;
  const bool newest = task != nullptr && end->run == task->run && !placed_elsewhere;
  if (task == nullptr || task->phase == TaskPhase::kDone || (!newest && !CompletesTask(end))) {
    Decide("end-ignored", FormatTaskKey(end->task),
           "run=" + std::to_string(end->run) + " how=" + std::string(NameOf(end->kind)) +
               " worker=" + worker.entry->id.value + " number=" + std::to_string(end->number) +
               " " + OwnRunText(task) + " token=" + std::to_string(token_));
    if (task != nullptr) task->other_run = std::max(task->other_run, end->run);
    return;
  }
  task->reported_at = now;
  JobRow& job = *jobs_.Find(end->task.job);
  const std::size_t position = job.PositionOf(end->task);
  const StepSpec& step = job.StepOf(position);
  if (!newest) StopSupersededRun(worker, end);
  auto [first, last] = job.RangeOf(static_cast<std::size_t>(end->task.occurrence),
                                   static_cast<std::size_t>(end->task.step));
  if (!step->gang) {
    first = position;
    last = position + 1;
  }
  if (!end->checkpoint.empty()) {
    for (std::size_t i = first; i < last; ++i) job.tasks[i].checkpoint = end->checkpoint;
    jobs_.MarkDirty(job);
  }
  if (end->kind == EndKind::kDone && !step->long_running) {
    worker.failed_jobs.clear();
    for (std::size_t i = first; i < last; ++i) {
      if (job.tasks[i].phase == TaskPhase::kDone) continue;
      NoteWorkEnded(job, i, now);
      Unplace(job, i, TaskPhase::kDone, now);
    }
    FinishIfDone(job, now);
    return;
  }
  const std::string ended = "run=" + std::to_string(end->run) +
                            " worker=" + worker.entry->id.value +
                            " how=" + std::string(NameOf(end->kind));
  if (task->phase != TaskPhase::kPlaced) {
    Decide("end-late", FormatTaskKey(end->task),
           ended + " " + AttemptsText(job.tasks[job.CountedPosition(position)]));
    return;
  }
  Decide("task-ended", FormatTaskKey(end->task), ended);
  Unplace(job, position, TaskPhase::kWaiting, now);
  if (end->kind == EndKind::kFailed) CountFailure(worker, job, position, now);
}

bool Shard::CompletesTask(const ReportedEnd& end) const {
  const StepSpec& step =
      jobs_.Find(end->task.job)->accepted->spec->steps[static_cast<std::size_t>(end->task.step)];
  return end->kind == EndKind::kDone && !step->gang && !step->long_running;
}

void Shard::StopSupersededRun(const WorkerRow& worker, const ReportedEnd& end) {
  const TaskRow& task = *jobs_.Find(end->task);
  Decide("unknown-run-done", FormatTaskKey(end->task),
         "run=" + std::to_string(end->run) + " worker=" + worker.entry->id.value +
             " own_run=" + std::to_string(task.run) + " own_worker=" + task.worker.value);
  std::erase_if(starts_, [&](const StartOrder& start) { return start->task == end->task; });
  if (task.phase != TaskPhase::kPlaced || task.stage == StartStage::kUnrecorded) return;
  // If the stop is lost, the run is stopped as an orphan once a report shows it.
  orphaned_run_stops_.emplace_back(StopOrderFields{
      .worker = task.worker, .task = end->task, .run = task.run, .token = CallToken(task.worker)});
}

void Shard::CountFailure(WorkerRow& worker, JobRow& job, std::size_t position, Time now) {
  const StepSpec& step = job.StepOf(position);
  const TaskKey key = job.KeyOf(position);
  const auto [first, last] =
      job.RangeOf(static_cast<std::size_t>(key.occurrence), static_cast<std::size_t>(key.step));
  TaskRow& counted = job.tasks[step->gang ? first : position];
  const int run = job.tasks[position].run;
  if (counted.history->failed_run == run) return;
  counted.history =
      counted.history.With([&](RunHistoryFields& fields) { fields.failed_run = run; });
  ++counted.failures;
  job.tasks[position].not_before = now + policy_->retry_delay;
  // A task that has failed before may itself be the cause, so it does not count against the worker.
  if (counted.failures == 1) worker.failed_jobs.insert(key.job);
  if (worker.failed_jobs.size() >= static_cast<std::size_t>(policy_->quarantine_failures)) {
    worker.avoid_until = now + policy_->quarantine;
    Decide("worker-quarantined", worker.entry->id.value,
           "failed_jobs=" + std::to_string(worker.failed_jobs.size()));
    worker.failed_jobs.clear();
  }
  if (step->long_running || counted.failures < job.accepted->queue->max_attempts) return;
  if (job.phase != JobPhase::kOpen) return;
  job.phase = JobPhase::kFailed;
  job.finished_at = now;
  Decide("job-failed", FormatJobId(key.job),
         "task=" + FormatTaskKey(key) + " cause=failures " + AttemptsText(counted));
  StopAll(job);
}

void Shard::FinishIfDone(JobRow& job, Time now) {
  const auto occurrences = static_cast<std::size_t>(std::max(1, job.accepted->spec->occurrences));
  if (job.phase != JobPhase::kOpen || job.occurrences() < occurrences) return;
  if (job.done < job.tasks.size()) return;
  job.phase = JobPhase::kCompleted;
  job.finished_at = now;
  jobs_.MarkDirty(job);
  Decide("job-completed", FormatJobId(job.accepted->id),
         "after_ms=" + std::to_string((now - job.received_at).count()) +
             " objective_ms=" + std::to_string(job.objective_ms()));
}

void Shard::Stop(JobRow& job, std::size_t position) {
  job.tasks[position].stopping = true;
  stopping_.insert({.job = job.accepted->id, .position = position});
}

void Shard::StopAll(JobRow& job) {
  jobs_.MarkDirty(job);
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    TaskRow& task = job.tasks[i];
    if (task.phase != TaskPhase::kPlaced) continue;
    if (task.stage == StartStage::kUnrecorded) {
      Unplace(job, i, TaskPhase::kWaiting, task.phase_since);
    } else {
      Stop(job, i);
    }
  }
}

void Shard::Unplace(JobRow& job, std::size_t position, TaskPhase phase, Time now) {
  TaskRow& task = job.tasks[position];
  if (task.phase == TaskPhase::kPlaced) {
    if (WorkerRow* worker = workers_.Find(task.worker)) {
      WorkerTable::Release(*worker, job, position);
    }
  }
  task.worker = {};
  task.stopping = false;
  task.inherited = false;
  task.settled = false;
  task.revoked_at.reset();
  task.over_target_since.reset();
  task.missed_reports = 0;
  task.start_attempts = 0;
  task.starts_sent = 0;
  task.late_until.reset();
  task.speed_percent = kFullPercent;
  task.speed_orders = {};
  task.reduced_start = false;
  task.shown_at = Time();
  task.stage = StartStage::kUnrecorded;
  jobs_.SetPhase(job, position, phase, now);
}

void Shard::ApplyRunning(WorkerRow& worker, const ReportedRun& running, Time now) {
  TaskRow* task = jobs_.Find(running->task);
  if (task != nullptr) MarkBegun(*jobs_.Find(running->task.job), worker.entry->id, now);
  AdoptUnknownRun(worker, running, now);
  const bool accounted_for = task != nullptr && task->phase == TaskPhase::kPlaced &&
                             task->worker == worker.entry->id && task->run == running->run;
  if (!accounted_for) {
    Decide("stray-run", FormatTaskKey(running->task),
           "run=" + std::to_string(running->run) + " worker=" + worker.entry->id.value +
               " incarnation=" + std::to_string(worker.start_time_ms) + " " + OwnRunText(task) +
               " token=" + std::to_string(token_));
    orphaned_run_stops_.emplace_back(StopOrderFields{.worker = worker.entry->id,
                                                     .task = running->task,
                                                     .run = running->run,
                                                     .token = CallToken(worker)});
    return;
  }
  const JobRow& job = *jobs_.Find(running->task.job);
  const std::size_t position = job.PositionOf(running->task);
  const StepSpec& step = job.StepOf(position);
  // The only copy of its start has been carried out.
  if (task->starts_sent == 1) task->late_until.reset();
  // No call of the earlier owner that placed the run is on its way any more.
  if (task->placement == 0 &&
      worker.clock_read_after >= workers_.EarlierOwnersUntil(now) + kOrderTimeout) {
    task->settled = true;
  }
  task->stage = StartStage::kConfirmed;
  task->reported_at = now;
  if (task->shown_at == Time()) task->shown_at = now;
  if (std::exchange(task->inherited, false) && step->best_effort) {
    task->speed_orders.acknowledged = false;
    task->speed_orders.inherited = true;
    throttling_.insert({.job = running->task.job, .position = position});
  }
  task->worker_start_time_ms = worker.start_time_ms;
  task->missed_reports = 0;
  task->observed = running->observed;
  if (!running->checkpoint.empty()) task->checkpoint = running->checkpoint;
  if (task->progress != running->progress_percent || task->last_progress_at < task->phase_since) {
    task->progress = running->progress_percent;
    task->last_progress_at = now;
  }
  if (!step->long_running || step->target_latency_ms <= 0) return;
  const bool over =
      task->progress >= kFullPercent &&
      static_cast<double>(task->observed) >
          policy_->over_target_fraction * static_cast<double>(step->target_latency_ms);
  if (!over) task->over_target_since.reset();
  if (over && !task->over_target_since) task->over_target_since = now;
}

void Shard::AdoptUnknownRun(WorkerRow& worker, const ReportedRun& running, Time now) {
  TaskRow* const task = jobs_.Find(running->task);
  if (task == nullptr || task->phase != TaskPhase::kWaiting || running->run < task->run) return;
  JobRow& job = *jobs_.Find(running->task.job);
  const std::size_t position = job.PositionOf(running->task);
  if (job.phase != JobPhase::kOpen || job.StepOf(position)->gang) return;
  if (!job.StepReady(static_cast<std::size_t>(running->task.occurrence),
                     static_cast<std::size_t>(running->task.step))) {
    return;
  }
  Decide("run-adopted", FormatTaskKey(running->task),
         "run=" + std::to_string(running->run) + " worker=" + worker.entry->id.value +
             " recorded_run=" + std::to_string(task->run));
  task->run = running->run;
  task->placement = 0;
  task->worker = worker.entry->id;
  task->stage = StartStage::kConfirmed;
  task->confirmed_at = now;
  task->inherited = true;
  task->progress = 0;
  task->last_progress_at = now;
  task->normalised_load = 0;
  task->speed_changed_at = Time();
  WorkerTable::Reserve(worker, job, position);
  jobs_.SetPhase(job, position, TaskPhase::kPlaced, now);
}

void Shard::Reconcile(WorkerRow& worker, const RunReport& report, Time sent, Time now) {
  // The other ends follow once those of this report are recorded and acknowledged.
  if (report->more_ends) return;
  std::set<TaskKey> running;
  for (const ReportedRun& run : report->running) running.insert(run->task);
  const auto placed = worker.tasks;
  for (const auto& [ref, row] : placed) {
    JobRow& job = *row;
    TaskRow& task = job.tasks[ref.position];
    if (task.stage == StartStage::kUnrecorded || running.count(job.KeyOf(ref.position)) > 0) {
      continue;
    }
    const char* cause = EndByReport(task, worker, sent);
    if (cause == nullptr && task.stage == StartStage::kConfirmed &&
        ++task.missed_reports >= kMaxMissedReports) {
      cause = "missing";
    }
    if (cause == nullptr) continue;
    Decide("task-lost", FormatTaskKey(job.KeyOf(ref.position)),
           ToText(MakeLostRun(task, worker, cause, token_, now - sent, now)));
    Unplace(job, ref.position, TaskPhase::kWaiting, now);
  }
}

void Shard::ObserveInterference(const WorkerRow& worker) {
  constexpr double kMillicores = 1'000;
  if (worker.latency_critical_millicores == 0) return;
  Interference::BestEffortCores best_effort_cores;
  for (const auto& [ref, job] : worker.tasks) {
    if (!job->StepOf(ref.position)->best_effort) continue;
    best_effort_cores[job->ImageOf(ref.position)] +=
        static_cast<double>(job->tasks[ref.position].observed) / kMillicores;
  }
  for (const auto& [ref, job] : worker.tasks) {
    const StepSpec& step = job->StepOf(ref.position);
    TaskRow& task = job->tasks[ref.position];
    if (!step->long_running || step->target_latency_ms <= 0 || task.progress < kFullPercent)
      continue;
    const ImageId image = job->ImageOf(ref.position);
    const double ratio =
        static_cast<double>(task.observed) / static_cast<double>(step->target_latency_ms);
    interference_.Observe(image, best_effort_cores, ratio, job->own_load);
    task.normalised_load = interference_.NormalisedLoad(image, ratio);
  }
}

void Shard::StartAnswered(const StartOrder& order, const std::optional<OrderResponse>& response,
                          Time now) {
  WorkerRow* const worker = workers_.Find(order->worker);
  if (!response) {
    NoteUnanswered(order->worker, "start", order->token, now);
    // The lease that it granted holds for all runs on the worker.
    if (worker != nullptr) workers_.StartUnheard(*worker, now);
  }
  TaskRow* task = jobs_.Find(order->task);
  if (task == nullptr) return;
  JobRow& job = *jobs_.Find(order->task.job);
  // "Obsolete" does not show a run: a worker also responds so if a stop arrived before the start.
  if (response && (*response)->refusal == OrderRefusal::kNone) MarkBegun(job, order->worker, now);
  if (task->phase != TaskPhase::kPlaced || task->run != order->run) return;
  if (task->worker != order->worker) return;
  const std::size_t position = job.PositionOf(order->task);
  if (!response) {
    if (worker != nullptr) AvoidUnresponsive(*worker, now);
    // A run that a report shows was begun by the copy, unless there is another one.
    if (task->stage != StartStage::kConfirmed || task->starts_sent > 1) {
      task->late_until = now + kLateCallLimit;
    }
    if (task->stage == StartStage::kConfirmed || task->stopping) return;
    // Each copy of a start may take effect late, also after a restart of the worker. If workers
    // have crashed under the task, or this one has restarted, no further copy is sent.
    const bool repeat = job.tasks[job.CountedPosition(position)].history->crashes == 0 &&
                        worker != nullptr && now - task->first_start_at <= kRepeatLimit &&
                        worker->entry->start_time_ms == task->worker_start_time_ms;
    if (++task->start_attempts < kMaxStartAttempts && repeat) {
      if (auto retry = StartOf(job, position, now)) {
        starts_.push_back(*std::move(retry));
        WithdrawStarts(*worker, now);
        return;
      }
    }
    // A late copy must not start the task after the zone is empty.
    if (worker != nullptr && worker->evacuated) Stop(job, position);
    Decide("start-unanswered", FormatTaskKey(order->task),
           "run=" + std::to_string(order->run) + " worker=" + order->worker.value +
               " attempts=" + std::to_string(task->start_attempts));
    return;
  }
  if (worker != nullptr && (*response)->clock &&
      workers_.IsOfOtherIncarnation(*worker, *(*response)->clock, task->start_sent_at)) {
    // A report will tell what that incarnation runs.
    Decide("start-in-other-incarnation", FormatTaskKey(order->task),
           "run=" + std::to_string(order->run) + " clock=" + std::to_string(*(*response)->clock) +
               " " + ContactText(*worker, now));
    worker->calls.Unanswered(SeriesOf(order->token));
    workers_.ExpectStaleGrants(*worker);
    worker->avoid_until = std::max(worker->avoid_until, now + policy_->avoid_after_refusal);
    return;
  }
  const OrderRefusal refusal = (*response)->refusal;
  const bool may_run = refusal == OrderRefusal::kNone || refusal == OrderRefusal::kObsolete;
  if (worker != nullptr && may_run && (*response)->clock &&
      !workers_.IsOfLastIncarnation(*worker, *(*response)->clock, now)) {
    // The new incarnation of a young worker may have answered. A report will tell.
    Decide("start-in-doubt", FormatTaskKey(order->task),
           "run=" + std::to_string(order->run) + " clock=" + std::to_string(*(*response)->clock) +
               " " + ContactText(*worker, now));
    worker->calls.Unanswered(SeriesOf(order->token));
    workers_.StartUnheard(*worker, now);
    return;
  }
  if (worker != nullptr) worker->unanswered_starts = 0;
  // An obsolete run cannot start any more. Either a duplicate of this start arrived earlier and the
  // run has ended, possibly successfully, which the worker's report shows; or a stop came first.
  if (may_run) {
    if (refusal == OrderRefusal::kNone && task->shown_at == Time()) task->shown_at = now;
    task->stage = StartStage::kConfirmed;
    task->confirmed_at = now;
    task->last_progress_at = now;
    return;
  }
  const bool superseded = worker != nullptr && order->token < CallToken(*worker) &&
                          (refusal == OrderRefusal::kFenced || refusal == OrderRefusal::kWithdrawn);
  if (superseded && task->stage == StartStage::kSent && !task->stopping &&
      now - task->first_start_at <= kRepeatLimit) {
    // Only another call without a response is the reason.
    if (auto again = StartOf(job, position, now)) {
      starts_.push_back(*std::move(again));
      WithdrawStarts(*worker, now);
      return;
    }
  }
  Decide("start-refused", FormatTaskKey(order->task),
         "run=" + std::to_string(order->run) + " worker=" + order->worker.value +
             " reason=" + std::string(NameOf(refusal)));
  // An earlier start of this run got no response and may still take effect.
  if (task->start_attempts > 0) {
    Stop(job, position);
    return;
  }
  if (worker != nullptr) {
    worker->avoid_until = std::max(worker->avoid_until, now + policy_->avoid_after_refusal);
  }
  if (task->stage == StartStage::kConfirmed) return;
  Unplace(job, position, TaskPhase::kWaiting, now);
}

void Shard::AvoidUnresponsive(WorkerRow& worker, Time now) {
  Duration delay = policy_->avoid_after_refusal;
  for (int i = 0; i < worker.unanswered_starts && delay < policy_->quarantine; ++i) delay *= 2;
  ++worker.unanswered_starts;
  worker.avoid_until = std::max(worker.avoid_until, now + std::min(delay, policy_->quarantine));
}

void Shard::StopAnswered(const StopOrder& order, const std::optional<OrderResponse>& response,
                         Time now) {
  if (!response) NoteUnanswered(order->worker, "stop", order->token, now);
  TaskRow* task = jobs_.Find(order->task);
  if (!response || task == nullptr || task->phase != TaskPhase::kPlaced) return;
  if (task->run != order->run || task->worker != order->worker) return;
  const OrderRefusal refusal = (*response)->refusal;
  if (refusal == OrderRefusal::kFenced && !IsFenced(order->worker, order->token)) {
    task->stop_sent_at = Time();
  }
  const bool acknowledged = refusal == OrderRefusal::kNone || refusal == OrderRefusal::kObsolete;
  if (acknowledged && task->stage == StartStage::kSent && !task->revoked_at) task->revoked_at = now;
}

void Shard::ThrottleAnswered(const ThrottleOrder& order,
                             const std::optional<OrderResponse>& response, Time now) {
  if (!response) NoteUnanswered(order->worker, "pace", order->token, now);
  const auto inherited = inherited_speed_orders_.find(order->worker);
  if (inherited != inherited_speed_orders_.end() && inherited->second == order->task) {
    inherited_speed_orders_.erase(inherited);
  }
  TaskRow* task = jobs_.Find(order->task);
  if (task == nullptr || task->phase != TaskPhase::kPlaced || task->run != order->run) return;
  if (task->worker != order->worker) return;
  SpeedOrders& orders = task->speed_orders;
  orders.in_flight = false;
  const OrderRefusal refusal = response ? (*response)->refusal : OrderRefusal::kNone;
  if (response && refusal == OrderRefusal::kNone) {
    orders.inherited = false;
    if (orders.lost_series && SeriesOf(order->token) > *orders.lost_series) {
      orders.lost_series.reset();
    }
    if (order->percent != task->speed_percent) return;
    // A repeated order took effect only now; what follows from the change is measured from now on.
    if (!orders.acknowledged && orders.sent_at > task->speed_changed_at) {
      task->speed_changed_at = now;
      task->last_progress_at = now;
    }
    orders.acknowledged = true;
    return;
  }
  const bool superseded =
      refusal == OrderRefusal::kFenced && !IsFenced(order->worker, order->token);
  if (!superseded && std::find(kRunIsGone.begin(), kRunIsGone.end(), refusal) != kRunIsGone.end()) {
    orders = {};
    return;
  }
  orders.acknowledged = false;
  if (!response) orders.lost_series = SeriesOf(order->token);
  Decide("pace-failed", FormatTaskKey(order->task),
         "worker=" + order->worker.value + " to=" + std::to_string(order->percent) +
             " reason=" + (response ? std::string(NameOf(refusal)) : "no-response"));
}

bool Shard::Cancel(JobId id, Time now) {
  JobRow* job = jobs_.Find(id);
  if (job == nullptr) return false;
  if (job->phase != JobPhase::kOpen) return true;
  job->phase = JobPhase::kCancelled;
  job->finished_at = now;
  Decide("job-cancelled", FormatJobId(id), "");
  StopAll(*job);
  return true;
}

RecordBatch Shard::TakeBatch() {
  RecordBatch batch;
  for (const JobId id : jobs_.dirty())
    batch.records.push_back(JobTable::ProgressOf(*jobs_.Find(id)));
  for (const JobId id : jobs_.dirty()) {
    JobRow& job = *jobs_.Find(id);
    JobCrashes crashes = JobTable::CrashesOf(job);
    if (crashes->tasks.empty() && !job.has_crash_record) continue;
    job.has_crash_record = true;
    batch.crashes.push_back(std::move(crashes));
  }
  jobs_.ClearDirty();
  for (const TaskKey& key : std::exchange(planned_, {})) {
    const TaskRow* task = jobs_.Find(key);
    if (task == nullptr) continue;
    batch.intents.push_back(key);
    batch.runs.push_back(task->run);
    batch.workers.push_back(task->worker);
  }
  for (const JobId id : std::exchange(expired_, {})) {
    JobRow& job = *jobs_.Find(id);
    job.deletion_taken = true;
    batch.expired.push_back(id);
    if (job.has_crash_record) batch.expired_crashes.push_back(id);
  }
  for (const auto& [id, worker] : workers_.workers()) {
    const std::pair<std::int64_t, std::int64_t> ends{worker.start_time_ms, worker.ends_seen};
    if (worker.ends_seen == worker.ends_recorded || ends_taken_[id] == ends) continue;
    ends_taken_[id] = ends;
    batch.ends[id] = ends;
  }
  return batch;
}

void Shard::Recorded(const RecordBatch& batch, Time now) {
  for (const JobProgress& record : batch.records) {
    JobRow* job = jobs_.Find(record->id);
    if (job != nullptr) job->recorded_phase = record->phase;
    held_jobs_.ForgetEnds(record->id);
  }
  for (const auto& [id, ends] : batch.ends) {
    WorkerRow* worker = workers_.Find(id);
    if (worker != nullptr && worker->start_time_ms == ends.first) {
      worker->ends_recorded = std::max(worker->ends_recorded, ends.second);
    }
  }
  for (std::size_t i = 0; i < batch.intents.size(); ++i) {
    const TaskKey& key = batch.intents[i];
    TaskRow* task = jobs_.Find(key);
    if (task == nullptr || task->phase != TaskPhase::kPlaced) continue;
    if (task->run != batch.runs[i] || task->stage != StartStage::kUnrecorded) continue;
    JobRow& job = *jobs_.Find(key.job);
    const std::size_t position = job.PositionOf(key);
    auto start = StartOf(job, position, now);
    if (!start) {
      Unplace(job, position, TaskPhase::kWaiting, now);
      continue;
    }
    task->stage = StartStage::kSent;
    starts_.push_back(*std::move(start));
  }
  for (const JobId id : batch.expired) {
    std::erase(open_jobs_, jobs_.Find(id));
    jobs_.Erase(id);
    deleted_[id] = now;
  }
}

std::optional<StartOrder> Shard::StartOf(JobRow& job, std::size_t position, Time now) {
  TaskRow& task = job.tasks[position];
  WorkerRow* worker = workers_.Find(task.worker);
  if (worker == nullptr) return std::nullopt;
  if (!MaySendStarts(now) || worker->evacuated) return std::nullopt;
  // The worker may have given notice since the start was planned or sent before.
  if (worker->entry->draining) return std::nullopt;
  if (!WorkerTable::AcceptsStarts(*worker, now)) return std::nullopt;
  const auto until = workers_.LeaseExpiry(*worker, now);
  if (!until) return std::nullopt;
  workers_.LeaseGranted(*worker, now);
  ShowDoubtfulLease(*worker, "start", now);
  if (task.starts_sent == 0) task.first_start_at = now;
  task.start_sent_at = now;
  task.start_series = worker->calls.series();
  ++task.starts_sent;
  if (worker->IsCold(now)) {
    std::erase_if(worker->cold_starts, [&](Time start) { return now - start >= kColdWindow; });
    worker->cold_starts.push_back(now);
  }
  return StartOrder({.worker = task.worker,
                     .task = job.KeyOf(position),
                     .run = task.run,
                     .payload = job.accepted->spec->payload,
                     .checkpoint = task.checkpoint,
                     .lease_until = *until,
                     .token = CallToken(*worker)});
}

bool Shard::MayStart(const StartOrder& order, Time now) const {
  const WorkerRow* worker = workers_.Find(order->worker);
  if (!MaySendStarts(now) || worker == nullptr || worker->entry->draining) return false;
  if (worker->evacuated) return false;
  // The worker may refuse calls of the series in which the start was decided.
  if (!WorkerTable::AcceptsStarts(*worker, now) || order->token != CallToken(*worker)) return false;
  const JobRow* job = jobs_.Find(order->task.job);
  if (job == nullptr) return false;
  const TaskRow& task = job->tasks.at(job->PositionOf(order->task));
  return task.phase == TaskPhase::kPlaced && task.run == order->run &&
         task.worker == order->worker && !task.stopping;
}

Orders Shard::TakeOrders(Time now) {
  Orders orders{.starts = std::exchange(starts_, {}),
                .stops = std::exchange(orphaned_run_stops_, {}),
                .throttles = DueThrottles(now)};
  for (auto entry = stopping_.begin(); entry != stopping_.end();) {
    JobRow* const job = jobs_.Find(entry->job);
    if (job == nullptr || !job->tasks[entry->position].stopping) {
      entry = stopping_.erase(entry);
      continue;
    }
    TaskRow& task = job->tasks[entry->position];
    if (now - task.stop_sent_at >= kStopRepeat) {
      task.stop_sent_at = now;
      orders.stops.emplace_back(StopOrderFields{.worker = task.worker,
                                                .task = job->KeyOf(entry->position),
                                                .run = task.run,
                                                .token = CallToken(task.worker)});
    }
    ++entry;
  }
  return orders;
}

bool Shard::MayOrderInheritedSpeed(const WorkerId& worker) const {
  return inherited_speed_orders_.size() < kMaxInheritedSpeedOrders &&
         inherited_speed_orders_.count(worker) == 0;
}

std::vector<ThrottleOrder> Shard::DueThrottles(Time now) {
  std::vector<ThrottleOrder> due;
  for (auto entry = throttling_.begin(); entry != throttling_.end();) {
    JobRow* const job = jobs_.Find(entry->job);
    if (job == nullptr || job->tasks[entry->position].speed_orders.settled()) {
      entry = throttling_.erase(entry);
      continue;
    }
    TaskRow& task = job->tasks[entry->position];
    SpeedOrders& orders = task.speed_orders;
    const bool repeated = orders.sent_percent == task.speed_percent;
    // A worker refuses the speed of a run that it does not have yet.
    const bool confirmed = task.stage == StartStage::kConfirmed;
    const bool may_send = !orders.inherited || MayOrderInheritedSpeed(task.worker);
    if (confirmed && may_send && !orders.in_flight &&
        (!repeated || now - orders.sent_at >= kThrottleRepeat)) {
      if (orders.inherited) {
        inherited_speed_orders_[task.worker] = job->KeyOf(entry->position);
      }
      orders.in_flight = true;
      orders.sent_percent = task.speed_percent;
      orders.sent_at = now;
      due.emplace_back(ThrottleOrderFields{.worker = task.worker,
                                           .task = job->KeyOf(entry->position),
                                           .run = task.run,
                                           .percent = task.speed_percent,
                                           .token = CallToken(task.worker)});
    }
    ++entry;
  }
  return due;
}

JobState Shard::StateOf(JobId id) const {
  constexpr std::array<std::pair<JobPhase, JobState>, 3> kEnded = {
      {{JobPhase::kCompleted, JobState::kCompleted},
       {JobPhase::kFailed, JobState::kFailed},
       {JobPhase::kCancelled, JobState::kCancelled}}};
  const JobRow* job = jobs_.Find(id);
  if (job == nullptr) return JobState::kUnknown;
  for (const auto& [phase, state] : kEnded) {
    if (job->recorded_phase == phase) return state;
  }
  return job->begun ? JobState::kRunning : JobState::kPending;
}

std::int64_t Shard::WaitingOf(const std::string& queue) const {
  return std::count_if(jobs_.jobs().begin(), jobs_.jobs().end(), [&](const auto& entry) {
    const JobRow& job = entry.second;
    return job.phase == JobPhase::kOpen && !job.begun && job.accepted->queue->name == queue;
  });
}

}  // namespace dn
