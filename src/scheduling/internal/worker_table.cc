// Maintains the table of workers.
#include "scheduling/internal/worker_table.h"

#include <algorithm>

namespace dn {
namespace {

// How long after the beginning of an incarnation a call by the clock of the one before may be
// carried out: an owner ceases to grant leases kReportTimeout after its last report.
constexpr Duration kFormerClockLimit = kReportTimeout + kLateCallLimit;

// Adds `sign` times the demand of one task of `step` to the totals of `worker`.
void Count(WorkerRow& worker, const StepSpec& step, int sign) {
  worker.headroom.reset();
  const Resources& demand = step->demand;
  worker.reserved.memory_mb += sign * demand.memory_mb;
  worker.reserved.accelerators += sign * demand.accelerators;
  if (step->best_effort) {
    worker.best_effort_millicores += sign * demand.millicores;
    return;
  }
  worker.reserved.millicores += sign * demand.millicores;
  if (step->long_running) worker.latency_critical_millicores += sign * demand.millicores;
}

}  // namespace

Duration LongestLease(const Policy& policy, Duration length) {
  const double longest = static_cast<double>(length.count()) / (1.0 - policy->clock_drift);
  return Duration(static_cast<std::int64_t>(longest)) + policy->expiry_margin;
}

bool WorkerRow::HasLabel(const std::string& label) const {
  return std::find(entry->labels.begin(), entry->labels.end(), label) != entry->labels.end();
}

bool WorkerRow::HasColdStartLimit(Time now) const {
  if (!IsCold(now)) return false;
  // Planned starts count as well: those that wait for a slow store are sent together.
  const auto planned = std::count_if(tasks.begin(), tasks.end(), [](const auto& placed) {
    const auto& [ref, job] = placed;
    return job->tasks[ref.position].stage == StartStage::kUnrecorded;
  });
  const auto sent = std::count_if(cold_starts.begin(), cold_starts.end(),
                                  [&](Time start) { return now - start < kColdWindow; });
  return planned + sent >= *max_cold_starts;
}

void WorkerTable::Listed(const WorkerEntry& entry, Time now, Time written_after) {
  WorkerRow& worker = FindOrAdd(entry->id, now);
  const bool same_incarnation = worker.entry->start_time_ms == entry->start_time_ms;
  worker.listed_at = same_incarnation ? std::max(worker.listed_at, written_after) : written_after;
  if (worker.entry->capacity != entry->capacity) worker.headroom.reset();
  worker.entry = entry;
  worker.listed = true;
  worker.max_cold_starts = policy_->max_cold_starts;
  worker.cold_until = entry->cold_for_ms > 0 ? now + Duration(entry->cold_for_ms) : Time();
  worker.replaced = false;
  if (entry->draining) worker.drained_start_time_ms = entry->start_time_ms;
  ExpectInheritedGrants(worker, entry->start_time_ms);
  worker.leaves_at = entry->draining
                         ? std::min(worker.leaves_at, now + Duration(entry->remaining_ms))
                         : Time::max();
}

bool WorkerTable::Unlisted(const WorkerId& id, Time now) {
  WorkerRow* worker = Find(id);
  if (worker == nullptr || !worker->listed) return false;
  worker->listed = false;
  worker->unlisted_at = now;
  return true;
}

WorkerRow* WorkerTable::Find(const WorkerId& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const WorkerRow* WorkerTable::Find(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

WorkerRow& WorkerTable::FindOrAdd(const WorkerId& id, Time now) {
  const auto [entry, added] = workers_.try_emplace(id);
  if (added) {
    entry->second.entry = WorkerEntry({.id = id});
    entry->second.calls = WorkerCalls(first_series_);
    entry->second.unlisted_at = now;
    entry->second.added_at = now;
    LeaseGranted(entry->second, EarlierOwnersUntil(now));
  }
  return entry->second;
}

std::map<WorkerId, WorkerRow>::iterator WorkerTable::Erase(
    std::map<WorkerId, WorkerRow>::iterator worker) {
  first_series_ = std::clamp(worker->second.calls.series() + 1, first_series_, kMaxCallSeries);
  return workers_.erase(worker);
}

void WorkerTable::Reserve(WorkerRow& worker, JobRow& job, std::size_t position) {
  const TaskRef ref{.job = job.accepted->id, .position = position};
  if (worker.tasks.emplace(ref, &job).second) Count(worker, job.StepOf(position), 1);
  if (job.tasks[job.CountedPosition(position)].suspect) worker.suspects.insert(ref);
}

void WorkerTable::Release(WorkerRow& worker, JobRow& job, std::size_t position) {
  const TaskRef ref{.job = job.accepted->id, .position = position};
  if (worker.tasks.erase(ref) > 0) Count(worker, job.StepOf(position), -1);
  worker.suspects.erase(ref);
}

std::optional<ClockReading> WorkerTable::LeaseExpiry(const WorkerRow& worker, Time now) const {
  if (!worker.clock) return std::nullopt;
  const auto& [reading, at] = *worker.clock;
  return reading + (now - at).count() + policy_->lease.count();
}

bool WorkerTable::HasRestarted(const WorkerRow& worker) {
  return worker.entry->start_time_ms > worker.start_time_ms;
}

bool WorkerTable::IsOfOtherIncarnation(const WorkerRow& worker, ClockReading reading,
                                       Time sent) const {
  if (!worker.clock) return false;
  const auto& [known, at] = *worker.clock;
  if (sent < at) return false;
  const double least = static_cast<double>((sent - at).count()) * (1.0 - policy_->clock_drift);
  return reading + policy_->expiry_margin.count() < known + static_cast<ClockReading>(least);
}

bool WorkerTable::IsOfLastIncarnation(const WorkerRow& worker, ClockReading reading,
                                      Time now) const {
  return !worker.clock ||
         Duration(reading) > now - worker.clock_read_after + policy_->expiry_margin;
}

void WorkerTable::ClockRead(WorkerRow& worker, const RunReport& report, Time sent, Time now) {
  Time read_after = sent;
  if (worker.clock && worker.start_time_ms == report->start_time_ms) {
    // Clocks may be slow, not fast.
    const Duration passed(report->clock - worker.clock->first);
    read_after = std::max(read_after, std::min(now, worker.clock_read_after + passed));
  }
  worker.clock_read_after = read_after;
  worker.clock = {report->clock, now};
}

bool WorkerTable::AcceptsStarts(const WorkerRow& worker, Time now) {
  return !worker.silent_since && now - worker.last_report < kReportTimeout &&
         worker.calls.knows_incarnation() && !HasRestarted(worker);
}

void WorkerTable::LeaseGranted(WorkerRow& worker, Time now) const {
  worker.leases_expire_at =
      std::max(worker.leases_expire_at, now + LongestLease(policy_, policy_->lease));
  worker.unheard_leases_expire_at =
      std::max(worker.unheard_leases_expire_at, now + LongestLease(policy_, policy_->max_lease));
  if (worker.clock) worker.last_grant = {now, worker.start_time_ms};
}

void WorkerTable::StartUnheard(WorkerRow& worker, Time now) const {
  worker.unheard_leases_expire_at =
      std::max(worker.unheard_leases_expire_at, now + LongestLease(policy_, policy_->max_lease));
}

Time WorkerTable::EarlierOwnersUntil(Time now) {
  if (!earlier_owners_until_) earlier_owners_until_ = now;
  return *earlier_owners_until_;
}

void WorkerTable::ExpectInheritedGrants(WorkerRow& worker, std::int64_t start_time_ms) const {
  if (worker.confirmed || start_time_ms == 0 || !earlier_owners_until_ms_) return;
  const Duration age(*earlier_owners_until_ms_ - start_time_ms);
  const Duration over = std::max(Duration(0), age - kFormerClockLimit - kTimeOfDayError);
  worker.leases_expire_at =
      std::max(worker.leases_expire_at,
               *earlier_owners_until_ - over + LongestLease(policy_, policy_->max_lease));
}

void WorkerTable::ExpectStaleGrants(WorkerRow& worker) const {
  if (!worker.last_grant) return;
  worker.leases_expire_at =
      std::max(worker.leases_expire_at, worker.last_grant->first + kLateCallLimit +
                                            LongestLease(policy_, policy_->max_lease));
}

void WorkerTable::RenewalAnswered(WorkerRow& worker, Time now) const {
  const bool was_exposed = !worker.confirmed || !worker.calls.knows_incarnation();
  worker.calls.RenewalAnswered();
  if (was_exposed && worker.calls.knows_incarnation()) {
    worker.leases_expire_at = now + LongestLease(policy_, policy_->max_lease);
  }
}

bool WorkerTable::IsLost(const WorkerRow& worker, Time now) const {
  return !worker.listed && now >= worker.leases_expire_at;
}

bool WorkerTable::IsSilent(const WorkerRow& worker, Time now) const {
  const Time last_heard = std::max(worker.last_report, worker.added_at);
  return worker.listed && now - last_heard >= kReportTimeout && now >= worker.leases_expire_at;
}

}  // namespace dn
