// Ends the time that a task stays placed without a run, where neither a response nor a report does.
#include "scheduling/internal/shard.h"

namespace dn {

void Shard::ReleaseSilentWorkers(Time now) {
  for (auto& [id, worker] : workers_.workers()) {
    if (worker.tasks.empty() || !workers_.IsSilent(worker, now)) continue;
    const auto placed = worker.tasks;
    for (const auto& [ref, row] : placed) {
      JobRow& job = *row;
      Decide("task-lost", FormatTaskKey(job.KeyOf(ref.position)),
             "run=" + std::to_string(job.tasks[ref.position].run) + " worker=" + id.value +
                 " cause=silent");
      Unplace(job, ref.position, TaskPhase::kWaiting, now);
    }
    Decide("worker-silent", id.value,
           "tasks=" + std::to_string(placed.size()) +
               " unheard_ms=" + std::to_string((now - worker.last_report).count()));
  }
}

}  // namespace dn
