// Which shards this node owns, and who owns the others.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "node/internal/shards.h"

namespace dn {

class ShardMembership {
 public:
  struct Events {
    // The shard was dealt to this node; `token` is above that of any earlier
    // owner.
    std::function<void(int shard, FencingToken token)> gained;
    std::function<void(int shard)> lost;
    // This node offers itself as an owner from now on, or no longer does.
    std::function<void(bool offers)> candidacy;
  };

  // `processor_share`: cores that this node may use.
  ShardMembership(StoreClient& store, Endpoint own_address, double processor_share,
                  Duration time_to_live, Events events);

  // Keeps the membership until Leave, while this node is a candidate.
  Task<> Run();
  // Gives all shards up at once.
  Task<> Leave();
  // A later owner was met although the group still shows this node: joins anew,
  // so that the next deal brings a higher token.
  void Renew();
  // Address of the shard's owner by the store, at most about a second old.
  // kNotFound: nobody owns it; other errors: the store cannot be asked.
  Task<Result<Endpoint>> OwnerOf(int shard);
  // The same from what is known here already; kUnavailable: it may be old.
  Result<Endpoint> KnownOwnerOf(int shard);
  // Addresses of all members that were seen last, without this node's own.
  std::vector<Endpoint> OtherMembers();
  void ForgetOwners();

 private:
  struct Table {
    std::string member;
    std::int64_t generation = 0;
    std::set<int> held;
    std::map<int, std::string> owners;
    Time owners_read{};   // Time() once the owners are known to be out of date.
    Time members_read{};  // When `owners` was read.
    Candidacy candidacy;
    bool joined = false;  // The store may show this node as a member.
    bool leaving = false;
    bool renew = false;
  };

  Join JoinOf(const Table& table) const;
  Task<> KeepJoined(Join join);
  // Gives all shards up; the next join is that of a new member.
  Task<> StepDown(Join join);
  void Apply(const Membership& membership);
  Task<Result<>> ReadOwners();
  Result<Endpoint> FindOwner(int shard);

  StoreClient& store_;
  const Endpoint own_address_;
  const double processor_share_;
  const Duration time_to_live_;
  const Events events_;
  Shared<Table, LockRank::kOwnedShards> table_;
};

}  // namespace dn
