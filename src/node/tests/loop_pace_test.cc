// Pauses of loops by the time that a round took.
#include "node/internal/loop_pace.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

// Guards against plans that take all of the time of a saturated owner, and against long pauses
// after a round that was merely interrupted.
TEST_CASE("the pause of a loop grows with its work", "[node][load]") {
  using std::chrono::microseconds;
  const LoopPace pace({.share = 0.1, .min_pause = Duration(8), .max_pause = Duration(50)});
  struct Case {
    std::string name;
    BootClock::duration work;
    BootClock::duration waited;
    Duration pause;
  };
  const auto c = GENERATE_COPY(values<Case>(
      {{"little work", microseconds(100), microseconds(0), Duration(8)},
       {"a tenth of the time", microseconds(2'000), microseconds(0), Duration(18)},
       {"the round also waited", microseconds(2'000), microseconds(5'000), Duration(13)},
       {"it waited for longer than the pause", microseconds(2'000), microseconds(90'000),
        Duration(8)},
       {"much work", microseconds(20'000), microseconds(0), Duration(50)},
       {"suspended for an hour", std::chrono::hours(1), microseconds(0), Duration(50)}}));
  CAPTURE(c.name);
  CHECK(PauseAfter(pace, c.work, c.waited) == c.pause);
}

}  // namespace
}  // namespace dn
