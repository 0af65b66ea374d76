// What is known of the runs of a task that were lost with their workers, and when that shows that
// the task crashes each worker that starts it.
//
// Only this and enough ends as failed end a job as failed, so each loss counts by its evidence. A
// worker that is silent may live, and a start may never have reached it: such losses count for
// nothing. A worker that has restarted, or was replaced at its address, has crashed, for whatever
// cause. Its losses count for more if nothing else started there shortly before or if it may have
// ceased to respond within kSuspectPeriod of the start, and for most if it is known to have done
// so. A task with a run that ended in any other way, or that went on for longer, does not crash
// each worker that starts it and is never given up for crashes.
#pragma once

#include <array>
#include <compare>

#include "core/core.h"

namespace dn {

// Time from its start during which a task may be the cause of a crash: ten times as long as tasks
// took to crash their workers in measured days. Tasks that take longer are not given up.
inline constexpr Duration kSuspectPeriod{500};

// What is known of a run that was lost with its worker.
enum class LossKind {
  kUnexplained,       // The worker is not listed, and its leases have expired. It may live.
  kUnexplainedEarly,  // The same; it ceased to respond shortly after the start.
  kNotStarted,        // The start was sent to a worker that had ceased to respond.
  kCrashed,           // The worker has crashed; whether the run had begun is not always known.
  kCrashedFresh,  // The same; the run had begun, and the worker may have ceased to respond at once.
  kCrashedAlone,  // The same; the run was started as the only possible cause of a crash.
  kCrashedEarly,  // The worker has crashed, and ceased to respond shortly after the start.
};
template <>
struct EnumNames<LossKind> {
  static constexpr std::array<EnumName<LossKind>, 7> kNames = {
      {{LossKind::kUnexplained, "unexplained"},
       {LossKind::kUnexplainedEarly, "unexplained-early"},
       {LossKind::kNotStarted, "not-started"},
       {LossKind::kCrashed, "crashed"},
       {LossKind::kCrashedFresh, "crashed-fresh"},
       {LossKind::kCrashedAlone, "crashed-alone"},
       {LossKind::kCrashedEarly, "crashed-early"}}};
};

struct RunHistoryFields {
  int crashes = 0;  // Runs that were lost with their workers, also with workers that may live.
  int blame = 0;    // Sum of the weights of these losses.
  // The run whose loss was counted last; 0: none, or the loss was taken back. A run counts once,
  // also if its stop outlives several incarnations.
  int last_lost_run = 0;
  int failed_run = 0;  // The last run that was counted as failed; 0: none. A gang counts one a run.
  // The run whose worker ceased to respond within kSuspectPeriod of the start; 0: none. Known
  // before it is known whether the worker has crashed, and by another owner.
  int early_run = 0;
  // The run that was started as the only possible cause of a crash of its worker; 0: none, or no
  // crash is counted any more.
  int isolated_run = 0;
  bool last_isolated = false;    // `last_lost_run` was such a run.
  bool ended_otherwise = false;  // A run ended on a worker that lived, or outlasted kSuspectPeriod.

  friend auto operator<=>(const RunHistoryFields&, const RunHistoryFields&) = default;
};
using RunHistory = Immutable<RunHistoryFields>;

// Returns whether the loss of `run` is counted already.
bool IsCounted(const RunHistory& history, int run);
// Adds the loss of `run`, which is not counted yet.
RunHistory WithLoss(const RunHistory& history, int run, LossKind kind);
// Returns how a loss counts of which `if_crashed` would hold if its worker had crashed.
LossKind Unexplained(LossKind if_crashed);
// Adds that the worker of an unexplained loss has crashed.
RunHistory WithExplanation(const RunHistory& history, LossKind if_crashed);
// Adds that `run` ended in another way than with its worker. If it is the one that was counted
// last, its loss is taken back.
RunHistory WithOtherEnd(const RunHistory& history, int run);
// Forgets the losses: the task has been running for long enough since.
RunHistory WithoutLosses(const RunHistory& history);
// Returns whether the task crashes each worker that starts it.
bool CrashesEachWorker(const RunHistory& history);

}  // namespace dn
