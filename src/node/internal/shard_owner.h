// Owner of one shard: takes it over, carries out the decisions of Shard, and records
// the progress of its jobs in the store.
#pragma once

#include <atomic>

#include "node/internal/node_adapter.h"
#include "node/internal/ownership.h"
#include "node/internal/shards.h"
#include "node/internal/take_over_read.h"

namespace dn {

class ShardOwner final : public WorkerLinkDelegate,
                         public std::enable_shared_from_this<ShardOwner> {
 public:
  struct Context {
    std::string instance;  // Identifier of this instance.
    WorkerPool& pool;
    HttpClient& http;
    SharedExchangeBudget& exchanges;  // With workers; all shards of this node share it.
    StoreClient& store;
    const NodeAdapter& adapter;
    DecisionLog& log;
    Metrics& metrics;
    Policy policy;
    // Zones that the operator evacuates, as far as this instance knows.
    std::function<Evacuations()> evacuations;
    // A later owner has fenced this one, or this one does not know what the store holds.
    std::function<void(int shard)> on_fenced;
    // Send time of the latest join by which the store confirmed the ownership.
    std::function<Time()> last_confirmed;
    Duration time_to_live;  // The ownership may expire this long after a join.
    // Active configuration of the queues.
    std::function<std::shared_ptr<const QueueConfigurationView>()> configuration;
    std::string member;  // Name of this node in the group.
  };

  ShardOwner(Context context, int shard, FencingToken token);

  // Takes the shard over and owns it until Drop.
  Task<> Run();
  // Ends all loops and logs `cause`. No further order or record is sent.
  void Drop(std::string_view cause);

  // The following functions return kUnavailable before the take-over is complete and
  // after Drop, and kOutdated if what this owner knows is too old to be told.

  // State of the job; reads the latest submissions from the store if it is unknown. The
  // state of a job that has ended is final and is returned however old it is.
  Task<Result<JobState>> StateOf(JobId id, Time deadline);
  // Cancels the job and waits until that is durable. False: there is no such job.
  // kUnavailable: also if the job has not ended by `deadline`.
  Task<Result<bool>> Cancel(JobId id, Time deadline);
  // Number of accepted jobs of `queue` of which no worker has begun a task.
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline);

  // WorkerLinkDelegate:
  std::optional<WorkerEntry> EntryOf(const WorkerId& worker) override;
  Renewal NextRenewal(const WorkerId& worker) override;
  bool MayStart(const StartOrder& order) override;
  void OnRenewalResponse(const WorkerId& worker, const OrderResponse& response, Time sent) override;
  void OnRenewalFailure(const WorkerId& worker, bool timed_out) override;
  void OnStartResponse(const StartOrder& order,
                       const std::optional<OrderResponse>& response) override;
  void OnStopResponse(const StopOrder& order,
                      const std::optional<OrderResponse>& response) override;
  void OnThrottleResponse(const ThrottleOrder& order,
                          const std::optional<OrderResponse>& response) override;
  void OnFenced(const WorkerId& worker, FencingToken token) override;

 private:
  using Links = std::map<WorkerId, std::shared_ptr<WorkerLink>>;
  struct Table {
    Shard shard;
    Links links;
  };

