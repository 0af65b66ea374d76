// Sort keys of waiting steps, from the callers' estimates of run times.
#include "scheduling/internal/urgency.h"

#include "scheduling/internal/backlog.h"

namespace dn {

Urgency UrgencyOf(const JobRow& job, std::size_t step, std::int64_t age_ms) {
  const std::int64_t objective = job.objective_ms();
  const std::int64_t remaining_ms = job.critical_path_from_ms[step];
  Urgency out{.latency_critical = job.accepted->spec->steps[step]->long_running,
              .priority = job.accepted->queue->priority};
  if (out.latency_critical) {
    out.tie_break_ms = -age_ms;
  } else if (age_ms > kValueLimitFactor * objective) {
    out.no_value = true;
    out.expected_value = ExpectedValue::kNone;
    out.tie_break_ms = remaining_ms;
  } else if (job.chosen_late || age_ms + remaining_ms > objective) {
    // The job is late in any case, or was chosen to be late: the one with the least remaining work
    // comes first.
    out.expected_value = ExpectedValue::kReduced;
    out.tie_break_ms = remaining_ms;
  } else {
    out.tie_break_ms = objective - age_ms - remaining_ms;
  }
  const bool ranked = job.overload_rank && !out.latency_critical && !out.no_value;
  if (ranked) out.tie_break_ms = *job.overload_rank;
  return out;
}

}  // namespace dn
