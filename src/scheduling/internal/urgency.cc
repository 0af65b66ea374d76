// Sort keys of waiting steps, from the callers' estimates of run times.
#include "scheduling/internal/urgency.h"

namespace dn {
namespace {

// A job that takes longer than its objective keeps part of its value up to this multiple of the
// objective, and none beyond it.
constexpr std::int64_t kValueLimitFactor = 3;

}  // namespace

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
  } else if (age_ms + remaining_ms > objective) {
    // The job is late in any case: the one with the least remaining work comes first.
    out.expected_value = ExpectedValue::kReduced;
    out.tie_break_ms = remaining_ms;
  } else {
    out.tie_break_ms = objective - age_ms - remaining_ms;
  }
  return out;
}

}  // namespace dn
