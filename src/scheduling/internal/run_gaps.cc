// Collects the tasks without a live run, and describes them for the log.
#include "scheduling/internal/run_gaps.h"

#include <algorithm>
#include <tuple>

namespace dn {
namespace {

// Time without a run from which a task is counted: longer than a start that gets its response at
// the second attempt, and than three reports of a busy worker.
constexpr Duration kMinGap{3'000};
// Time from the placing of a task to the first report of its run: a record, a start, and a report
// of a busy worker. Until then a placed task is not counted, however long it had waited.
constexpr Duration kStartTime{1'500};
// Period at which a task is logged again.
constexpr Duration kRepeatPeriod{5'000};
// Largest number of tasks that one check logs: a twentieth of the lines that the log accepts in a
// second.
constexpr std::size_t kMaxLogged = 10;

struct Candidate {
  const JobRow* job;
  std::size_t position;
  Time since;

  const TaskRow& task() const { return job->tasks[position]; }
  TaskRef ref() const { return {.job = job->accepted->id, .position = position}; }
  bool placed() const { return task().phase == TaskPhase::kPlaced; }
};

bool LoggedBefore(const Candidate& a, const Candidate& b) {
  return std::make_tuple(!a.placed(), a.since, a.ref()) <
         std::make_tuple(!b.placed(), b.since, b.ref());
}

WaitingGap DescribeWaiting(const Candidate& candidate, const WorkerTable& workers,
                           const PlacementView& view, const StartRestrictions& restrictions) {
  const std::size_t counted_position = candidate.job->CountedPosition(candidate.position);
  const TaskRow& counted = candidate.job->tasks[counted_position];
  const TaskRef group{.job = candidate.job->accepted->id, .position = counted_position};
  WaitingGap gap{.owned = restrictions.owned,
                 .suspect = counted.suspect,
                 .held = restrictions.is_held_for(group),
                 .crashes = counted.history->crashes,
                 .isolated_run = counted.history->isolated_run};
  for (const auto& [id, worker] : workers.workers()) {
    ++gap.workers;
    const PlacementCost cost = CostOf(worker, *candidate.job, candidate.position, view);
    if (const auto* refusal = std::get_if<PlacementRefusal>(&cost)) {
      ++gap.refusing.at(static_cast<std::size_t>(*refusal));
    } else {
      ++gap.accepting;
      if (!restrictions.may_use(worker, *candidate.job, candidate.position)) ++gap.closed;
    }
  }
  return gap;
}

std::optional<Duration> AgeOf(Time at, Time now) {
  if (at == Time()) return std::nullopt;
  return now - at;
}

PlacedGap DescribePlaced(const Candidate& candidate, const WorkerTable& workers, Time now) {
  const TaskRow& task = candidate.task();
  PlacedGap gap{.stage = task.stage,
                .stopping = task.stopping,
                .inherited = task.inherited,
                .revoked = task.revoked_at.has_value(),
                .worker = task.worker,
                .placed = now - task.phase_since,
                .start_attempts = task.start_attempts,
                .start_age = AgeOf(task.start_sent_at, now)};
  const auto worker = workers.workers().find(task.worker);
  if (worker == workers.workers().end()) return gap;
  gap.listed = worker->second.listed;
  gap.report_age = AgeOf(worker->second.last_report, now);
  return gap;
}

RunGap Describe(const Candidate& candidate, const WorkerTable& workers, const PlacementView& view,
                const StartRestrictions& restrictions) {
  const StepSpec& step = candidate.job->StepOf(candidate.position);
  const TaskRow& task = candidate.task();
  RunGapFields gap{.task = candidate.job->KeyOf(candidate.position),
                   .kind = KindOf(step),
                   .image = step->image,
                   .demand = step->demand,
                   .run = task.run,
                   .failures = task.failures,
                   .without_run = view.now - candidate.since,
                   .state = {}};
  if (candidate.placed()) {
    gap.state = DescribePlaced(candidate, workers, view.now);
  } else {
    gap.state = DescribeWaiting(candidate, workers, view, restrictions);
  }
  return RunGap(std::move(gap));
}

std::string AgeText(const std::optional<Duration>& age) {
  return age ? std::to_string(age->count()) : "never";
}

std::string StateText(const WaitingGap& gap) {
  std::string text = "state=waiting workers=" + std::to_string(gap.workers) +
                     " accepted=" + std::to_string(gap.accepting);
  for (const auto& refusal : EnumNames<PlacementRefusal>::kNames) {
    const std::int64_t count = gap.refusing.at(static_cast<std::size_t>(refusal.value));
    if (count > 0) text += " " + std::string(refusal.name) + "=" + std::to_string(count);
  }
  return text + " closed=" + std::to_string(gap.closed) + " owned=" + (gap.owned ? "1" : "0") +
         " suspect=" + (gap.suspect ? "1" : "0") + " held=" + (gap.held ? "1" : "0") +
         " crashes=" + std::to_string(gap.crashes) +
         " isolated_run=" + std::to_string(gap.isolated_run);
}

struct Flag {
  std::string_view name;
  bool PlacedGap::*member;
};
constexpr std::array<Flag, 4> kFlags = {{{"stopping", &PlacedGap::stopping},
                                         {"inherited", &PlacedGap::inherited},
                                         {"revoked", &PlacedGap::revoked},
                                         {"listed", &PlacedGap::listed}}};

std::string StateText(const PlacedGap& gap) {
  std::string text = "state=placed stage=" + std::string(NameOf(gap.stage)) +
                     " worker=" + gap.worker.value +
                     " placed_ms=" + std::to_string(gap.placed.count());
  for (const Flag& flag : kFlags) {
    text += " " + std::string(flag.name) + "=" + (gap.*flag.member ? "1" : "0");
  }
  return text + " report_age_ms=" + AgeText(gap.report_age) +
         " start_age_ms=" + AgeText(gap.start_age) +
         " attempts=" + std::to_string(gap.start_attempts);
}

}  // namespace

std::string ToText(const RunGap& gap) {
  return std::visit([](const auto& state) { return StateText(state); }, gap->state) +
         " without_run_ms=" + std::to_string(gap->without_run.count()) +
         " kind=" + std::string(NameOf(gap->kind)) + " image=" + gap->image +
         " millicores=" + std::to_string(gap->demand.millicores) +
         " memory_mb=" + std::to_string(gap->demand.memory_mb) +
         " accelerators=" + std::to_string(gap->demand.accelerators) +
         " run=" + std::to_string(gap->run) + " failures=" + std::to_string(gap->failures);
}

std::string ToText(const RunGaps& gaps) {
  return "waiting=" + std::to_string(gaps->waiting) + " placed=" + std::to_string(gaps->placed) +
         " longest_ms=" + std::to_string(gaps->longest.count()) +
         " left_out=" + std::to_string(gaps->left_out);
}

std::optional<Time> DueWithoutRunSince(const JobRow& job, std::size_t position, Time now,
                                       std::int64_t wall_ms) {
  const TaskRow& task = job.tasks[position];
  const std::size_t occurrence = position / job.tasks_per_occurrence;
  const std::size_t step = job.StepIndexOf(position);
  // Jobs of queues that need advice are not started; see CollectWaiting().
  if (job.phase != JobPhase::kOpen || job.accepted->queue->needs_advice) return std::nullopt;
  if (task.phase == TaskPhase::kDone || !job.StepReady(occurrence, step)) return std::nullopt;
  Time since = std::max({job.received_at, task.reported_at, task.not_before});
  const JobSpec& spec = job.accepted->spec;
  if (spec->occurrences > 0) {
    const std::int64_t due_ms =
        spec->first_due_ms + static_cast<std::int64_t>(occurrence) * spec->interval_ms;
    since = std::max(since, now - Duration(wall_ms - due_ms));
  }
  for (const int earlier : spec->steps[step]->after) {
    const auto [first, last] = job.RangeOf(occurrence, static_cast<std::size_t>(earlier));
    for (std::size_t i = first; i < last; ++i) since = std::max(since, job.tasks[i].phase_since);
  }
  if (since > now) return std::nullopt;
  return since;
}

RunGaps RunGapMonitor::Check(const JobTable& jobs, const WorkerTable& workers,
                             const PlacementView& view, std::int64_t wall_ms,
                             const StartRestrictions& restrictions) {
  const Time now = view.now;
  RunGapsFields gaps;
  std::vector<Candidate> unlogged;
  std::map<TaskRef, Time> logged;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.phase != JobPhase::kOpen || job.done == job.tasks.size()) continue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      const TaskRow& task = job.tasks[i];
      // Most tasks are done or have a live run; testing that first keeps the check cheap.
      if (task.phase == TaskPhase::kDone || now - task.reported_at < kMinGap) continue;
      const auto since = DueWithoutRunSince(job, i, now, wall_ms);
      if (!since || now - *since < kMinGap) continue;
      const Candidate candidate{.job = &job, .position = i, .since = *since};
      if (candidate.placed() && now - task.phase_since < kStartTime) continue;
      ++(candidate.placed() ? gaps.placed : gaps.waiting);
      gaps.longest = std::max(gaps.longest, now - *since);
      const auto before = logged_.find(candidate.ref());
      if (before != logged_.end() && now - before->second < kRepeatPeriod) {
        logged.insert(*before);
      } else {
        unlogged.push_back(candidate);
      }
    }
  }
  const std::size_t count = std::min(unlogged.size(), kMaxLogged);
  std::partial_sort(unlogged.begin(), unlogged.begin() + static_cast<std::ptrdiff_t>(count),
                    unlogged.end(), LoggedBefore);
  gaps.left_out = static_cast<std::int64_t>(unlogged.size() - count);
  unlogged.resize(count);
  for (const Candidate& candidate : unlogged) {
    gaps.due.push_back(Describe(candidate, workers, view, restrictions));
    logged[candidate.ref()] = now;
  }
  logged_ = std::move(logged);
  return RunGaps(std::move(gaps));
}

}  // namespace dn
