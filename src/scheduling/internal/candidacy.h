// Decides whether an instance is a candidate for the ownership of shards. Instances differ in size,
// and an owner uses far more processor time than the others. A small instance therefore withdraws
// its candidacy while a much larger instance is a member. An owner also exchanges far more with the
// store, so that an instance that is far from it withdraws for a near one that is not much smaller.
//
// Each instance withdraws for the members that it prefers to itself. A preference by distance goes
// from far to near and to more than half the size; only a preference by size, to twice the size or
// more, leads back from near to far. Hence preferences form no cycle, there is always an instance
// that prefers no other one and stays, and the candidacies settle. For this, distances count in
// fixed classes; differences between distances would allow cycles.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace dn {

// What the group's list tells of a member.
struct GroupMemberFields {
  double processor_share = 0;
  // Round trip of a call to the store; nothing if the member's version does not state it.
  std::optional<Duration> store_round_trip;

  friend auto operator<=>(const GroupMemberFields&, const GroupMemberFields&) = default;
};
using GroupMember = Immutable<GroupMemberFields>;

class Candidacy {
 public:
  // `processor_share`: number of cores that this instance may use; greater than 0.
  explicit Candidacy(double processor_share) : share_(processor_share) {}

  // Handles a call to the store that took `round_trip`. The shortest one counts: the others
  // contain waiting times of the store, of a link or of this process, whereas the distance stays.
  void RecordRoundTrip(Duration round_trip);
  // Handles a successful read of the group's members at `now`; `others` are the other members.
  void RecordMembers(const std::vector<GroupMember>& others, Time now);
  // Handles a failed read of the members: earlier reads may be out of date.
  void RecordReadFailure();
  // Returns whether this instance should be a member of the group now.
  bool IsCandidate() const { return candidate_; }
  // Returns whether the last read contained a member that this instance withdraws for.
  bool SeesPreferredMember() const { return larger_member_ || nearer_member_; }
  // Why this instance withdraws: "much-larger-member", "nearer-member" or, if it does not, "none".
  std::string_view cause() const;
  // Shortest round trip so far.
  std::optional<Duration> store_round_trip() const { return round_trip_; }

 private:
  // Returns whether `member` is near the store, this instance far from it, and `member` not much
  // smaller.
  bool IsNearer(const GroupMember& member) const;
  // Returns whether this instance is not far from the store or has given the near ones time to join
  // after its start. Requires a successful read.
  bool HasWaitedForNearer(Time now) const;

  const double share_;
  std::optional<Duration> round_trip_;
  std::optional<Time> first_read_;  // Of the members, that succeeded.
  // Time of the first read in the latest unbroken series of reads without a preferred member.
  // Empty if the last read contained one or failed.
  std::optional<Time> no_preferred_member_since_;
  // The same for the series of reads with a nearer member.
  std::optional<Time> nearer_since_;
  bool larger_member_ = false;
  bool nearer_member_ = false;
  bool has_settled_ = false;  // Was a candidate or has seen a preferred member.
  bool candidate_ = false;
};

}  // namespace dn
