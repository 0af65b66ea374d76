// Settings of an instance.
#pragma once

#include "runtime/runtime.h"

namespace dn {

struct InstanceSettingsFields {
  InstanceId id;
  RegionName region;
  ZoneName zone;
  Endpoint caller_address;
  Endpoint sibling_address;
  Endpoint store;
  int threads = 2;
  Duration drain_grace{1000};    // Time for the balancer to notice.
  Duration retention{300'000};   // How long the store keeps records.
  Duration key_window{240'000};  // At most 80% of the retention.
  std::string routing = "two-choices";

  auto operator<=>(const InstanceSettingsFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("id", &InstanceSettingsFields::id),
        Required("region", &InstanceSettingsFields::region),
        Required("zone", &InstanceSettingsFields::zone),
        Required("caller_address", &InstanceSettingsFields::caller_address),
        Required("sibling_address", &InstanceSettingsFields::sibling_address),
        Required("store", &InstanceSettingsFields::store),
        Optional("threads", &InstanceSettingsFields::threads, 1, 64),
        Optional("drain_grace_ms", &InstanceSettingsFields::drain_grace, 0, 60'000),
        Optional("retention_ms", &InstanceSettingsFields::retention, 1000, 604'800'000),
        Optional("key_window_ms", &InstanceSettingsFields::key_window, 1000, 604'800'000),
        Optional("routing", &InstanceSettingsFields::routing));
  }
};
using InstanceSettings = Immutable<InstanceSettingsFields>;

// Clashes that types and ranges do not show.
Findings CheckSettings(const InstanceSettings& settings);

}  // namespace dn
