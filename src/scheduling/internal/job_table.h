// Jobs of a shard and the states of their tasks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/internal/images.h"
#include "scheduling/internal/orders.h"
#include "scheduling/internal/record_codec.h"

namespace dn {

// How far the start of a placed task has got.
enum class StartStage : std::uint8_t {
  kUnrecorded,  // The intent is not durable; nothing was sent.
  kSent,        // A start was sent, or may have been, and was not answered.
  kConfirmed,   // The worker has acknowledged or reported the run.
};

struct TaskRow {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;
  int failures = 0;
  WorkerId worker;           // Set exactly while kPlaced.
  std::int64_t born_ms = 0;  // Life of `worker` in which the run was placed.
  std::string checkpoint;
  StartStage stage = StartStage::kUnrecorded;
  bool stopping = false;   // A stop was ordered; capacity stays taken until the end.
  bool inherited = false;  // Placed by an earlier owner, not yet seen in a report.
  Time sent{};             // While kSent: when a start was sent last.
  int start_attempts = 0;  // Starts sent without an answer, of this run.
  Time stop_ordered{};     // When a stop was sent last.
  // A stop was acknowledged for a run that was never confirmed: it cannot start
  // any more.
  std::optional<Time> revoked;
  int missing = 0;          // Reports in a row that did not list this confirmed run.
  int last_failed_run = 0;  // Gangs count one failure a run.
  Time since{};             // Entered this phase.
  Time not_before{};        // While kWaiting: earliest next start.
  // From reports:
  int progress = 0;
  Time progressed{};  // When `progress` last changed.
  std::int64_t observed = 0;
  double pressure = 0;                    // Serving tasks: 0 at rest, 1 at the target.
  int pace = 100;                         // Percent ordered last.
  Time paced{};                           // When `pace` last changed.
  std::optional<Time> over_target_since;  // Serving tasks only.
};

// Address of a task: its job and its position in JobRow::tasks.
struct TaskRef {
  JobId job = 0;
  std::size_t position = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

struct JobRow {
  AcceptedJob accepted;
  JobPhase phase = JobPhase::kOpen;
  JobPhase recorded_phase = JobPhase::kOpen;  // As far as it is durable.
  bool dirty = false;                         // Differs from its durable record.
  std::optional<Time> finished_at;
  Time seen{};
  std::int64_t longest_chain_ms = 0;
  // By step: longest chain from its start to the end of the job, by estimates.
  std::vector<std::int64_t> chain_from_ms;
  // By occurrence, then step, then index; occurrences are added when due.
  std::vector<TaskRow> tasks;
  std::vector<std::size_t> step_offset;  // Of each step within an occurrence.
  std::vector<std::size_t> step_of;      // Of each task within an occurrence.
  std::vector<ImageId> images;           // By step.
  std::size_t tasks_per_occurrence = 0;
  std::size_t done = 0;     // Tasks in kDone.
  std::size_t waiting = 0;  // Tasks in kWaiting.
  bool begun = false;       // A task was started at some time.
  // Serving jobs: pressure of their own load, without fills.
  std::optional<double> own_pressure;

  std::size_t occurrences() const { return tasks.size() / tasks_per_occurrence; }
  std::size_t PositionOf(const TaskKey& key) const;
  TaskKey KeyOf(std::size_t position) const;
  std::size_t StepIndexOf(std::size_t position) const {
    return step_of[position < tasks_per_occurrence ? position : position % tasks_per_occurrence];
  }
  const StepSpec& StepOf(std::size_t position) const {
    return accepted->spec->steps[StepIndexOf(position)];
  }
  ImageId ImageOf(std::size_t position) const { return images[StepIndexOf(position)]; }
  // Positions [first, last) of one step.
  std::pair<std::size_t, std::size_t> RangeOf(std::size_t occurrence, std::size_t step) const;
  bool StepDone(std::size_t occurrence, std::size_t step) const;
  // All steps that `step` waits for are done.
  bool StepReady(std::size_t occurrence, std::size_t step) const;
  std::int64_t objective_ms() const;
};

class JobTable {
 public:
  // Adds a job unless it is known. False: it was.
  bool Accept(const AcceptedJob& accepted, Time now);
  // Sets the tasks of a known job to recorded progress.
  void Restore(const JobProgress& progress, Time now);
  // Adds the occurrences that are due.
  void Unfold(JobRow& job, std::int64_t wall_ms);

  JobRow* Find(JobId id);
  const JobRow* Find(JobId id) const;
  TaskRow* Find(const TaskKey& key);
  ImageTable& images() { return images_; }
  const ImageTable& images() const { return images_; }
  std::map<JobId, JobRow>& jobs() { return jobs_; }
  const std::map<JobId, JobRow>& jobs() const { return jobs_; }

  // Changes of phase keep the counters of the job and mark it dirty.
  void SetPhase(JobRow& job, std::size_t position, TaskPhase phase, Time now);
  void MarkDirty(JobRow& job);
  // Ids whose durable record is out of date.
  const std::set<JobId>& dirty() const { return dirty_; }
  void ClearDirty();
  void Erase(JobId id);

  static JobProgress ProgressOf(const JobRow& job);

 private:
  std::map<JobId, JobRow> jobs_;  // Rows stay where they are until erased.
  ImageTable images_;
  std::set<JobId> dirty_;  // Exactly the jobs with `dirty` set.
};

}  // namespace dn
