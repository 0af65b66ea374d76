// Jobs as callers submit them, and the queues that the operator configures.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace dn {

// One step of a job: `count` tasks that run the same image.
struct StepFields {
  int count = 1;
  Resources demand;              // Resources that one task needs.
  std::int64_t estimate_ms = 0;  // Run time of one task, as the caller estimates it.
  std::vector<int> after;        // Indices of the earlier steps that must be done first.
  bool checkpointing = false;
  bool gang = false;       // All tasks run at the same time, or none does.
  bool same_rack = false;  // The tasks should share a rack: they slow each other down across racks.
  bool speculative = false;
  bool long_running = false;  // Latency-critical step: its tasks run until the job is cancelled.
  bool best_effort = false;   // Uses cores that other tasks leave idle; reserves none.
  std::string required_label;
  std::string data_rack;
  int max_per_worker = 0;  // 0: no limit.
  std::string image;
  // Largest tail latency of a latency-critical task; 0: none is set.
  std::int64_t target_latency_ms = 0;
  // Largest number of tasks that the scheduler may interrupt at the same time; -1: no limit.
  int max_unavailable = -1;

  friend auto operator<=>(const StepFields&, const StepFields&) = default;
};
using StepSpec = Immutable<StepFields>;

struct JobSpecFields {
  std::string payload;  // Opaque to the scheduler; passed to every task.
  std::vector<StepSpec> steps;
  int occurrences = 0;            // How often the steps run; 0: once, without a due time.
  std::int64_t first_due_ms = 0;  // Wall clock, ms since 1970.
  std::int64_t interval_ms = 0;

  friend auto operator<=>(const JobSpecFields&, const JobSpecFields&) = default;
};
using JobSpec = Immutable<JobSpecFields>;

// A queue: which requests belong to it and how its jobs are run.
struct QueueFields {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  // The pool of workers that runs its tasks.
  int priority = 0;     // 0 is the highest priority.
  int max_attempts = 1;
  double stretch = 1.0;  // Objective of a job in ms: stretch x critical path + target latency.
  std::int64_t target_latency_ms = 0;
  bool needs_advice = false;  // Only workers that the advice service names may run its jobs.

  friend auto operator<=>(const QueueFields&, const QueueFields&) = default;
};
using Queue = Immutable<QueueFields>;

struct QueueConfigurationFields {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::int64_t max_body_bytes = 262'144;
  std::int64_t max_header_bytes = 16'384;

  friend auto operator<=>(const QueueConfigurationFields&,
                          const QueueConfigurationFields&) = default;
};
// The operator's configuration of queues and of the limits on requests.
using QueueConfiguration = Immutable<QueueConfigurationFields>;

// 64-bit identifier that the caller chooses.
using JobId = std::uint64_t;
// Returns 16 hexadecimal digits.
std::string FormatJobId(JobId id);
// Returns kMalformed unless `text` consists of 16 hexadecimal digits.
Result<JobId> ParseJobId(std::string_view text);

// One task of one occurrence of a job.
struct TaskKey {
  JobId job = 0;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};
// Returns JOB.OCCURRENCE.STEP.INDEX.
std::string FormatTaskKey(const TaskKey& key);

}  // namespace dn
