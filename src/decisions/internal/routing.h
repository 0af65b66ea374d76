// Defines routing strategies, which select one of the workers with a free slot for a
// request.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace dn {

using Random = std::mt19937_64;

// State of a worker that has a free slot.
struct WorkerLoad {
  WorkerId worker;
  int free = 0;  // Free slots.
  int busy = 0;  // Busy slots.
  bool same_zone = false;
  double latency_us = 0;  // Moving average; 0 if unknown.

  auto operator<=>(const WorkerLoad&) const = default;
};

// Selects a worker for a request.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;
  // Returns an index into `candidates`, which must not be empty.
  virtual std::size_t Choose(const std::vector<WorkerLoad>& candidates, Random& random) const = 0;
};

// Returns the strategy "random", "least-loaded" or "two-choices", or null for any
// other name.
std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name);

}  // namespace dn
