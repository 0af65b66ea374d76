// Overload control of a shard's owner: counts the backlog of each service that is shared by queues
// of more than one priority, and chooses the jobs that become late.
#include <algorithm>

#include "scheduling/internal/shard.h"

namespace dn {
namespace {

constexpr double kMillicores = 1'000;
constexpr double kPercent = 100;
// Time between two counts of the backlog, which visit all open tasks: a plan runs every 8 to 50 ms,
// and a job has a slack of 500 ms at least.
constexpr Duration kSelectionPeriod{100};
// Identifiers in one log line.
constexpr std::size_t kMaxLoggedJobs = 5;

void ForgetChoice(JobRow& job) {
  job.chosen_late = false;
  job.overload_rank.reset();
}

CorePool PoolOf(const StepSpec& step) {
  return step->best_effort ? CorePool::kIdle : CorePool::kReserved;
}

double CoresOf(const StepSpec& step) {
  return static_cast<double>(step->demand.millicores) / kMillicores;
}

// Returns whether overload control applies to jobs of this kind: those that end by themselves,
// once, with known durations.
bool IsForecast(const AcceptedJob& job) {
  const std::vector<StepSpec>& steps = job->spec->steps;
  return job->spec->occurrences == 0 && !job->queue->needs_advice &&
         std::all_of(steps.begin(), steps.end(), [](const StepSpec& step) {
           return !step->long_running && step->estimate_ms > 0;
         });
}

// Returns the estimated rest of a task's run in ms.
double RestOf(const TaskRow& task, const StepSpec& step, Time now) {
  const auto estimate = static_cast<double>(step->estimate_ms);
  const double elapsed = static_cast<double>((now - task.phase_since).count());
  const double reported = estimate * task.progress / kPercent;
  return std::max(0.0, estimate - std::max(elapsed, reported));
}

// Sums of one step of a job.
struct StepCount {
  int unfinished = 0;
  int waiting = 0;
  double running_work = 0;
  double longest_rest = 0;  // Of the running tasks, in ms.
};

StepCount CountStep(const JobRow& job, std::size_t step, Time now) {
  StepCount count;
  const StepSpec& spec = job.accepted->spec->steps[step];
  const auto [first, last] = job.RangeOf(0, step);
  for (std::size_t i = first; i < last; ++i) {
    const TaskRow& task = job.tasks[i];
    if (task.phase == TaskPhase::kDone) continue;
    ++count.unfinished;
    if (task.phase == TaskPhase::kWaiting) {
      ++count.waiting;
      continue;
    }
    const double rest = RestOf(task, spec, now);
    count.running_work += rest * CoresOf(spec);
    count.longest_rest = std::max(count.longest_rest, rest);
  }
  return count;
}

std::string Text(const std::set<JobId>& jobs) {
  std::string text;
  std::size_t listed = 0;
  for (const JobId id : jobs) {
    if (listed++ == kMaxLoggedJobs) break;
    text += (text.empty() ? "" : ",") + FormatJobId(id);
  }
  return text;
}

}  // namespace

void Shard::SetSharedServices(std::set<std::string> services) {
  if (services == overload_.services) return;
  overload_.services = std::move(services);
  overload_.backlogs.clear();
  overload_.counted_at = Time();
  overload_.delayed = 0;
  for (auto& [id, job] : jobs_.jobs()) ForgetChoice(job);
}

void Shard::UpdateOverload(Time now, std::int64_t wall_ms) {
  if (overload_.services.empty() || now - overload_.counted_at < kSelectionPeriod) return;
  overload_.shares.Age(now - std::max(overload_.counted_at, now - kSelectionPeriod * 10));
  overload_.counted_at = now;
  overload_.backlogs.clear();
  overload_.delayed = 0;
  CountCapacity(now);
  CountWaiting(now, wall_ms);
  for (const std::string& service : overload_.services) ChooseLate(service);
}

void Shard::CountCapacity(Time now) {
  for (const std::string& service : overload_.services) overload_.backlogs.try_emplace(service);
  const PlacementView view{.interference = interference_, .policy = policy_, .now = now};
  std::map<std::string, std::array<PoolCapacityFields, 2>> capacities;
  for (const auto& [id, worker] : workers_.workers()) {
    const auto found = overload_.backlogs.find(worker.entry->service);
    if (found == overload_.backlogs.end() || !worker.listed || worker.entry->draining) continue;
    if (worker.evacuated) continue;
    // A worker that may be gone keeps its share of the capacity until it is given up.
    const bool responds = worker.confirmed && WorkerTable::AcceptsStarts(worker, now);
    const double cores = static_cast<double>(worker.entry->capacity.millicores) / kMillicores;
    const double kept = static_cast<double>(worker.latency_critical_millicores) / kMillicores;
    auto& [reserved, idle] = capacities[worker.entry->service];
    reserved.cores += cores - kept;
    idle.cores += cores - kept * policy_->latency_critical_use;
    if (!responds) continue;
    reserved.free_cores +=
        static_cast<double>(std::max<std::int64_t>(0, worker.Free().millicores)) / kMillicores;
    idle.free_cores +=
        static_cast<double>(std::max<std::int64_t>(0, HeadroomOf(worker, view).idle_millicores)) /
        kMillicores;
  }
  for (auto& [service, of_service] : capacities) {
    const auto rates = overload_.end_rates.find(service);
    for (std::size_t pool = 0; pool < of_service.size(); ++pool) {
      if (rates != overload_.end_rates.end()) {
        of_service.at(pool).end_rate = rates->second.at(pool).At(now);
      }
      overload_.backlogs[service].capacities.at(pool) = PoolCapacity(of_service.at(pool));
    }
  }
}

void Shard::CountWaiting(Time now, std::int64_t wall_ms) {
  for (JobRow* const job : open_jobs_) {
    ForgetChoice(*job);
    if (job->phase != JobPhase::kOpen || !IsForecast(job->accepted)) continue;
    const auto backlog = overload_.backlogs.find(job->accepted->queue->service);
    if (backlog != overload_.backlogs.end()) CountJob(*job, backlog->second, now, wall_ms);
  }
}

void Shard::CountJob(JobRow& job, BacklogFields& backlog, Time now, std::int64_t wall_ms) {
  const std::vector<StepSpec>& steps = job.accepted->spec->steps;
  double waiting_work = 0;
  double path_ms = 0;
  std::optional<CorePool> pool;  // Of the first step with waiting tasks.
  for (std::size_t step = 0; step < steps.size(); ++step) {
    const StepCount count = CountStep(job, step, now);
    if (count.unfinished == 0) continue;
    const StepSpec& spec = steps[step];
    const auto estimate = static_cast<double>(spec->estimate_ms);
    const double rest = count.waiting > 0 ? estimate : count.longest_rest;
    path_ms =
        std::max(path_ms, rest + static_cast<double>(job.critical_path_from_ms[step]) - estimate);
    const auto add = [&](CorePool to, double running_work, double ready_cores) {
      PoolCapacity& capacity = backlog.capacities.at(static_cast<std::size_t>(to));
      capacity = capacity.With([&](PoolCapacityFields& of) {
        of.running_work += running_work;
        of.ready_cores += ready_cores;
      });
    };
    const double cores = count.waiting * CoresOf(spec);
    // A best-effort task is started where its initial use fits.
    const double needed = spec->best_effort ? cores * policy_->initial_use : cores;
    const bool ready = count.waiting > 0 && job.StepReady(0, step);
    add(PoolOf(spec), count.running_work, ready ? needed : 0);
    if (!spec->best_effort) add(CorePool::kIdle, count.running_work, 0);
    if (count.waiting == 0) continue;
    if (!pool) pool = PoolOf(spec);
    waiting_work += cores * estimate;
  }
  if (!pool) return;
  const Queue& queue = job.accepted->queue;
  const double work = WorkOf(job.accepted->spec);
  backlog.waiting.emplace_back(
      WaitingJobFields{.id = job.accepted->id,
                       .queue = queue->name,
                       .priority = queue->priority,
                       .pool = *pool,
                       .size = overload_.sizes.ClassOf(queue->name, work),
                       .delayed = job.delay_noted,
                       .objective_ms = job.objective_ms(),
                       .left_ms = job.objective_ms() - (wall_ms - job.accepted->accepted_ms),
                       .path_ms = static_cast<std::int64_t>(path_ms),
                       .work = waiting_work,
                       .relative_work = waiting_work / overload_.sizes.MeanOf(queue->name, work),
                       .value = overload_.sizes.ValueOf(queue->name, work)});
}

void Shard::ChooseLate(const std::string& service) {
  const Backlog backlog(overload_.backlogs.at(service));
  for (const WaitingJob& waiting : backlog->waiting) {
    if (!backlog->ExceedsCapacity(waiting->pool)) continue;
    JobRow& job = *jobs_.Find(waiting->id);
    if (!job.delay_seen) overload_.shares.Seen(waiting);
    job.delay_seen = true;
  }
  const std::set<JobId> late = SelectLate(backlog, overload_.shares);
  for (const auto& [id, rank] : RanksOf(backlog, late)) jobs_.Find(id)->overload_rank = rank;
  std::set<JobId> added;
  for (const WaitingJob& waiting : backlog->waiting) {
    if (late.count(waiting->id) == 0) continue;
    JobRow& job = *jobs_.Find(waiting->id);
    job.chosen_late = true;
    if (job.delay_noted) continue;
    job.delay_noted = true;
    overload_.shares.Delayed(waiting);
    added.insert(waiting->id);
  }
  overload_.delayed += static_cast<std::int64_t>(late.size());
  if (added.empty()) return;
  const auto capacity = [&](CorePool pool) {
    const PoolCapacity& of = backlog->CapacityOf(pool);
    return " " + std::string(NameOf(pool)) +
           ":cores=" + std::to_string(static_cast<std::int64_t>(of->cores)) +
           " free=" + std::to_string(static_cast<std::int64_t>(of->free_cores)) +
           " end_rate=" + std::to_string(static_cast<std::int64_t>(of->end_rate)) +
           " running_core_ms=" + std::to_string(static_cast<std::int64_t>(of->running_work));
  };
  Decide("jobs-delayed", service,
         "added=" + std::to_string(added.size()) + " delayed=" + std::to_string(late.size()) +
             " waiting=" + std::to_string(backlog->waiting.size()) + " jobs=" + Text(added) +
             capacity(CorePool::kReserved) + capacity(CorePool::kIdle));
}

void Shard::NoteWorkEnded(const JobRow& job, std::size_t position, Time now) {
  const std::string& service = job.accepted->queue->service;
  if (overload_.services.count(service) == 0 || !IsForecast(job.accepted)) return;
  const StepSpec& step = job.StepOf(position);
  const double work = static_cast<double>(step->estimate_ms) * CoresOf(step);
  auto& [reserved, idle] = overload_.end_rates[service];
  idle.Add(work, now);
  if (!step->best_effort) reserved.Add(work, now);
}

void Shard::ObserveSize(const AcceptedJob& job) {
  if (overload_.services.count(job->queue->service) == 0 || !IsForecast(job)) return;
  overload_.sizes.Observe(job->queue->name, WorkOf(job->spec));
}

}  // namespace dn
