// What a shard's workers hold and what waits for them: the figures that tell why a
// task waits.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include "scheduling/internal/placement_policy.h"

namespace dn {

struct ShardLoadFields {
  // By StepKind: tasks of ready steps that wait, and tasks that are placed.
  std::array<std::int64_t, 3> waiting{};
  std::array<std::int64_t, 3> placed{};
  std::int64_t paced = 0;          // Placed fills below full pace.
  std::int64_t workers = 0;        // Listed.
  std::int64_t avoided = 0;        // Listed workers that get no task now.
  std::int64_t capacity = 0;       // Cores of listed workers.
  std::int64_t reserved = 0;       // Cores that serving and batch tasks reserve there.
  std::int64_t used_by_fills = 0;  // Cores, as reported.
  std::int64_t over_target = 0;    // Serving tasks.

  friend auto operator<=>(const ShardLoadFields&, const ShardLoadFields&) = default;
};
using ShardLoad = Immutable<ShardLoadFields>;

// As a list of name=value.
std::string ToText(const ShardLoad& load);

}  // namespace dn
