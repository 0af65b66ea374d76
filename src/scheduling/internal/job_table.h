// Table of the jobs of a shard and of the states of their tasks.
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

// Progress of the start of a placed task.
enum class StartStage : std::uint8_t {
  kUnrecorded,  // The intent is not durable yet; no start was sent.
  kSent,        // A start was or may have been sent; no response has arrived.
  kConfirmed,   // The worker has acknowledged or reported the run.
};
template <>
struct EnumNames<StartStage> {
  static constexpr std::array<EnumName<StartStage>, 3> kNames = {
      {{StartStage::kUnrecorded, "unrecorded"},
       {StartStage::kSent, "sent"},
       {StartStage::kConfirmed, "confirmed"}}};
};

// Progress of the orders that set the speed of a run.
struct SpeedOrders {
  bool acknowledged =
      true;                // The worker has acknowledged the run's speed. Runs start at full speed.
  bool in_flight = false;  // Neither a response to the last order nor its timeout has arrived.
  int sent_percent = 0;    // Speed in the last order.
  Time sent_at{};          // When the last order was sent.
  // Series of the last order without a response, which may still take effect until the worker has
  // answered one of a later series; nothing if there is none.
  std::optional<CallSeries> lost_series;
  // An earlier owner placed the run and may have lowered its speed, and the worker has acknowledged
  // no order of this owner.
  bool inherited = false;

  // Returns whether the run keeps the speed that the worker acknowledged.
  bool settled() const { return acknowledged && !lost_series; }
};

struct TaskRow {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;        // Number of the last run that was placed or adopted; nothing else raises it.
  int other_run = 0;  // Largest number of any other run whose end was reported.
  int failures = 0;
  WorkerId worker;                        // Set exactly while the phase is kPlaced.
  std::int64_t worker_start_time_ms = 0;  // Incarnation of `worker` in which the run was placed.
  std::string checkpoint;
  StartStage stage = StartStage::kUnrecorded;
  bool stopping = false;   // A stop was ordered; the capacity stays reserved until the run ends.
  bool inherited = false;  // Placed by an earlier owner and not reported yet.
  bool settled = false;    // The record that an earlier owner placed it is settled.
  Time start_sent_at{};    // When this owner last sent a start of the task; Time() if never.
  Time confirmed_at{};     // When the last response to a start of the task confirmed a run.
  Time first_start_at{};   // When this owner first decided to send the start of this run.
  int start_attempts = 0;  // Starts of this run without a response.
  int starts_sent = 0;     // Copies of the start of this run that this owner has sent.
  CallSeries start_series = 0;  // Of the last start.
  // Until when a copy of the start without a response may be carried out; nothing if there is none.
  std::optional<Time> late_until;
  Time stop_sent_at{};  // When the last stop was sent.
  // Order of the placements by this owner.
  std::int64_t placement = 0;
  // When a stop was acknowledged for a run that had not been confirmed. The run cannot start after
  // that.
  std::optional<Time> revoked_at;
  Time reported_at{};  // When a report last showed a run of the task or its end; Time() if never.
  Time shown_at{};     // When a response or a report first showed the placed run; Time() if never.
  int missed_reports = 0;  // Consecutive reports that did not list this confirmed run.
  // The first task of a gang keeps the next two members for the whole gang.
  RunHistory history;
  bool suspect = false;        // May be the cause of a crash; see crash_blame.h. Implies crashes.
  Time phase_since{};          // When the task entered its phase.
  Time not_before{};           // While kWaiting: earliest time of the next start.
  int progress = 0;            // Percent, as reported.
  Time last_progress_at{};     // When `progress` last changed.
  std::int64_t observed = 0;   // Latency or CPU use; see ReportedRunFields.
  double normalised_load = 0;  // See interference.h; latency-critical tasks only.
  int speed_percent = 100;     // Intended speed, in percent.
  Time speed_changed_at{};     // When the intended speed last changed or took effect.
  SpeedOrders speed_orders;
  bool reduced_start = false;  // The run was started at reduced speed; see reduced_start.h.
  std::optional<Time> over_target_since;  // Latency-critical tasks only.
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
  JobPhase recorded_phase = JobPhase::kOpen;  // Last phase that is durable.
  bool dirty = false;                         // Differs from its durable record.
  std::optional<Time> finished_at;
  Time received_at{};                 // When this owner received the job.
  std::int64_t critical_path_ms = 0;  // Estimated critical path of the job's steps.
  // By step: estimated critical path from the start of the step to the end of the job.
  std::vector<std::int64_t> critical_path_from_ms;
  // Ordered by occurrence, then step, then index. Occurrences are added when they are due.
  std::vector<TaskRow> tasks;
  // By step: position of its first task within an occurrence.
  std::vector<std::size_t> step_offset;
  std::vector<std::size_t> step_of;  // By task of an occurrence: index of its step.
  std::vector<ImageId> images;       // By step.
  std::size_t tasks_per_occurrence = 0;
  std::size_t done = 0;     // Number of tasks in kDone.
  std::size_t waiting = 0;  // Number of tasks in kWaiting.
  // Whether a worker has shown a run of the job: by accepting its start, or by reporting the run or
  // its end. A start that was only sent may never take effect.
  bool begun = false;
  // Whether an earlier owner recorded an intent to start a task. If so, the time of the first run
  // is not known.
  bool has_earlier_intent = false;
  // Since when the job has had no run that goes on, as far as is known, although a task is ready.
  std::optional<Time> without_run_since;
  // Latency-critical jobs: normalised load from the job's own requests, without interference.
  std::optional<double> own_load;

