// Ends the time that a task stays placed without a run, where neither a response nor a report does.
#include <algorithm>
#include <utility>

#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Longest time that ends wait for the responses to starts. Where starts are sent all the time, one
// is always without a response.
constexpr Duration kMaxEndsWait{100};

// Returns whether a start that this owner has sent may still be carried out.
bool HasOpenStart(const TaskRow& task, Time now) {
  const std::optional<Time> open_until = OpenUntil(task);
  return task.starts_sent > 0 && open_until && now < *open_until;
}

// Returns whether a start that this owner has sent to the worker has no response, or none that
// shows in which incarnation it was carried out, and no report has shown its run.
bool HasUnansweredStart(const WorkerRow& worker) {
  return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto& placed) {
    const auto& [ref, job] = placed;
    const TaskRow& task = job->tasks[ref.position];
    return task.stage == StartStage::kSent && task.starts_sent > 0;
  });
}

}  // namespace

Time Shard::OpenStartsSince(Time now) const {
  Time since = Time::max();
  for (const auto& [id, worker] : workers_.workers()) {
    for (const auto& [ref, job] : worker.tasks) {
      const TaskRow& task = job->tasks[ref.position];
      // Calls that were meant for an earlier incarnation may still grant leases.
      if (task.inherited || !worker.calls.knows_incarnation()) return Time();
      if (HasOpenStart(task, now)) since = std::min(since, task.first_start_at);
    }
  }
  return since;
}

void Shard::ReleaseSilentWorkers(Time now) {
  for (auto& [id, worker] : workers_.workers()) {
    if (worker.tasks.empty() || !workers_.IsSilent(worker, now)) continue;
    const auto placed = worker.tasks;
    std::size_t released = 0;
    for (const auto& [ref, row] : placed) {
      JobRow& job = *row;
      if (!HasEndedUnreported(job.tasks[ref.position], worker, policy_, now)) continue;
      ++released;
      Decide("task-lost", FormatTaskKey(job.KeyOf(ref.position)),
             ToText(MakeLostRun(job.tasks[ref.position], worker, "silent", token_,
                                ReportAge(worker, now), now)));
      Unplace(job, ref.position, TaskPhase::kWaiting, now);
    }
    if (released == 0) continue;
    Decide("worker-silent", id.value,
           "tasks=" + std::to_string(released) +
               " unheard_ms=" + std::to_string((now - worker.last_report).count()));
  }
}

std::int64_t Shard::EndsToAcknowledge(WorkerRow& worker, Time now) const {
  const std::optional<Time> waits_since = std::exchange(worker.ends_wait_since, std::nullopt);
  // A renewal follows a report at once. If the report is older, a renewal got no response: the
  // worker may have restarted, and its numbers of ends may have started anew.
  // For the same reason, ends that the worker has forgotten are not acknowledged again.
  if (now - worker.last_report >= policy_->slow_response || !worker.lists_ends) return 0;
  const auto held = held_jobs_.FirstEndOf(worker.entry->id);
  const std::int64_t ends = held ? std::min(worker.ends_recorded, *held - 1) : worker.ends_recorded;
  // A start without a response may wait for the next incarnation, together with this renewal: its
  // run may end there, under a number of the former one, before any report shows it.
  if (ends == 0 || !HasUnansweredStart(worker)) return ends;
  if (waits_since && now - *waits_since >= kMaxEndsWait) return ends;
  worker.ends_wait_since = waits_since.value_or(now);
  return 0;
}

}  // namespace dn
