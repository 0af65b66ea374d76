// Decides which members may be evicted, and when an instance writes a snapshot of a
// stream.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "decisions/internal/roster_fold.h"

namespace dn {

// Time after which a member that the store's group no longer lists counts as ended.
// It exceeds the time that an instance takes to rejoin after an outage of the store,
// during which memberships may expire.
inline constexpr Duration kDepartureTimeout{3'000};

// Detects instances that have left the store's group. Missing heartbeats of a sibling
// are no reason for eviction, because the sibling may only be paused.
class DepartureDetector {
 public:
  // Records the members that the store's group lists at `now`.
  void Observe(const std::set<InstanceId>& listed, Time now) {
    last_observed_ = now;
    for (auto& [id, missing_since] : seen_) {
      if (missing_since == kListed) missing_since = now;
    }
    for (const InstanceId& id : listed) seen_[id] = kListed;
  }

  // Returns the members that may be evicted. Only responses of the store count as
  // observations: no member becomes due while the store is unavailable.
  std::vector<Instance> MembersToEvict(const MembershipState& membership) const {
    std::vector<Instance> departed;
    for (const auto& [id, member] : membership.members) {
      const auto found = seen_.find(id);
      if (found == seen_.end() || found->second == kListed) continue;
      if (last_observed_ - found->second >= kDepartureTimeout) departed.push_back(member);
    }
    return departed;
  }

 private:
  static constexpr Time kListed = Time::max();
  Time last_observed_{};
  // For each instance that was ever listed: the time at which the store's group stopped
  // listing it, or kListed.
  std::map<InstanceId, Time> seen_;
};

// Returns whether instance `self` should write a snapshot. The first member in order
// of id writes one when the newest snapshot is older than a quarter of the retention;
// each further member waits 1/32 of the retention longer, up to half of it in total.
inline bool SnapshotIsDue(const MembershipState& membership, const InstanceId& self,
                          ClockReading now, ClockReading newest_snapshot, Duration retention) {
  constexpr int kAgeDivisor = 4;
  constexpr int kRankDelayDivisor = 32;
  const auto rank = std::distance(membership.members.begin(), membership.members.lower_bound(self));
  const auto steps = std::min<std::ptrdiff_t>(rank, kRankDelayDivisor / kAgeDivisor);
  const Duration age = retention / kAgeDivisor + steps * (retention / kRankDelayDivisor);
  return now - newest_snapshot >= age.count();
}

}  // namespace dn
