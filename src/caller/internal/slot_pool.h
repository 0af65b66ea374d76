// Slots shared by all requests of this instance, with a short queue for
// requests that find none free.
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
  SlotPool(Instance self, std::unique_ptr<RoutingStrategy> routing, BackendServers& servers)
      : book_(std::move(self)), routing_(std::move(routing)), servers_(servers) {}

  void Update(const Instance& self, const MembershipState& roster, Offset offset,
              const std::vector<WorkerEntry>& workers, const Configuration& configuration);
  void Confirm(const Heartbeat& heartbeat);
  // Makes confirmed slots usable; returns how many.
  int Settle(ClockReading now, Duration retire_wait);

  // A free slot now, or nothing.
  std::optional<Slot> TryAcquire(const ServiceName& service, const std::set<WorkerId>& excluded);
  // Waits for a slot until `deadline`; the nearest deadline is served first.
  Task<std::optional<Slot>> Acquire(ServiceName service, std::set<WorkerId> excluded,
                                    Time deadline);
  void Release(const Slot& slot, double latency_us);

  std::optional<Endpoint> AddressOf(const Slot& slot) const;
  // What this instance confirms and offers to its siblings, as of one moment.
  void FillHeartbeat(HeartbeatFields& fields, const Configuration& configuration) const;
  Offset roster_offset() const;
  int BusyCount() const;
  int HeldCount() const;

 private:
  struct Waiter {
    ServiceName service;
    std::set<WorkerId> excluded;
    Time deadline{};
    std::shared_ptr<asio::steady_timer> timer;
    std::optional<Slot> granted;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;
  struct Book {
    explicit Book(Instance self) : slots(std::move(self)) {}
    SlotTable slots;
    std::vector<WaiterPtr> waiting;  // By deadline.
    Random random{std::random_device{}()};
  };

  // Grants free slots to waiters; to be woken after the lock is released.
  std::vector<WaiterPtr> Grant(Book& book);
  static void Wake(const std::vector<WaiterPtr>& granted);

  Shared<Book, LockRank::kSlots> book_;
  const std::unique_ptr<RoutingStrategy> routing_;
  BackendServers& servers_;
};

}  // namespace dn
