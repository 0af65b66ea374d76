// Collects and formats the evidence on runs.
#include "scheduling/internal/run_evidence.h"

namespace dn {

LostRun MakeLostRun(const TaskRow& task, const WorkerRow& worker, std::string cause,
                    FencingToken token, std::optional<Duration> report_age) {
  return LostRun({.run = task.run,
                  .worker = task.worker,
                  .cause = std::move(cause),
                  .incarnation = worker.start_time_ms,
                  .placed_incarnation = task.worker_start_time_ms,
                  .report_age = report_age,
                  .inherited = task.inherited,
                  .token = token});
}

std::optional<Duration> ReportAge(const WorkerRow& worker, Time now) {
  if (!worker.confirmed) return std::nullopt;
  return now - worker.last_report;
}

std::string ToText(const LostRun& run) {
  return "run=" + std::to_string(run->run) + " worker=" + run->worker.value +
         " cause=" + run->cause + " incarnation=" + std::to_string(run->incarnation) +
         " placed_incarnation=" + std::to_string(run->placed_incarnation) +
         " report_age_ms=" + (run->report_age ? std::to_string(run->report_age->count()) : "none") +
         " inherited=" + (run->inherited ? "1" : "0") + " token=" + std::to_string(run->token);
}

std::string OwnRunText(const TaskRow* task) {
  if (task == nullptr) return "own=unknown";
  return "own_run=" + std::to_string(task->run) + " own_phase=" + std::string(NameOf(task->phase)) +
         " own_worker=" + (task->worker.value.empty() ? "none" : task->worker.value);
}

std::string AttemptsText(const TaskRow& counted) {
  return "runs=" + std::to_string(counted.run) + " failures=" + std::to_string(counted.failures) +
         " crashes=" + std::to_string(counted.history->crashes) +
         " blame=" + std::to_string(counted.history->blame) +
         " ended_otherwise=" + (counted.history->ended_otherwise ? "1" : "0");
}

}  // namespace dn
