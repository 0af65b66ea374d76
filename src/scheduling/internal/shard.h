// A shard: the jobs whose identifiers hash to it and the workers that it may
// use. All decisions of its owner are taken here, in the owner's time and
// without any input or output.
//
// Order of events for a task: planned -> intent recorded (TakeBatch, Recorded)
// -> start sent -> confirmed -> end reported -> end recorded -> end passed to
// the worker as seen. An owner that was replaced cannot record an intent, so it
// cannot start what its successor does not know of.
#pragma once

#include <string>
#include <vector>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/pace_control.h"
#include "scheduling/internal/placement_policy.h"
#include "scheduling/internal/search_memo.h"
#include "scheduling/internal/shard_load.h"
#include "scheduling/internal/urgency.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// A decision for the log: a few words and what decided them.
struct DecisionFields {
  std::string kind;
  std::string subject;
  std::string detail;
  // Of a job's first start: time since the job came to this owner.
  std::optional<Duration> waited = std::nullopt;

  friend auto operator<=>(const DecisionFields&, const DecisionFields&) = default;
};
using Decision = Immutable<DecisionFields>;

// Changes that become durable together.
struct RecordBatch {
  std::vector<JobProgress> records;
  std::vector<TaskKey> intents;                                    // With the run that was planned.
  std::vector<int> runs;                                           // Parallel to `intents`.
  std::map<WorkerId, std::pair<std::int64_t, std::int64_t>> ends;  // Life, largest end.
  std::vector<JobId> expired;  // Finished long ago: their records go.

  bool empty() const { return records.empty() && ends.empty() && expired.empty(); }
};

struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;

  bool empty() const { return starts.empty() && stops.empty() && paces.empty(); }
};

// What a caller is told about a job.
enum class ShownState { kUnknown, kPending, kRunning, kCompleted, kFailed, kCancelled };
template <>
struct EnumNames<ShownState> {
  static constexpr std::array<EnumName<ShownState>, 6> kNames = {
      {{ShownState::kUnknown, "unknown"},
       {ShownState::kPending, "pending"},
       {ShownState::kRunning, "running"},
       {ShownState::kCompleted, "completed"},
       {ShownState::kFailed, "failed"},
       {ShownState::kCancelled, "cancelled"}}};
};

class Shard {
 public:
  Shard(const Policy& policy, FencingToken token);

  // Take-over: jobs, then their progress, in any number of calls.
  void Accept(const AcceptedJob& job, Time now);
  void Restore(const JobProgress& progress, Time now);

  // What earlier owners learned of harm, and what a later one should know.
  void RestoreHarm(const std::vector<HarmEstimate>& estimates) {
    interference_.Import(estimates, jobs_.images());
  }
  std::vector<HarmEstimate> LearnedHarm() const { return interference_.Export(jobs_.images()); }

  void WorkerListed(const WorkerEntry& entry, Time now);
  void WorkerUnlisted(const WorkerId& id, Time now);

  // Identifiers of all workers that must be renewed.
  std::vector<WorkerEntry> WorkersInCare() const;
  // Entry of a worker in care; nothing if it is not.
  std::optional<WorkerEntry> InCare(const WorkerId& id);
  // Renewal to send to a worker now. A lease may be granted by it.
  Renewal NextRenewal(const WorkerId& id, Time now);
  // Answer to a renewal that was sent at `asked`.
  void Reported(const WorkerId& id, const OrderAnswer& answer, Time asked, Time now);

  // Answer to a start or, if there was none, std::nullopt.
  void StartAnswered(const StartOrder& order, const std::optional<OrderAnswer>& answer, Time now);

  // Answer to a stop or, if there was none, std::nullopt.
  void StopAnswered(const StopOrder& order, const std::optional<OrderAnswer>& answer, Time now);

  // Cancels a job. False: there is no such job.
  bool Cancel(JobId id, Time now);

  // Plans starts, moves, stops and pace. `wall_ms`: ms since 1970.
  void Plan(Time now, std::int64_t wall_ms);
  // Changes since the last call.
  RecordBatch TakeBatch();
  // `batch` is durable: its starts may be sent.
  void Recorded(const RecordBatch& batch, Time now);
  // Orders that are due. Starts appear once; stops and paces are repeated until
  // reports show them.
  Orders TakeOrders(Time now);

  // State as far as it is durable.
  ShownState StateOf(JobId id) const;
  // Accepted jobs without times of `queue` of which no task has started.
  std::int64_t WaitingOf(const std::string& queue) const;
  // Counts for metrics and logs.
  std::size_t jobs() const { return jobs_.jobs().size(); }
  std::size_t workers() const { return workers_.workers().size(); }
  ShardLoad Load(Time now) const;
  std::vector<Decision> TakeDecisions();
  // Workers that were weighed for a task so far: what planning costs.
  std::int64_t workers_weighed() const { return workers_weighed_; }
  FencingToken token() const { return token_; }

 private:
  struct Waiting {
    JobRow* job;
    std::size_t occurrence;
    std::size_t step;
    Urgency urgency;

    friend bool operator<(const Waiting& a, const Waiting& b) { return a.urgency < b.urgency; }
  };

  void ApplyEnd(WorkerRow& worker, const ReportedEnd& end, Time now);
  void ApplyRunning(WorkerRow& worker, const ReportedRun& running, Time now);
  void Reconcile(WorkerRow& worker, const RunReport& report, Time asked, Time now);
  void ObserveInterference(const WorkerRow& worker);
  void Unplace(JobRow& job, std::size_t position, TaskPhase phase, Time now);
  void CountFailure(WorkerRow& worker, JobRow& job, std::size_t position, Time now);
  void FinishIfDone(JobRow& job, Time now);
  // Leaves a worker out that did not answer a start, longer each time in a row.
  void AvoidUnanswering(WorkerRow& worker, Time now);
  // Has the task's run stopped; the order is repeated until a report shows it.
  void Stop(JobRow& job, std::size_t position);
  void StopAll(JobRow& job);
  std::vector<Waiting> CollectWaiting(Time now, std::int64_t wall_ms);
  void PlaceStep(const Waiting& waiting, SearchMemo& memo, Time now);
  bool PlaceGang(const Waiting& waiting, Time now);
  WorkerRow* BestWorker(const JobRow& job, std::size_t position, Time now);
  void Place(JobRow& job, std::size_t position, WorkerRow& worker, Time now);
  void ReleaseDeadWorkers(Time now);
  void MoveStalled(Time now);
  void ControlPace(Time now);
  void MoveIfSlow(JobRow& job, std::size_t position, Time now);
  std::optional<StartOrder> StartOf(const JobRow& job, std::size_t position, Time now);
  void Decide(std::string kind, std::string subject, std::string detail);

  const Policy policy_;
  const FencingToken token_;
  JobTable jobs_;
  WorkerTable workers_;
  Interference interference_;
  std::set<TaskRef> stopping_;  // All tasks with `stopping` set, and some without.
  std::int64_t workers_weighed_ = 0;
  Time swept_{};                  // When stalled tasks and dead workers were looked for.
  std::vector<TaskKey> planned_;  // Intents that are not in a batch yet.
  std::vector<StartOrder> starts_;
  std::vector<StopOrder> stray_stops_;  // Of runs that no task accounts for.
  std::vector<PaceOrder> paces_;
  std::map<WorkerId, std::pair<std::int64_t, std::int64_t>> ends_taken_;
  std::set<JobId> expired_;
  bool advice_reported_ = false;  // The log names a queue that waits for advice once.
  std::vector<Decision> decisions_;
};

}  // namespace dn
