// Record of the attempts to reach the owner of a shard on behalf of one request, for the log: how
// often the owner was asked, where the time went, and what failed.
#pragma once

#include <optional>

#include "runtime/runtime.h"

namespace dn {

// One attempt to reach the owner of a shard.
struct OwnerAttempt {
  std::optional<Endpoint> owner;  // Instance that was asked; none if no owner was found.
  bool local = false;             // The owner is the calling instance.
  Duration lookup{0};             // Time to find the owner.
  Duration call{0};               // Time of the call itself.
  std::error_code error;          // Success: the owner returned a result.

  Duration took() const { return lookup + call; }
  friend bool operator==(const OwnerAttempt&, const OwnerAttempt&) = default;
};

class OwnerCall {
 public:
  void Add(const OwnerAttempt& attempt);

  int attempts() const { return attempts_; }
  // Whether the log needs a line on a call that took `took` in all: it failed, was repeated, or
  // was slow.
  bool IsNotable(Duration took) const;
  // Returns the outcome, the last attempt and the longest failed attempt as a list of name=value.
  // `took` also covers the pauses between attempts.
  std::string ToText(Duration took) const;

 private:
  int attempts_ = 0;
  Duration lookups_{0};                 // Total time to find the owner.
  OwnerAttempt last_;                   // Valid once attempts_ > 0.
  std::optional<OwnerAttempt> failed_;  // Longest failed attempt.
};

}  // namespace dn
