// Health of backend servers, and the event of an ejection.
#include "backend_server/internal/backend_servers.h"

namespace dn {

void BackendServers::CloseIdleConnections(const std::vector<Slot>& slots) {
  for (const Slot& slot : slots) connections_.Drop(slot);
}

std::set<WorkerId> BackendServers::Ejected(Time now) const {
  return health_.With([&](const HealthTable& table) { return table.health.Ejected(now); });
}

void BackendServers::RecordDispatch(const WorkerId& worker) {
  health_.With([&](HealthTable& table) { table.health.RecordProbe(worker); });
}

void BackendServers::RecordSuccess(const WorkerId& worker) {
  health_.With([&](HealthTable& table) { table.health.RecordSuccess(worker); });
}

void BackendServers::RecordFailure(const WorkerId& worker, Time now) {
  const bool ejected = health_.With([&](HealthTable& table) {
    return table.health.RecordFailure(worker, now, table.known_workers);
  });
  if (!ejected) return;
  metrics_.Add(Counter::kBackendServersEjected);
  events_.Emit(EventKind::kBackendServerEjected, worker.value);
}

void BackendServers::SetKnownWorkers(std::size_t count) {
  health_.With([&](HealthTable& table) { table.known_workers = count; });
}

}  // namespace dn
