// Spreads the lease renewals of an owner's workers over time, so that all exchanges with workers
// keep within the processor share and the link of the instance.
//
// Orders cannot wait and are charged when they are sent; renewals take what is left. A renewal that
// waits reports more ends at once, so that a fleet under load costs fewer exchanges, while the ends
// on a small fleet are reported at once.
#pragma once

#include <array>
#include <cstddef>

#include "core/core.h"

namespace dn {

// What an instance can spend.
struct ExchangeCapacityFields {
  double processor_share = 1;  // Cores.
  double link_mbps = 1'000;    // Mbit/s.

  friend auto operator<=>(const ExchangeCapacityFields&, const ExchangeCapacityFields&) = default;
};
using ExchangeCapacity = Immutable<ExchangeCapacityFields>;

// How long a renewal would wait for each resource. kMaxRenewalPause: the resource is saturated.
struct ExchangeWaits {
  Duration processor{0};
  Duration link{0};

  friend auto operator<=>(const ExchangeWaits&, const ExchangeWaits&) = default;
};

class ExchangeBudget {
 public:
  explicit ExchangeBudget(const ExchangeCapacity& capacity);

  // Charges an exchange of `bytes` that does not wait.
  void Charge(Time now, std::size_t bytes);
  // Charges a renewal of about `bytes` and returns the pause before it is sent, between
  // kMinRenewalPause and kMaxRenewalPause.
  Duration ReserveRenewal(Time now, std::size_t bytes);
  ExchangeWaits WaitsAt(Time now) const;

 private:
  // A resource that carries one exchange after the other.
  struct Resource {
    double ms_per_exchange = 0;
    double ms_per_byte = 0;
    double free_at_ms = 0;  // When all exchanges that were charged are over.
  };

  std::array<Resource, 2> resources_;  // The processor and the link.
};

// Least pause before a renewal, so that one response reports several task ends that follow closely.
inline constexpr Duration kMinRenewalPause{25};
// Longest pause before a renewal, however high the load: the latency of latency-critical tasks is
// monitored and leases are renewed all the same.
inline constexpr Duration kMaxRenewalPause{500};

}  // namespace dn
