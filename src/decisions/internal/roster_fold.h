// Computes the membership, the set of participating instances, as a pure function
// of the stream "roster" up to an offset.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "decisions/internal/stream_fold.h"

namespace dn {

// An evicted member and the time at which its eviction was read.
struct EvictedMember {
  Instance instance;
  ClockReading time = 0;

  friend bool operator==(const EvictedMember&, const EvictedMember&) = default;
};

// The members and the recently evicted members.
struct MembershipState {
  std::map<InstanceId, Instance> members;
  std::vector<EvictedMember> evicted;  // Newest last; at most kMaxEvicted.

  // Returns the members in `region`, ordered by id.
  std::vector<Instance> MembersOf(const RegionName& region) const;
  // Returns whether this incarnation of `instance` is a member.
  bool Contains(const Instance& instance) const;

  friend bool operator==(const MembershipState&, const MembershipState&) = default;
};

// Rules of StreamFold for the stream "roster".
struct MembershipRules {
  using Record = MembershipRecord;
  using State = MembershipState;
  // Number of most recent evictions that are kept.
  static constexpr std::size_t kMaxEvicted = 512;

  static void Step(State& state, const StreamRecord<Record>& record);
  static std::optional<std::pair<State, Offset>> Restore(const StreamRecord<Record>& record);
  // Returns a snapshot of `state` at offset `as_of`. `now` is a time by the clock of
  // StreamRecord::time.
  static MembershipRecord Snapshot(const State& state, Offset as_of, ClockReading now);
};

using MembershipFold = StreamFold<MembershipRules>;

}  // namespace dn
