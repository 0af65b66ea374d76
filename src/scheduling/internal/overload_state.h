// What a shard keeps for overload control: the backlogs of the shared services, the choices so
// far, and the rate of ends. It is kept in the owner's memory only.
#pragma once

#include <cmath>
#include <map>
#include <set>
#include <string>

#include "scheduling/internal/late_selection.h"

namespace dn {

// Recent work per millisecond, as an average that decays.
class EndRate {
 public:
  void Add(double work, Time now) {
    rate_ = At(now) + work / kMemoryMs;
    at_ = now;
  }
  double At(Time now) const {
    return rate_ * std::exp(-static_cast<double>((now - at_).count()) / kMemoryMs);
  }

 private:
  // A task takes 1 to 2 s, so that a shorter average would follow single ends.
  static constexpr double kMemoryMs = 2'000;

  double rate_ = 0;
  Time at_{};
};

struct OverloadState {
  std::set<std::string> services;  // Those that queues of several priorities share.
  Time counted_at{};               // When `backlogs` was counted.
  // By service; only of `services`.
  std::map<std::string, BacklogFields> backlogs;
  std::map<std::string, std::array<EndRate, 2>> end_rates;  // Indexed by CorePool.
  KindSizes sizes;
  DelayShares shares;
  std::int64_t delayed = 0;  // Jobs that are chosen to become late.
};

}  // namespace dn
