// Order in which waiting steps are placed. Among steps that can still meet their job's objective,
// the one with the least slack comes first (earliest deadline first). Under overload that order
// would make every job late, so steps that can no longer meet the objective come after those that
// can.
#pragma once

#include <compare>

#include "scheduling/internal/job_table.h"

namespace dn {

// What a step that starts now can still contribute to the value of its job.
enum class Prospect { kOnTime, kLate, kNothing };

// Sort key of a waiting step; the lower key is placed first.
struct Urgency {
  bool serves = false;  // Inverted in the order: latency-critical steps come first.
  bool worthless = false;
  int priority = 0;
  Prospect prospect = Prospect::kOnTime;
  std::int64_t due_ms =
      0;  // Decides between otherwise equal keys. Only differences matter; the unit is ms.

  friend std::strong_ordering operator<=>(const Urgency& a, const Urgency& b) {
    if (a.serves != b.serves) return b.serves <=> a.serves;
    return std::tie(a.worthless, a.priority, a.prospect, a.due_ms) <=>
           std::tie(b.worthless, b.priority, b.prospect, b.due_ms);
  }
  friend bool operator==(const Urgency&, const Urgency&) = default;
};

// Returns the sort key of `step` of a job that was accepted `age_ms` ago.
Urgency UrgencyOf(const JobRow& job, std::size_t step, std::int64_t age_ms);

}  // namespace dn
