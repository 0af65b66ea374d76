// Roster: the instances that take part, as a pure function of the stream
// "roster" up to an offset.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "decisions/internal/stream_fold.h"

namespace dn {

// A retired member and when its retirement was read.
struct RetiredMember {
  Instance instance;
  ClockReading time = 0;

  friend bool operator==(const RetiredMember&, const RetiredMember&) = default;
};

struct RosterState {
  std::map<InstanceId, Instance> members;
  std::vector<RetiredMember> retired;  // Newest last; at most kMaxRetired.

  std::vector<Instance> MembersOf(const RegionName& region) const;
  bool Contains(const Instance& instance) const;

  friend bool operator==(const RosterState&, const RosterState&) = default;
};

struct RosterRules {
  using Record = RosterRecord;
  using State = RosterState;
  // Retired members older than this many retirements are forgotten.
  static constexpr std::size_t kMaxRetired = 512;

  static void Step(State& state, const Logged<Record>& record);
  static std::optional<std::pair<State, Offset>> Restore(const Logged<Record>& record);
  // `now`: by the clock of Logged::time.
  static RosterRecord Snapshot(const State& state, Offset as_of, ClockReading now);
};

using RosterFold = StreamFold<RosterRules>;

}  // namespace dn
