// Lock order of the shared tables. A thread that holds a lock may take only
// locks of a higher rank. Builds without NDEBUG check this at every acquisition
// and abort on a violation. No lock is held across a suspension of a coroutine.
//
//   rank                 table                          package
//   kConfiguration       configuration fold             store
//   kMembers             membership fold                store
//   kKeys                key fold and pending claims    store
//   kWorkers             registered workers, departures entry
//   kIsolation           own state, contact with peers  entry
//   kSlots               slots and waiting requests     caller
//   kHealth              ejected backend servers        backend_server
//   kSiblings            received heartbeats            sibling
//   kQueueConfiguration  active queue configuration     node
//   kOwnedShards         shards that this node owns     node
//   kShard               jobs and workers of a shard    node
//   kOrders              queued orders to a worker      task_worker
//   kExchanges           budget of exchanges            task_worker
//   kRecords             queue of a RecordWriter        store
//   kReads               progress of a KeyedFollower    store
//   kAppends             queues of a StreamAppender     store
//   kConnections         idle connections               runtime, backend_server
//   kEvents              ring of events, decision log   runtime
//   kMetrics             request times                  runtime
#pragma once

#include <mutex>
#include <utility>

namespace dn {

enum class LockRank : int {
  kConfiguration = 10,
  kMembers = 20,
  kKeys = 40,
  kWorkers = 50,
  kIsolation = 60,
  kSlots = 70,
  kHealth = 80,
  kSiblings = 100,
  kQueueConfiguration = 101,
  kOwnedShards = 102,
  kShard = 104,
  kOrders = 106,
  kExchanges = 107,
  kRecords = 108,
  kReads = 109,
  kAppends = 110,
  kConnections = 120,
  kEvents = 130,
  kMetrics = 140,
};

// Mutex that checks the lock order in builds without NDEBUG.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}
  void lock();
  void unlock();

 private:
  const LockRank rank_;
  std::mutex mutex_;
};

// A table that several threads share. It is accessible only under its lock.
template <class Table, LockRank kRank>
class Shared {
 public:
  template <class... Args>
  explicit Shared(Args&&... args) : table_(std::forward<Args>(args)...) {}

  // Runs `use(table)` under the lock and returns its result.
  template <class Use>
  auto With(Use use) {
    const std::lock_guard<RankedMutex> lock(mutex_);
    return use(table_);
  }
  template <class Use>
  auto With(Use use) const {
    const std::lock_guard<RankedMutex> lock(mutex_);
    return use(table_);
  }

 private:
  mutable RankedMutex mutex_{kRank};
  Table table_;
};

}  // namespace dn