  // Under overload: rank among the jobs of its priority (RankOf()), and whether it is chosen to
  // become late; see late_selection.h.
  std::optional<std::int64_t> overload_rank;
  bool chosen_late = false;
  // Noted in the shares of delayed jobs, as one that competes for capacity or was chosen.
  bool delay_seen = false;
  bool delay_noted = false;

  bool has_crash_record = false;  // A record of crashes was, or is about to be, written.
  bool deletion_taken = false;    // The deletion of the job's records is in a batch.

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
  // Returns the position of the task whose counts of crashes hold for the task at `position`: the
  // first task of a gang, else the task itself.
  std::size_t CountedPosition(std::size_t position) const;
  // Returns the positions [first, last) of the tasks of one step.
  std::pair<std::size_t, std::size_t> RangeOf(std::size_t occurrence, std::size_t step) const;
  bool StepDone(std::size_t occurrence, std::size_t step) const;
  // Returns whether all steps that `step` depends on are done.
  bool StepReady(std::size_t occurrence, std::size_t step) const;
  // Target duration of the job.
  std::int64_t objective_ms() const;
};

class JobTable {
 public:
  // Adds a job. Returns false if the job is already in the table.
  bool Accept(const AcceptedJob& accepted, Time now);
  // Restores the recorded progress of a job that is in the table.
  void Restore(const JobProgress& progress, Time now);
  // Adds the tasks of the occurrences that are due at `wall_ms` (ms since 1970).
  void AddDueOccurrences(JobRow& job, std::int64_t wall_ms);

  JobRow* Find(JobId id);
  const JobRow* Find(JobId id) const;
  TaskRow* Find(const TaskKey& key);
  ImageTable& images() { return images_; }
  const ImageTable& images() const { return images_; }
  std::map<JobId, JobRow>& jobs() { return jobs_; }
  const std::map<JobId, JobRow>& jobs() const { return jobs_; }

  // Changes the phase of a task, updates the job's counters and marks the job dirty.
  void SetPhase(JobRow& job, std::size_t position, TaskPhase phase, Time now);
  void MarkDirty(JobRow& job);
  // Jobs whose durable record is out of date.
  const std::set<JobId>& dirty() const { return dirty_; }
  void ClearDirty();
  void Erase(JobId id);

  static JobProgress ProgressOf(const JobRow& job);
  static JobCrashes CrashesOf(const JobRow& job);

 private:
  // WorkerRow::tasks points to the rows, which do not move until they are erased.
  std::map<JobId, JobRow> jobs_;
  ImageTable images_;
  std::set<JobId> dirty_;  // Exactly the jobs with `dirty` set.
};

}  // namespace dn
