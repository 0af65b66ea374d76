// Table of the workers that a shard uses: their capacity, clocks, leases and placed tasks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/internal/job_table.h"
#include "scheduling/internal/policy.h"
#include "scheduling/internal/worker_calls.h"

namespace dn {

// Leases are renewed until a worker has not reported for this long: one renewal that got no
// response after its full wait, and its retry.
constexpr Duration kReportTimeout{2'500};

// Returns the longest time for which a lease of `length` may go on, by the slowest clock and with
// the way of the call that grants it.
Duration LongestLease(const Policy& policy, Duration length);

// Period in which the starts of a cold worker are limited: the second of the platform's rule, and
// half a second by which starts may bunch on their way.
constexpr Duration kColdWindow{1'500};

// State of a worker that the placement of best-effort tasks depends on.
struct BestEffortHeadroom {
  // Idle cores once all best-effort tasks run at full speed, in millicores; may be negative.
  std::int64_t idle_millicores = 0;
  // Idle cores at the current speeds, in millicores; may be negative.
  std::int64_t unused_millicores = 0;
  // Expected normalised load by latency-critical image: that of the image's most loaded task, plus
  // the load from best-effort tasks that reports do not cover yet.
  std::vector<std::pair<ImageId, double>> loads;
};

struct WorkerRow {
  WorkerEntry entry;
  bool listed = false;
  bool evacuated = false;  // Its zone is evacuated: it gets no starts.
  Time cold_until{};       // The worker is slow until then; Time(): it is not.
  // While cold: when this owner decided to send starts, as far as within kColdWindow.
  std::vector<Time> cold_starts;
  std::optional<std::int64_t> max_cold_starts;  // See PolicyFields.
  // When the registered incarnation wrote a registration, at the earliest; Time(): not known.
  Time listed_at{};
  Time unlisted_at{};
  Resources reserved;                // By all placed tasks; best-effort tasks reserve no cores.
  std::map<TaskRef, JobRow*> tasks;  // Exactly the tasks that are placed on this worker.
  std::set<TaskRef> suspects;        // Exactly those of `tasks` that may be the cause of a crash.
  std::int64_t best_effort_millicores = 0;       // Demand of the placed best-effort tasks.
  std::int64_t latency_critical_millicores = 0;  // Demand of the placed latency-critical tasks.
  // Whether a report has arrived since this owner took the shard over. Until then, orders of
  // earlier owners may still take effect on the worker.
  bool confirmed = false;
  Time leaves_at = Time::max();  // While draining: the earliest time at which the worker may leave.
  std::int64_t start_time_ms = 0;  // Incarnation in the last report; 0: no report has arrived.
  std::int64_t drained_start_time_ms = 0;  // Last incarnation that was draining; 0: none.
  // Last reading of the worker's clock, and the owner's time of that reading.
  std::optional<std::pair<ClockReading, Time>> clock;
  Time clock_read_after{};  // The worker took that reading no earlier.
  WorkerCalls calls;
  // All leases of the incarnation that reported last have expired by this time.
  Time leases_expire_at{};
  // The same for a later incarnation that has carried calls out in time: by its clock, they may
  // grant it the platform's longest lease.
  Time unheard_leases_expire_at{};
  // When the last call that may have granted a lease was due, and the incarnation whose clock it
  // used; nothing if this owner has granted none.
  std::optional<std::pair<Time, std::int64_t>> last_grant;
  int unanswered_calls = 0;        // Calls without a response since the last report.
  bool lists_ends = false;         // The last report listed ends.
  std::int64_t ends_seen = 0;      // Largest number of an end that was applied.
  std::int64_t ends_recorded = 0;  // Largest number of an end whose effect is durable.
  // Since when the acknowledgement of recorded ends has waited for the responses to starts; nothing
  // if it does not.
  std::optional<Time> ends_wait_since;
  Time avoid_until{};
  int unanswered_starts = 0;    // Consecutive starts without a response.
  std::set<JobId> failed_jobs;  // Jobs that failed on this worker since its last success.
  Time added_at{};              // When this owner first heard of the worker.
  Time last_report{};
  // When the first renewal failed since the last response; nothing if none did.
  std::optional<Time> silent_since;
  // That renewal broke off, so that `silent_since` is when the worker ceased to respond. False if
  // it timed out or none failed.
  bool connection_broke = false;
  bool replaced = false;  // Another worker has answered at its address since it is not listed.
  Time throttling_checked_at{};  // When the throttling of this worker was last evaluated.
  // Cached; computed on first use after a report or after a change of `tasks` or of the capacity.
  mutable std::optional<BestEffortHeadroom> headroom;

  Resources Free() const {
    return {.millicores = entry->capacity.millicores - reserved.millicores,
            .memory_mb = entry->capacity.memory_mb - reserved.memory_mb,
            .accelerators = entry->capacity.accelerators - reserved.accelerators};
  }
  bool HasLabel(const std::string& label) const;
  bool IsCold(Time now) const { return max_cold_starts && now < cold_until; }
  // Returns whether the worker is cold and has got as many starts as it may.
  bool HasColdStartLimit(Time now) const;
};

class WorkerTable {
 public:
  explicit WorkerTable(const Policy& policy) : policy_(policy) {}

  // See Shard::ExpectEarlierOrders().
  void ExpectEarlierOrders(Time until, std::int64_t until_ms) {
    earlier_owners_until_ = until;
    earlier_owners_until_ms_ = until_ms;
  }
  // Adds or updates the entry of a registered worker. `written_after`: see Shard::WorkerListed().
  void Listed(const WorkerEntry& entry, Time now, Time written_after = Time());
  // Handles the end of a worker's registration.
  // Returns whether the worker was listed.
  bool Unlisted(const WorkerId& id, Time now);
  WorkerRow* Find(const WorkerId& id);
  const WorkerRow* Find(const WorkerId& id) const;
  WorkerRow& FindOrAdd(const WorkerId& id, Time now);
  // Removes a worker without tasks. Returns the next one.
  std::map<WorkerId, WorkerRow>::iterator Erase(std::map<WorkerId, WorkerRow>::iterator worker);
  std::map<WorkerId, WorkerRow>& workers() { return workers_; }
  const std::map<WorkerId, WorkerRow>& workers() const { return workers_; }

  // Add a task to a worker's placed tasks and reserved resources, and remove it again.
  static void Reserve(WorkerRow& worker, JobRow& job, std::size_t position);
  static void Release(WorkerRow& worker, JobRow& job, std::size_t position);

  // Returns the reading of the worker's clock at which a lease that is granted now expires; nothing
  // while the worker's clock is unknown.
  std::optional<ClockReading> LeaseExpiry(const WorkerRow& worker, Time now) const;
  // Returns whether the worker's last registration is of a later incarnation than its last report.
  static bool HasRestarted(const WorkerRow& worker);
  // Returns whether `reading`, in the response to a call that was sent at `sent`, is too low for
  // the incarnation that reported last: the clock of each incarnation starts anew.
  bool IsOfOtherIncarnation(const WorkerRow& worker, ClockReading reading, Time sent) const;
  // Returns whether `reading`, in a response that arrives at `now`, shows the incarnation that
  // reported last. The clock of one that began after that report shows less than the time since.
  bool IsOfLastIncarnation(const WorkerRow& worker, ClockReading reading, Time now) const;
  // Records the reading in a report of the worker that was requested at `sent`. Call it before the
  // report's incarnation is noted.
  static void ClockRead(WorkerRow& worker, const RunReport& report, Time sent, Time now);
  // Returns whether starts may be sent to the worker. They may not while it does not respond, or
  // before its present incarnation has reported and refuses the calls to earlier ones.
  static bool AcceptsStarts(const WorkerRow& worker, Time now);
  // Records that a lease of the policy's full length may have been granted at `now`.
  void LeaseGranted(WorkerRow& worker, Time now) const;
  // Records that an incarnation of which this owner has not heard may have carried out a start
  // until `now`, and taken a lease for it.
  void StartUnheard(WorkerRow& worker, Time now) const;
  // Returns whether the worker is not listed and all its leases have expired.
  bool IsLost(const WorkerRow& worker, Time now) const;
  // Returns whether a listed worker does not report and all its leases have expired.
  bool IsSilent(const WorkerRow& worker, Time now) const;
  // Handles an incarnation of a worker, named by its registration or by the record of a task, that
  // this owner has not heard of. Earlier owners' calls by the clock of the one before may have
  // granted it the longest lease, if it began shortly before their end. The worker's first report
  // to this owner replaces the bound; else it passes with its time, or goes with the row.
  void ExpectInheritedGrants(WorkerRow& worker, std::int64_t start_time_ms) const;
  // Handles a call that a new incarnation has carried out: others that were meant for an earlier
  // one may grant it leases until it refuses them.
  void ExpectStaleGrants(WorkerRow& worker) const;
  // Handles the response to a renewal: the worker may have received a call of an earlier
  // incarnation, or of an earlier owner, until just now.
  void RenewalAnswered(WorkerRow& worker, Time now) const;
  // Until when earlier owners may have sent calls.
  Time EarlierOwnersUntil(Time now);

 private:
  const Policy policy_;
  std::map<WorkerId, WorkerRow> workers_;
  // Until when earlier owners may have granted leases. Unless it is told, they have ended when the
  // first worker is added.
  std::optional<Time> earlier_owners_until_;
  // The time of day at that time; set if it was told.
  std::optional<std::int64_t> earlier_owners_until_ms_;
  CallSeries first_series_ = 0;  // Above the series of the calls to workers that were erased.
};

}  // namespace dn
