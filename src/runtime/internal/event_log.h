// Log of events of this process: a ring buffer of recent events and a log line for
// each event that does not concern a single request.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/core.h"
#include "runtime/internal/lock_order.h"

namespace dn {

class EventLog {
 public:
  // Number of events in the ring buffer; older events are discarded.
  static constexpr std::size_t kRingSize = 16'384;

  EventLog(InstanceId instance, std::uint64_t incarnation)
      : instance_(std::move(instance)), incarnation_(incarnation) {}

  // Records an event. Events of single requests are not written to the log.
  void Emit(EventKind kind, std::string subject, std::string detail = {});
  // Advances the hybrid logical clock to `logical`, the time of a received message
  // in microseconds.
  void Observe(std::int64_t logical);
  // Current hybrid logical time, in microseconds.
  std::int64_t LogicalTime() const;
  // Events in the ring buffer with a logical time after `after`, oldest first.
  std::vector<Event> After(std::int64_t after) const;

 private:
  struct Ring {
    std::int64_t logical = 0;  // Largest time issued or observed.
    std::deque<Event> events;
  };

  const InstanceId instance_;
  const std::uint64_t incarnation_;
  Shared<Ring, LockRank::kEvents> ring_;
};

}  // namespace dn
