// Settings of a scheduler node, as the platform's adapter decodes them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/internal/immutable.h"
#include "core/internal/names.h"
#include "core/internal/time.h"

namespace dn {

struct NodeSettingsFields {
  std::string id;
  std::string zone;
  std::string region;
  Endpoint front;      // Callers.
  Endpoint ready;      // Readiness checks of the platform.
  Endpoint instances;  // Calls of other instances, and metrics.
  Endpoint store;
  int cores = 1;
  double processor_share = 1.0;           // Cores that this instance may use, above 0.
  Duration stop_grace{6'000};             // From a stop signal to the forced end.
  Duration longest_lease{6'000};          // That a worker grants.
  Duration longest_stop{900};             // Until a stopped task is gone.
  Duration finished_shown{120'000};       // How long finished jobs are answered for.
  Duration shortest_time_to_live{1'000};  // Of a member of a group.
  Duration harm_limit{4'000};             // Longest a serving task may be over target.
  bool orders_by_call = true;

  friend auto operator<=>(const NodeSettingsFields&, const NodeSettingsFields&) = default;
};
using NodeSettings = Immutable<NodeSettingsFields>;

}  // namespace dn
