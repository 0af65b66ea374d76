// Evidence for retiring a member, and who writes snapshots of a stream.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "decisions/internal/roster_fold.h"

namespace dn {

// A member that the platform's list showed as live and then no longer shows
// for this long has ended.
inline constexpr Duration kGoneTime{5000};

// Watches the platform's instance list. A silent sibling alone is no evidence:
// it may be paused.
class DepartureWatch {
 public:
  void Observe(const InstanceList& list, Time now) {
    last_observed_ = now;
    for (auto& [id, gone_since] : seen_) {
      if (gone_since == kListed) gone_since = now;
    }
    for (const ListedInstance& instance : list->instances) seen_[instance->id] = kListed;
  }

  // Members that may be retired. Only answers of the list count: while it is
  // down nothing becomes gone.
  std::vector<Instance> ToRetire(const RosterState& roster) const {
    std::vector<Instance> gone;
    for (const auto& [id, member] : roster.members) {
      const auto found = seen_.find(id);
      if (found == seen_.end() || found->second == kListed) continue;
      if (last_observed_ - found->second >= kGoneTime) gone.push_back(member);
    }
    return gone;
  }

 private:
  static constexpr Time kListed = Time::max();
  Time last_observed_{};
  // kListed, or since when it is not listed.
  std::map<InstanceId, Time> seen_;
};

// Share of the retention after which the first member writes a snapshot; each
// further member in order of id waits a little longer.
inline bool SnapshotIsDue(const RosterState& roster, const InstanceId& self, ClockReading log_now,
                          ClockReading newest_snapshot, Duration retention) {
  constexpr int kShares = 4;
  constexpr int kSharesPerRank = 32;
  const auto rank = std::distance(roster.members.begin(), roster.members.lower_bound(self));
  const auto steps = std::min<std::ptrdiff_t>(rank, kSharesPerRank / kShares);
  const Duration age = retention / kShares + steps * (retention / kSharesPerRank);
  return log_now - newest_snapshot >= age.count();
}

}  // namespace dn
