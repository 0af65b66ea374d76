// A shard: the jobs whose identifiers hash to it, and the workers that it may use. This class makes
// all decisions of the shard's owner. It does no I/O; the caller passes the owner's time in.
//
// Order of events for a task: planned -> intent recorded (TakeBatch, Recorded) -> start sent ->
// confirmed -> end reported -> end recorded -> end acknowledged to the worker (ends_seen). An owner
// that was replaced cannot record an intent, so it cannot start a run that its successor does not
// know.
#pragma once

#include <string>
#include <vector>

#include "scheduling/internal/crash_blame.h"
#include "scheduling/internal/evacuations.h"
#include "scheduling/internal/held_jobs.h"
#include "scheduling/internal/idle_jobs.h"
#include "scheduling/internal/interference.h"
#include "scheduling/internal/open_losses.h"
#include "scheduling/internal/overload_state.h"
#include "scheduling/internal/pace_control.h"
#include "scheduling/internal/placement_policy.h"
#include "scheduling/internal/room_share.h"
#include "scheduling/internal/run_end.h"
#include "scheduling/internal/run_evidence.h"
#include "scheduling/internal/run_gaps.h"
#include "scheduling/internal/search_memo.h"
#include "scheduling/internal/shard_load.h"
#include "scheduling/internal/start_counts.h"
#include "scheduling/internal/urgency.h"
#include "scheduling/internal/worker_ranking.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// A decision for the log: its kind, the job, task or worker that it concerns, and its reason.
struct DecisionFields {
  std::string kind;
  std::string subject;
  std::string detail;
  // Set when a job begins that no earlier owner may have begun: time since this owner received it.
  std::optional<Duration> waited = std::nullopt;

  friend auto operator<=>(const DecisionFields&, const DecisionFields&) = default;
};
using Decision = Immutable<DecisionFields>;

// Changes that are recorded together.
struct RecordBatch {
  std::vector<JobProgress> records;
  std::vector<JobCrashes> crashes;  // Of jobs in `records`.
  std::vector<TaskKey> intents;     // Tasks whose start was planned.
  std::vector<int> runs;            // Run numbers, parallel to `intents`.
  std::vector<WorkerId> workers;    // Where the runs start, parallel to `intents`.
  // By worker: start time of its incarnation, and number of the last end.
  std::map<WorkerId, std::pair<std::int64_t, std::int64_t>> ends;
  std::vector<JobId> expired;  // Jobs past their retention period, whose records are deleted.
  std::vector<JobId> expired_crashes;  // Those of `expired` with a record of crashes.

  bool empty() const { return records.empty() && ends.empty() && expired.empty(); }
};

// Returns the intended runs (JOB.OCCURRENCE.STEP.INDEX/RUN@WORKER) and the last end of each worker
// (WORKER:NUMBER) as they are logged. What does not fit into a line of the log is counted.
std::string ToText(const RecordBatch& batch);

// Orders that are due.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<ThrottleOrder> throttles;

  bool empty() const { return starts.empty() && stops.empty() && throttles.empty(); }
};

