// Time points and durations. Decisions never read a clock: time is passed in.
#pragma once

#include <chrono>
#include <cstdint>

namespace dn {

using Duration = std::chrono::milliseconds;
// Monotonic time of this process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Time by the clock of the platform's log or of one worker, in milliseconds.
using ClockReading = std::int64_t;

inline Time Now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Time of day of this process, in ms since 1970. May jump.
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dn
