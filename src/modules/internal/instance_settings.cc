// Checks of an instance's settings.
#include "modules/internal/instance_settings.h"

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
  if (MakeRoutingStrategy(settings->routing) == nullptr) add("/routing", "is no strategy");
  return findings;
}

}  // namespace dn
