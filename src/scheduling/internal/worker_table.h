// Workers of a shard: capacity, clocks, leases and what is placed on them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/internal/job_table.h"
#include "scheduling/internal/policy.h"

namespace dn {

// What matters of a worker for fills.
struct FillOutlook {
  std::int64_t leftover = 0;  // Cores that no task uses, in thousandths.
  // Expected pressure by serving image: the worst task of the image, with fills
  // that reports do not show yet.
  std::vector<std::pair<ImageId, double>> serving;
};

struct WorkerRow {
  WorkerEntry entry;
  bool listed = false;
  Time unlisted_at{};
  Resources reserved;                   // Of all placed tasks; fills reserve no cores.
  std::map<TaskRef, JobRow*> tasks;     // Exactly the tasks placed here.
  std::int64_t fill_millicores = 0;     // Of placed fills.
  std::int64_t serving_millicores = 0;  // Of placed serving tasks.
  // A report has come since this shard was taken over. Until then orders of
  // earlier owners may still arrive there.
  bool confirmed = false;
  Time leaves_at = Time::max();  // While draining: earliest departure.
  std::int64_t born_ms = 0;      // Of the last report; 0: none.
  // Worker's clock and when it was read.
  std::optional<std::pair<ClockReading, Time>> clock;
  // After this, no lease that was granted so far can still run.
  Time lease_lapses{};
  std::int64_t ends_seen = 0;      // Largest end applied.
  std::int64_t ends_recorded = 0;  // Largest end whose effect is durable.
  Time avoid_until{};
  int unanswered = 0;           // Starts in a row that ended without an answer.
  std::set<JobId> failed_jobs;  // Failed here since the last success.
  Time last_report{};
  Time paced{};  // When the pace of fills was last considered.
  // Worked out when first asked for after a report or a change of `tasks`.
  mutable std::optional<FillOutlook> outlook;

  Resources Free() const {
    return {.millicores = entry->capacity.millicores - reserved.millicores,
            .memory_mb = entry->capacity.memory_mb - reserved.memory_mb,
            .accelerators = entry->capacity.accelerators - reserved.accelerators};
  }
  bool HasLabel(const std::string& label) const;
};

class WorkerTable {
 public:
  explicit WorkerTable(const Policy& policy) : policy_(policy) {}

  // The worker registered itself, or its entry changed.
  void Listed(const WorkerEntry& entry, Time now);
  void Unlisted(const WorkerId& id, Time now);
  WorkerRow* Find(const WorkerId& id);
  WorkerRow& FindOrAdd(const WorkerId& id, Time now);
  std::map<WorkerId, WorkerRow>& workers() { return workers_; }
  const std::map<WorkerId, WorkerRow>& workers() const { return workers_; }

  static void Reserve(WorkerRow& worker, JobRow& job, std::size_t position);
  static void Release(WorkerRow& worker, JobRow& job, std::size_t position);

  // Reading of the worker's clock at which a lease granted now ends; nothing
  // while the clock is not known.
  std::optional<ClockReading> LeaseEnd(const WorkerRow& worker, Time now) const;
  // A lease as long as the policy allows may have been granted at `now`.
  void LeaseGranted(WorkerRow& worker, Time now) const;
  // Nothing placed on it can still run there.
  bool CertainlyDead(const WorkerRow& worker, Time now) const;

 private:
  const Policy policy_;
  std::map<WorkerId, WorkerRow> workers_;
};

}  // namespace dn
