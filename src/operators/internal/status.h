// Status of one instance, as reported to operators.
#pragma once

#include <map>
#include <string>

#include "runtime/runtime.h"

namespace dn {

struct StatusFields {
  Instance instance;
  bool serving = false;  // Listens for callers.
  bool draining = false;
  bool member = false;                   // Among the members, with this incarnation.
  bool may_act = false;                  // Not isolated from the store and its siblings.
  Offset membership_offset = kNoOffset;  // Offset up to which the membership was read.
  int members = 0;
  Offset revision = kNoOffset;  // Revision of the active configuration.
  int held_slots = 0;           // Free, busy or draining here.
  int busy_slots = 0;           // Carry a request.
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> bytes;  // Sent and received, by kind of traffic.
  Distribution request_times_us;

  auto operator<=>(const StatusFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("instance", &StatusFields::instance), Required("serving", &StatusFields::serving),
        Required("draining", &StatusFields::draining), Required("member", &StatusFields::member),
        Required("may_act", &StatusFields::may_act),
        Required("roster_offset", &StatusFields::membership_offset),
        Required("members", &StatusFields::members), Required("revision", &StatusFields::revision),
        Optional("held_slots", &StatusFields::held_slots),
        Optional("busy_slots", &StatusFields::busy_slots),
        Optional("counters", &StatusFields::counters), Optional("bytes", &StatusFields::bytes),
        Optional("request_times_us", &StatusFields::request_times_us));
  }
};
using Status = Immutable<StatusFields>;

// Sets counters, bytes and request_times_us from `metrics`.
void FillMetrics(const Metrics& metrics, StatusFields& status);

}  // namespace dn