  // Tells the shard until when earlier owners may act, which were fenced at `fenced_at`: they may
  // be unaware of their replacement for their time to live, unless they are known to have ended.
  // Returns that time.
  Task<Time> ExpectEarlierOwners(RecordedProgress progress, Time fenced_at);
  // Fences earlier owners and restores the shard from the store. Returns false if
  // the shard was dropped meanwhile.
  Task<bool> TakeOver();
  // Reads the progress, whose end is at least `fence_end`, until that succeeds or Drop is called.
  Task<NewestCursor> ReadProgress(std::int64_t fence_end);
  void RestoreProgress(const RecordedProgress& progress);
  OwnerView View() const;
  // Until when the ownership is confirmed.
  Time OwnedUntil() const;
  // Until when starts may be sent: the registrations of the workers must be recent, too.
  Time StartsUntil() const;
  // Passes `until` to the shard as the end of its ownership, and what is known of evacuated zones,
  // and returns the result of `function`, which is called under the shard's lock.
  template <class Function>
  auto WithOwned(Time until, Function&& function);
  // Passes a new configuration of the queues to the shard.
  void FollowQueues();
  // Writes to the log that the ownership has run out or is confirmed again.
  void ShowOwnership(Time now);
  // Writes to the log that starts wait for a read of the operator's records, or go on.
  void ShowEvacuations(Time now);
  // Returns an error if the view is too old to be told, even after another read of the
  // submitted jobs.
  Task<Result<>> EnsureCurrentView(Time deadline);
  // Logs that the view is too old to be told, and returns the error for the caller.
  Errc RefuseOutdated();
  // Reads the submitted jobs up to the current end of the partition. Concurrent callers
  // share a read that was sent after each of them called. Returns false if that fails.
  Task<bool> ReadSubmittedJobs(Time deadline);
  Task<> RunJobsRead(std::uint64_t number);
  Task<> FollowJobs();
  Task<> FollowWorkers();
  // Plans and sends orders.
  Task<> PlanLoop();
  // Records the progress of jobs and deletes expired jobs.
  Task<> RecordLoop();
  // Returns this owner's record.
  StoreRecord OwnershipRecord(std::int64_t settled_end) const;
  // Logs the runs and ends of `batch`, which is durable, and where the store placed it.
  void LogStored(const StoredAppend& stored, const RecordBatch& batch);
  Task<> RunLink(std::shared_ptr<WorkerLink> link, WorkerId worker);
  // Opens a link to each worker of the shard that has none yet.
  void OpenLinks();
  void SendOrders(const Orders& orders);
  void HandleJobs(const std::vector<StoreRecord>& records);
  void HandleWorkers(const std::vector<StoreRecord>& records, bool complete);
  // Writes the tasks without a live run to the log and the metrics.
  void ShowRunGaps(const RunGaps& gaps);
  // Writes the jobs without a run to the log and the metrics.
  void ShowIdleJobs(const IdleJobs& idle);
  // Shows in the metrics how long looks at workers wait, and returns it.
  ExchangeWaits ShowExchangeWaits();
  void LogDecisions(const std::vector<Decision>& decisions);

  Context context_;
  const int shard_;
  const FencingToken token_;
  std::atomic<bool> active_{true};          // Drop has not been called.
  std::atomic<bool> open_{false};           // The take-over is complete; requests are served.
  std::atomic<std::int64_t> opened_ms_{0};  // Time when `open_` was set.
  Shared<Table, LockRank::kShard> table_;
  Notifier changed_;   // The shard needs a new plan.
  Notifier recorded_;  // There may be something to record, or a batch is durable.
  // Reads that ReadSubmittedJobs starts are numbered from 1; one runs at a time.
  std::atomic<bool> reading_jobs_{false};
  std::atomic<std::uint64_t> jobs_reads_started_{0};
  std::atomic<std::uint64_t> jobs_read_completed_{0};  // Latest read that reached the end.
  std::atomic<std::uint64_t> jobs_read_failed_{0};     // Latest read that failed.
  Notifier jobs_read_ended_;
  // As last passed to the shard. Used only by PlanLoop.
  std::shared_ptr<const QueueConfigurationView> queues_;
  bool owned_ = true;              // As last written to the log. Used only by PlanLoop.
  bool evacuations_known_ = true;  // The same.
  // Keys of the records of earlier owners, to be deleted. Set by TakeOver, then used only by
  // RecordLoop.
  std::vector<std::string> earlier_ownerships_;
  SettledRecords settled_;       // Set by TakeOver, then used only by RecordLoop.
  const std::int64_t since_ms_;  // When this owner was created, in ms since 1970.
  const std::shared_ptr<RecordWriter> progress_;
  const std::shared_ptr<RecordWriter> job_cleaner_;  // Deletes expired jobs.
  KeyedFollower jobs_;                               // Submitted jobs.
  RegistrationReader registrations_;                 // Used by the handler of workers_ only.
  KeyedFollower workers_;                            // Worker registrations.
};

}  // namespace dn
