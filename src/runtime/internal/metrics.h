// Counters and latency distributions of a process.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/internal/http_types.h"

namespace dn {

enum class Counter {
  kRequestsAnswered,
  kRequestsNotRun,
  kRequestsUnknown,
  kRequestsCutShort,
  kRequestsRelayed,
  kRequestsRetried,
  kRequestsMalformed,
  kRequestsDuplicate,
  kDispatches,
  kBackendServersEjected,
  kAppends,
  kAppendedRecords,
  kAppendFailures,
  kRecordsRead,
  kRecordsSkipped,
  kHeartbeatsSent,
  kHeartbeatsReceived,
  kConfigurationsInForce,
  kCount,
};

// Percentiles over the life of the process, in the unit of the samples.
struct Distribution {
  std::size_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;

  auto operator<=>(const Distribution&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("count", &Distribution::count), Required("mean", &Distribution::mean),
        Required("p50", &Distribution::p50), Required("p99", &Distribution::p99),
        Required("p999", &Distribution::p999), Required("max", &Distribution::max));
  }
};

// What is timed, beside the requests of callers to backend servers.
enum class Latency {
  kCallerCall,  // A call of a caller that hands in jobs, until its answer is ready.
  kRecord,      // An append of an owner, until it is durable.
  kTakeOver,    // Of a shard, until it is open.
  kFirstStart,  // From a job's arrival at its owner to its first start.
};
template <>
struct EnumNames<Latency> {
  static constexpr std::array<EnumName<Latency>, 4> kNames = {
      {{Latency::kCallerCall, "caller_call"},
       {Latency::kRecord, "record"},
       {Latency::kTakeOver, "take_over"},
       {Latency::kFirstStart, "first_start"}}};
};

class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Add(Counter counter, std::uint64_t by = 1);
  std::uint64_t Value(Counter counter) const;
  void CountBytes(TrafficKind kind, std::size_t bytes);
  std::uint64_t Bytes(TrafficKind kind) const;
  // Time of an answered request, in microseconds.
  void RequestTook(double microseconds);
  Distribution RequestTimes() const;
  void Took(Latency latency, Duration time);
  // Prometheus text format.
  std::string Prometheus() const;
  static std::string_view NameOf(Counter counter);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dn
