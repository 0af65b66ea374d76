// What stand-ins record, for the checker, and the faults they take.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace dn::standins {

// A request that a backend server began to run.
struct Execution {
  std::string worker;
  std::string request;  // Dn-Request-Id.
  std::string token;    // The caller's own mark of the request.
  std::int64_t start_us = 0;

  auto operator<=>(const Execution&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("worker", &Execution::worker), Required("request", &Execution::request),
        Required("token", &Execution::token), Required("start_us", &Execution::start_us));
  }
};

// Most that a worker ever held at once.
struct HighWater {
  std::string worker;
  std::string zone;
  int requests = 0;
  int connections = 0;

  auto operator<=>(const HighWater&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("worker", &HighWater::worker),
                           Required("zone", &HighWater::zone),
                           Required("requests", &HighWater::requests),
                           Required("connections", &HighWater::connections));
  }
};

struct WorkerRecordings {
  std::vector<Execution> executions;
  std::vector<HighWater> high_water;

  auto operator<=>(const WorkerRecordings&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("executions", &WorkerRecordings::executions),
                           Required("high_water", &WorkerRecordings::high_water));
  }
};

enum class BackendFault { kNone, kSlow, kSilent, kCutShort, kCloseEarly, kOtherAnswer, kLate };
}  // namespace dn::standins

namespace dn {
template <>
struct EnumNames<standins::BackendFault> {
  using Fault = standins::BackendFault;
  static constexpr std::array<EnumName<Fault>, 7> kNames = {{{Fault::kNone, "none"},
                                                             {Fault::kSlow, "slow"},
                                                             {Fault::kSilent, "silent"},
                                                             {Fault::kCutShort, "cut-short"},
                                                             {Fault::kCloseEarly, "close-early"},
                                                             {Fault::kOtherAnswer, "other-answer"},
                                                             {Fault::kLate, "late"}}};
};
}  // namespace dn

namespace dn::standins {

// Fault of one worker; empty `worker` means all.
struct WorkerFault {
  std::string worker;
  BackendFault backend = BackendFault::kNone;

  auto operator<=>(const WorkerFault&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("worker", &WorkerFault::worker),
                           Optional("backend", &WorkerFault::backend));
  }
};

// Faults of the metadata store.
struct StoreFault {
  bool busy = false;             // Refuses every call.
  bool silent = false;           // Answers nothing for as long as it is set.
  bool stale = false;            // Shows nothing that came after the fault.
  int lost_answers_percent = 0;  // Appends that are stored but not answered.
  Duration delay{0};             // Of every answer.
  std::string only;              // Only calls about topics that begin so; empty: all.

  auto operator<=>(const StoreFault&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Optional("busy", &StoreFault::busy), Optional("silent", &StoreFault::silent),
        Optional("stale", &StoreFault::stale),
        Optional("lost_answers_percent", &StoreFault::lost_answers_percent),
        Optional("delay_ms", &StoreFault::delay), Optional("only", &StoreFault::only));
  }
};

// A record that somebody else writes, such as a worker its registration.
struct StorePut {
  std::string topic;
  std::string key;
  std::optional<std::string> value;  // Nothing: the key is dropped.

  auto operator<=>(const StorePut&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("topic", &StorePut::topic), Required("key", &StorePut::key),
                           Optional("value", &StorePut::value));
  }
};

struct StoreStats {
  std::uint64_t appends = 0;
  std::uint64_t max_appends_per_second = 0;
  std::uint64_t refused = 0;  // Over the rate that the store takes.

  auto operator<=>(const StoreStats&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("appends", &StoreStats::appends),
                           Required("max_appends_per_second", &StoreStats::max_appends_per_second),
                           Required("refused", &StoreStats::refused));
  }
};

}  // namespace dn::standins
