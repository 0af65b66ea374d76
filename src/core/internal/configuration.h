// Defines the configuration that operators apply: regions and services.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/internal/fields.h"
#include "core/internal/immutable.h"
#include "core/internal/names.h"
#include "core/internal/time.h"

namespace dn {

// A region and its availability zones.
struct RegionFields {
  RegionName name;
  std::vector<ZoneName> availability_zones;

  auto operator<=>(const RegionFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("name", &RegionFields::name),
                           Required("availability_zones", &RegionFields::availability_zones));
  }
};
using Region = Immutable<RegionFields>;

// A service and the limits of its requests.
struct ServiceFields {
  ServiceName name;
  int slots_per_worker = 1;        // Maximum number of concurrent requests on one worker.
  int connections_per_worker = 1;  // At least slots_per_worker.
  Duration timeout{2000};          // Time limit of one request.
  Duration queue_time{200};        // Maximum time that a request waits for a free slot.
  int max_header_bytes = 16 * 1024;
  std::int64_t max_body_bytes = 16 * 1024 * 1024;
  // HTTP methods whose requests may run more than once.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

  auto operator<=>(const ServiceFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("name", &ServiceFields::name),
        Required("slots_per_worker", &ServiceFields::slots_per_worker, 1, 4096),
        Required("connections_per_worker", &ServiceFields::connections_per_worker, 1, 65535),
        Optional("timeout_ms", &ServiceFields::timeout, 1, 600'000),
        Optional("queue_time_ms", &ServiceFields::queue_time, 0, 60'000),
        Optional("max_header_bytes", &ServiceFields::max_header_bytes, 256, 1 << 20),
        Optional("max_body_bytes", &ServiceFields::max_body_bytes, 0, 1LL << 40),
        Optional("idempotent_methods", &ServiceFields::idempotent_methods));
  }
};
using Service = Immutable<ServiceFields>;

// The complete configuration of a deployment.
struct ConfigurationFields {
  std::string deployment;
  std::vector<Region> regions;
  std::vector<Service> services;

  auto operator<=>(const ConfigurationFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("deployment", &ConfigurationFields::deployment),
                           Required("regions", &ConfigurationFields::regions),
                           Required("services", &ConfigurationFields::services));
  }
};
using Configuration = Immutable<ConfigurationFields>;

}  // namespace dn
