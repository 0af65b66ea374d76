// Reaction of a shard's owner to registrations of workers: a worker's capacity may shrink and grow
// while it runs, and a new incarnation may be of another size.
#include <algorithm>
#include <tuple>

#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Returns whether the capacity in the worker's registration is that of the incarnation that
// reports.
bool IsOfRegisteredIncarnation(const WorkerRow& worker) {
  return worker.start_time_ms == worker.entry->start_time_ms;
}

// Returns whether a start of `step` that is counted in the worker's reserved resources fits there.
// Cores do not bound best-effort tasks, which reserve none.
bool Fits(const WorkerRow& worker, const StepSpec& step) {
  const Resources free = worker.Free();
  return IsOfRegisteredIncarnation(worker) && free.memory_mb >= 0 && free.accelerators >= 0 &&
         (step->best_effort || free.millicores >= 0);
}

std::string ToText(const Resources& resources) {
  return "millicores=" + std::to_string(resources.millicores) +
         " memory_mb=" + std::to_string(resources.memory_mb) +
         " accelerators=" + std::to_string(resources.accelerators);
}

}  // namespace

void Shard::WorkerListed(const WorkerEntry& entry, Time now, Time written_after) {
  const WorkerRow* known = workers_.Find(entry->id);
  if (known != nullptr && known->listed && known->entry->capacity != entry->capacity) {
    Decide("worker-capacity", entry->id.value, ToText(entry->capacity));
  }
  const std::int64_t before = known == nullptr ? 0 : known->entry->start_time_ms;
  if (before != 0 && before != entry->start_time_ms) {
    Decide("worker-registered-anew", entry->id.value,
           "born=" + std::to_string(entry->start_time_ms) + " before=" + std::to_string(before) +
               " " + ContactText(*known, now));
  }
  workers_.Listed(entry, now, written_after);
  ExplainLosses(entry, now);
  ApplyEvacuations(*workers_.Find(entry->id), now);
  WithdrawStarts(*workers_.Find(entry->id), now);
}

void Shard::WithdrawStarts(WorkerRow& worker, Time now) {
  const Resources free = worker.Free();
  const bool all_fit = free.millicores >= 0 && free.memory_mb >= 0 && free.accelerators >= 0;
  if (worker.tasks.empty() || (all_fit && IsOfRegisteredIncarnation(worker))) return;
  std::set<TaskKey> queued;
  for (const StartOrder& start : starts_) queued.insert(start->task);
  std::vector<std::pair<std::int64_t, TaskRef>> unsent;
  for (const auto& [ref, job] : worker.tasks) {
    const TaskRow& task = job->tasks[ref.position];
    if (task.stage == StartStage::kUnrecorded || queued.count(job->KeyOf(ref.position)) > 0) {
      unsent.emplace_back(task.placement, ref);
    }
  }
  // The starts that were planned first keep their place as far as they fit.
  std::sort(unsent.rbegin(), unsent.rend());
  for (const auto& [placement, ref] : unsent) {
    const auto placed = worker.tasks.find(ref);
    if (placed == worker.tasks.end()) continue;  // Withdrawn with another task of its gang.
    JobRow& job = *placed->second;
    if (!Fits(worker, job.StepOf(ref.position))) WithdrawStart(job, ref.position, now);
  }
}

void Shard::WithdrawStart(JobRow& job, std::size_t position, Time now) {
  const TaskKey key = job.KeyOf(position);
  auto [first, last] = std::make_pair(position, position + 1);
  if (job.StepOf(position)->gang) {
    std::tie(first, last) =
        job.RangeOf(static_cast<std::size_t>(key.occurrence), static_cast<std::size_t>(key.step));
  }
  for (std::size_t i = first; i < last; ++i) {
    TaskRow& task = job.tasks[i];
    if (task.phase != TaskPhase::kPlaced) continue;
    const auto end = std::remove_if(starts_.begin(), starts_.end(), [&](const StartOrder& start) {
      return start->task == job.KeyOf(i);
    });
    const bool queued = end != starts_.end();
    starts_.erase(end, starts_.end());
    if (task.stopping) continue;
    const bool sent = task.stage != StartStage::kUnrecorded && (!queued || task.start_attempts > 0);
    const WorkerRow* const worker = workers_.Find(task.worker);
    Decide("start-withdrawn", FormatTaskKey(job.KeyOf(i)),
           "run=" + std::to_string(task.run) + " worker=" + task.worker.value +
               " sent=" + std::to_string(static_cast<int>(sent)) +
               " free: " + (worker == nullptr ? "" : ToText(worker->Free())));
    if (sent) {
      Stop(job, i);
    } else {
      Unplace(job, i, TaskPhase::kWaiting, now);
    }
  }
}

}  // namespace dn
