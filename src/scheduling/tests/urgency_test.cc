// Order of waiting steps.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

// One job of a queue; two steps of `estimate_ms` each, the second after the first.
struct Job {
  std::int64_t estimate_ms;
  std::int64_t age_ms;
  int priority = 0;
  bool serves = false;
  std::size_t step = 0;
};

Urgency UrgencyOf(const Job& job) {
  StepFields first{.count = 1, .estimate_ms = job.estimate_ms, .long_running = job.serves};
  StepFields second = first;
  second.after = {0};
  JobTable table;
  table.Accept(
      AcceptedJob(
          {.id = 1,
           .queue = Queue(
               {.name = "q", .priority = job.priority, .stretch = 2, .target_latency_ms = 1'000}),
           .spec = JobSpec({.steps = {StepSpec(first), StepSpec(second)}})}),
      Time());
  return UrgencyOf(*table.Find(1), job.step, job.age_ms);
}

// Objective of a job of 2 x 1,000 ms: 5,000 ms.
TEST_CASE("what can still meet its objective goes first", "[scheduling][urgency][load]") {
  struct Case {
    std::string name;
    Job first;
    Job second;
  };
  const auto c = GENERATE(values<Case>({
      {"serving before all", {1'000, 0, 2, true}, {1'000, 2'900, 0, false}},
      {"priority before time left", {1'000, 0, 0}, {1'000, 2'900, 2}},
      {"less time left", {1'000, 2'900}, {1'000, 0}},
      {"overload: on time before late", {1'000, 0}, {1'000, 3'100}},
      {"overload: on time before nearly worthless", {1'000, 0}, {1'000, 14'000}},
      {"late: nearest to its end", {1'000, 4'000, 0, false, 1}, {1'000, 4'000, 0, false, 0}},
      {"late: the shorter one", {500, 6'000}, {1'000, 6'000}},
      {"late before worthless", {1'000, 14'000}, {1'000, 15'100}},
      {"worthless goes after a lower priority", {1'000, 0, 2}, {1'000, 15'100, 0}},
      {"the last step has more time left",
       {1'000, 2'900, 0, false, 0},
       {1'000, 2'900, 0, false, 1}},
  }));
  CAPTURE(c.name);
  CHECK(UrgencyOf(c.first) < UrgencyOf(c.second));
  CHECK_FALSE(UrgencyOf(c.second) < UrgencyOf(c.first));
}

}  // namespace
}  // namespace dn
