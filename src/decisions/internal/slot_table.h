// Slots of workers that this instance owns, and their handover between
// instances. The sum over instances never passes a worker's slots.
//
// Ownership is a pure function of the roster. A gained slot is used only after
// every other member of the region has confirmed, at the same roster offset,
// that it does not hold the slot, and after the waiting time of each retired
// member. The same offset is needed, not a later one: a member at a later
// offset may own the slot again and so would not report it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/internal/roster_fold.h"
#include "decisions/internal/routing.h"

namespace dn {

class SlotTable {
 public:
  explicit SlotTable(Instance self) : self_(std::move(self)) {}

  // The same instance under a new incarnation.
  void SetSelf(const Instance& self) { self_ = self; }
  // Takes over a new roster (read up to `offset`), worker list and
  // configuration. Returns the free slots that are no longer owned.
  std::vector<Slot> Update(const RosterState& roster, Offset offset,
                           const std::vector<WorkerEntry>& workers,
                           const Configuration& configuration);
  // Latest confirmation of a sibling.
  void Confirm(const Heartbeat& heartbeat);
  // Makes confirmed slots usable; returns how many became usable. While a
  // retirement was read less than `retire_wait` ago, none is.
  int Settle(ClockReading now, Duration retire_wait);
  // What this instance confirms to its siblings.
  std::vector<Slot> HeldForOthers() const;
  Offset roster_offset() const { return roster_offset_; }

  // Takes a free slot; nothing if there is none. Workers in `excluded` and
  // workers that leave get nothing.
  std::optional<Slot> Acquire(const ServiceName& service, const std::set<WorkerId>& excluded,
                              const RoutingStrategy& routing, Random& random);
  // Gives a slot back. `latency_us` of an answered request, else 0.
  void Release(const Slot& slot, double latency_us);

  int FreeCount(const ServiceName& service) const;
  int BusyCount() const;
  std::optional<Endpoint> AddressOf(const Slot& slot) const;
  bool Owns(const Slot& slot) const;
  // Slots that are free, busy or draining here.
  int HeldCount() const;

 private:
  enum class State { kWaiting, kFree, kBusy, kDraining };
  struct Share {
    State state = State::kWaiting;
  };
  struct KnownWorker {
    WorkerEntry entry;
    double latency_us = 0;
  };

  std::vector<Slot> DropUnowned();
  bool Confirmed(const Slot& slot) const;

  Instance self_;
  Offset roster_offset_ = kNoOffset;
  RosterState roster_;
  std::set<InstanceId> others_;         // Other members of the region.
  std::vector<RetiredMember> retired_;  // Retired members of the region.
  std::map<WorkerId, KnownWorker> workers_;
  std::set<Slot> owned_;          // By the roster at roster_offset_.
  std::map<Slot, Share> shares_;  // Owned, or still held while draining.
  // Free slots by service and worker. Invariant: lists exactly the shares in
  // state kFree.
  std::map<ServiceName, std::map<WorkerId, std::vector<int>>> free_;
  std::map<WorkerId, int> busy_;  // Busy or draining slots.
  std::map<InstanceId, Heartbeat> confirmations_;
};

}  // namespace dn
