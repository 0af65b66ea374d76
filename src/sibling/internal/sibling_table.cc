// Implements the choice of the sibling to which a request is relayed.
#include "sibling/internal/sibling_table.h"

#include <algorithm>

namespace dn {
namespace {

int FreeSlotsFor(const Heartbeat& heartbeat, const ServiceName& service) {
  for (const FreeSlots& entry : heartbeat->free) {
    if (entry->service == service) return entry->free;
  }
  return 0;
}

Heartbeat WithFreeSlots(const Heartbeat& heartbeat, const ServiceName& service, int free) {
  return heartbeat.With([&](HeartbeatFields& fields) {
    for (FreeSlots& entry : fields.free) {
      if (entry->service != service) continue;
      entry = entry.With([&](FreeSlotsFields& slots) { slots.free = free; });
    }
  });
}

}  // namespace

std::optional<InstanceId> SiblingTable::ChooseRelayTarget(const ServiceName& service, Time now) {
  const Duration max_age = kFreeSlotsMaxAgePeriods * HeartbeatPeriod(siblings_.size());
  Entry* best = nullptr;
  int best_free = 0;
  for (auto& [id, entry] : siblings_) {
    if (now - entry.received > max_age) continue;
    const int free = FreeSlotsFor(entry.heartbeat, service) - entry.relayed;
    if (free <= best_free) continue;
    best = &entry;
    best_free = free;
  }
  if (best == nullptr) return std::nullopt;
  ++best->relayed;
  return best->heartbeat->from;
}

void SiblingTable::RecordRelayEnd(const InstanceId& id) {
  const auto found = siblings_.find(id);
  if (found != siblings_.end()) found->second.relayed = std::max(0, found->second.relayed - 1);
}

void SiblingTable::MarkFull(const InstanceId& id, const ServiceName& service) {
  const auto found = siblings_.find(id);
  if (found == siblings_.end()) return;
  found->second.heartbeat = WithFreeSlots(found->second.heartbeat, service, 0);
}

}  // namespace dn
