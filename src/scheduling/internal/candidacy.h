// Decides whether an instance is a candidate for the ownership of shards. Instances differ in size,
// and an owner uses far more processor time than the others. A small instance therefore withdraws
// its candidacy while a much larger instance is a member.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"

namespace dn {

class Candidacy {
 public:
  // `processor_share`: number of cores that this instance may use; greater than 0.
  explicit Candidacy(double processor_share) : share_(processor_share) {}

  // Handles a successful read of the group's members at `now`. `shares` are the processor shares of
  // the other members.
  void RecordMembers(const std::vector<double>& shares, Time now);
  // Handles a failed read of the members: earlier reads may be out of date.
  void RecordReadFailure();
  // Returns whether this instance should be a member of the group now.
  bool IsCandidate() const { return candidate_; }
  // Returns whether the last read contained a much larger member.
  bool SeesLargerMember() const { return larger_member_; }

 private:
  const double share_;
  // Time of the first read in the latest unbroken series of reads without a much larger member.
  // Empty if the last read contained one or failed.
  std::optional<Time> no_larger_member_since_;
  bool larger_member_ = false;
  bool candidate_ = false;
};

}  // namespace dn
