// Copies metrics into a status.
#include "operators/internal/status.h"

namespace dn {

void FillMetrics(const Metrics& metrics, StatusFields& status) {
  for (int i = 0; i < static_cast<int>(Counter::kCount); ++i) {
    const auto counter = static_cast<Counter>(i);
    status.counters[std::string(Metrics::NameOf(counter))] = metrics.Value(counter);
  }
  for (const auto& entry : EnumNames<TrafficKind>::kNames) {
    status.bytes[std::string(entry.name)] = metrics.Bytes(entry.value);
  }
  status.request_times_us = metrics.RequestTimes();
}

}  // namespace dn
