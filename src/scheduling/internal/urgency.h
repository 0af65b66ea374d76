// Order of what waits. While everything is in time, what is due first goes first.
// Under overload that order would make everything late: what can no longer meet
// its objective stands back for what still can.
#pragma once

#include <compare>

#include "scheduling/internal/job_table.h"

namespace dn {

// What a step that starts now can still earn.
enum class Prospect { kOnTime, kLate, kNothing };

// Lower goes first.
struct Urgency {
  bool serves = false;  // Inverted in the order: serving steps go first.
  bool worthless = false;
  int priority = 0;
  Prospect prospect = Prospect::kOnTime;
  std::int64_t due_ms = 0;  // Among equals; in ms of any origin.

  friend std::strong_ordering operator<=>(const Urgency& a, const Urgency& b) {
    if (a.serves != b.serves) return b.serves <=> a.serves;
    return std::tie(a.worthless, a.priority, a.prospect, a.due_ms) <=>
           std::tie(b.worthless, b.priority, b.prospect, b.due_ms);
  }
  friend bool operator==(const Urgency&, const Urgency&) = default;
};

// Of `step` of a job that was accepted `age_ms` ago.
Urgency UrgencyOf(const JobRow& job, std::size_t step, std::int64_t age_ms);

}  // namespace dn
