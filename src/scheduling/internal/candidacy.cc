// Withdrawal of the candidacy in favour of larger instances.
#include "scheduling/internal/candidacy.h"

#include <algorithm>

namespace dn {
namespace {

// An instance withdraws in favour of a member that is at least this many times as large. Below this
// ratio a handover of shards costs more than it gains.
constexpr double kMuchLarger = 2.0;
// Reads must show no much larger member for this long before an instance becomes a candidate.
// Instances of one deployment start within 0.3 s of each other; a join, and the read that contains
// it, take a few round trips to the store.
constexpr Duration kSettlingPeriod{500};

}  // namespace

void Candidacy::RecordMembers(const std::vector<double>& shares, Time now) {
  larger_member_ = std::any_of(shares.begin(), shares.end(),
                               [&](double share) { return share >= kMuchLarger * share_; });
  if (larger_member_) {
    no_larger_member_since_.reset();
    candidate_ = false;
    return;
  }
  if (!no_larger_member_since_) no_larger_member_since_ = now;
  candidate_ = candidate_ || now - *no_larger_member_since_ >= kSettlingPeriod;
}

void Candidacy::RecordReadFailure() {
  larger_member_ = false;
  no_larger_member_since_.reset();
}

}  // namespace dn
