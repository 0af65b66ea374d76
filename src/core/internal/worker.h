// Workers and entry instances as the platform's instance list shows them.
#pragma once

#include <string>
#include <vector>

#include "core/internal/fields.h"
#include "core/internal/immutable.h"
#include "core/internal/names.h"

namespace dn {

enum class Liveness { kLive, kLeaving };

template <>
struct EnumNames<Liveness> {
  static constexpr std::array<EnumName<Liveness>, 2> kNames = {
      {{Liveness::kLive, "live"}, {Liveness::kLeaving, "leaving"}}};
};

// A backend server of one service on a worker.
struct BackendServerFields {
  ServiceName service;
  Endpoint address;

  auto operator<=>(const BackendServerFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("service", &BackendServerFields::service),
                           Required("address", &BackendServerFields::address));
  }
};
using BackendServer = Immutable<BackendServerFields>;

struct WorkerFields {
  WorkerId id;
  RegionName region;
  ZoneName zone;
  std::string rack;
  Liveness state = Liveness::kLive;
  std::vector<BackendServer> backend_servers;

  auto operator<=>(const WorkerFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("id", &WorkerFields::id), Required("region", &WorkerFields::region),
        Required("zone", &WorkerFields::zone), Optional("rack", &WorkerFields::rack),
        Optional("state", &WorkerFields::state),
        Optional("backend_servers", &WorkerFields::backend_servers));
  }
};
using Worker = Immutable<WorkerFields>;

struct ListedInstanceFields {
  InstanceId id;
  Liveness state = Liveness::kLive;

  auto operator<=>(const ListedInstanceFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("id", &ListedInstanceFields::id),
                           Optional("state", &ListedInstanceFields::state));
  }
};
using ListedInstance = Immutable<ListedInstanceFields>;

// One answer of the platform's instance list.
struct InstanceListFields {
  std::vector<Worker> workers;
  std::vector<ListedInstance> instances;

  auto operator<=>(const InstanceListFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("workers", &InstanceListFields::workers),
                           Required("instances", &InstanceListFields::instances));
  }
};
using InstanceList = Immutable<InstanceListFields>;

}  // namespace dn
