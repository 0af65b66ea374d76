// Owner of one shard: takes it over, carries out the decisions of Shard, and
// keeps what must last in the store.
#pragma once

#include <atomic>

#include "node/internal/node_adapter.h"
#include "node/internal/shards.h"

namespace dn {

class ShardOwner final : public WorkerCare, public std::enable_shared_from_this<ShardOwner> {
 public:
  struct Context {
    WorkerPool& pool;
    HttpClient& http;
    StoreClient& store;
    const NodeAdapter& adapter;
    DecisionLog& log;
    Metrics& metrics;
    Policy policy;
    std::function<void(int shard)> fenced;  // A later owner was met.
  };

  ShardOwner(Context context, int shard, FencingToken token);

  // Takes the shard over and works until Drop.
  Task<> Run();
  // Ends all work. Nothing is sent or recorded afterwards.
  void Drop(const char* cause);

  // kUnavailable until the shard is taken over, and once it was dropped.
  Task<Result<JobState>> StateOf(JobId id);
  Task<Result<bool>> Cancel(JobId id, Time deadline);
  Result<std::int64_t> WaitingOf(const std::string& queue);

  // WorkerCare:
  std::optional<WorkerEntry> EntryOf(const WorkerId& worker) override;
  Renewal NextRenewal(const WorkerId& worker) override;
  void Reported(const WorkerId& worker, const OrderResponse& answer, Time asked) override;
  void StartAnswered(const StartOrder& order, const std::optional<OrderResponse>& answer) override;
  void StopAnswered(const StopOrder& order, const std::optional<OrderResponse>& answer) override;
  void Fenced(const WorkerId& worker) override;

 private:
  using Links = std::map<WorkerId, std::shared_ptr<WorkerLink>>;
  struct Table {
    Shard shard;
    Links links;
  };

  Task<bool> TakeOver();
  Task<> FollowJobs();
  Task<> FollowWorkers();
  Task<> PlanLoop();
  Task<> RecordLoop();
  Task<> RunLink(std::shared_ptr<WorkerLink> link, WorkerId worker);
  void OpenLinks();
  void SendOrders(const Orders& orders);
  void HandleJobs(const std::vector<StoreRecord>& records);
  void HandleWorkers(const std::vector<StoreRecord>& records, bool complete);
  void LogDecisions(const std::vector<Decision>& decisions);

  Context context_;
  const int shard_;
  const FencingToken token_;
  std::atomic<bool> active_{true};
  std::atomic<bool> open_{false};  // Taken over: answers can be given.
  Shared<Table, LockRank::kShard> table_;
  Notifier changed_;   // The shard needs a new plan or has something to record.
  Notifier recorded_;  // A batch became durable.
  const std::shared_ptr<RecordWriter> progress_;
  const std::shared_ptr<RecordWriter> job_cleaner_;
  KeyedFollower jobs_;
  KeyedFollower workers_;
};

}  // namespace dn
