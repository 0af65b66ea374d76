// The waiting and running work of one service, as overload control sees it: the input of the
// choice which jobs become late (late_selection.h).
#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduling/internal/job_spec.h"

namespace dn {

// A job that ends after this multiple of its objective is worth nothing to its caller.
inline constexpr std::int64_t kValueLimitFactor = 3;

// Which cores a job's tasks use. Best-effort tasks reserve none: they use what the others leave.
enum class CorePool { kReserved, kIdle };
template <>
struct EnumNames<CorePool> {
  static constexpr std::array<EnumName<CorePool>, 2> kNames = {
      {{CorePool::kReserved, "reserved"}, {CorePool::kIdle, "idle"}}};
};

// Size of a job by its work, relative to the recent jobs of its queue.
enum class SizeClass {
  kUsual,
  kLarge,    // In the fifth below the largest tenth.
  kLargest,  // In the largest tenth.
};
template <>
struct EnumNames<SizeClass> {
  static constexpr std::array<EnumName<SizeClass>, 3> kNames = {{{SizeClass::kUsual, "usual"},
                                                                 {SizeClass::kLarge, "large"},
                                                                 {SizeClass::kLargest, "largest"}}};
};

// A job with tasks that have not started. Work is in core-milliseconds by estimate.
struct WaitingJobFields {
  JobId id = 0;
  std::string queue;
  int priority = 0;
  CorePool pool = CorePool::kReserved;
  SizeClass size = SizeClass::kUsual;
  bool delayed = false;  // It was chosen to become late before.
  std::int64_t objective_ms = 0;
  std::int64_t left_ms = 0;  // Until the objective; negative once it is missed.
  std::int64_t path_ms = 0;  // Estimated critical path of what remains.
  double work = 0;           // Of the tasks that have not started.
  double relative_work = 0;  // `work` relative to the mean job of its queue.
  double value = 1;          // To the caller, relative to the mean job of its queue.

  friend auto operator<=>(const WaitingJobFields&, const WaitingJobFields&) = default;
};
using WaitingJob = Immutable<WaitingJobFields>;

// Time for which the job can still wait and meet its objective; negative: it cannot.
inline std::int64_t SlackOf(const WaitingJob& job) { return job->left_ms - job->path_ms; }
inline bool CanBeOnTime(const WaitingJob& job) { return SlackOf(job) >= 0; }
// Whether the job is placed before the jobs of lower priorities: see urgency.h.
inline bool HasValue(const WaitingJob& job) {
  return job->left_ms + (kValueLimitFactor - 1) * job->objective_ms >= 0;
}

// Cores of one pool and what runs on them.
struct PoolCapacityFields {
  double cores = 0;         // Without those that latency-critical tasks keep.
  double free_cores = 0;    // Not reserved now.
  double ready_cores = 0;   // Needed by the waiting tasks whose step is ready.
  double running_work = 0;  // Remaining work of the running tasks, by estimate.
  // Work that ended recently, per millisecond. Estimates that are too long or too short in general
  // show here, in the same unit as the waiting work.
  double end_rate = 0;

  // Work per millisecond, by the higher of the two figures.
  double Rate() const { return std::max(cores, end_rate); }

  friend auto operator<=>(const PoolCapacityFields&, const PoolCapacityFields&) = default;
};
using PoolCapacity = Immutable<PoolCapacityFields>;

struct BacklogFields {
  std::array<PoolCapacity, 2> capacities{};  // By CorePool.
  std::vector<WaitingJob> waiting;           // Without latency-critical and repeated jobs.

  const PoolCapacity& CapacityOf(CorePool pool) const {
    return capacities.at(static_cast<std::size_t>(pool));
  }
  // Whether tasks of the pool wait that do not fit into its free cores. Not without any cores:
  // by when jobs can be done is not known then.
  bool ExceedsCapacity(CorePool pool) const {
    const PoolCapacity& of = CapacityOf(pool);
    return of->cores > 0 && of->ready_cores > of->free_cores;
  }

  friend auto operator<=>(const BacklogFields&, const BacklogFields&) = default;
};
// The backlog of one service.
using Backlog = Immutable<BacklogFields>;

// Returns the work that runs, and the waiting work that is placed before any job of `pool` and
// `priority` whatever its slack: that of more urgent priorities. Best-effort tasks take no cores
// from those that reserve them, whereas the latter also leave fewer idle cores.
double WorkBefore(const Backlog& backlog, CorePool pool, int priority);

// Sizes of the recent jobs by queue.
class KindSizes {
 public:
  void Observe(const std::string& queue, double work);
  // Value of a job to its caller: 0.3 + 0.7 x its work over the mean of its queue, 4 at most.
  double ValueOf(const std::string& queue, double work) const;
  // Mean work of the recent jobs; `work` if there are none.
  double MeanOf(const std::string& queue, double work) const;
  // kUsual until enough jobs of the queue have been seen.
  SizeClass ClassOf(const std::string& queue, double work) const;

 private:
  struct Kind {
    std::vector<double> recent;  // A ring.
    std::size_t next = 0;        // Where the next job goes once the ring is full.
    std::size_t since_sorted = 0;
    double sum = 0;         // Of `recent`.
    double large_from = 0;  // Quantiles of `recent` when it was last sorted.
    double largest_from = 0;
    bool sorted = false;
  };

  std::map<std::string, Kind> kinds_;  // By queue; the configuration bounds their number.
};

// Returns the services that are shared by queues of more than one priority. Only they are under
// overload control.
std::set<std::string> SharedServices(const QueueConfiguration& configuration);

// Returns the work of a job of which nothing has started, in core-milliseconds by estimate.
double WorkOf(const JobSpec& spec);

}  // namespace dn
