// The checker finds each broken promise, and nothing in a trace that keeps
// them all.
#include "tests/support/checker.h"

#include <catch2/catch.hpp>

namespace dn::testing {
namespace {

using standins::Execution;
using standins::HighWater;
using standins::LoadOutcome;
using standins::LoadResult;

Execution Ran(const std::string& token) {
  return {.worker = "w", .request = "r", .token = token, .start_us = 1};
}

LoadResult Told(const std::string& token, bool write, LoadOutcome outcome) {
  return {.token = token, .write = write, .outcome = outcome};
}

TEST_CASE("checker judges traces", "[checker]") {
  struct Case {
    std::string name;
    std::vector<Execution> executions;
    std::vector<HighWater> high_water;
    std::vector<LoadResult> callers;
    std::string promise;  // Broken one; empty if none.
  };
  const auto c = GENERATE(values<Case>({
      {"nothing happened", {}, {}, {}, ""},
      {"answered once", {Ran("x")}, {}, {Told("x", true, LoadOutcome::kAnswered)}, ""},
      {"too many requests", {}, {{"w", "z", 3, 1}}, {}, "capacity"},
      {"too many connections", {}, {{"w", "z", 1, 5}}, {}, "capacity"},
      {"answer of another", {Ran("x")}, {}, {Told("x", false, LoadOutcome::kWrong)}, "own-answer"},
      {"answered without a run", {}, {}, {Told("x", false, LoadOutcome::kAnswered)}, "own-answer"},
      {"not run but ran", {Ran("x")}, {}, {Told("x", false, LoadOutcome::kNotRun)}, "not-run"},
      {"write ran twice",
       {Ran("x"), Ran("x")},
       {},
       {Told("x", true, LoadOutcome::kUnknown)},
       "at-most-once"},
  }));
  CAPTURE(c.name);
  Trace trace;
  trace.workers = {.executions = c.executions, .high_water = c.high_water};
  trace.callers = c.callers;
  trace.slots_per_worker = 2;
  trace.connections_per_worker = 4;
  const auto violations = CheckTrace(trace);
  if (c.promise.empty()) {
    CHECK(violations.empty());
  } else {
    REQUIRE_FALSE(violations.empty());
    CHECK(violations.front().promise == c.promise);
  }
}

}  // namespace
}  // namespace dn::testing
