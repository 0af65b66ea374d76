// Load of a shard: the tasks that are placed on its workers and the tasks that wait for them. These
// figures show operators why a task waits.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include "scheduling/internal/placement_policy.h"

namespace dn {

struct ShardLoadFields {
  // Indexed by StepKind: waiting tasks of steps that are ready, and placed tasks.
  std::array<std::int64_t, 3> waiting{};
  std::array<std::int64_t, 3> placed{};
  std::int64_t throttled = 0;  // Placed best-effort tasks below full speed.
  std::int64_t workers = 0;    // Listed workers.
  std::int64_t avoided = 0;    // Listed workers that get no tasks now.
  std::int64_t capacity = 0;   // Cores of listed workers.
  // Cores that latency-critical and batch tasks reserve on listed workers.
  std::int64_t reserved = 0;
  std::int64_t used_by_best_effort = 0;  // Cores that best-effort tasks use, as reported.
  std::int64_t over_target = 0;          // Latency-critical tasks over their latency target.

  friend auto operator<=>(const ShardLoadFields&, const ShardLoadFields&) = default;
};
using ShardLoad = Immutable<ShardLoadFields>;

// Returns the figures as a list of name=value, separated by spaces.
std::string ToText(const ShardLoad& load);

}  // namespace dn
