// Slots shared by requests, and the queue for them.
#include "caller/internal/slot_pool.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace dn {

void SlotPool::Update(const Instance& self, const MembershipState& membership, Offset offset,
                      const std::vector<WorkerEntry>& workers, const Configuration& configuration) {
  const std::vector<Slot> dropped = state_.With([&](PoolState& state) {
    state.slots.SetSelf(self);
    return state.slots.Update(membership, offset, workers, configuration);
  });
  backend_servers_.CloseIdleConnections(dropped);
  backend_servers_.SetKnownWorkers(workers.size());
}

void SlotPool::RecordConfirmation(const Heartbeat& heartbeat) {
  state_.With([&](PoolState& state) { state.slots.RecordConfirmation(heartbeat); });
}

int SlotPool::ActivateConfirmed(ClockReading now, Duration eviction_wait) {
  std::vector<WaiterPtr> granted;
  const int activated = state_.With([&](PoolState& state) {
    const int count = state.slots.ActivateConfirmed(now, eviction_wait);
    if (count > 0) granted = GrantFreeSlots(state);
    return count;
  });
  WakeWaiters(granted);
  return activated;
}

std::optional<Slot> SlotPool::TryAcquire(const ServiceName& service,
                                         const std::set<WorkerId>& excluded) {
  return state_.With([&](PoolState& state) {
    return state.slots.Acquire(service, excluded, *routing_, state.random);
  });
}

Task<std::optional<Slot>> SlotPool::Acquire(ServiceName service, std::set<WorkerId> excluded,
                                            Time deadline) {
  const auto waiter = std::make_shared<Waiter>();
  waiter->service = std::move(service);
  waiter->excluded = std::move(excluded);
  waiter->deadline = deadline;
  waiter->timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                       TimerExpiry(deadline));
  const bool granted = state_.With([&](PoolState& state) {
    waiter->granted =
        state.slots.Acquire(waiter->service, waiter->excluded, *routing_, state.random);
    if (waiter->granted) return true;
    const auto position = std::upper_bound(
        state.waiters.begin(), state.waiters.end(), waiter,
        [](const WaiterPtr& a, const WaiterPtr& b) { return a->deadline < b->deadline; });
    state.waiters.insert(position, waiter);
    return false;
  });
  if (!granted) {
    boost::system::error_code ignored;
    co_await waiter->timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  // A slot may be granted while the timer expires. The waiter is removed under the lock, so that
  // such a slot is returned here and not lost.
  co_return state_.With([&](PoolState& state) {
    std::erase(state.waiters, waiter);
    return waiter->granted;
  });
}

std::vector<SlotPool::WaiterPtr> SlotPool::GrantFreeSlots(PoolState& state) {
  std::vector<WaiterPtr> granted;
  for (const WaiterPtr& waiter : state.waiters) {
    waiter->granted =
        state.slots.Acquire(waiter->service, waiter->excluded, *routing_, state.random);
    if (waiter->granted) granted.push_back(waiter);
  }
  std::erase_if(state.waiters, [](const WaiterPtr& waiter) { return waiter->granted.has_value(); });
  return granted;
}

void SlotPool::WakeWaiters(const std::vector<WaiterPtr>& granted) {
  for (const WaiterPtr& waiter : granted) {
    asio::post(waiter->timer->get_executor(), [timer = waiter->timer] { timer->cancel(); });
  }
}

void SlotPool::Release(const Slot& slot, double latency_us) {
  std::vector<WaiterPtr> granted;
  const bool owned = state_.With([&](PoolState& state) {
    state.slots.Release(slot, latency_us);
    if (!state.waiters.empty()) granted = GrantFreeSlots(state);
    return state.slots.Owns(slot);
  });
  if (!owned) backend_servers_.CloseIdleConnections({slot});
  WakeWaiters(granted);
}

std::optional<Endpoint> SlotPool::AddressOf(const Slot& slot) const {
  return state_.With([&](const PoolState& state) { return state.slots.AddressOf(slot); });
}

Offset SlotPool::membership_offset() const {
  return state_.With([](const PoolState& state) { return state.slots.membership_offset(); });
}

void SlotPool::FillHeartbeat(HeartbeatFields& fields, const Configuration& configuration) const {
  state_.With([&](const PoolState& state) {
    fields.membership_offset = state.slots.membership_offset();
    fields.held = state.slots.HeldButNotOwned();
    for (const Service& service : configuration->services) {
      fields.free.push_back(
          FreeSlots({.service = service->name, .free = state.slots.FreeCount(service->name)}));
    }
  });
}

int SlotPool::BusyCount() const {
  return state_.With([](const PoolState& state) { return state.slots.BusyCount(); });
}

int SlotPool::HeldCount() const {
  return state_.With([](const PoolState& state) { return state.slots.HeldCount(); });
}

}  // namespace dn
