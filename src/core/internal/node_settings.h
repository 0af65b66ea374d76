// Defines the settings of a scheduler node, which the platform's adapter decodes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/internal/immutable.h"
#include "core/internal/names.h"
#include "core/internal/time.h"

namespace dn {

// Settings of one scheduler node.
struct NodeSettingsFields {
  std::string id;
  std::string zone;
  std::string region;
  Endpoint front;      // Listens for callers.
  Endpoint ready;      // Listens for the platform's readiness checks.
  Endpoint instances;  // Listens for other instances, and serves metrics.
  Endpoint store;      // Address of the metadata store.
  // Number of threads of the worker pool.
  int cores = 1;
  // CPU quota of this instance, in cores; above 0.
  double processor_share = 1.0;
  // Bandwidth of this instance's link, in Mbit/s; above 0.
  double link_mbps = 1'000;
  // Time from the stop signal to the forced end of the process.
  Duration stop_grace{6'000};
  // Maximum lease that a worker grants.
  Duration max_lease{6'000};
  // Maximum time that a stopped task takes to end.
  Duration max_stop_time{900};
  // Time for which finished jobs remain visible to callers.
  Duration finished_retention{120'000};
  // Minimum time to live of a member of a group.
  Duration min_time_to_live{1'000};
  // Maximum time for which a latency-critical task may exceed its latency target.
  Duration interference_limit{4'000};
  // Time from the store's acknowledgement of an evacuation until no start may reach the zone;
  // nothing: zones are not evacuated.
  std::optional<Duration> evacuation_limit;
  // Starts that a cold worker may get in a second beyond a multiple of the mean of warm workers;
  // nothing: cold workers are treated like others.
  std::optional<double> cold_slack;
  // Whether orders reach workers in calls, which is the only supported way.
  bool orders_by_call = true;

  friend auto operator<=>(const NodeSettingsFields&, const NodeSettingsFields&) = default;
};
using NodeSettings = Immutable<NodeSettingsFields>;

}  // namespace dn
