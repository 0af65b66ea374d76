// Defines the events from which operators reconstruct the timeline of a
// deployment. Each event records one significant state transition.
#pragma once

#include <string>

#include "core/internal/fields.h"
#include "core/internal/immutable.h"
#include "core/internal/names.h"

namespace dn {

enum class EventKind {
  kStarted,
  kDraining,
  kStopped,
  kMembershipRead,
  kSlotsGained,
  kConfigurationActivated,
  kRecordSkipped,
  kRequestDispatched,
  kRequestRelayed,
  kRequestEnded,
  kBackendServerEjected,
  kStoreUnavailable,
  kStoreAvailable,
};
template <>
struct EnumNames<EventKind> {
  static constexpr std::array<EnumName<EventKind>, 13> kNames = {
      {{EventKind::kStarted, "started"},
       {EventKind::kDraining, "draining"},
       {EventKind::kStopped, "stopped"},
       {EventKind::kMembershipRead, "roster-read"},
       {EventKind::kSlotsGained, "slots-gained"},
       {EventKind::kConfigurationActivated, "configuration-in-force"},
       {EventKind::kRecordSkipped, "record-skipped"},
       {EventKind::kRequestDispatched, "request-dispatched"},
       {EventKind::kRequestRelayed, "request-relayed"},
       {EventKind::kRequestEnded, "request-ended"},
       {EventKind::kBackendServerEjected, "backend-server-ejected"},
       {EventKind::kStoreUnavailable, "store-unavailable"},
       {EventKind::kStoreAvailable, "store-available"}}};
};

struct EventFields {
  std::int64_t wall_us = 0;  // Wall-clock time, microseconds since 1970.
  std::int64_t logical = 0;  // Hybrid logical clock, in microseconds.
  InstanceId instance;
  std::uint64_t incarnation = 0;
  EventKind kind = EventKind::kStarted;
  std::string subject;  // Request, revision or worker that the event is about.
  std::string detail;   // Additional free text.

  auto operator<=>(const EventFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("wall_us", &EventFields::wall_us), Required("logical", &EventFields::logical),
        Required("instance", &EventFields::instance),
        Required("incarnation", &EventFields::incarnation), Required("kind", &EventFields::kind),
        Required("subject", &EventFields::subject), Optional("detail", &EventFields::detail));
  }
};
using Event = Immutable<EventFields>;

}  // namespace dn
