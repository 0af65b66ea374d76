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
struct RetiredMember {
  Instance instance;
  ClockReading time = 0;

  friend bool operator==(const RetiredMember&, const RetiredMember&) = default;
};

// The members and the recently evicted members.
struct RosterState {
  std::map<InstanceId, Instance> members;
  std::vector<RetiredMember> retired;  // Newest last; at most kMaxRetired.

  // Returns the members in `region`, ordered by id.
  std::vector<Instance> MembersOf(const RegionName& region) const;
  // Returns whether this incarnation of `instance` is a member.
  bool Contains(const Instance& instance) const;

  friend bool operator==(const RosterState&, const RosterState&) = default;
};

// Rules of StreamFold for the stream "roster".
struct RosterRules {
  using Record = RosterRecord;
  using State = RosterState;
  // Number of most recent evictions that are kept.
  static constexpr std::size_t kMaxRetired = 512;

  static void Step(State& state, const Logged<Record>& record);
  static std::optional<std::pair<State, Offset>> Restore(const Logged<Record>& record);
  // Returns a snapshot of `state` at offset `as_of`. `now` is a time by the clock of
  // Logged::time.
  static RosterRecord Snapshot(const State& state, Offset as_of, ClockReading now);
};

using RosterFold = StreamFold<RosterRules>;

}  // namespace dn
