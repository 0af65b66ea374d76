// Places a best-effort task that every worker refuses at full speed, at a speed that leaves the
// latency-critical tasks within their target. Without it, a task that interferes with
// latency-critical tasks on all workers would never start.
#pragma once

#include <optional>

#include "scheduling/internal/placement_policy.h"

namespace dn {

// Speed of a best-effort task that starts at reduced speed, and its effect on the worker.
struct ReducedStart {
  int speed_percent = 0;
  double expected_load = 0;  // Highest normalised load of a latency-critical task at that speed.

  friend auto operator<=>(const ReducedStart&, const ReducedStart&) = default;
};

// Returns the speed at which one more task of the best-effort `step`, which runs `image`, can start
// on `worker`: as fast as the policy's limit on the expected load allows, but at least the least
// speed. Returns nothing if too few cores are idle, or if the worker already runs a task that was
// started so. The caller has checked RefusalOf(). Does not accept a task on a worker where it
// refuses one with a smaller demand.
std::optional<ReducedStart> ReducedStartOn(const WorkerRow& worker, const StepSpec& step,
                                           ImageId image, const PlacementView& view);

}  // namespace dn
