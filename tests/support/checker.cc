// One function a promise, applied from a table.
#include "tests/support/checker.h"

#include <algorithm>
#include <map>

namespace dn::testing {
namespace {

using standins::Execution;
using standins::HighWater;
using standins::LoadOutcome;
using standins::LoadResult;

void Capacity(const Trace& trace, std::vector<Violation>& out) {
  for (const HighWater& high : trace.workers.high_water) {
    if (high.requests > trace.slots_per_worker) {
      out.push_back(
          {"capacity", high.worker + " held " + std::to_string(high.requests) + " requests"});
    }
    if (high.connections > trace.connections_per_worker) {
      out.push_back(
          {"capacity", high.worker + " held " + std::to_string(high.connections) + " connections"});
    }
  }
}

void OwnAnswer(const Trace& trace, std::vector<Violation>& out) {
  for (const LoadResult& result : trace.callers) {
    if (result.outcome == LoadOutcome::kWrong) out.push_back({"own-answer", result.token});
  }
}

std::map<std::string, int> ExecutionsByToken(const Trace& trace) {
  std::map<std::string, int> counts;
  for (const Execution& execution : trace.workers.executions) ++counts[execution.token];
  return counts;
}

void NotRun(const Trace& trace, std::vector<Violation>& out) {
  const auto counts = ExecutionsByToken(trace);
  for (const LoadResult& result : trace.callers) {
    if (result.outcome == LoadOutcome::kNotRun && counts.contains(result.token)) {
      out.push_back({"not-run", result.token + " ran; " + result.reason});
    }
  }
}

void AtMostOnce(const Trace& trace, std::vector<Violation>& out) {
  const auto counts = ExecutionsByToken(trace);
  for (const LoadResult& result : trace.callers) {
    const auto found = counts.find(result.token);
    const int count = found == counts.end() ? 0 : found->second;
    if (result.write && count > 1) {
      out.push_back({"at-most-once", result.token + " ran " + std::to_string(count) + " times"});
    }
    if (result.outcome == LoadOutcome::kAnswered && count == 0) {
      out.push_back({"own-answer", result.token + " answered but never ran"});
    }
  }
}

using Check = void (*)(const Trace&, std::vector<Violation>&);
constexpr std::array<Check, 4> kChecks = {&Capacity, &OwnAnswer, &NotRun, &AtMostOnce};

}  // namespace

std::vector<Violation> CheckTrace(const Trace& trace) {
  std::vector<Violation> violations;
  for (const Check check : kChecks) check(trace, violations);
  return violations;
}

}  // namespace dn::testing
