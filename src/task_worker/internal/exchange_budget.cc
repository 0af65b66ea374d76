// Schedules exchanges on the processor and on the link.
#include "task_worker/internal/exchange_budget.h"

#include <algorithm>

namespace dn {
namespace {

// Processor time of an owner for one exchange with a worker and what follows from it, in ms on a
// whole core.
constexpr double kExchangeProcessorMs = 0.15;
// Fractions of the processor share and of the link that exchanges with workers may use. The rest is
// for plans, records and callers.
constexpr double kProcessorFraction = 0.6;
constexpr double kLinkFraction = 0.6;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMsOfMbps = 1'000;

double MillisecondsOf(Time time) { return static_cast<double>(time.time_since_epoch().count()); }

}  // namespace

ExchangeBudget::ExchangeBudget(const ExchangeCapacity& capacity)
    : resources_({{{.ms_per_exchange =
                        kExchangeProcessorMs / (kProcessorFraction * capacity->processor_share)},
                   {.ms_per_byte = kBitsPerByte /
                                   (kLinkFraction * capacity->link_mbps * kBitsPerMsOfMbps)}}}) {}

void ExchangeBudget::Charge(Time now, std::size_t bytes) {
  const double now_ms = MillisecondsOf(now);
  // Renewals wait for kMaxRenewalPause at most, so a longer debt would only outlast the load.
  const double latest = now_ms + static_cast<double>(kMaxRenewalPause.count());
  for (Resource& resource : resources_) {
    const double cost =
        resource.ms_per_exchange + resource.ms_per_byte * static_cast<double>(bytes);
    resource.free_at_ms = std::min(std::max(resource.free_at_ms, now_ms) + cost, latest);
  }
}

Duration ExchangeBudget::ReserveRenewal(Time now, std::size_t bytes) {
  const ExchangeWaits waits = WaitsAt(now);
  Charge(now, bytes);
  return std::clamp(std::max(waits.processor, waits.link), kMinRenewalPause, kMaxRenewalPause);
}

ExchangeWaits ExchangeBudget::WaitsAt(Time now) const {
  const auto wait = [&](const Resource& resource) {
    const double wait_ms = resource.free_at_ms - MillisecondsOf(now);
    return std::max(Duration(0), Duration(static_cast<std::int64_t>(wait_ms)));
  };
  return {.processor = wait(resources_[0]), .link = wait(resources_[1])};
}

}  // namespace dn
