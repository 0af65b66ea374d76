// Reaction of a shard's owner to zones that the operator evacuates and returns to service. Running
// tasks go on there: the operator asks only that nothing more be sent.
#include <algorithm>
#include <iterator>

#include "scheduling/internal/shard.h"

namespace dn {

bool Shard::MaySendStarts(Time now) const {
  return IsOwned(now) && now < StartsUntil(evacuations_, policy_->evacuation_limit);
}

void Shard::SetEvacuations(const Evacuations& evacuations, Time now) {
  if (!policy_->evacuation_limit || evacuations->revision < evacuations_->revision) return;
  const std::set<std::string> before = evacuations_->zones;
  const Time read = std::max(evacuations->read, evacuations_->read);
  evacuations_ = evacuations.With([&](EvacuationsFields& fields) { fields.read = read; });
  const std::set<std::string>& zones = evacuations_->zones;
  if (zones == before) return;
  std::set<std::string> changed;
  std::set_symmetric_difference(before.begin(), before.end(), zones.begin(), zones.end(),
                                std::inserter(changed, changed.end()));
  for (const std::string& zone : changed) ShowZone(zone, now);
  for (auto& [id, worker] : workers_.workers()) ApplyEvacuations(worker, now);
}

void Shard::ShowZone(const std::string& zone, Time now) {
  std::int64_t workers = 0;
  std::int64_t cold = 0;
  std::int64_t placed = 0;
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.entry->zone != zone) continue;
    ++workers;
    if (worker.IsCold(now)) ++cold;
    placed += static_cast<std::int64_t>(worker.tasks.size());
  }
  Decide(evacuations_->zones.count(zone) > 0 ? "zone-evacuated" : "zone-restored", zone,
         "workers=" + std::to_string(workers) + " cold=" + std::to_string(cold) + " placed=" +
             std::to_string(placed) + " revision=" + std::to_string(evacuations_->revision) +
             " read_age_ms=" + std::to_string((now - evacuations_->read).count()) +
             " token=" + std::to_string(token_));
}

void Shard::ApplyEvacuations(WorkerRow& worker, Time now) {
  worker.evacuated = evacuations_->zones.count(worker.entry->zone) > 0;
  if (worker.evacuated) WithdrawEvacuated(worker, now);
}

void Shard::WithdrawAllEvacuated(Time now) {
  if (evacuations_->zones.empty()) return;
  for (auto& [id, worker] : workers_.workers()) {
    if (worker.evacuated) WithdrawEvacuated(worker, now);
  }
}

void Shard::WithdrawEvacuated(WorkerRow& worker, Time now) {
  if (worker.tasks.empty()) return;
  std::set<TaskKey> queued;
  for (const StartOrder& start : starts_) {
    if (start->worker == worker.entry->id) queued.insert(start->task);
  }
  const auto placed = worker.tasks;
  for (const auto& [ref, row] : placed) {
    JobRow& job = *row;
    const TaskRow& task = job.tasks[ref.position];
    // Withdrawn with another task of its gang, or about to end.
    if (worker.tasks.count(ref) == 0 || task.stopping) continue;
    const bool unanswered = task.stage == StartStage::kSent && task.start_attempts > 0;
    const bool unsent =
        task.stage == StartStage::kUnrecorded || queued.count(job.KeyOf(ref.position)) > 0;
    if (unsent || unanswered) WithdrawStart(job, ref.position, now);
  }
}

std::map<std::string, std::int64_t> Shard::TasksInEvacuatedZones() const {
  std::map<std::string, std::int64_t> tasks;
  for (const std::string& zone : evacuations_->zones) tasks[zone] = 0;
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.evacuated) {
      tasks[worker.entry->zone] += static_cast<std::int64_t>(worker.tasks.size());
    }
  }
  return tasks;
}

}  // namespace dn
