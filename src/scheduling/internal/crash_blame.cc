// Decides which tasks may be the cause of a crash.
#include "scheduling/internal/crash_blame.h"

#include <algorithm>

namespace dn {
namespace {

// The crashes of a latency-critical task count no more after this time: the largest delay of a
// restart, so that a task that is cleared too soon spends half of its time waiting at most.
constexpr Duration kLongRunningPeriod{4'000};
// Delays before the restart of a latency-critical task after its second crash, third and so on. The
// platform expects the task back within 6 s of its last run; a report and a plan take up the rest.
constexpr Duration kFirstRestartDelay{1'000};
constexpr Duration kMaxRestartDelay{4'000};
// The same for other tasks, from the third crash on. A task that can run may be without a run for
// 3 s.
constexpr int kRepeatedBatchCrashes = 3;
constexpr Duration kMaxBatchRestartDelay{2'000};
// This many workers that are gone within this time have a common cause. The registrations of
// workers that fail together lapse within one heartbeat, and their leases within the time of a
// renewal.
constexpr int kLossesAtOnce = 3;
constexpr Duration kLossWindow{1'500};

}  // namespace

TaskRef CountedTask(const JobRow& job, std::size_t position) {
  return {.job = job.accepted->id, .position = job.CountedPosition(position)};
}

bool IsSuspect(const JobRow& job, std::size_t position) {
  return job.tasks[job.CountedPosition(position)].suspect;
}

Time RunStart(const TaskRow& task) { return std::max(task.start_sent_at, task.phase_since); }

bool MayStartBeside(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now) {
  const TaskRef group = CountedTask(job, position);
  if (!IsSuspect(job, position)) {
    return std::all_of(worker.suspects.begin(), worker.suspects.end(), [&](const TaskRef& ref) {
      const TaskRow& suspect = worker.tasks.at(ref)->tasks[ref.position];
      return suspect.stage == StartStage::kConfirmed && RunStart(suspect) + kMaxIsolation <= now;
    });
  }
  return std::all_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& entry) {
    const auto& [ref, other] = entry;
    if (CountedTask(*other, ref.position) == group) return true;
    const TaskRow& task = other->tasks[ref.position];
    return task.stage == StartStage::kConfirmed && RunStart(task) + kSuspectPeriod <= now &&
           worker.suspects.count(ref) == 0;
  });
}

Time QuietAt(const WorkerRow& worker) {
  Time quiet{};
  for (const auto& [ref, job] : worker.tasks) {
    quiet = std::max(quiet, RunStart(job->tasks[ref.position]) + kSuspectPeriod);
  }
  return quiet;
}

Duration KnownRunTime(const TaskRow& task) {
  if (task.shown_at == Time()) return Duration::zero();
  return std::max(task.reported_at - task.shown_at, Duration::zero());
}

LossKind KindOfLoss(const WorkerRow& worker, const TaskRow& task, const RunHistory& counted) {
  if (counted->early_run == task.run) return LossKind::kCrashedEarly;
  const bool shown = task.shown_at != Time();
  if (!shown && worker.silent_since && task.start_sent_at > *worker.silent_since) {
    return LossKind::kNotStarted;
  }
  if (counted->isolated_run == task.run) return LossKind::kCrashedAlone;
  const bool started_by_this_owner = task.placement > 0;
  const bool fresh = started_by_this_owner && shown && !worker.connection_broke &&
                     worker.last_report - RunStart(task) <= kSuspectPeriod;
  return fresh ? LossKind::kCrashedFresh : LossKind::kCrashed;
}

bool MayCrashRepeatedly(const StepSpec& step, const RunHistory& history) {
  if (history->crashes < kRepeatedCrashes) return false;
  return step->long_running || !history->ended_otherwise;
}

bool IsCleared(const StepSpec& step, const TaskRow& counted, Duration time) {
  if (!MayCrashRepeatedly(step, counted.history)) return time >= kSuspectPeriod;
  return CrashesExpire(step, time);
}

bool CrashesExpire(const StepSpec& step, Duration time) {
  return step->long_running && time >= kLongRunningPeriod;
}

bool HasWaitedForIsolation(const StepSpec& step, const TaskRow& task, Time now) {
  const Duration limit = step->long_running ? kMaxIsolation : kMaxBatchIsolation;
  return task.phase == TaskPhase::kWaiting &&
         std::max(task.phase_since, task.not_before) + limit <= now;
}

void LossWindow::Add(const WorkerId& worker, Time now) {
  std::erase_if(losses_, [&](const auto& entry) { return now - entry.second > kLossWindow; });
  losses_[worker] = now;
}

bool LossWindow::HasMany(Time now) const {
  const auto recent = std::count_if(losses_.begin(), losses_.end(), [&](const auto& entry) {
    return now - entry.second <= kLossWindow;
  });
  return recent >= kLossesAtOnce;
}

Duration RestartDelay(const StepSpec& step, const TaskRow& counted) {
  const int first = step->long_running ? kRepeatedCrashes : kRepeatedBatchCrashes;
  const Duration longest = step->long_running ? kMaxRestartDelay : kMaxBatchRestartDelay;
  if (counted.history->crashes < first) return Duration::zero();
  Duration delay = kFirstRestartDelay;
  for (int i = first; i < counted.history->crashes && delay < longest; ++i) delay *= 2;
  return std::min(delay, longest);
}

}  // namespace dn
