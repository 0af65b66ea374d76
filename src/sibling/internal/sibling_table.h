// Stores the latest heartbeat of each sibling.
#pragma once

#include <map>
#include <optional>

#include "core/core.h"
#include "runtime/runtime.h"
#include "sibling/internal/heartbeat_sender.h"

namespace dn {

// Number of heartbeat periods after which a report of free slots is disregarded.
inline constexpr int kFreeSlotsMaxAgePeriods = 3;

// The latest heartbeat of each sibling and the requests relayed since.
class SiblingTable {
 public:
  // Stores `heartbeat`, received at `now`, unless a newer incarnation of its sender
  // is known.
  void RecordHeartbeat(const Heartbeat& heartbeat, Time now) {
    const auto known = siblings_.find(heartbeat->from);
    const bool older =
        known != siblings_.end() && known->second.heartbeat->incarnation > heartbeat->incarnation;
    if (!older) siblings_.insert_or_assign(heartbeat->from, Entry{heartbeat, now});
  }

  // Chooses the sibling with the most free slots for `service` and counts a request
  // as relayed to it. Requests relayed since a sibling's last heartbeat that have not
  // ended reduce its free slots. Returns nothing if no sibling has a free slot.
  std::optional<InstanceId> ChooseRelayTarget(const ServiceName& service, Time now);
  // Records that a request relayed to sibling `id` has ended.
  void RecordRelayEnd(const InstanceId& id);

  // Returns the latest heartbeat of sibling `id`, if there is one.
  std::optional<Heartbeat> LatestHeartbeat(const InstanceId& id) const {
    const auto found = siblings_.find(id);
    if (found == siblings_.end()) return std::nullopt;
    return found->second.heartbeat;
  }
  // Records that sibling `id` refused a request because it has no free slot.
  void MarkFull(const InstanceId& id, const ServiceName& service);

 private:
  struct Entry {
    Heartbeat heartbeat;
    Time received{};
    int relayed = 0;  // Requests relayed since the heartbeat that have not ended; >= 0.
  };
  std::map<InstanceId, Entry> siblings_;
};
using SharedSiblings = Shared<SiblingTable, LockRank::kSiblings>;

}  // namespace dn
