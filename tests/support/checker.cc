// Checks of the guarantees: a table with one function for each.
#include "tests/support/checker.h"

#include <algorithm>
#include <map>

namespace dn::testing {
namespace {

using standins::Execution;
using standins::HighWater;
using standins::LoadOutcome;
using standins::LoadResult;

void CheckCapacity(const Trace& trace, std::vector<Violation>& out) {
  for (const HighWater& high : trace.workers.high_water) {
    if (high.requests > trace.slots_per_worker) {
      out.push_back({"capacity", high.worker + " had " + std::to_string(high.requests) +
                                     " concurrent requests"});
    }
    if (high.connections > trace.connections_per_worker) {
      out.push_back({"capacity", high.worker + " had " + std::to_string(high.connections) +
                                     " open connections"});
    }
  }
}

void CheckResponseMatchesRequest(const Trace& trace, std::vector<Violation>& out) {
  for (const LoadResult& result : trace.callers) {
    if (result.outcome == LoadOutcome::kWrong) out.push_back({"own-answer", result.token});
  }
}

std::map<std::string, int> ExecutionsByToken(const Trace& trace) {
  std::map<std::string, int> counts;
  for (const Execution& execution : trace.workers.executions) ++counts[execution.token];
  return counts;
}

void CheckRefusedNeverRan(const Trace& trace, std::vector<Violation>& out) {
  const auto counts = ExecutionsByToken(trace);
  for (const LoadResult& result : trace.callers) {
    if (result.outcome == LoadOutcome::kNotRun && counts.contains(result.token)) {
      out.push_back({"not-run",
                     result.token + " was reported as not run, but ran; reason: " + result.reason});
    }
  }
}

void CheckAtMostOnce(const Trace& trace, std::vector<Violation>& out) {
  const auto counts = ExecutionsByToken(trace);
  for (const LoadResult& result : trace.callers) {
    const auto found = counts.find(result.token);
    const int count = found == counts.end() ? 0 : found->second;
    if (result.write && count > 1) {
      out.push_back({"at-most-once", result.token + " ran " + std::to_string(count) + " times"});
    }
    if (result.outcome == LoadOutcome::kAnswered && count == 0) {
      out.push_back({"own-answer", result.token + " was answered but never ran"});
    }
  }
}

using Check = void (*)(const Trace&, std::vector<Violation>&);
constexpr std::array<Check, 4> kChecks = {&CheckCapacity, &CheckResponseMatchesRequest,
                                          &CheckRefusedNeverRan, &CheckAtMostOnce};

}  // namespace

std::vector<Violation> CheckTrace(const Trace& trace) {
  std::vector<Violation> violations;
  for (const Check check : kChecks) check(trace, violations);
  return violations;
}

}  // namespace dn::testing
