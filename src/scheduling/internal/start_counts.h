// Counts the open jobs of a queue by the evidence that they have begun. Only a worker's
// confirmation ends the wait of a job; the log shows how many jobs wait although a start was sent
// or recorded.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "scheduling/internal/job_table.h"

namespace dn {

// Evidence of a job's start.
enum class StartEvidence {
  kNone,       // No start was sent.
  kRestored,   // Only the record of an earlier owner mentions a start.
  kSent,       // This owner sent a start; no worker has confirmed it.
  kConfirmed,  // The job has begun; see JobRow::begun.
};

// Returns the strongest evidence that any task of `job` has started.
StartEvidence StartEvidenceOf(const JobRow& job);

// Numbers of open jobs of a queue.
struct StartCountsFields {
  std::int64_t open = 0;
  std::int64_t sent = 0;      // StartEvidence::kSent.
  std::int64_t restored = 0;  // StartEvidence::kRestored.

  friend auto operator<=>(const StartCountsFields&, const StartCountsFields&) = default;
};
using StartCounts = Immutable<StartCountsFields>;

// Counts the open jobs of `queue`.
StartCounts CountStarts(const JobTable& jobs, const std::string& queue);

// Returns the numbers as a list of name=value, separated by spaces.
std::string ToText(const StartCounts& counts);

}  // namespace dn
