// Counts the open jobs of a queue whose start is not confirmed by any worker. A number of waiting
// jobs that is too low shows operators here which jobs it leaves out.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "scheduling/internal/job_table.h"

namespace dn {

// Evidence of a job's start.
enum class StartEvidence {
  kNone,       // Counts as waiting.
  kSent,       // This owner sent a start that no worker has confirmed.
  kRestored,   // Only the record of an earlier owner mentions a start.
  kConfirmed,  // A worker has confirmed a run, or a run has left a trace.
};

// Returns the evidence that any task of `job` has started. Once a confirmed run is lost without an
// end or a checkpoint, nothing of it remains and the job counts as kSent or kRestored.
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
