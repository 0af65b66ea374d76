// Durable records of the scheduler: accepted jobs, the progress of their tasks and the interference
// estimates. They use a compact binary format (little-endian base-128 numbers) that only this
// project reads.
#pragma once

#include <string>
#include <string_view>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/job_spec.h"
#include "scheduling/internal/run_history.h"

namespace dn {

// A job as it was accepted. Of several records with the same identifier the first one is valid.
struct AcceptedJobFields {
  JobId id = 0;
  Queue queue;                   // As configured when the job was accepted.
  std::int64_t accepted_ms = 0;  // Wall clock of the accepting instance, ms since 1970.
  JobSpec spec;

  friend auto operator<=>(const AcceptedJobFields&, const AcceptedJobFields&) = default;
};
using AcceptedJob = Immutable<AcceptedJobFields>;

enum class TaskPhase : std::uint8_t {
  kWaiting,  // Not placed on a worker.
  kPlaced,   // The intent is recorded; the task runs or may run on a worker.
  kDone,
};
template <>
struct EnumNames<TaskPhase> {
  static constexpr std::array<EnumName<TaskPhase>, 3> kNames = {{{TaskPhase::kWaiting, "waiting"},
                                                                 {TaskPhase::kPlaced, "placed"},
                                                                 {TaskPhase::kDone, "done"}}};
};

struct TaskProgressFields {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;  // Number of the last run; 0: never started.
  int failures = 0;
  std::string worker;                     // Set while kPlaced.
  std::int64_t worker_start_time_ms = 0;  // Incarnation of that worker, ms since 1970.
  std::string checkpoint;

  friend auto operator<=>(const TaskProgressFields&, const TaskProgressFields&) = default;
};
using TaskProgress = Immutable<TaskProgressFields>;

enum class JobPhase : std::uint8_t { kOpen, kCompleted, kFailed, kCancelled };

// Progress of one job. A newer record replaces an older one as a whole.
struct JobProgressFields {
  JobId id = 0;
  JobPhase phase = JobPhase::kOpen;
  // Ordered by occurrence, then by step, then by index. Tasks beyond the end are in their initial
  // state.
  std::vector<TaskProgress> tasks;

  friend auto operator<=>(const JobProgressFields&, const JobProgressFields&) = default;
};
using JobProgress = Immutable<JobProgressFields>;

struct TaskCrashesFields {
  std::size_t position = 0;  // In JobProgressFields::tasks.
  RunHistory history;

  friend auto operator<=>(const TaskCrashesFields&, const TaskCrashesFields&) = default;
};
using TaskCrashes = Immutable<TaskCrashesFields>;

// Crashes of workers under the tasks of a job; tasks that are not named have none. Kept apart from
// the progress, under a key of its own, so that versions without it can still read the progress.
struct JobCrashesFields {
  JobId id = 0;
  std::vector<TaskCrashes> tasks;

  friend auto operator<=>(const JobCrashesFields&, const JobCrashesFields&) = default;
};
using JobCrashes = Immutable<JobCrashesFields>;
// Key of the record of a job's crashes.
std::string CrashesKey(JobId id);

// The decoders return kMalformed for damaged records and for records of another format version.
std::string EncodeInterference(const std::vector<InterferenceEstimate>& estimates);
Result<std::vector<InterferenceEstimate>> DecodeInterference(std::string_view bytes);
std::string EncodeAcceptedJob(const AcceptedJob& job);
Result<AcceptedJob> DecodeAcceptedJob(std::string_view bytes);
std::string EncodeJobProgress(const JobProgress& progress);
Result<JobProgress> DecodeJobProgress(std::string_view bytes);
std::string EncodeJobCrashes(const JobCrashes& crashes);
Result<JobCrashes> DecodeJobCrashes(std::string_view bytes);

}  // namespace dn
