// Evidence for retiring a member, and who writes snapshots of a stream.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "decisions/internal/roster_fold.h"

namespace dn {

// A member of the store's group that is no longer shown there for this long has
// ended: longer than an instance takes to come back after an outage of the store,
// during which memberships may lapse.
inline constexpr Duration kGoneTime{3'000};

// Watches who is a member of the store's group. A silent sibling alone is no
// evidence: it may be paused.
class DepartureWatch {
 public:
  void Observe(const std::set<InstanceId>& shown, Time now) {
    last_observed_ = now;
    for (auto& [id, gone_since] : seen_) {
      if (gone_since == kShown) gone_since = now;
    }
    for (const InstanceId& id : shown) seen_[id] = kShown;
  }

  // Members that may be retired. Only answers of the store count: while it is
  // down nothing becomes gone.
  std::vector<Instance> ToRetire(const RosterState& roster) const {
    std::vector<Instance> gone;
    for (const auto& [id, member] : roster.members) {
      const auto found = seen_.find(id);
      if (found == seen_.end() || found->second == kShown) continue;
      if (last_observed_ - found->second >= kGoneTime) gone.push_back(member);
    }
    return gone;
  }

 private:
  static constexpr Time kShown = Time::max();
  Time last_observed_{};
  // kShown, or since when it is not.
  std::map<InstanceId, Time> seen_;
};

// Share of the retention after which the first member writes a snapshot; each
// further member in order of id waits a little longer.
inline bool SnapshotIsDue(const RosterState& roster, const InstanceId& self, ClockReading now,
                          ClockReading newest_snapshot, Duration retention) {
  constexpr int kShares = 4;
  constexpr int kSharesPerRank = 32;
  const auto rank = std::distance(roster.members.begin(), roster.members.lower_bound(self));
  const auto steps = std::min<std::ptrdiff_t>(rank, kSharesPerRank / kShares);
  const Duration age = retention / kShares + steps * (retention / kSharesPerRank);
  return now - newest_snapshot >= age.count();
}

}  // namespace dn
