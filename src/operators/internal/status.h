// Status of one instance, as operators see it.
#pragma once

#include <map>
#include <string>

#include "runtime/runtime.h"

namespace dn {

struct StatusFields {
  Instance instance;
  bool serving = false;  // Callers are let in.
  bool draining = false;
  bool member = false;   // In the roster, with this incarnation.
  bool may_act = false;  // Not cut off from store and siblings.
  Offset roster_offset = kNoOffset;
  int members = 0;
  Offset revision = kNoOffset;
  int held_slots = 0;
  int busy_slots = 0;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> bytes;
  Distribution request_times_us;

  auto operator<=>(const StatusFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("instance", &StatusFields::instance), Required("serving", &StatusFields::serving),
        Required("draining", &StatusFields::draining), Required("member", &StatusFields::member),
        Required("may_act", &StatusFields::may_act),
        Required("roster_offset", &StatusFields::roster_offset),
        Required("members", &StatusFields::members), Required("revision", &StatusFields::revision),
        Optional("held_slots", &StatusFields::held_slots),
        Optional("busy_slots", &StatusFields::busy_slots),
        Optional("counters", &StatusFields::counters), Optional("bytes", &StatusFields::bytes),
        Optional("request_times_us", &StatusFields::request_times_us));
  }
};
using Status = Immutable<StatusFields>;

// Fills counters, bytes and times from `metrics`.
void FillMetrics(const Metrics& metrics, StatusFields& status);

}  // namespace dn
