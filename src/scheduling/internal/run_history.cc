// Weighs the runs of a task that were lost with their workers.
#include "scheduling/internal/run_history.h"

namespace dn {
namespace {

struct LossWeight {
  LossKind kind;
  int weight;
};
constexpr std::array<LossWeight, 7> kWeights = {{{LossKind::kUnexplained, 0},
                                                 {LossKind::kUnexplainedEarly, 2},
                                                 {LossKind::kNotStarted, 0},
                                                 {LossKind::kCrashed, 2},
                                                 {LossKind::kCrashedFresh, 3},
                                                 {LossKind::kCrashedAlone, 3},
                                                 {LossKind::kCrashedEarly, 4}}};
// Sum of the weights from which a task crashes each worker that starts it, if its last run was
// alone: three early losses and another one, or five losses that are all fresh or alone. The
// platform allows two starts after the third crash; where workers crash for other causes, fewer
// losses fell on one task by chance.
constexpr int kBlameOfCause = 15;
// Number of losses from which a task is given up whatever the evidence for each, so that none is
// started without end. Workers that live are heard of again, and their ends take losses back.
constexpr int kLossesOfCause = 10;

int WeightOf(LossKind kind) {
  for (const LossWeight& entry : kWeights) {
    if (entry.kind == kind) return entry.weight;
  }
  return 0;
}

}  // namespace

bool IsCounted(const RunHistory& history, int run) { return history->last_lost_run == run; }

RunHistory WithLoss(const RunHistory& history, int run, LossKind kind) {
  return history.With([&](RunHistoryFields& fields) {
    ++fields.crashes;
    fields.blame += WeightOf(kind);
    fields.last_lost_run = run;
    fields.last_isolated = fields.isolated_run == run;
  });
}

LossKind Unexplained(LossKind if_crashed) {
  return if_crashed == LossKind::kCrashedEarly ? LossKind::kUnexplainedEarly
                                               : LossKind::kUnexplained;
}

RunHistory WithExplanation(const RunHistory& history, LossKind if_crashed) {
  return history.With([&](RunHistoryFields& fields) {
    fields.blame += WeightOf(if_crashed) - WeightOf(Unexplained(if_crashed));
  });
}

RunHistory WithOtherEnd(const RunHistory& history, int run) {
  return history.With([&](RunHistoryFields& fields) {
    fields.ended_otherwise = true;
    if (fields.last_lost_run != run) return;
    fields.last_lost_run = 0;
    fields.last_isolated = false;
    if (fields.crashes > 0) --fields.crashes;
    if (fields.crashes == 0) fields.isolated_run = 0;
  });
}

RunHistory WithoutLosses(const RunHistory& history) {
  return history.With([](RunHistoryFields& fields) {
    fields.crashes = 0;
    fields.blame = 0;
    fields.isolated_run = 0;
  });
}

bool CrashesEachWorker(const RunHistory& history) {
  if (history->ended_otherwise) return false;
  return (history->blame >= kBlameOfCause && history->last_isolated) ||
         history->crashes >= kLossesOfCause;
}

}  // namespace dn
