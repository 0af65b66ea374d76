// Compares each response to a join with the one before it.
#include "node/internal/shard_assignment.h"

namespace dn {

AssignmentChanges ShardAssignment::Apply(const Membership& membership, Time sent) {
  const bool has_run_out = confirmed_ != Time() && sent - confirmed_ >= time_to_live_ &&
                           membership->generation != generation_;
  const std::map<int, FencingToken> before = std::exchange(owned_, {});
  AssignmentChangesFields changes{.token = membership->generation};
  for (const int shard : membership->partitions) {
    if (shard >= kShardCount) continue;
    const auto known = before.find(shard);
    const bool kept = known != before.end() && !has_run_out;
    owned_[shard] = kept ? known->second : membership->generation;
    if (!kept) changes.gained.push_back(shard);
  }
  for (const auto& [shard, token] : before) {
    if (owned_.count(shard) == 0 || has_run_out) changes.lost.push_back(shard);
  }
  generation_ = membership->generation;
  confirmed_ = sent;
  return AssignmentChanges(std::move(changes));
}

AssignmentChanges ShardAssignment::Release() {
  AssignmentChangesFields changes;
  for (const auto& [shard, token] : owned_) changes.lost.push_back(shard);
  owned_.clear();
  confirmed_ = Time();
  return AssignmentChanges(std::move(changes));
}

Time ShardAssignment::last_confirmed(int shard, FencingToken token) const {
  const auto found = owned_.find(shard);
  const bool owned = found != owned_.end() && found->second == token;
  return owned ? confirmed_ : Time();
}

bool ShardAssignment::Owns(int shard, Time now) const {
  return owned_.count(shard) > 0 && now - confirmed_ < time_to_live_;
}

}  // namespace dn
