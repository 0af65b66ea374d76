// Implements the checks of a configuration across fields. Each rule is one function
// in a table.
#include "decisions/internal/configuration_check.h"

#include <array>
#include <set>
#include <string>

namespace dn {
namespace {

void Add(Findings& findings, std::string pointer, std::string message) {
  findings.push_back(
      {.file = {}, .pointer = std::move(pointer), .line = 0, .message = std::move(message)});
}

template <class Items>
void CheckUnique(const Items& items, const std::string& pointer, Findings& findings) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const std::string& name = items[i]->name.value;
    const std::string location = pointer + "/" + std::to_string(i) + "/name";
    if (name.empty()) Add(findings, location, "must not be empty");
    if (!seen.insert(name).second) Add(findings, location, "\"" + name + "\" is declared twice");
  }
}

void CheckNames(const Configuration& configuration, Findings& findings) {
  CheckUnique(configuration->regions, "/regions", findings);
  CheckUnique(configuration->services, "/services", findings);
}

void CheckConnections(const Configuration& configuration, Findings& findings) {
  for (std::size_t i = 0; i < configuration->services.size(); ++i) {
    const Service& service = configuration->services[i];
    if (service->connections_per_worker < service->slots_per_worker) {
      Add(findings, "/services/" + std::to_string(i) + "/connections_per_worker",
          "must not be below slots_per_worker");
    }
  }
}

void CheckZones(const Configuration& configuration, Findings& findings) {
  std::set<ZoneName> zones;
  for (std::size_t i = 0; i < configuration->regions.size(); ++i) {
    for (const ZoneName& zone : configuration->regions[i]->availability_zones) {
      if (!zones.insert(zone).second) {
        Add(findings, "/regions/" + std::to_string(i) + "/availability_zones",
            "zone \"" + zone.value + "\" is declared twice");
      }
    }
  }
}

using Check = void (*)(const Configuration&, Findings&);
constexpr std::array<Check, 3> kChecks = {&CheckNames, &CheckConnections, &CheckZones};

}  // namespace

Findings CheckConfiguration(const Configuration& configuration) {
  Findings findings;
  for (const Check check : kChecks) check(configuration, findings);
  return findings;
}

}  // namespace dn
