// Collects and formats the evidence on runs.
#include "scheduling/internal/run_evidence.h"

#include "scheduling/internal/run_end.h"

namespace dn {
namespace {

using LastGrant = std::optional<std::pair<Duration, std::int64_t>>;

LastGrant LastGrantOf(const WorkerRow& worker, Time now) {
  if (!worker.last_grant) return std::nullopt;
  return std::make_pair(now - worker.last_grant->first, worker.last_grant->second);
}

std::string AgeText(const std::optional<Duration>& age) {
  return age ? std::to_string(age->count()) : "none";
}

std::optional<Duration> OpenFor(const TaskRow& task, Time now) {
  const std::optional<Time> open_until = OpenUntil(task);
  if (!open_until || now >= *open_until) return std::nullopt;
  return *open_until - now;
}

std::string GrantText(const LastGrant& grant, int unanswered_calls) {
  return "granted_ms_ago=" + (grant ? std::to_string(grant->first.count()) : "none") +
         " granted_in=" + std::to_string(grant ? grant->second : 0) +
         " unanswered=" + std::to_string(unanswered_calls);
}

}  // namespace

LostRun MakeLostRun(const TaskRow& task, const WorkerRow& worker, std::string cause,
                    FencingToken token, std::optional<Duration> report_age, Time now) {
  return LostRun({.run = task.run,
                  .worker = task.worker,
                  .cause = std::move(cause),
                  .incarnation = worker.start_time_ms,
                  .placed_incarnation = task.worker_start_time_ms,
                  .registered_incarnation = worker.entry->start_time_ms,
                  .report_age = report_age,
                  .last_grant = LastGrantOf(worker, now),
                  .unanswered_calls = worker.unanswered_calls,
                  .open_for = OpenFor(task, now),
                  .settled = task.settled,
                  .inherited = task.inherited,
                  .token = token});
}

std::optional<Duration> ReportAge(const WorkerRow& worker, Time now) {
  if (!worker.confirmed) return std::nullopt;
  return now - worker.last_report;
}

std::string ContactText(const WorkerRow& worker, Time now) {
  return "incarnation=" + std::to_string(worker.start_time_ms) +
         " registered=" + std::to_string(worker.entry->start_time_ms) +
         " report_age_ms=" + AgeText(ReportAge(worker, now)) + " " +
         GrantText(LastGrantOf(worker, now), worker.unanswered_calls);
}

std::string ToText(const LostRun& run) {
  return "run=" + std::to_string(run->run) + " worker=" + run->worker.value +
         " cause=" + run->cause + " incarnation=" + std::to_string(run->incarnation) +
         " placed_incarnation=" + std::to_string(run->placed_incarnation) +
         " registered=" + std::to_string(run->registered_incarnation) +
         " report_age_ms=" + AgeText(run->report_age) + " " +
         GrantText(run->last_grant, run->unanswered_calls) +
         " copy_open_ms=" + AgeText(run->open_for) + " settled=" + (run->settled ? "1" : "0") +
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
