// Counters and latency distributions of a process.
#pragma once

#include <map>
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
  kConfigurationsActivated,
  kCount,  // Number of counters.
};

// Mean, percentiles and maximum since the start of the process, in the unit of the
// samples.
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

// Measured latencies, other than those of callers' requests to backend servers.
enum class Latency {
  kCallerCall,  // Call of a caller to the job service, until its response is ready.
  kOwnerCall,   // Call to the owner of a shard on another instance, until it responds or fails.
  kRecord,      // Append by the owner of a shard, until it is durable.
  kTakeOver,    // Take-over of a shard, until the shard is open.
  kFirstStart,  // From a job's arrival at its owner to its first confirmed run.
  kPlan,        // Plan of the owner of a shard, with its log lines and the queueing of its orders.
};
template <>
struct EnumNames<Latency> {
  static constexpr std::array<EnumName<Latency>, 6> kNames = {
      {{Latency::kCallerCall, "caller_call"},
       {Latency::kOwnerCall, "owner_call"},
       {Latency::kRecord, "record"},
       {Latency::kTakeOver, "take_over"},
       {Latency::kFirstStart, "first_start"},
       {Latency::kPlan, "plan"}}};
};

// Current values.
enum class Gauge {
  kTasksWithoutRunWaiting,  // Tasks that are due, have had no live run for seconds, and wait.
  kTasksWithoutRunPlaced,   // The same, for tasks that are placed on a worker.
  kLongestWithoutRunMs,     // Longest time without a live run among these tasks, in ms.
  kJobsWithoutRun,          // Jobs without a run for seconds although a best-effort task is ready.
  kProcessorWaitMs,         // How long a look at a worker waits for the processor share, in ms.
  kLinkWaitMs,              // How long a look at a worker waits for the link, in ms.
  kJobsDelayed,             // Jobs that are chosen to become late under overload.
};
template <>
struct EnumNames<Gauge> {
  static constexpr std::array<EnumName<Gauge>, 7> kNames = {
      {{Gauge::kTasksWithoutRunWaiting, "tasks_without_run_waiting"},
       {Gauge::kTasksWithoutRunPlaced, "tasks_without_run_placed"},
       {Gauge::kLongestWithoutRunMs, "longest_without_run_ms"},
       {Gauge::kJobsWithoutRun, "jobs_without_run"},
       {Gauge::kProcessorWaitMs, "processor_wait_ms"},
       {Gauge::kLinkWaitMs, "link_wait_ms"},
       {Gauge::kJobsDelayed, "jobs_delayed"}}};
};

class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Add(Counter counter, std::uint64_t by = 1);
  std::uint64_t Value(Counter counter) const;
  void CountBytes(TrafficKind kind, std::size_t bytes);
  std::uint64_t Bytes(TrafficKind kind) const;
  // Adds the duration of an answered request, in microseconds.
  void RecordRequestTime(double microseconds);
  // Durations of the answered requests, in microseconds.
  Distribution RequestTimes() const;
  // Adds a sample to the histogram of `latency`.
  void RecordLatency(Latency latency, Duration time);
  void Set(Gauge gauge, std::int64_t value);
  // Sets the number of tasks that are still placed in each evacuated zone.
  void SetTasksInEvacuatedZones(std::map<std::string, std::int64_t> tasks);
  // All metrics in Prometheus text format.
  std::string Prometheus() const;
  // Name of the counter in Prometheus text format, without prefix and suffix.
  static std::string_view NameOf(Counter counter);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dn
