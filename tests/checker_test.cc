// Tests that the checker reports each kind of violation, and none in a valid trace.
#include "tests/support/checker.h"

#include <catch2/catch.hpp>

namespace dn::testing {
namespace {

using standins::Execution;
using standins::HighWater;
using standins::LoadOutcome;
using standins::LoadResult;

Execution MakeExecution(const std::string& token) {
  return {.worker = "w", .request = "r", .token = token, .start_us = 1};
}

LoadResult MakeLoadResult(const std::string& token, bool write, LoadOutcome outcome) {
  return {.token = token, .write = write, .outcome = outcome};
}

TEST_CASE("checker reports each violated guarantee and accepts a valid trace", "[checker]") {
  struct Case {
    std::string name;
    std::vector<Execution> executions;
    std::vector<HighWater> high_water;
    std::vector<LoadResult> callers;
    std::string guarantee;  // The violated guarantee; empty if none is.
  };
  const auto c = GENERATE(values<Case>({
      {"no requests", {}, {}, {}, ""},
      {"answered once",
       {MakeExecution("x")},
       {},
       {MakeLoadResult("x", true, LoadOutcome::kAnswered)},
       ""},
      {"too many concurrent requests", {}, {{"w", "z", 3, 1}}, {}, "capacity"},
      {"too many connections", {}, {{"w", "z", 1, 5}}, {}, "capacity"},
      {"response to another request",
       {MakeExecution("x")},
       {},
       {MakeLoadResult("x", false, LoadOutcome::kWrong)},
       "own-answer"},
      {"answered without an execution",
       {},
       {},
       {MakeLoadResult("x", false, LoadOutcome::kAnswered)},
       "own-answer"},
      {"reported as not run, but ran",
       {MakeExecution("x")},
       {},
       {MakeLoadResult("x", false, LoadOutcome::kNotRun)},
       "not-run"},
      {"write ran twice",
       {MakeExecution("x"), MakeExecution("x")},
       {},
       {MakeLoadResult("x", true, LoadOutcome::kUnknown)},
       "at-most-once"},
  }));
  CAPTURE(c.name);
  Trace trace;
  trace.workers = {.executions = c.executions, .high_water = c.high_water};
  trace.callers = c.callers;
  trace.slots_per_worker = 2;
  trace.connections_per_worker = 4;
  const auto violations = CheckTrace(trace);
  if (c.guarantee.empty()) {
    CHECK(violations.empty());
  } else {
    REQUIRE_FALSE(violations.empty());
    CHECK(violations.front().guarantee == c.guarantee);
  }
}

}  // namespace
}  // namespace dn::testing
