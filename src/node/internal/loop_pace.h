// Keeps the work of a loop within a share of the elapsed time, so that the other work of the
// process gets its turn however long one round takes.
#pragma once

#include <algorithm>

#include "core/core.h"

namespace dn {

// Fields: share of the time that the rounds may take, and bounds of the pause between two rounds.
struct LoopPaceFields {
  double share = 1;
  Duration min_pause{0};
  Duration max_pause{0};

  friend auto operator<=>(const LoopPaceFields&, const LoopPaceFields&) = default;
};
using LoopPace = Immutable<LoopPaceFields>;

// Returns the pause after a round that has worked for `work` and waited, say for the store, for
// `waited`.
inline Duration PauseAfter(const LoopPace& pace, BootClock::duration work,
                           BootClock::duration waited) {
  const double work_ms = std::chrono::duration<double, std::milli>(work).count();
  const double waited_ms = std::chrono::duration<double, std::milli>(waited).count();
  const double pause_ms = work_ms / pace->share - work_ms - waited_ms;
  const Duration pause(
      static_cast<std::int64_t>(std::min(pause_ms, static_cast<double>(pace->max_pause.count()))));
  return std::clamp(pause, pace->min_pause, pace->max_pause);
}

}  // namespace dn
