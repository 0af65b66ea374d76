// Series of calls to a worker.
#include "scheduling/internal/worker_calls.h"

#include <algorithm>

namespace dn {

void WorkerCalls::BeginSeries() { series_ = std::min(series_ + 1, kMaxCallSeries); }

void WorkerCalls::RenewalAnswered() {
  refused_before_ = std::max(refused_before_, renewal_series_);
}

void WorkerCalls::Unanswered(CallSeries series) {
  if (series == series_) BeginSeries();
}

void WorkerCalls::Restarted() {
  refused_before_ = 0;
  BeginSeries();
  first_series_ = series_;
}

}  // namespace dn
