// Tests of how the lost runs of a task are counted and taken back.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

struct Event {
  enum class Kind { kLost, kOtherEnd };
  Kind kind;
  int run;
};

// Guards against losses that are forgotten: a loss was taken back once for the registration of the
// worker and once more for each end of the run that the worker reports, at the cost of others.
TEST_CASE("a loss is taken back once", "[scheduling][crashes][history]") {
  constexpr auto kLost = Event::Kind::kLost;
  constexpr auto kOtherEnd = Event::Kind::kOtherEnd;
  struct Case {
    std::string name;
    std::vector<Event> events;
    int crashes;
  };
  const auto c = GENERATE(values<Case>({
      {"lost", {{kLost, 1}}, 1},
      {"lost and taken back", {{kLost, 1}, {kOtherEnd, 1}}, 0},
      {"taken back twice", {{kLost, 1}, {kLost, 2}, {kOtherEnd, 2}, {kOtherEnd, 2}}, 1},
      {"taken back by each member of a gang",
       {{kLost, 1}, {kLost, 2}, {kLost, 3}, {kOtherEnd, 3}, {kOtherEnd, 3}, {kOtherEnd, 3}},
       2},
      {"end of a run that was not lost", {{kLost, 1}, {kOtherEnd, 2}}, 1},
      {"lost again after it was taken back", {{kLost, 1}, {kOtherEnd, 1}, {kLost, 1}}, 1},
  }));
  CAPTURE(c.name);
  RunHistory history;
  for (const Event& event : c.events) {
    history = event.kind == kLost ? WithLoss(history, event.run, LossKind::kUnexplained)
                                  : WithOtherEnd(history, event.run);
  }
  CHECK(history->crashes == c.crashes);
}

}  // namespace
}  // namespace dn
