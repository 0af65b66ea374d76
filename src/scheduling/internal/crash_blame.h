// Rules on tasks under which workers have crashed: which of them may be the cause, and what may run
// beside them. When the cause is known is in run_history.h.
//
// Workers do not report why they crashed. The tasks that started shortly before a crash, and those
// under which several workers have crashed, are suspects. A suspect is started as the only possible
// cause of another crash: the tasks beside it have been running for a while, and no task is started
// beside it. If the worker crashes again, the suspect is the cause.
//
// What many workers have in common explains a loss better than a task does: if several are gone at
// once, only repeated crashes make suspects. A run of an earlier owner is not known to have started
// shortly before a crash, so it is a suspect after its second crash, too. Isolation costs time, so
// it is bounded for the suspect that waits for it and for the tasks that wait for the worker of a
// suspect.
#pragma once

#include "scheduling/internal/worker_table.h"

namespace dn {

// How a crash was noticed.
enum class CrashEvidence {
  kRestarted,     // The worker reports another incarnation.
  kReplaced,      // The worker is not listed, and another one answers at its address.
  kLeaseExpired,  // The worker is not listed and its leases have expired. It may still be alive.
};
template <>
struct EnumNames<CrashEvidence> {
  static constexpr std::array<EnumName<CrashEvidence>, 3> kNames = {
      {{CrashEvidence::kRestarted, "restarted"},
       {CrashEvidence::kReplaced, "replaced"},
       {CrashEvidence::kLeaseExpired, "lease-expired"}}};
};

// Number of crashes from which a task stays a suspect for its whole run, however long ago it
// started: it crashes its workers late.
inline constexpr int kRepeatedCrashes = 2;
// Longest time that a suspect on a worker keeps other tasks off it, and that a latency-critical
// suspect waits for a worker of its own. A task that can run may be without a run for 3 s; a
// report, a plan, a record and a start take up the rest.
inline constexpr Duration kMaxIsolation{2'000};
// Longest time that another suspect waits for a worker of its own: the platform asks for the tasks
// that last first, and a task that crashes its workers costs more the later it is found.
inline constexpr Duration kMaxBatchIsolation{6'000};

// Returns the task that counts for the task at `position`: the first task of a gang, since the
// cause may be any of its tasks, else the task itself.
TaskRef CountedTask(const JobRow& job, std::size_t position);
// Returns whether the task may be the cause of a crash.
bool IsSuspect(const JobRow& job, std::size_t position);
// Returns the earliest time at which the run of a placed task may have started.
Time RunStart(const TaskRow& task);

// Returns whether the task may start on `worker` beside the tasks there without hiding the cause of
// a crash.
bool MayStartBeside(const WorkerRow& worker, const JobRow& job, std::size_t position, Time now);
// Returns when the tasks on `worker` will have been running for too long to be the cause.
Time QuietAt(const WorkerRow& worker);

// Returns how long the run of a placed task is known to have gone on; zero if no response and no
// report has shown it.
Duration KnownRunTime(const TaskRow& task);
// Returns what is known of the run of a task that was lost with `worker`, which has crashed.
// `counted`: the history of the counted task.
LossKind KindOfLoss(const WorkerRow& worker, const TaskRow& task, const RunHistory& counted);
// Returns whether the task has lost so many runs with their workers that it stays a suspect,
// however long ago it started. A task that ends is none if it is known not to crash each worker.
bool MayCrashRepeatedly(const StepSpec& step, const RunHistory& history);
// Returns whether a suspect that has been running for `time` is no longer a suspect.
bool IsCleared(const StepSpec& step, const TaskRow& counted, Duration time);
// Returns whether earlier crashes say nothing more of a task that has been running for `time`.
bool CrashesExpire(const StepSpec& step, Duration time);
// Returns whether a suspect has waited for long enough to start without isolation.
bool HasWaitedForIsolation(const StepSpec& step, const TaskRow& task, Time now);
// Returns the delay before the next start of a task that was lost with its worker.
Duration RestartDelay(const StepSpec& step, const TaskRow& counted);

// Recognises that many workers are gone at the same time.
class LossWindow {
 public:
  void Add(const WorkerId& worker, Time now);
  // Returns whether so many workers are gone since shortly before `now` that they have a common
  // cause, such as a rack or a network, rather than one task each.
  bool HasMany(Time now) const;

 private:
  std::map<WorkerId, Time> losses_;  // May contain losses before the window.
};

}  // namespace dn
