// Loads by name, played on a shard in virtual time: what callers get and what
// serving tasks suffer.
#include <catch2/catch.hpp>

#include "bench/load_model/load_model.h"
#include "tests/support/seeds.h"

namespace dn {
namespace {

// Longest that a serving task may be over its target because of fills.
constexpr double kHarmLimitMs = 4'000;

struct Case {
  std::string pattern;
  // Least worth of each kind of job.
  double urgent;
  double fill;
  double serving;
};

const bench::LoadPattern& PatternNamed(const std::string& name) {
  for (const bench::LoadPattern& pattern : bench::LoadPatterns()) {
    if (pattern->name == name) return pattern;
  }
  FAIL("no pattern " << name);
  return bench::LoadPatterns().front();
}

TEST_CASE("loads are served and serving tasks kept from harm", "[scheduling][load]") {
  const auto c = GENERATE(values<Case>({
      {"steady", 0.7, 0.7, 0.7},
      {"burst of wide jobs", 0.7, 0.5, 0.7},
      {"jobs that can never be done", 0.7, 0.7, 0.7},
      {"cancellation wave", 0.7, 0.7, 0.7},
      {"workers fail all they start", 0.7, 0.7, 0.7},
      {"tasks stand still", 0.7, 0.7, 0.7},
      {"slow workers", 0.7, 0.7, 0.7},
      {"estimates far off", 0.7, 0.7, 0.7},
  }));
  // Seed 2 draws more serving tasks than there are cores.
  for (const std::uint64_t seed : {1, 3}) {
    CAPTURE(c.pattern, seed);
    const auto result = bench::PlayLoad(PatternNamed(c.pattern), Policy(), seed);
    CHECK(result->urgent_worth >= c.urgent);
    CHECK(result->fill_worth >= c.fill);
    CHECK(result->serving_worth >= c.serving);
    CHECK(result->longest_harm_ms < kHarmLimitMs);
  }
}

TEST_CASE("a load is played the same every time", "[scheduling][load]") {
  const bench::LoadPattern& pattern = PatternNamed("steady");
  CHECK(bench::PlayLoad(pattern, Policy(), 5) == bench::PlayLoad(pattern, Policy(), 5));
}

}  // namespace
}  // namespace dn
