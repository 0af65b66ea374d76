// Defines the registrations of workers with the platform.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/internal/immutable.h"
#include "core/internal/names.h"

namespace dn {

// Amounts of a worker's resources. The type describes both demands and capacities.
struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  friend auto operator<=>(const Resources&, const Resources&) = default;
};

// The registration of one worker.
struct WorkerEntryFields {
  WorkerId id;
  std::string service;
  Endpoint address;
  std::string zone;
  std::int64_t start_time_ms = 0;  // Start of this incarnation, in milliseconds since 1970.
  bool draining = false;
  std::int64_t remaining_ms = 0;  // While draining: minimum time left, in milliseconds.
  std::int64_t cold_for_ms = 0;   // How much longer the worker is slow; 0: it is not.
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;

  friend auto operator<=>(const WorkerEntryFields&, const WorkerEntryFields&) = default;
};
using WorkerEntry = Immutable<WorkerEntryFields>;

}  // namespace dn
