// Throttles best-effort tasks on workers whose latency-critical tasks are over their latency
// target, and speeds them up again afterwards.
#pragma once

#include <vector>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/worker_table.h"

namespace dn {

// A change of the speed of one best-effort task.
struct SpeedChange {
  TaskRef task;
  int percent = 100;  // Of full speed.

  friend auto operator<=>(const SpeedChange&, const SpeedChange&) = default;
};

// Returns the changes that `worker` needs now. Only confirmed runs are changed. Best-effort tasks
// that do not interfere with the tasks over target keep their speed until the time over target
// reaches the limit of the policy.
std::vector<SpeedChange> SpeedChanges(const WorkerRow& worker, const Interference& interference,
                                      const Policy& policy, Time now);

}  // namespace dn
