// Defines time points and durations. Code of the decisions package never reads a
// clock; its callers pass the time in.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace dn {

using Duration = std::chrono::milliseconds;

// Clock that never goes back and, unlike std::chrono::steady_clock on Linux, also counts
// while the machine is suspended: what a process read before is older afterwards.
// NOLINTBEGIN(readability-identifier-naming): names of the standard's clock requirements.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept {
    std::timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};
// NOLINTEND(readability-identifier-naming)

// Time since the machine was started.
using Time = std::chrono::time_point<BootClock, Duration>;
// Time in milliseconds by the clock of the platform's log or of one worker.
using ClockReading = std::int64_t;

inline Time Now() { return std::chrono::time_point_cast<Duration>(BootClock::now()); }

// Returns when a timer, which stands still while the machine is suspended, has to expire
// for `time`. A timer may therefore expire late; whoever waits checks Now().
inline std::chrono::steady_clock::time_point TimerExpiry(Time time) {
  return std::chrono::steady_clock::now() + (time - Now());
}

// Returns the wall-clock time in milliseconds since 1970. It may jump.
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dn
