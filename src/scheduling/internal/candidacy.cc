// Withdrawal of the candidacy in favour of larger instances and of those near the store.
#include "scheduling/internal/candidacy.h"

#include <algorithm>

namespace dn {
namespace {

// An instance withdraws in favour of a member that is at least this many times as large. Below this
// ratio a handover of shards costs more than it gains.
constexpr double kMuchLarger = 2.0;
// Reads must show no preferred member for this long before an instance becomes a candidate.
// Instances of one deployment start within 0.3 s of each other; a join, and the read that contains
// it, take a few round trips to the store.
constexpr Duration kSettlingPeriod{500};
// Time from its first successful read before an instance far from the store becomes a candidate
// after its start; failed reads, which a slow store causes, do not prolong it. When all instances
// start at once, the near ones have joined by then, and the shard is not first given to a far one
// that has to read it over the link between the regions.
constexpr Duration kFarSettlingPeriod{1'500};
// Round trips of instances near the store are shorter, and those of far ones at least as long.
// Zones of one region are up to 4.4 ms apart (8.8 ms of round trip), regions 20 ms (40 ms); the
// store responds within 4 ms. Between the limits an instance is neither near nor far.
constexpr Duration kNearRoundTrip{20};
constexpr Duration kFarRoundTrip{30};
// A candidate withdraws for a nearer member after that has been listed for this long: one that
// starts and fails repeatedly, as during an incident, does not take the shards away each time.
constexpr Duration kNearerPeriod{2'000};

}  // namespace

void Candidacy::RecordRoundTrip(Duration round_trip) {
  round_trip_ = std::min(round_trip, round_trip_.value_or(round_trip));
}

bool Candidacy::IsNearer(const GroupMember& member) const {
  return round_trip_ && *round_trip_ >= kFarRoundTrip && member->store_round_trip &&
         *member->store_round_trip < kNearRoundTrip &&
         kMuchLarger * member->processor_share > share_;
}

bool Candidacy::HasWaitedForNearer(Time now) const {
  const bool is_far = round_trip_ && *round_trip_ >= kFarRoundTrip;
  return !is_far || has_settled_ || now - *first_read_ >= kFarSettlingPeriod;
}

void Candidacy::RecordMembers(const std::vector<GroupMember>& others, Time now) {
  if (!first_read_) first_read_ = now;
  larger_member_ = std::any_of(others.begin(), others.end(), [&](const GroupMember& member) {
    return member->processor_share >= kMuchLarger * share_;
  });
  nearer_member_ = std::any_of(others.begin(), others.end(),
                               [&](const GroupMember& member) { return IsNearer(member); });
  if (!nearer_member_) nearer_since_.reset();
  if (nearer_member_ && !nearer_since_) nearer_since_ = now;
  if (SeesPreferredMember()) {
    no_preferred_member_since_.reset();
    has_settled_ = true;
    const bool withdraws = larger_member_ || now - *nearer_since_ >= kNearerPeriod;
    candidate_ = candidate_ && !withdraws;
    return;
  }
  if (!no_preferred_member_since_) no_preferred_member_since_ = now;
  const bool is_settled = now - *no_preferred_member_since_ >= kSettlingPeriod;
  candidate_ = candidate_ || (is_settled && HasWaitedForNearer(now));
  has_settled_ = has_settled_ || candidate_;
}

void Candidacy::RecordReadFailure() {
  larger_member_ = false;
  nearer_member_ = false;
  no_preferred_member_since_.reset();
  nearer_since_.reset();
}

std::string_view Candidacy::cause() const {
  if (larger_member_) return "much-larger-member";
  return nearer_member_ ? "nearer-member" : "none";
}

}  // namespace dn
