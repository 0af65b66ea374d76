// Checks the records of stand-ins and callers against the guarantees of the system,
// without using its code.
#pragma once

#include <string>
#include <vector>

#include "core/core.h"
#include "standins/standins.h"

namespace dn::testing {

// The records of one test run, with the limits of each worker.
struct Trace {
  standins::WorkerRecordings workers;
  std::vector<standins::LoadResult> callers;
  int slots_per_worker = 0;
  int connections_per_worker = 0;
};

// A guarantee that the trace shows to be violated.
struct Violation {
  std::string guarantee;
  std::string detail;

  auto operator<=>(const Violation&) const = default;
};

// Returns all violations in `trace`; empty if every guarantee holds.
std::vector<Violation> CheckTrace(const Trace& trace);

}  // namespace dn::testing
