// Job service of a node. Requests for shards that the node owns are handled locally,
// others are forwarded to the owner.
#pragma once

#include "instance_link/instance_link.h"
#include "node/internal/owner_call.h"
#include "node/internal/shard_membership.h"
#include "node/internal/shard_owner.h"

namespace dn {

// Handles requests from local state only; never calls another instance.
class LocalService final : public JobService {
 public:
  LocalService(StoreClient& store, const std::string& node, DecisionLog& log);

  std::shared_ptr<const QueueConfigurationView> CurrentConfiguration() override;
  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) override;
  Task<Result<JobState>> StateOf(JobId id, Time deadline) override;
  Task<Result<bool>> Cancel(JobId id, Time deadline) override;
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) override;
  bool Ready() override;

  // Makes `configuration` the active configuration unless the active one has the same or
  // a later version. Returns whether it did.
  bool Activate(const QueueConfiguration& configuration);
  // Records that a read of the configuration that was sent at `sent` returned its newest
  // record.
  void SetConfigurationRead(Time sent) { configuration_read_ms_ = sent.time_since_epoch().count(); }
  // Sets the owner of `shard` on this node; null if this node does not own it.
  void SetOwner(int shard, std::shared_ptr<ShardOwner> owner);
  // Owner of `shard` on this node; null if this node does not own it.
  std::shared_ptr<ShardOwner> OwnerOf(int shard);
  // Makes Ready return false from now on.
  void StartDrain() { draining_ = true; }
  bool draining() const { return draining_; }

 private:
  struct Table {
    std::shared_ptr<const QueueConfigurationView> view;
    std::map<int, std::shared_ptr<ShardOwner>> owners;
  };

  StoreClient& store_;
  std::vector<std::shared_ptr<RecordWriter>> writers_;  // One per shard.
  std::atomic<std::int64_t> configuration_read_ms_{0};
  std::atomic<bool> draining_{false};
  Shared<Table, LockRank::kQueueConfiguration> table_;
};

// Handles requests locally or by calls to other instances.
class NodeService final : public JobService {
 public:
  NodeService(LocalService& local, ShardMembership& membership, HttpClient& http,
              Endpoint own_address, DecisionLog& log, Metrics& metrics)
      : local_(local),
        membership_(membership),
        http_(http),
        own_address_(std::move(own_address)),
        log_(log),
        metrics_(metrics) {}

  std::shared_ptr<const QueueConfigurationView> CurrentConfiguration() override {
    return local_.CurrentConfiguration();
  }
  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) override;
  Task<Result<JobState>> StateOf(JobId id, Time deadline) override;
  Task<Result<bool>> Cancel(JobId id, Time deadline) override;
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) override;
  bool Ready() override { return local_.Ready(); }

 private:
  // Looks the shard's owner up in the store or, if the store rejects this node, at
  // the other instances. kNotFound: the shard has no owner; kUnavailable: neither the
  // store nor another instance returned one.
  Task<Result<Endpoint>> FindOwner(int shard, Time deadline);
  // Calls `local`, then `remote` with the shard's owner, and retries both until one
  // succeeds. kUnavailable: none did within kOwnerLookupTimeout or by `deadline`.
  // kOutdated: the owner refused and the latest list of owners names no other.
  template <class T, class CallLocal, class CallRemote>
  Task<Result<T>> CallOwner(int shard, Time deadline, CallLocal local, CallRemote remote);
  // Logs a call to the owner of `shard` that failed, was repeated or was slow.
  void LogOwnerCall(int shard, const OwnerCall& call, Duration took);

  LocalService& local_;
  ShardMembership& membership_;
  HttpClient& http_;
  const Endpoint own_address_;
  DecisionLog& log_;
  Metrics& metrics_;
};

}  // namespace dn
