// Tests which steps come first where tasks that last and tasks that end wait for the same cores.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr int kPriority = 1;

TEST_CASE("steps that end come first while their tasks reserve less than those that last",
          "[scheduling][load]") {
  struct Case {
    std::string name;
    std::int64_t lasting = 0;
    std::int64_t ending = 0;
    bool lasting_waits = true;
    std::vector<std::pair<int, std::int64_t>> steps;  // Priority and demand, in order.
    std::vector<bool> first;
  };
  const auto c = GENERATE(values<Case>({
      {"all of them fit",
       10'000,
       1'000,
       true,
       {{kPriority, 4'000}, {kPriority, 5'000}},
       {true, true}},
      {"up to the same share",
       10'000,
       4'000,
       true,
       {{kPriority, 4'000}, {kPriority, 4'000}},
       {true, false}},
      {"a smaller one after that",
       10'000,
       0,
       true,
       {{kPriority, 11'000}, {kPriority, 9'000}},
       {false, true}},
      {"they reserve more", 4'000, 6'000, true, {{kPriority, 1'000}}, {false}},
      {"of a more urgent queue", 10'000, 0, true, {{kPriority - 1, 4'000}}, {true}},
      {"of a less urgent queue", 10'000, 0, true, {{kPriority + 1, 4'000}}, {false}},
      {"a smaller one of a less urgent queue",
       10'000,
       0,
       true,
       {{kPriority - 1, 11'000}, {kPriority, 1'000}},
       {false, false}},
      {"no latency-critical step waits", 10'000, 0, false, {{kPriority, 4'000}}, {false}},
  }));
  CAPTURE(c.name);
  RoomShare share;
  WorkerRow worker;
  worker.reserved.millicores = c.lasting + c.ending;
  worker.latency_critical_millicores = c.lasting;
  share.Add(worker);
  if (c.lasting_waits) {
    share.AddWaiting(kPriority + 1);
    share.AddWaiting(kPriority);
  }
  std::vector<bool> first;
  for (const auto& [priority, demand] : c.steps) {
    first.push_back(share.TakePrecedence(priority, demand));
  }
  CHECK(first == c.first);
}

}  // namespace
}  // namespace dn
