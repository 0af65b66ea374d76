// Messages between instances.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/internal/fields.h"
#include "core/internal/immutable.h"
#include "core/internal/names.h"
#include "core/internal/records.h"

namespace dn {

// A share of a worker's capacity for one service.
struct SlotFields {
  WorkerId worker;
  ServiceName service;
  int index = 0;

  auto operator<=>(const SlotFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("worker", &SlotFields::worker),
                           Required("service", &SlotFields::service),
                           Required("index", &SlotFields::index));
  }
};
using Slot = Immutable<SlotFields>;

struct FreeSlotsFields {
  ServiceName service;
  int free = 0;

  auto operator<=>(const FreeSlotsFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("service", &FreeSlotsFields::service),
                           Required("free", &FreeSlotsFields::free));
  }
};
using FreeSlots = Immutable<FreeSlotsFields>;

// Periodic message from one instance to a sibling.
struct HeartbeatFields {
  InstanceId from;
  std::uint64_t incarnation = 0;
  Offset roster_offset = kNoOffset;
  // Slots still held that belong to others at roster_offset. Every other slot
  // that is not the sender's at roster_offset is confirmed as released.
  std::vector<Slot> held;
  std::vector<FreeSlots> free;
  Offset revision = kNoOffset;  // Configuration in force at the sender.
  std::int64_t logical = 0;     // Sender's hybrid logical clock.

  auto operator<=>(const HeartbeatFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("from", &HeartbeatFields::from),
                           Required("incarnation", &HeartbeatFields::incarnation),
                           Required("roster_offset", &HeartbeatFields::roster_offset),
                           Optional("held", &HeartbeatFields::held),
                           Optional("free", &HeartbeatFields::free),
                           Optional("revision", &HeartbeatFields::revision),
                           Optional("logical", &HeartbeatFields::logical));
  }
};
using Heartbeat = Immutable<HeartbeatFields>;

}  // namespace dn
