// Checks of the settings of an entry instance.
#include "entry/internal/instance_settings.h"

#include "decisions/decisions.h"

namespace dn {

Findings CheckSettings(const InstanceSettings& settings) {
  Findings findings;
  const auto add = [&](std::string pointer, std::string message) {
    findings.push_back(
        {.file = {}, .pointer = std::move(pointer), .line = 0, .message = std::move(message)});
  };
  if (settings->id.empty()) add("/id", "must not be empty");
  if (settings->caller_address == settings->sibling_address) {
    add("/sibling_address", "must differ from caller_address");
  }
  if (MakeRoutingStrategy(settings->routing) == nullptr)
    add("/routing", "must be random, least-loaded or two-choices");
  if (settings->key_window * 5 > settings->retention * 4) {
    add("/key_window_ms", "must be at most 80% of retention_ms");
  }
  return findings;
}

}  // namespace dn
