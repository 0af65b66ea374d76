// Tests the load patterns on a simulated shard. Guards against placement that misses the
// objectives of jobs or keeps latency-critical tasks over their target.
#include <catch2/catch.hpp>

#include "bench/load_model/load_model.h"
#include "tests/support/seeds.h"

namespace dn {
namespace {

// Longest time that a latency-critical task may be over its target because of best-effort
// tasks.
constexpr double kOverTargetLimitMs = 4'000;

struct Case {
  std::string pattern;
  // Least score of each kind of job.
  double min_urgent_score;
  double min_best_effort_score;
  double min_latency_critical_score;
};

const bench::LoadPattern& PatternNamed(const std::string& name) {
  for (const bench::LoadPattern& pattern : bench::LoadPatterns()) {
    if (pattern->name == name) return pattern;
  }
  FAIL("there is no load pattern named " << name);
  return bench::LoadPatterns().front();
}

TEST_CASE("load patterns reach their least scores and limit the time over target",
          "[scheduling][load]") {
  const auto c = GENERATE(values<Case>({
      {"steady", 0.7, 0.7, 0.7},
      {"burst of wide jobs", 0.7, 0.5, 0.7},
      {"jobs that always fail", 0.7, 0.7, 0.7},
      {"cancellation wave", 0.7, 0.7, 0.7},
      {"workers fail every task", 0.7, 0.7, 0.7},
      {"tasks make no progress", 0.7, 0.7, 0.7},
      {"slow workers", 0.7, 0.7, 0.7},
      {"inaccurate estimates", 0.7, 0.7, 0.7},
  }));
  // Seed 2 is left out: it generates more latency-critical tasks than there are cores for.
  for (const std::uint64_t seed : {1, 3}) {
    CAPTURE(c.pattern, seed);
    const auto result = bench::SimulateLoad(PatternNamed(c.pattern), Policy(), seed);
    CHECK(result->urgent_score >= c.min_urgent_score);
    CHECK(result->best_effort_score >= c.min_best_effort_score);
    CHECK(result->latency_critical_score >= c.min_latency_critical_score);
    CHECK(result->longest_over_target_ms < kOverTargetLimitMs);
  }
}

// Guards against urgent jobs that starve while latency-critical jobs of the same priority need more
// cores than there are: as one of those ended, others that waited took all of its cores.
TEST_CASE("no kind of job starves beside more long-running jobs than there are cores for",
          "[scheduling][load]") {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    const auto result = bench::SimulateLoad(
        PatternNamed("long-running jobs take over from each other"), Policy(), seed);
    CAPTURE(seed);
    CHECK(result->urgent_score >= result->latency_critical_score / 2);
    CHECK(result->best_effort_score >= result->latency_critical_score / 2);
  }
}

// Guards against a choice of late jobs that lowers the value of the jobs served, or that harms
// latency-critical tasks: here the batch jobs are best-effort and use idle cores.
TEST_CASE("overload control serves a burst of best-effort jobs better",
          "[scheduling][overload][load]") {
  double with = 0;
  double without = 0;
  for (const std::uint64_t seed : {1, 3, 4, 5}) {
    const auto plain =
        bench::SimulateLoad(PatternNamed("burst, no overload control"), Policy(), seed);
    const auto controlled =
        bench::SimulateLoad(PatternNamed("burst, overload control"), Policy(), seed);
    CAPTURE(seed);
    CHECK(controlled->urgent_score >= plain->urgent_score - 0.02);
    CHECK(controlled->latency_critical_score >= plain->latency_critical_score - 0.02);
    CHECK(controlled->longest_over_target_ms < kOverTargetLimitMs);
    without += plain->best_effort_score;
    with += controlled->best_effort_score;
  }
  CAPTURE(without, with);
  CHECK(with > without);
}

TEST_CASE("a simulation with the same seed gives the same result", "[scheduling][load]") {
  const bench::LoadPattern& pattern = PatternNamed("steady");
  CHECK(bench::SimulateLoad(pattern, Policy(), 5) == bench::SimulateLoad(pattern, Policy(), 5));
}

}  // namespace
}  // namespace dn
