// Tests the clock of the process and the expiry of timers.
#include <catch2/catch.hpp>

#include "runtime/runtime.h"

namespace dn {
namespace {

std::int64_t ReadMs(clockid_t clock) {
  std::timespec reading{};
  ::clock_gettime(clock, &reading);
  return reading.tv_sec * 1'000 + reading.tv_nsec / 1'000'000;
}

// Guards against ages that leave out the time during which the machine was suspended.
TEST_CASE("time counts on while the machine is suspended", "[view]") {
  const std::int64_t before = ReadMs(CLOCK_BOOTTIME);
  const std::int64_t now = Now().time_since_epoch().count();
  CHECK(before <= now);
  CHECK(now <= ReadMs(CLOCK_BOOTTIME));
}

TEST_CASE("timers expire at the time that is waited for", "[view]") {
  const auto ahead_ms = GENERATE(-50, 0, 30, 3'600'000);
  const Time before = Now();
  const auto steady_before = std::chrono::steady_clock::now();
  const auto expiry = TimerExpiry(before + Duration(ahead_ms));
  const auto steady_after = std::chrono::steady_clock::now();
  // Now() is rounded down to milliseconds.
  CHECK(expiry >= steady_before + Duration(ahead_ms) - (Now() - before) - Duration(1));
  CHECK(expiry <= steady_after + Duration(ahead_ms) + Duration(1));
}

}  // namespace
}  // namespace dn
