// Which shards this node owns, by the responses of the store to its joins.
#pragma once

#include <map>
#include <vector>

#include "node/internal/shards.h"

namespace dn {

// What a response changes. A shard may be lost and gained at once.
struct AssignmentChangesFields {
  std::vector<int> lost;    // In ascending order.
  std::vector<int> gained;  // In ascending order.
  FencingToken token = 0;   // With which shards are gained.

  friend auto operator<=>(const AssignmentChangesFields&, const AssignmentChangesFields&) = default;
};
using AssignmentChanges = Immutable<AssignmentChangesFields>;

class ShardAssignment {
 public:
  // `time_to_live`: the store evicts this node when it has not joined for that long.
  explicit ShardAssignment(Duration time_to_live) : time_to_live_(time_to_live) {}

  // Applies the response to a join that was sent at `sent`. Responses must be applied in the order
  // in which their joins were sent. A shard that was not confirmed for the time to live while the
  // group changed counts as lost and gained again: another member may have owned it meanwhile.
  AssignmentChanges Apply(const Membership& membership, Time sent);
  // All shards are lost.
  AssignmentChanges Release();

  // Last generation received; 0 if there was none.
  std::int64_t generation() const { return generation_; }
  // Send time of the latest join by which the store confirmed that this node owns `shard` since it
  // gained it with `token`; Time() if it does not any more.
  Time last_confirmed(int shard, FencingToken token) const;
  // Returns whether this node owns `shard` and the store has confirmed that in the time to live.
  bool Owns(int shard, Time now) const;

 private:
  Duration time_to_live_;
  std::int64_t generation_ = 0;
  std::map<int, FencingToken> owned_;  // The token with which each shard was gained.
  Time confirmed_{};                   // Send time of the join that returned `owned_`.
};

}  // namespace dn
