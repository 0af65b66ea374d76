// Membership of this node in the owner group, the shards assigned to it, and the
// owners of the other shards.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "node/internal/shard_assignment.h"

namespace dn {

class ShardMembership {
 public:
  struct Events {
    // The shard was assigned to this node; `token` is above that of any earlier
    // owner.
    std::function<void(int shard, FencingToken token)> gained;
    // The shard is no longer assigned to this node.
    std::function<void(int shard)> lost;
    // This node has become a candidate for ownership or withdrawn its candidacy.
    std::function<void(const Candidacy& candidacy)> candidacy;
  };

  // `processor_share`: cores that this node may use. `time_to_live`: the store
  // evicts this node when it has not joined for that long.
  ShardMembership(StoreClient& store, Endpoint own_address, double processor_share,
                  Duration time_to_live, Events events);

  // Renews the membership until Leave, while this node is a candidate.
  Task<> Run();
  // Releases all shards at once and leaves the group.
  Task<> Leave();
  // Leaves the group and joins it again as a new member. Called when a later owner
  // has fenced this node although the group still lists this node as the owner: the
  // next assignment then has a higher token.
  void Rejoin();
  // Address of the shard's owner from the cached owner list, which is read from the
  // store again when it is stale. kNotFound: the shard has no owner; other errors:
  // the store cannot be read.
  Task<Result<Endpoint>> OwnerOf(int shard);
  // Send time of the latest join by which the store confirmed that this node owns `shard` since it
  // gained it with `token`; Time() if it does not any more.
  Time last_confirmed(int shard, FencingToken token);
  Duration time_to_live() const { return time_to_live_; }
  // Name of this node in the group.
  std::string member();
  // Like OwnerOf, but never reads the store. kUnavailable: the cache is stale.
  Result<Endpoint> CachedOwnerOf(int shard);
  // Addresses of the members in the cached owner list, without this node.
  std::vector<Endpoint> OtherMembers();
  // Marks the cached owner list as stale.
  void InvalidateOwners();

 private:
  struct Table {
    std::string member;  // Member name of this node.
    ShardAssignment assignment;
    std::map<int, std::string> owners;  // Member name by partition.
    Time owners_read{};   // Send time of the last read; Time() once `owners` is stale.
    Time members_read{};  // Send time of the last read.
    Candidacy candidacy;
    bool joined = false;   // The store may list this node as a member.
    bool leaving = false;  // Leave has been called.
    bool rejoin = false;   // Rejoin has been called.
  };

  Join MakeJoin(const Table& table) const;
  // Joins once; reads the owners if the list of members is stale.
  Task<> RenewMembership(Join join);
  // Releases all shards and leaves the group; the next join uses a new member name.
  Task<> StepDown(Join join);
  // Updates the owned shards and reports the differences as events. `sent`: send time of
  // the join.
  void ApplyAssignment(const Membership& membership, Time sent);
  void Report(const AssignmentChanges& changes);
  // Reports a changed candidacy.
  void ReportCandidacy();
  // Records the time of a call to the store that was answered, as the distance to it.
  void RecordRoundTrip(Time sent);
  // Reads the owners from the store and updates the candidacy.
  Task<Result<>> ReadOwners();
  // Looks the owner up in the cached list, however old the list is.
  Result<Endpoint> FindOwner(int shard);

  StoreClient& store_;
  const Endpoint own_address_;
  const double processor_share_;
  const Duration time_to_live_;
  const Events events_;
  RetryBackoff read_retries_;  // Of Run, while this node is no candidate.
  Shared<Table, LockRank::kOwnedShards> table_;
};

}  // namespace dn
