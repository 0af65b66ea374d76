// Order in which waiting steps are placed. Among steps that can still meet their job's objective,
// the one with the least slack comes first. Under overload that order would make every job late, so
// steps that can no longer meet the objective come after those that can. In a service that several
// priorities share, late_selection.h determines the order while jobs must become late.
#pragma once

#include <compare>

#include "scheduling/internal/job_table.h"

namespace dn {

// What a step that starts now can still contribute to the value of its job.
enum class ExpectedValue { kFull, kReduced, kNone };

// Sort key of a waiting step; the lower key is placed first.
struct Urgency {
  // Whether the step comes before the latency-critical ones (see RoomShare). Inverted in the order,
  // as is the next one.
  bool shares_room = false;
  bool latency_critical = false;  // Latency-critical steps come before the others.
  bool no_value = false;          // Whether the job is too late to have any value.
  int priority = 0;
  ExpectedValue expected_value = ExpectedValue::kFull;
  // Decides between keys that are otherwise equal. Only the order of the values matters.
  std::int64_t tie_break_ms = 0;  // A rank if the jobs are ranked under overload.

  friend std::strong_ordering operator<=>(const Urgency& a, const Urgency& b) {
    if (a.shares_room != b.shares_room) return b.shares_room <=> a.shares_room;
    if (a.latency_critical != b.latency_critical) return b.latency_critical <=> a.latency_critical;
    return std::tie(a.no_value, a.priority, a.expected_value, a.tie_break_ms) <=>
           std::tie(b.no_value, b.priority, b.expected_value, b.tie_break_ms);
  }
  friend bool operator==(const Urgency&, const Urgency&) = default;
};

// Returns the sort key of `step` of a job that was accepted `age_ms` ago.
Urgency UrgencyOf(const JobRow& job, std::size_t step, std::int64_t age_ms);

}  // namespace dn
