// Whether an instance offers itself as an owner of shards. Instances differ in
// size; an owner spends far more than the others, so small instances stand back
// while a much larger one is there to own.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"

namespace dn {

class Candidacy {
 public:
  // `processor_share`: cores that this instance may use, above 0.
  explicit Candidacy(double processor_share) : share_(processor_share) {}

  // Members of the group were read at `now`; `shares` are theirs, without this
  // instance's own.
  void Seen(const std::vector<double>& shares, Time now);
  // The members could not be read: what was seen before may be out of date.
  void Unknown();
  // Whether this instance should be a member now.
  bool Offers() const { return offers_; }
  // The last read showed a much larger member.
  bool Rivalled() const { return rivalled_; }

 private:
  const double share_;
  // Since when every read has shown no much larger member; empty: the last read
  // showed one or failed.
  std::optional<Time> unrivalled_since_;
  bool rivalled_ = false;
  bool offers_ = false;
};

}  // namespace dn
