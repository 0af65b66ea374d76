// Queue for slots.
#include "caller/internal/slot_pool.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace dn {

void SlotPool::Update(const Instance& self, const MembershipState& roster, Offset offset,
                      const std::vector<WorkerEntry>& workers, const Configuration& configuration) {
  const std::vector<Slot> dropped = book_.With([&](Book& book) {
    book.slots.SetSelf(self);
    return book.slots.Update(roster, offset, workers, configuration);
  });
  servers_.Drop(dropped);
  servers_.SetKnownWorkers(workers.size());
}

void SlotPool::Confirm(const Heartbeat& heartbeat) {
  book_.With([&](Book& book) { book.slots.RecordConfirmation(heartbeat); });
}

int SlotPool::Settle(ClockReading now, Duration retire_wait) {
  std::vector<WaiterPtr> granted;
  const int settled = book_.With([&](Book& book) {
    const int count = book.slots.ActivateConfirmed(now, retire_wait);
    if (count > 0) granted = Grant(book);
    return count;
  });
  Wake(granted);
  return settled;
}

std::optional<Slot> SlotPool::TryAcquire(const ServiceName& service,
                                         const std::set<WorkerId>& excluded) {
  return book_.With(
      [&](Book& book) { return book.slots.Acquire(service, excluded, *routing_, book.random); });
}

Task<std::optional<Slot>> SlotPool::Acquire(ServiceName service, std::set<WorkerId> excluded,
                                            Time deadline) {
  const auto waiter = std::make_shared<Waiter>();
  waiter->service = std::move(service);
  waiter->excluded = std::move(excluded);
  waiter->deadline = deadline;
  waiter->timer =
      std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, deadline);
  const bool granted = book_.With([&](Book& book) {
    waiter->granted = book.slots.Acquire(waiter->service, waiter->excluded, *routing_, book.random);
    if (waiter->granted) return true;
    const auto place = std::upper_bound(
        book.waiting.begin(), book.waiting.end(), waiter,
        [](const WaiterPtr& a, const WaiterPtr& b) { return a->deadline < b->deadline; });
    book.waiting.insert(place, waiter);
    return false;
  });
  if (!granted) {
    boost::system::error_code ignored;
    co_await waiter->timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  // A grant may race with the deadline; the lock decides.
  co_return book_.With([&](Book& book) {
    std::erase(book.waiting, waiter);
    return waiter->granted;
  });
}

std::vector<SlotPool::WaiterPtr> SlotPool::Grant(Book& book) {
  std::vector<WaiterPtr> granted;
  for (const WaiterPtr& waiter : book.waiting) {
    waiter->granted = book.slots.Acquire(waiter->service, waiter->excluded, *routing_, book.random);
    if (waiter->granted) granted.push_back(waiter);
  }
  std::erase_if(book.waiting, [](const WaiterPtr& waiter) { return waiter->granted.has_value(); });
  return granted;
}

void SlotPool::Wake(const std::vector<WaiterPtr>& granted) {
  for (const WaiterPtr& waiter : granted) {
    asio::post(waiter->timer->get_executor(), [timer = waiter->timer] { timer->cancel(); });
  }
}

void SlotPool::Release(const Slot& slot, double latency_us) {
  std::vector<WaiterPtr> granted;
  const bool kept = book_.With([&](Book& book) {
    book.slots.Release(slot, latency_us);
    if (!book.waiting.empty()) granted = Grant(book);
    return book.slots.Owns(slot);
  });
  if (!kept) servers_.Drop({slot});
  Wake(granted);
}

std::optional<Endpoint> SlotPool::AddressOf(const Slot& slot) const {
  return book_.With([&](const Book& book) { return book.slots.AddressOf(slot); });
}

Offset SlotPool::roster_offset() const {
  return book_.With([](const Book& book) { return book.slots.membership_offset(); });
}

void SlotPool::FillHeartbeat(HeartbeatFields& fields, const Configuration& configuration) const {
  book_.With([&](const Book& book) {
    fields.membership_offset = book.slots.membership_offset();
    fields.held = book.slots.HeldButNotOwned();
    for (const Service& service : configuration->services) {
      fields.free.push_back(
          FreeSlots({.service = service->name, .free = book.slots.FreeCount(service->name)}));
    }
  });
}

int SlotPool::BusyCount() const {
  return book_.With([](const Book& book) { return book.slots.BusyCount(); });
}

int SlotPool::HeldCount() const {
  return book_.With([](const Book& book) { return book.slots.HeldCount(); });
}

}  // namespace dn
