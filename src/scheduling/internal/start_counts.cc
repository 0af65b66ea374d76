// Classifies jobs by the evidence of their start, and counts them.
#include "scheduling/internal/start_counts.h"

#include <algorithm>

namespace dn {
namespace {

bool IsConfirmed(const TaskRow& task) {
  return task.phase == TaskPhase::kDone || task.failures > 0 || !task.checkpoint.empty() ||
         (task.phase == TaskPhase::kPlaced && task.stage == StartStage::kConfirmed);
}

bool WasSentStart(const TaskRow& task) { return task.start_sent_at != Time(); }

}  // namespace

StartEvidence StartEvidenceOf(const JobRow& job) {
  if (!job.started) return StartEvidence::kNone;
  if (std::any_of(job.tasks.begin(), job.tasks.end(), IsConfirmed)) {
    return StartEvidence::kConfirmed;
  }
  const bool sent = std::any_of(job.tasks.begin(), job.tasks.end(), WasSentStart);
  return sent ? StartEvidence::kSent : StartEvidence::kRestored;
}

std::string ToText(const StartCounts& counts) {
  return "open=" + std::to_string(counts->open) +
         " unconfirmed_sent=" + std::to_string(counts->sent) +
         " unconfirmed_restored=" + std::to_string(counts->restored);
}

StartCounts CountStarts(const JobTable& jobs, const std::string& queue) {
  StartCountsFields counts;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.phase != JobPhase::kOpen || job.accepted->queue->name != queue) continue;
    ++counts.open;
    const StartEvidence evidence = StartEvidenceOf(job);
    if (evidence == StartEvidence::kSent) ++counts.sent;
    if (evidence == StartEvidence::kRestored) ++counts.restored;
  }
  return StartCounts(counts);
}

}  // namespace dn
