// Manages the slots of workers that this instance owns, and their handover between
// instances. All instances together never use more slots than a worker has.
//
// Ownership is a pure function of the membership. A gained slot is used only after
// every other member of the region has confirmed, at the same membership offset,
// that it does not use the slot, and after a waiting time for each evicted member.
// A confirmation at a later offset is not sufficient: a member at a later offset may
// own the slot again and would not report it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decisions/internal/roster_fold.h"
#include "decisions/internal/routing.h"

namespace dn {

// The slots of one instance.
class SlotTable {
 public:
  explicit SlotTable(Instance self) : self_(std::move(self)) {}

  // Replaces this instance by a new incarnation of it.
  void SetSelf(const Instance& self) { self_ = self; }
  // Applies a new membership (read up to `offset`), worker list and configuration.
  // Returns the free slots that this instance no longer owns.
  std::vector<Slot> Update(const MembershipState& membership, Offset offset,
                           const std::vector<WorkerEntry>& workers,
                           const Configuration& configuration);
  // Stores the confirmation in a sibling's heartbeat, unless it comes from another
  // incarnation than the member's or is older than the stored one.
  void RecordConfirmation(const Heartbeat& heartbeat);
  // Makes confirmed slots usable and returns their number. No slot becomes usable
  // until `eviction_wait` has elapsed since the last eviction was read.
  int ActivateConfirmed(ClockReading now, Duration eviction_wait);
  // Returns the slots that this instance still uses but no longer owns, as reported to
  // its siblings.
  std::vector<Slot> HeldButNotOwned() const;
  // Membership offset of the last Update.
  Offset membership_offset() const { return membership_offset_; }

  // Acquires a free slot of a worker that is neither in `excluded` nor draining.
  // Returns nothing if there is none.
  std::optional<Slot> Acquire(const ServiceName& service, const std::set<WorkerId>& excluded,
                              const RoutingStrategy& routing, Random& random);
  // Releases a slot. `latency_us` is the latency of the request in microseconds if a
  // response was received, otherwise 0.
  void Release(const Slot& slot, double latency_us);

  // Returns the number of free slots of workers that are not draining.
  int FreeCount(const ServiceName& service) const;
  // Returns the number of busy and draining slots.
  int BusyCount() const;
  // Returns the address of the slot's worker, or nothing if the worker is not
  // registered for the slot's service.
  std::optional<Endpoint> AddressOf(const Slot& slot) const;
  // Returns whether this instance owns the slot, which may still be waiting for
  // confirmations.
  bool Owns(const Slot& slot) const;
  // Returns the number of slots that are free, busy or draining.
  int HeldCount() const;

 private:
  enum class State {
    kWaiting,  // Owned, but not confirmed by all siblings.
    kFree,     // Owned and unused.
    kBusy,     // Owned and in use by a request.
    kDraining  // In use by a request, but no longer owned.
  };
  // A slot that this instance owns or uses.
  struct SlotEntry {
    State state = State::kWaiting;
  };
  // A registered worker in the availability zones of this region.
  struct KnownWorker {
    WorkerEntry entry;
    double latency_us = 0;  // Moving average; 0 if unknown.
  };

  // Removes the slots that are no longer owned and not in use; returns those that were
  // free. Busy ones drain.
  std::vector<Slot> DropUnowned();
  // Returns whether all siblings have confirmed that they do not use the slot.
  bool IsConfirmed(const Slot& slot) const;

  Instance self_;
  Offset membership_offset_ = kNoOffset;
  MembershipState membership_;
  std::set<InstanceId> siblings_;       // Other members of the region.
  std::vector<EvictedMember> evicted_;  // Evicted members of the region.
  std::map<WorkerId, KnownWorker> workers_;
  std::set<Slot> owned_;             // According to the membership at membership_offset_.
  std::map<Slot, SlotEntry> slots_;  // Owned slots, and slots that are draining.
  // Indexes of free slots by service and worker. Invariant: contains exactly the slots
  // in state kFree.
  std::map<ServiceName, std::map<WorkerId, std::vector<int>>> free_;
  std::map<WorkerId, int> busy_;                   // Number of busy and draining slots.
  std::map<InstanceId, Heartbeat> confirmations_;  // Latest one of each sibling.
};

}  // namespace dn
