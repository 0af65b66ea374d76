// Connections to the backend servers on which this instance owns slots, and the health of these
// servers. A slot has at most one connection, so a backend server never gets more connections than
// it has slots.
#pragma once

#include <set>
#include <vector>

#include "decisions/decisions.h"
#include "runtime/runtime.h"

namespace dn {

class BackendServers {
 public:
  BackendServers(EventLog& events, Metrics& metrics) : events_(events), metrics_(metrics) {}

  // Returns the idle connection of `slot` if it is still usable, otherwise a new connection to
  // `to`. Only the request that has acquired `slot` may call this. kUnreachable if no connection
  // is open by `deadline`.
  Task<Result<UpstreamPtr>> TakeConnection(Slot slot, Endpoint to, Time deadline) {
    return connections_.Take(std::move(slot), std::move(to), deadline);
  }
  // Keeps `connection` idle for the next request on `slot`, or closes it if it cannot be reused.
  void ReturnConnection(const Slot& slot, UpstreamPtr connection) {
    connections_.Put(slot, std::move(connection));
  }
  // Closes the idle connections of slots that are now owned by other instances.
  void CloseIdleConnections(const std::vector<Slot>& slots);

  // Returns the workers whose backend server gets no request at `now` because requests to it
  // failed.
  std::set<WorkerId> Ejected(Time now) const;
  // A request is sent to `worker`. The first one after an ejection is a probe: until it ends, the
  // backend server gets no other request.
  void RecordDispatch(const WorkerId& worker);
  // The backend server responded completely.
  void RecordSuccess(const WorkerId& worker);
  // A connection or a request failed. Counts and emits an event if this ejects the backend server.
  void RecordFailure(const WorkerId& worker, Time now);
  // Sets the number of registered workers, which limits how many may be ejected at a time.
  void SetKnownWorkers(std::size_t count);

 private:
  struct HealthTable {
    BackendHealth health;
    std::size_t known_workers = 0;
  };

  EventLog& events_;
  Metrics& metrics_;
  ConnectionPool<Slot> connections_{1};
  Shared<HealthTable, LockRank::kHealth> health_;
};

}  // namespace dn