// State of a job, as reported to callers.
enum class JobState { kUnknown, kPending, kRunning, kCompleted, kFailed, kCancelled };
template <>
struct EnumNames<JobState> {
  static constexpr std::array<EnumName<JobState>, 6> kNames = {
      {{JobState::kUnknown, "unknown"},
       {JobState::kPending, "pending"},
       {JobState::kRunning, "running"},
       {JobState::kCompleted, "completed"},
       {JobState::kFailed, "failed"},
       {JobState::kCancelled, "cancelled"}}};
};
// Whether `state` is final.
constexpr bool HasEnded(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

class Shard {
 public:
  Shard(const Policy& policy, FencingToken token);

  // Restores a shard after a take-over: first the jobs, then their progress, each in any number of
  // calls. Accept() also adds new jobs later; it ignores a job that this owner has just deleted,
  // since a read of the submitted jobs may have begun before. RestoreCrashes() follows the job's
  // progress. Progress whose job is not there yet is kept and applied when Accept() adds the job;
  // until then, the ends of its runs are not acknowledged and its runs are not stopped.
  void Accept(const AcceptedJob& job, Time now);
  // `settled`: an earlier owner has stated that the record is settled; see settled_records.h.
  void Restore(const JobProgress& progress, Time now, bool settled = false);
  void RestoreCrashes(const JobCrashes& crashes, Time now);
  // Holds a job back whose recorded progress cannot be decoded: it is not started, and runs of it
  // are left to the workers. Call it before Restore().
  void HoldBack(JobId id);
  // Handles the deletion of a submitted job, by which its progress is forgotten.
  void Deleted(JobId id) { held_jobs_.Forget(id); }

  // Import and export the interference estimates, which one owner passes to the next.
  void RestoreInterference(const std::vector<InterferenceEstimate>& estimates) {
    interference_.Import(estimates, jobs_.images());
  }
  std::vector<InterferenceEstimate> LearnedInterference() const {
    return interference_.Export(jobs_.images());
  }

  // Permits starts and leases until `until`: no other instance owns the shard before then, or it
  // waits for what this owner may have ordered. Each call replaces the limit of the one before;
  // without a call there is none.
  void OwnUntil(Time until) { owned_until_ = until; }

  // Earlier owners may have granted leases and sent starts until `until`, at the time of day
  // `until_ms` in Unix milliseconds. Called before the first worker is listed; without a call, they
  // have ended by then.
  void ExpectEarlierOrders(Time until, std::int64_t until_ms) {
    workers_.ExpectEarlierOrders(until, until_ms);
  }

  // Tells which zones are evacuated. No start is sent there from now on, and starts that were not
  // sent are withdrawn. An older state than the last one is ignored. Where the policy has a limit
  // for evacuations, no start is sent before the first call, or when the read is too old.
  void SetEvacuations(const Evacuations& evacuations, Time now);
  // Returns the number of tasks that are placed in each evacuated zone.
  std::map<std::string, std::int64_t> TasksInEvacuatedZones() const;
  // Overload control (shard_overload.cc) is limited to `services`.
  void SetSharedServices(std::set<std::string> services);
  // Number of jobs that are chosen to become late.
  std::int64_t delayed_jobs() const { return overload_.delayed; }

  // Handles a registration that is read at `now`. `written_after`: a time after which it is known
  // to have been written; Time() if none is. A read may show it again after its worker has ended.
  void WorkerListed(const WorkerEntry& entry, Time now, Time written_after = Time());
  void WorkerUnlisted(const WorkerId& id, Time now);

  // Returns the entries of all managed workers: those that are listed or have placed tasks, and
  // whose address is known. Their leases must be renewed.
  std::vector<WorkerEntry> ManagedWorkers() const;
  // Returns the entry of a managed worker; nothing if the worker is not managed.
  std::optional<WorkerEntry> ManagedWorker(const WorkerId& id);
  // Returns the renewal to send to a worker now. The renewal may grant a lease, unless the
  // ownership has run out.
  Renewal NextRenewal(const WorkerId& id, Time now);
  // Handles the response to a renewal that was sent at `sent`.
  void Reported(const WorkerId& id, const OrderResponse& response, Time sent, Time now);
  // Handles the lack of a response to a renewal: the time for it is over, or else the connection
  // broke or could not be made.
  void RenewalFailed(const WorkerId& id, bool timed_out, Time now);

  // Handles the response to a start; std::nullopt if none arrived.
  void StartAnswered(const StartOrder& order, const std::optional<OrderResponse>& response,
                     Time now);

  // Handles the response to a stop; std::nullopt if none arrived.
  void StopAnswered(const StopOrder& order, const std::optional<OrderResponse>& response, Time now);

  // Handles the response to a change of speed; std::nullopt if none arrived.
  void ThrottleAnswered(const ThrottleOrder& order, const std::optional<OrderResponse>& response,
                        Time now);

  // Cancels a job. Returns false if there is no such job.
  bool Cancel(JobId id, Time now);

  // Plans starts, moves, stops and throttling. `wall_ms`: ms since 1970.
  void Plan(Time now, std::int64_t wall_ms);
  // Returns the changes since the last call.
  RecordBatch TakeBatch();
  // Handles the completion of a write: `batch` is durable, and its starts may be sent.
  void Recorded(const RecordBatch& batch, Time now);
  // Returns when the first copy of the oldest start was sent that may still be carried out; Time()
  // if it is an earlier owner's, Time::max() if there is none.
  Time OpenStartsSince(Time now) const;
  // Returns the orders that are due. A start is returned once; a stop is returned repeatedly until
  // a report shows its effect, and a change of speed until the worker has acknowledged it. For each
  // order, the caller passes the response to StartAnswered(), StopAnswered() or ThrottleAnswered(),
  // or std::nullopt if the order cannot be sent.
  Orders TakeOrders(Time now);

  // Returns whether a refusal of a call as fenced shows another owner: if not, this owner has begun
  // another series of calls to the worker meanwhile, or does not manage it any more.
  bool IsFenced(const WorkerId& worker, FencingToken token) const {
    return workers_.Find(worker) != nullptr && token >= CallToken(worker);
  }
  // Returns whether a start that was taken may still be sent: the ownership has not run out, and
  // its worker responds and has not given notice.
  bool MayStart(const StartOrder& order, Time now) const;

  // Returns the state of a job, as far as it is durable.
  JobState StateOf(JobId id) const;
  // Returns whether the job exists although this owner does not know its state.
  bool IsHeld(JobId id) const { return held_jobs_.IsOpen(id); }
  // Returns the number of open jobs of `queue` of which no worker has shown a run.
  std::int64_t WaitingOf(const std::string& queue) const;
  // Returns the numbers of open jobs of `queue` by the evidence of their start, for the log.
  StartCounts CountStarts(const std::string& queue) const { return dn::CountStarts(jobs_, queue); }
  // Counts for metrics and logs.
  std::size_t jobs() const { return jobs_.jobs().size(); }
  std::size_t workers() const { return workers_.workers().size(); }
  ShardLoad Load(Time now) const;
  // Returns the tasks that are due and have no live run. Call it after Plan(), with the same times.
  RunGaps CheckRunGaps(Time now, std::int64_t wall_ms);
  // Returns the jobs without a run although a best-effort task is ready. Call it after Plan().
  IdleJobs FindIdleJobs(Time now) const {
    return dn::FindIdleJobs(jobs_, workers_,
                            {.interference = interference_, .policy = policy_, .now = now});
  }
  std::vector<Decision> TakeDecisions();
  // Number of workers that were evaluated for a task so far: a measure of the cost of planning.
  std::int64_t workers_evaluated() const { return workers_evaluated_; }
  FencingToken token() const { return token_; }

 private:
  struct Waiting {
    JobRow* job;
    std::size_t occurrence;
    std::size_t step;
    Urgency urgency;

    friend bool operator<(const Waiting& a, const Waiting& b) { return a.urgency < b.urgency; }
  };

  // Applies what was kept of a job that has just been accepted.
  void ApplyHeld(JobId id, Time now);
  // Notes that `worker` has shown a run of the job.
  void MarkBegun(JobRow& job, const WorkerId& worker, Time now);
  // Notes that a call to the worker got no response; `call` names its kind.
  void NoteUnanswered(const WorkerId& id, std::string_view call, FencingToken token, Time now);
  // Returns the token of a call that is sent now.
  FencingToken CallToken(const WorkerRow& worker) const;
  FencingToken CallToken(const WorkerId& id) const;
  // Notes that a lease was granted by the clock of an incarnation that may have ended.
  void ShowDoubtfulLease(const WorkerRow& worker, std::string_view call, Time now);
  void ApplyEnd(WorkerRow& worker, const ReportedEnd& end, Time now);
  // Returns whether the end of any run of the task means that the task is done, also of a run that
  // this owner does not know. The members of a gang end together, and a latency-critical task is
  // never done. The job must exist.
  bool CompletesTask(const ReportedEnd& end) const;
  // Stops the run that this owner has placed, since `end` of another run completes the task.
  void StopSupersededRun(const WorkerRow& worker, const ReportedEnd& end);
  void ApplyRunning(WorkerRow& worker, const ReportedRun& running, Time now);
  // Places a waiting task on the worker that shows a run of it, so that it is not started elsewhere
  // beside that run. Runs of gangs, of ended jobs and of steps that are not ready are not adopted,
  // nor those older than the last known run.
  void AdoptUnknownRun(WorkerRow& worker, const ReportedRun& running, Time now);
  void Reconcile(WorkerRow& worker, const RunReport& report, Time sent, Time now);
  void ObserveInterference(const WorkerRow& worker);
  void Unplace(JobRow& job, std::size_t position, TaskPhase phase, Time now);
  // Withdraws the starts that wait to be sent to `worker`, first ones and repetitions, as far as
  // they exceed its capacity. Called whenever the capacity or the incarnation changes or a
  // repetition is added.
  void WithdrawStarts(WorkerRow& worker, Time now);
  // Withdraws the start of a task, and with it those of its gang. Tasks of which no start was sent
  // wait again; the others are stopped.
  void WithdrawStart(JobRow& job, std::size_t position, Time now);
  void CountFailure(WorkerRow& worker, JobRow& job, std::size_t position, Time now);
  void FinishIfDone(JobRow& job, Time now);
  // Notes that the runs in the first report of an incarnation began in that incarnation: their
  // starts reached the worker after it had restarted.
  void MarkRunsOfIncarnation(const WorkerRow& worker, const RunReport& report);
  // Handles the first report of the incarnation that started at `start_time_ms`.
  void HandleRestart(WorkerRow& worker, std::int64_t start_time_ms, Time now);
  // Counts a crash of `worker` for the tasks whose runs may have been there.
  void CountCrash(WorkerRow& worker, const std::vector<TaskRef>& lost, CrashEvidence evidence,
                  Time now);
  // The loss of a run, as far as it is known.
  struct Loss {
    LossKind kind;
    Duration ran;  // From the start to the last report; negative if that is older.
    bool fresh;    // The run may have started shortly before.
  };
  // Counts the loss of a run that is not counted yet; fails the job if the task is the cause.
  void Blame(JobRow& job, std::size_t position, const Loss& loss, Time now);
  void FailIfCause(JobRow& job, std::size_t position, Time now);
  // Notes that the worker of `run` ceased to respond shortly after the start; 0: of no run.
  void SetEarlyRun(JobRow& job, std::size_t position, int run);
  // Handles the first report of an incarnation that had ceased to respond: it lives.
  void HeardAgain(WorkerRow& worker);
  // Uses what a registration tells of the losses with a worker that may have lived.
  void ExplainLosses(const WorkerEntry& entry, Time now);
  // Notes the end of a run of the task on a worker that lived.
  void NoteOtherEnd(JobRow& job, std::size_t position, const ReportedEnd& end);
  void SetSuspect(JobRow& job, std::size_t position, bool suspect);
  // Ends the suspicion against a task if what is known by now speaks against it.
  void ReviewSuspect(JobRow& job, std::size_t position);
  // Clears the tasks that have been running for long enough since a crash, and those that have
  // waited for isolation for too long.
  void ClearSuspects(Time now);
  void ClearIfRunning(JobRow& job, std::size_t position);
  // Selects workers that take no other start until a suspect can be started there.
  void HoldWorkers(Time now);
  void HoldWorker(const JobRow& job, std::size_t position, Time now);
  // Returns whether the task may start on `worker` in spite of the suspects there or to come.
  bool MayUse(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now) const;
  // Excludes a worker that did not respond to a start from placement. The time doubles with each
  // consecutive start without a response, up to the quarantine.
  void AvoidUnresponsive(WorkerRow& worker, Time now);
  // Orders the stop of the task's run. The order is repeated until a report shows its effect.
  void Stop(JobRow& job, std::size_t position);
  void StopAll(JobRow& job);
  // Rebuilds `open_jobs_` and finds the jobs past their retention period.
  void CollectOpenJobs(Time now);
  std::vector<Waiting> CollectWaiting(Time now, std::int64_t wall_ms);
  // Puts steps that end before the latency-critical ones as far as RoomShare says.
  void ShareRoom(std::vector<Waiting>& waiting, Time now) const;
  // Counts the backlogs of the shared services and chooses the jobs that become late, at most every
  // kSelectionPeriod.
  void UpdateOverload(Time now, std::int64_t wall_ms);
  void CountCapacity(Time now);
  void CountWaiting(Time now, std::int64_t wall_ms);
  void CountJob(JobRow& job, BacklogFields& backlog, Time now, std::int64_t wall_ms);
  void ChooseLate(const std::string& service);
  void ObserveSize(const AcceptedJob& job);
  // Notes that a run of the task ended as done.
  void NoteWorkEnded(const JobRow& job, std::size_t position, Time now);
  // Places the tasks that are due on workers.
  void PlaceWaiting(Time now, std::int64_t wall_ms);
  // Returns the services with a worker whose runs are not known yet, for a limited time after the
  // first plan. Earlier owners may have started runs there that the records lack, so that tasks
  // which were known by the first plan must wait.
  std::set<std::string> UnreportedServices(Time now);
  void PlaceStep(const Waiting& waiting, SearchMemo& memo, Time now);
  bool PlaceGang(const Waiting& waiting, SearchMemo& memo, Time now);
  // Returns whether a worker refuses the task only for the number of tasks of its step there.
  bool LimitPerWorkerReached(const JobRow& job, std::size_t position, Time now) const;
  // Updates the time since when the job has had no run; `ready`: a task of it is ready. A run that
  // is being stopped, or whose worker has ceased to report, does not count.
  static void UpdateIdleTime(JobRow& job, bool ready, Time now);
  // Returns whether a task of a job without a run was placed so recently that its start may still
  // be confirmed.
  bool StartIsPending(const JobRow& job, Time now) const;
  // Starts a task at reduced speed for each job that has had no run for too long. While few cores
  // of a service are idle, at most one such task runs on a worker, so that late jobs do not slow
  // down a full fleet.
  void PlaceReduced(const std::vector<Waiting>& waiting, Time now);
  bool PlaceOneReduced(const Waiting& waiting, const ReducedStartLimits& limits, Time now);
  WorkerRow* BestWorker(const JobRow& job, std::size_t position, Time now);
  // Returns the workers that accept the task. The ranking holds for the other tasks of its step,
  // too, unless they are suspects or have to run on the rack of the first.
  WorkerRanking RankWorkers(const JobRow& job, std::size_t position, Time now);
  // Returns the cost of placing the task on `worker`; nothing if it may not run there. `rack`:
  // where the task should run; empty: anywhere.
  std::optional<double> CostOn(const WorkerRow& worker, const JobRow& job, std::size_t position,
                               const std::string& rack, Time now);
  // Returns the rack of the task's data, or that of the other tasks of a step that is to run on one
  // rack; empty if there is neither.
  std::string PreferredRack(const JobRow& job, std::size_t position);
  void Place(JobRow& job, std::size_t position, WorkerRow& worker, Time now);
  void ReleaseLostWorkers(Time now);
  void ReleaseSilentWorkers(Time now);
  // Returns the number up to which the worker may forget the ends of its runs, by a renewal that is
  // sent now.
  std::int64_t EndsToAcknowledge(WorkerRow& worker, Time now) const;
  void MoveStalled(Time now);
  void ControlThrottling(Time now);
  std::vector<ThrottleOrder> DueThrottles(Time now);
  // Returns whether the speed of an inherited run on `worker` may be ordered now. At most one such
  // order is in flight to a worker, so that a start waits for one round trip at most.
  bool MayOrderInheritedSpeed(const WorkerId& worker) const;
  // Returns whether a throttled task should run on another worker that accepts it.
  static bool WorthMoving(const JobRow& job, std::size_t position);
  void MoveIfSlow(JobRow& job, std::size_t position, Time now);
  // Tries again to move tasks at speed 0: other workers may accept them by now.
  void MoveThrottled(Time now);
  // Returns whether leases may be granted and starts sent.
  bool IsOwned(Time now) const { return now < owned_until_; }
  // Returns whether starts may be sent: the shard is owned, and what the operator has recorded on
  // zones is known.
  bool MaySendStarts(Time now) const;
  // Sets whether the worker's zone is evacuated, and withdraws the starts that wait for it if so.
  void ApplyEvacuations(WorkerRow& worker, Time now);
  // Withdraws the starts on a worker of an evacuated zone that were not sent, and stops those that
  // may have been sent and got no response.
  void WithdrawEvacuated(WorkerRow& worker, Time now);
  void WithdrawAllEvacuated(Time now);
  // Logs that the zone is evacuated or in service again.
  void ShowZone(const std::string& zone, Time now);
  // Returns the start of a placed task; nothing if its worker may not be sent a start now.
  std::optional<StartOrder> StartOf(JobRow& job, std::size_t position, Time now);
  void Decide(std::string kind, std::string subject, std::string detail);

  const Policy policy_;
  const FencingToken token_;
  Evacuations evacuations_;         // Without effect unless the policy has a limit for evacuations.
  Time owned_until_ = Time::max();  // The ownership may have passed to another instance then.
  JobTable jobs_;
  // Contains all jobs that have not ended; may contain others, until the next sweep.
  std::vector<JobRow*> open_jobs_;
  WorkerTable workers_;
  Interference interference_;
  std::set<TaskRef> stopping_;    // Contains all tasks with `stopping` set; may contain others.
  std::set<TaskRef> throttling_;  // Contains all tasks whose speed is not settled; others too.
  std::map<WorkerId, TaskKey> inherited_speed_orders_;  // In flight: speeds of inherited runs.
  // Contains the counted tasks (see CountedTask()) with crashes and all suspects; may contain
  // others. Only its members get a held worker or are released, so a suspect outside would never
  // start again.
  std::set<TaskRef> crashed_;
  LossWindow losses_;
  OpenLosses open_losses_;
  std::map<WorkerId, TaskRef> held_;  // In this plan: workers held for suspects, by counted task.
  std::set<TaskRef> holders_;         // The tasks in `held_`.
  std::int64_t workers_evaluated_ = 0;
  Time last_sweep_{};              // When Plan() last looked for stalled tasks and lost workers.
  Time first_plan_ = Time::max();  // Jobs that were received later are new.
  std::vector<TaskKey> planned_;   // Planned starts that are not in a batch yet.
  // Starts that were not taken yet. None exceeds the capacity in its worker's registration.
  std::vector<StartOrder> starts_;
  std::vector<StopOrder> orphaned_run_stops_;  // Stops of orphaned runs.
  std::map<WorkerId, std::pair<std::int64_t, std::int64_t>> ends_taken_;
  // Jobs past their retention period whose deletion is not in a batch yet.
  std::set<JobId> expired_;
  // Jobs whose deletion became durable less than kLateReadLimit ago, and when. Not in `jobs_`.
  std::map<JobId, Time> deleted_;
  RunGapMonitor run_gaps_;
  // Number of placements so far.
  std::int64_t placements_ = 0;
  bool advice_reported_ = false;  // Whether the log already contains advice-not-supported.
  std::vector<Decision> decisions_;
  HeldJobs held_jobs_;  // Only jobs that are not in `jobs_`.
  OverloadState overload_;
};

}  // namespace dn
