// Settings of an entry instance.
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
  Duration drain_grace{1000};    // Time for the platform's balancer to notice the drain.
  Duration retention{300'000};   // Time for which the store keeps records.
  Duration key_window{240'000};  // Time for which keys are kept; at most 80% of the retention.
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

// Returns the conflicts between settings. Decoding has checked the type and range of each setting.
Findings CheckSettings(const InstanceSettings& settings);

}  // namespace dn
