// Durable records of the scheduler: accepted jobs and the progress of their
// tasks, in a compact form of our own (little-endian base-128 numbers).
#pragma once

#include <string>
#include <string_view>

#include "scheduling/internal/interference.h"
#include "scheduling/internal/job_spec.h"

namespace dn {

// A job as it was accepted. The first record of an identifier counts.
struct AcceptedJobFields {
  JobId id = 0;
  Queue queue;                   // As configured when the job was accepted.
  std::int64_t accepted_ms = 0;  // Wall clock of the accepting instance.
  JobSpec spec;

  friend auto operator<=>(const AcceptedJobFields&, const AcceptedJobFields&) = default;
};
using AcceptedJob = Immutable<AcceptedJobFields>;

enum class TaskPhase : std::uint8_t {
  kWaiting,  // Not on any worker.
  kPlaced,   // Intent recorded; runs on a worker, or may.
  kDone,
};

struct TaskProgressFields {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;  // Number of the last start; 0: never started.
  int failures = 0;
  std::string worker;        // While kPlaced.
  std::int64_t born_ms = 0;  // Life of that worker.
  std::string checkpoint;

  friend auto operator<=>(const TaskProgressFields&, const TaskProgressFields&) = default;
};
using TaskProgress = Immutable<TaskProgressFields>;

enum class JobPhase : std::uint8_t { kOpen, kCompleted, kFailed, kCancelled };

// Progress of one job, replaced as a whole.
struct JobProgressFields {
  JobId id = 0;
  JobPhase phase = JobPhase::kOpen;
  // By occurrence, then by step, then by index. May be shorter than the job
  // has tasks: the rest has not been touched.
  std::vector<TaskProgress> tasks;

  friend auto operator<=>(const JobProgressFields&, const JobProgressFields&) = default;
};
using JobProgress = Immutable<JobProgressFields>;

std::string EncodeHarm(const std::vector<HarmEstimate>& estimates);
Result<std::vector<HarmEstimate>> DecodeHarm(std::string_view bytes);
std::string EncodeAcceptedJob(const AcceptedJob& job);
Result<AcceptedJob> DecodeAcceptedJob(std::string_view bytes);
std::string EncodeJobProgress(const JobProgress& progress);
Result<JobProgress> DecodeJobProgress(std::string_view bytes);

}  // namespace dn
