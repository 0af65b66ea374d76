// Finds jobs that have had no run for seconds although a best-effort task of theirs is ready, and
// tells what keeps them from a reduced start. The findings serve the log and the metrics; they
// affect no decision.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/internal/reduced_start.h"

namespace dn {

struct IdleJobFields {
  JobId job = 0;
  std::string image;                // Of the task that would start first.
  Duration without_run{};           // Time without a confirmed run.
  std::int64_t ready = 0;           // Best-effort tasks that wait and are ready.
  std::int64_t suspects = 0;        // Those of them that may be the cause of a crash.
  std::int64_t placed = 0;          // Tasks that are placed, none with a run that goes on.
  std::int64_t unused_percent = 0;  // Of the cores of the job's service: in use by no task.
  // Responses of all known workers to a reduced start.
  std::int64_t accepting = 0;
  std::int64_t unusable = 0;   // Workers that do not satisfy RefusalOf().
  std::int64_t evacuated = 0;  // Those of them in an evacuated zone.
  // Indexed by ReducedStartRefusal.
  std::array<std::int64_t, EnumNames<ReducedStartRefusal>::kNames.size()> refusing{};

  friend auto operator<=>(const IdleJobFields&, const IdleJobFields&) = default;
};
using IdleJob = Immutable<IdleJobFields>;

// Returns the members as a list of name=value, separated by spaces.
std::string ToText(const IdleJob& idle);

struct IdleJobsFields {
  std::int64_t count = 0;    // All such jobs.
  std::vector<IdleJob> due;  // Those to be logged now: the ones without a run for longest.

  friend auto operator<=>(const IdleJobsFields&, const IdleJobsFields&) = default;
};
using IdleJobs = Immutable<IdleJobsFields>;

// Returns the jobs without a run at `view.now`.
IdleJobs FindIdleJobs(const JobTable& jobs, const WorkerTable& workers, const PlacementView& view);

}  // namespace dn
