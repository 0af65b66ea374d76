// Tests of the order in which waiting steps are placed.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

// A job with two steps of `estimate_ms` each; the second depends on the first.
struct Job {
  std::int64_t estimate_ms;
  std::int64_t age_ms;
  int priority = 0;
  bool latency_critical = false;
  std::size_t step = 0;
};

Urgency UrgencyOf(const Job& job) {
  StepFields first{
      .count = 1, .estimate_ms = job.estimate_ms, .long_running = job.latency_critical};
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

// The objective of a job of 2 x 1,000 ms is 2 x 2,000 ms + 1,000 ms = 5,000 ms.
TEST_CASE("steps that can still meet their objective are placed first",
          "[scheduling][urgency][load]") {
  struct Case {
    std::string name;
    Job first;
    Job second;
  };
  const auto c = GENERATE(values<Case>({
      {"latency-critical before all others", {1'000, 0, 2, true}, {1'000, 2'900, 0, false}},
      {"priority before slack", {1'000, 0, 0}, {1'000, 2'900, 2}},
      {"less slack", {1'000, 2'900}, {1'000, 0}},
      {"overload: on time before late", {1'000, 0}, {1'000, 3'100}},
      {"overload: on time before nearly without value", {1'000, 0}, {1'000, 14'000}},
      {"late: less remaining work", {1'000, 4'000, 0, false, 1}, {1'000, 4'000, 0, false, 0}},
      {"late: shorter job", {500, 6'000}, {1'000, 6'000}},
      {"late before no value", {1'000, 14'000}, {1'000, 15'100}},
      {"no value after a lower priority", {1'000, 0, 2}, {1'000, 15'100, 0}},
      {"the last step has more slack", {1'000, 2'900, 0, false, 0}, {1'000, 2'900, 0, false, 1}},
  }));
  CAPTURE(c.name);
  CHECK(UrgencyOf(c.first) < UrgencyOf(c.second));
  CHECK_FALSE(UrgencyOf(c.second) < UrgencyOf(c.first));
}

}  // namespace
}  // namespace dn
