// Slows fills down on workers whose serving tasks are over their target, and
// speeds them up again.
#pragma once

#include <vector>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// A change of one fill's pace.
struct PaceChange {
  TaskRef task;
  int percent = 100;

  friend auto operator<=>(const PaceChange&, const PaceChange&) = default;
};

// Changes that `worker` needs now. Only confirmed runs are changed. Fills that
// are known not to matter to the tasks over target go on, until the limit of
// the policy is near.
std::vector<PaceChange> PaceChanges(const WorkerRow& worker, const Interference& interference,
                                    const Policy& policy, Time now);

}  // namespace dn
