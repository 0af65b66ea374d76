// Collects the jobs without a run, and describes them for the log.
#include "scheduling/internal/idle_jobs.h"

#include <algorithm>

namespace dn {
namespace {

// Time without a run from which a job is counted: the time that callers accept while there is room.
constexpr Duration kMinIdleTime{3'000};
// Largest number of jobs that one check describes: with one check a second, a fiftieth of the lines
// that the log accepts in a second.
constexpr std::size_t kMaxLogged = 4;

// Returns whether the task at `position` is best-effort, waits and is ready.
bool IsReady(const JobRow& job, std::size_t position, Time now) {
  const TaskRow& task = job.tasks[position];
  if (task.phase != TaskPhase::kWaiting || task.not_before > now) return false;
  if (!job.StepOf(position)->best_effort) return false;
  return job.StepReady(position / job.tasks_per_occurrence, job.StepIndexOf(position));
}

IdleJob Describe(const JobRow& job, const WorkerTable& workers, const PlacementView& view) {
  IdleJobFields idle{
      .job = job.accepted->id,
      .image = {},
      .without_run = view.now - *job.without_run_since,
      .placed = static_cast<std::int64_t>(job.tasks.size() - job.waiting - job.done)};
  std::size_t first = job.tasks.size();
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (!IsReady(job, i, view.now)) continue;
    first = std::min(first, i);
    ++idle.ready;
    if (job.tasks[job.CountedPosition(i)].suspect) ++idle.suspects;
  }
  if (first == job.tasks.size()) return IdleJob(std::move(idle));
  const StepSpec& step = job.StepOf(first);
  idle.image = step->image;
  const double unused = UnusedFraction(workers, job.accepted->queue->service, view);
  const ReducedStartLimits limits = ReducedStartLimitsFor(unused);
  idle.unused_percent = static_cast<std::int64_t>(unused * 100);
  for (const auto& [id, worker] : workers.workers()) {
    if (const auto refusal = RefusalOf(worker, job, first, view.now)) {
      ++idle.unusable;
      if (*refusal == PlacementRefusal::kEvacuated) ++idle.evacuated;
      continue;
    }
    const ReducedStartOffer offer = ReducedStartOn(worker, step, job.ImageOf(first), limits, view);
    if (const auto* const refusal = std::get_if<ReducedStartRefusal>(&offer)) {
      ++idle.refusing.at(static_cast<std::size_t>(*refusal));
    } else {
      ++idle.accepting;
    }
  }
  return IdleJob(std::move(idle));
}

struct Figure {
  std::string_view name;
  std::int64_t IdleJobFields::*member;
};
constexpr std::array<Figure, 6> kFigures = {{{"unused_percent", &IdleJobFields::unused_percent},
                                             {"ready", &IdleJobFields::ready},
                                             {"suspects", &IdleJobFields::suspects},
                                             {"placed", &IdleJobFields::placed},
                                             {"accepted", &IdleJobFields::accepting},
                                             {"unusable", &IdleJobFields::unusable}}};

}  // namespace

std::string ToText(const IdleJob& idle) {
  std::string text =
      "without_run_ms=" + std::to_string(idle->without_run.count()) + " image=" + idle->image;
  for (const Figure& figure : kFigures) {
    text += " " + std::string(figure.name) + "=" + std::to_string((*idle).*figure.member);
  }
  if (idle->evacuated > 0) text += " evacuated=" + std::to_string(idle->evacuated);
  for (const auto& refusal : EnumNames<ReducedStartRefusal>::kNames) {
    text += " " + std::string(refusal.name) + "=" +
            std::to_string(idle->refusing.at(static_cast<std::size_t>(refusal.value)));
  }
  return text;
}

IdleJobs FindIdleJobs(const JobTable& jobs, const WorkerTable& workers, const PlacementView& view) {
  std::vector<const JobRow*> found;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.phase != JobPhase::kOpen || !job.without_run_since) continue;
    if (view.now - *job.without_run_since < kMinIdleTime) continue;
    const bool best_effort =
        std::any_of(job.accepted->spec->steps.begin(), job.accepted->spec->steps.end(),
                    [](const StepSpec& step) { return step->best_effort; });
    if (best_effort) found.push_back(&job);
  }
  IdleJobsFields idle{.count = static_cast<std::int64_t>(found.size()), .due = {}};
  const std::size_t described = std::min(found.size(), kMaxLogged);
  std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(described),
                    found.end(), [](const JobRow* a, const JobRow* b) {
                      return *a->without_run_since < *b->without_run_since;
                    });
  for (std::size_t i = 0; i < described; ++i) {
    idle.due.push_back(Describe(*found[i], workers, view));
  }
  return IdleJobs(std::move(idle));
}

}  // namespace dn
