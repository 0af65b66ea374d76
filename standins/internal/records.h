// Recordings that the stand-ins report to the checker, and the faults that can be injected.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace dn::standins {

// A request whose execution a backend server has started.
struct Execution {
  std::string worker;
  std::string request;        // Dn-Request-Id.
  std::string token;          // X-Token, by which the caller identifies the request.
  std::int64_t start_us = 0;  // Wall clock time, microseconds since the epoch.

  auto operator<=>(const Execution&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("worker", &Execution::worker), Required("request", &Execution::request),
        Required("token", &Execution::token), Required("start_us", &Execution::start_us));
  }
};

// Highest numbers of simultaneous requests and connections of one worker.
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

// Recordings of all workers of a stand-in process.
struct WorkerRecordings {
  std::vector<Execution> executions;
  std::vector<HighWater> high_water;

  auto operator<=>(const WorkerRecordings&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("executions", &WorkerRecordings::executions),
                           Required("high_water", &WorkerRecordings::high_water));
  }
};

// Faults of a backend server.
// kSlow, kLate: delays the response by 300 ms.
// kSilent: delays the response by 60 s.
// kCutShort: closes the connection after half of the response body.
// kCloseEarly: executes the request, then closes the connection without a response.
// kOtherAnswer: responds with a request ID that differs from that of the request.
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

// Fault to inject into one worker, or into all if `worker` is empty.
struct WorkerFault {
  std::string worker;
  BackendFault backend = BackendFault::kNone;

  auto operator<=>(const WorkerFault&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("worker", &WorkerFault::worker),
                           Optional("backend", &WorkerFault::backend));
  }
};

// Faults to inject into the metadata store.
struct StoreFault {
  bool busy = false;    // Rejects all calls with status 503.
  bool silent = false;  // Delays all responses until the fault is cleared.
  bool stale = false;   // Reads by offset do not return records appended after the fault was set.
  // Percentage of appends that are stored but answered with status 500 after 2.5 s.
  int lost_answers_percent = 0;
  Duration delay{0};  // Added to every response.
  std::string only;   // Prefix of the affected topics; empty: all.

  auto operator<=>(const StoreFault&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Optional("busy", &StoreFault::busy), Optional("silent", &StoreFault::silent),
        Optional("stale", &StoreFault::stale),
        Optional("lost_answers_percent", &StoreFault::lost_answers_percent),
        Optional("delay_ms", &StoreFault::delay), Optional("only", &StoreFault::only));
  }
};

// A record written by another process of the platform, such as the registration of a worker.
struct StorePut {
  std::string topic;
  std::string key;
  std::optional<std::string> value;  // No value: deletes the key.

  auto operator<=>(const StorePut&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("topic", &StorePut::topic), Required("key", &StorePut::key),
                           Optional("value", &StorePut::value));
  }
};

// Counters since the start of the store.
struct StoreStats {
  std::uint64_t appends = 0;  // Accepted appends.
  std::uint64_t max_appends_per_second = 0;
  std::uint64_t refused = 0;  // Appends rejected for exceeding the store's rate limit.

  auto operator<=>(const StoreStats&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("appends", &StoreStats::appends),
                           Required("max_appends_per_second", &StoreStats::max_appends_per_second),
                           Required("refused", &StoreStats::refused));
  }
};

}  // namespace dn::standins
