// Sort keys of waiting steps, from the callers' estimates of run times.
#include "scheduling/internal/urgency.h"

namespace dn {
namespace {

// A job that takes longer than its objective keeps part of its value up to this multiple of the
// objective, and none beyond it.
constexpr std::int64_t kLateFactor = 3;

}  // namespace

Urgency UrgencyOf(const JobRow& job, std::size_t step, std::int64_t age_ms) {
  const std::int64_t objective = job.objective_ms();
  const std::int64_t rest = job.chain_from_ms[step];
  Urgency out{.serves = job.accepted->spec->steps[step]->long_running,
              .priority = job.accepted->queue->priority};
  if (out.serves) {
    out.due_ms = -age_ms;
  } else if (age_ms > kLateFactor * objective) {
    out.worthless = true;
    out.prospect = Prospect::kNothing;
    out.due_ms = rest;
  } else if (age_ms + rest > objective) {
    // The job is late in any case: the one with the least remaining work comes first.
    out.prospect = Prospect::kLate;
    out.due_ms = rest;
  } else {
    out.due_ms = objective - age_ms - rest;
  }
  return out;
}

}  // namespace dn
