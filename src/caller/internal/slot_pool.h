// Slots of this instance, which all its requests share, and the queue of the requests that wait for
// a free slot.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "backend_server/backend_server.h"
#include "decisions/decisions.h"
#include "runtime/runtime.h"

namespace dn {

class SlotPool {
 public:
  SlotPool(Instance self, std::unique_ptr<RoutingStrategy> routing, BackendServers& backend_servers)
      : state_(std::move(self)), routing_(std::move(routing)), backend_servers_(backend_servers) {}

  // Applies a change of the members, of the registered workers or of the configuration. `offset`:
  // offset up to which `membership` was read from its stream. Closes the idle connections of the
  // slots that this instance no longer owns.
  void Update(const Instance& self, const MembershipState& membership, Offset offset,
              const std::vector<WorkerEntry>& workers, const Configuration& configuration);
  // Stores which slots the sender of `heartbeat` still uses, for the next call of
  // ActivateConfirmed.
  void RecordConfirmation(const Heartbeat& heartbeat);
  // Makes the gained slots usable that all siblings have confirmed as released, gives them to
  // waiting requests, and returns their number. Returns 0 while less than `eviction_wait` has
  // passed since a member was evicted, because that member may still use its slots.
  int ActivateConfirmed(ClockReading now, Duration eviction_wait);

  // Returns a free slot for `service`, or nothing if there is none on a worker outside `excluded`.
  std::optional<Slot> TryAcquire(const ServiceName& service, const std::set<WorkerId>& excluded);
  // Waits until `deadline` for a slot. Among waiting requests, the one with the earliest deadline
  // gets a free slot first.
  Task<std::optional<Slot>> Acquire(ServiceName service, std::set<WorkerId> excluded,
                                    Time deadline);
  // Releases a slot that a request has acquired. `latency_us`: latency of its response in
  // microseconds, 0 if there was none.
  void Release(const Slot& slot, double latency_us);

  // Returns the address of the backend server of `slot`, or nothing if its worker is no longer
  // registered for the service of the slot.
  std::optional<Endpoint> AddressOf(const Slot& slot) const;
  // Sets in `fields` the offset of the membership, the slots that this instance still uses although
  // others own them, and the number of its free slots for each service. All values are read under
  // one lock, so that they are consistent.
  void FillHeartbeat(HeartbeatFields& fields, const Configuration& configuration) const;
  Offset membership_offset() const;
  // Number of slots that carry a request.
  int BusyCount() const;
  // Number of slots that this instance can use or still uses: free, busy or draining.
  int HeldCount() const;

 private:
  // A request that waits for a slot.
  struct Waiter {
    ServiceName service;
    std::set<WorkerId> excluded;
    Time deadline{};
    std::shared_ptr<asio::steady_timer> timer;  // Expires at the deadline; cancelled by a grant.
    std::optional<Slot> granted;                // Read and written under the lock of the pool.
  };
  using WaiterPtr = std::shared_ptr<Waiter>;
  struct PoolState {
    explicit PoolState(Instance self) : slots(std::move(self)) {}
    SlotTable slots;
    std::vector<WaiterPtr> waiters;  // In order of their deadlines.
    Random random{std::random_device{}()};
  };

  // Gives free slots to waiting requests and returns these requests. The caller passes them to
  // WakeWaiters after it has released the lock.
  std::vector<WaiterPtr> GrantFreeSlots(PoolState& state);
  static void WakeWaiters(const std::vector<WaiterPtr>& granted);

  Shared<PoolState, LockRank::kSlots> state_;
  const std::unique_ptr<RoutingStrategy> routing_;
  BackendServers& backend_servers_;
};

}  // namespace dn
