// Ring buffer of events with a hybrid logical clock.
#include "runtime/internal/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>

#include "runtime/internal/json_codec.h"

namespace dn {
namespace {

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Events of single requests are too frequent for the log; only the ring buffer
// contains them.
bool IsFrequent(EventKind kind) {
  return kind == EventKind::kRequestDispatched || kind == EventKind::kRequestRelayed ||
         kind == EventKind::kRequestEnded;
}

}  // namespace

void EventLog::Emit(EventKind kind, std::string subject, std::string detail) {
  const std::int64_t wall = WallMicroseconds();
  const Event event = ring_.With([&](Ring& ring) {
    ring.logical = std::max(ring.logical + 1, wall);
    Event created({.wall_us = wall,
                   .logical = ring.logical,
                   .instance = instance_,
                   .incarnation = incarnation_,
                   .kind = kind,
                   .subject = std::move(subject),
                   .detail = std::move(detail)});
    ring.events.push_back(created);
    if (ring.events.size() > kRingSize) ring.events.pop_front();
    return created;
  });
  if (!IsFrequent(kind)) LOG(INFO) << EncodeText(event);
}

void EventLog::Observe(std::int64_t logical) {
  ring_.With([&](Ring& ring) { ring.logical = std::max(ring.logical, logical); });
}

std::int64_t EventLog::LogicalTime() const {
  return ring_.With([](const Ring& ring) { return ring.logical; });
}

std::vector<Event> EventLog::After(std::int64_t after) const {
  return ring_.With([&](const Ring& ring) {
    const auto first =
        std::upper_bound(ring.events.begin(), ring.events.end(), after,
                         [](std::int64_t time, const Event& e) { return time < e->logical; });
    return std::vector<Event>(first, ring.events.end());
  });
}

}  // namespace dn
