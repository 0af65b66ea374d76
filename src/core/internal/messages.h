// Defines the messages that instances exchange.
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

// One of a worker's `slots_per_worker` slots for a service. `index` counts from 0.
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

// The number of free slots for one service at an instance.
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

// The message that an instance periodically sends to each sibling.
struct HeartbeatFields {
  InstanceId from;
  std::uint64_t incarnation = 0;
  Offset membership_offset = kNoOffset;  // Membership offset that the sender has applied.
  // Slots that the sender still uses although other instances own them at
  // membership_offset. The sender confirms that it has released every other slot that
  // it does not own at membership_offset.
  std::vector<Slot> held;
  std::vector<FreeSlots> free;  // Free slots at the sender, by service.
  Offset revision = kNoOffset;  // Active configuration at the sender.
  std::int64_t logical = 0;     // Hybrid logical clock of the sender.

  auto operator<=>(const HeartbeatFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("from", &HeartbeatFields::from),
                           Required("incarnation", &HeartbeatFields::incarnation),
                           Required("roster_offset", &HeartbeatFields::membership_offset),
                           Optional("held", &HeartbeatFields::held),
                           Optional("free", &HeartbeatFields::free),
                           Optional("revision", &HeartbeatFields::revision),
                           Optional("logical", &HeartbeatFields::logical));
  }
};
using Heartbeat = Immutable<HeartbeatFields>;

}  // namespace dn
