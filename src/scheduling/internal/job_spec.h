// Jobs as callers hand them in, and the queues that configurations define.
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
  Resources demand;              // Of one task.
  std::int64_t estimate_ms = 0;  // Run time of one task as the caller guesses it.
  std::vector<int> after;        // Indices of earlier steps that must be done first.
  bool checkpointing = false;
  bool gang = false;       // All tasks run together or not at all.
  bool same_rack = false;  // Tasks slow each other down across racks.
  bool speculative = false;
  bool long_running = false;  // Runs until the job is cancelled.
  bool fills = false;         // Uses leftover cores; its cores are not reserved.
  std::string required_label;
  std::string data_rack;
  int max_per_worker = 0;  // 0: no limit.
  std::string image;
  std::int64_t target_latency_ms = 0;  // Bound on the tail latency of a serving task.
  int may_miss = -1;  // Tasks that may be away at once by our doing; -1: no such limit.

  friend auto operator<=>(const StepFields&, const StepFields&) = default;
};
using StepSpec = Immutable<StepFields>;

struct JobSpecFields {
  std::string payload;  // Opaque to the scheduler; handed to every task.
  std::vector<StepSpec> steps;
  int occurrences = 0;            // Times that the steps run; 0: once, at once.
  std::int64_t first_due_ms = 0;  // Wall clock, ms since 1970.
  std::int64_t interval_ms = 0;

  friend auto operator<=>(const JobSpecFields&, const JobSpecFields&) = default;
};
using JobSpec = Immutable<JobSpecFields>;

// A queue: where requests for it arrive and how its jobs are run.
struct QueueFields {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  // The pool of workers that runs its tasks.
  int priority = 0;     // 0 comes first.
  int max_attempts = 1;
  double stretch = 1.0;  // Objective: stretch x longest chain + target latency.
  std::int64_t target_latency_ms = 0;
  bool needs_advice = false;  // Only workers named by the advice service may run it.

  friend auto operator<=>(const QueueFields&, const QueueFields&) = default;
};
using Queue = Immutable<QueueFields>;

struct CatalogueFields {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::int64_t max_body_bytes = 262'144;
  std::int64_t max_header_bytes = 16'384;

  friend auto operator<=>(const CatalogueFields&, const CatalogueFields&) = default;
};
// The operator's configuration as far as scheduling uses it.
using Catalogue = Immutable<CatalogueFields>;

// 64-bit identifier chosen by the caller.
using JobId = std::uint64_t;
std::string FormatJobId(JobId id);  // 16 hexadecimal digits.
// kMalformed unless `text` is 16 hexadecimal digits.
Result<JobId> ParseJobId(std::string_view text);

// One task of one occurrence of a job.
struct TaskKey {
  JobId job = 0;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};
std::string FormatTaskKey(const TaskKey& key);  // JOB.OCCURRENCE.STEP.INDEX

}  // namespace dn
