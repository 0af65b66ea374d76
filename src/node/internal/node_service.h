// Job service of a node: what it owns it answers itself, the rest it asks the
// owners for.
#pragma once

#include "instance_link/instance_link.h"
#include "node/internal/shard_membership.h"
#include "node/internal/shard_owner.h"

namespace dn {

// Answers from this node's own knowledge only.
class LocalService final : public JobService {
 public:
  LocalService(StoreClient& store, const std::string& node);

  std::shared_ptr<const CatalogueView> View() override;
  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) override;
  Task<Result<JobState>> StateOf(JobId id, Time deadline) override;
  Task<Result<bool>> Cancel(JobId id, Time deadline) override;
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) override;
  bool Ready() override;

  // A later version replaces an earlier one; true if it did.
  bool InForce(const QueueConfiguration& catalogue);
  // The records of the configuration were read to their end at `at`.
  void Confirmed(Time at) { confirmed_ms_ = at.time_since_epoch().count(); }
  void SetOwner(int shard, std::shared_ptr<ShardOwner> owner);
  std::shared_ptr<ShardOwner> OwnerOf(int shard);
  void StartDrain() { draining_ = true; }
  bool draining() const { return draining_; }

 private:
  struct Table {
    std::shared_ptr<const CatalogueView> view;
    std::map<int, std::shared_ptr<ShardOwner>> owners;
  };

  StoreClient& store_;
  std::vector<std::shared_ptr<RecordWriter>> writers_;  // One a shard.
  std::atomic<std::int64_t> confirmed_ms_{0};
  std::atomic<bool> draining_{false};
  Shared<Table, LockRank::kCatalogue> table_;
};

class NodeService final : public JobService {
 public:
  NodeService(LocalService& local, ShardMembership& membership, HttpClient& http,
              Endpoint own_address)
      : local_(local), membership_(membership), http_(http), own_address_(std::move(own_address)) {}

  std::shared_ptr<const CatalogueView> View() override { return local_.View(); }
  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) override;
  Task<Result<JobState>> StateOf(JobId id, Time deadline) override;
  Task<Result<bool>> Cancel(JobId id, Time deadline) override;
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) override;
  bool Ready() override { return local_.Ready(); }

 private:
  // The shard's owner by the store or, if the store turns this node away, by the
  // other instances.
  Task<Result<Endpoint>> FindOwner(int shard, Time deadline);
  // Asks this node, then the owner, again and again until there is an answer.
  template <class T, class AskLocal, class AskRemote>
  Task<Result<T>> AskOwner(int shard, Time deadline, AskLocal local, AskRemote remote);

  LocalService& local_;
  ShardMembership& membership_;
  HttpClient& http_;
  const Endpoint own_address_;
};

}  // namespace dn
