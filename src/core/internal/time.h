// Defines time points and durations. Code of the decisions package never reads a
// clock; its callers pass the time in.
#pragma once

#include <chrono>
#include <cstdint>

namespace dn {

using Duration = std::chrono::milliseconds;
// Time by the steady clock of this process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Time in milliseconds by the clock of the platform's log or of one worker.
using ClockReading = std::int64_t;

// Returns the current time of the steady clock.
inline Time Now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Returns the wall-clock time in milliseconds since 1970. It may jump.
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dn
