// The rules of run_end.h.
#include "scheduling/internal/run_end.h"

#include <algorithm>

namespace dn {

Duration LongerUnheardLease(const Policy& policy) {
  return std::max(Duration(0),
                  LongestLease(policy, policy->max_lease) - LongestLease(policy, policy->lease));
}

Duration SettlingTime(const Policy& policy) {
  // The worker reports until the last copy is sent, if not longer, and leases are granted for
  // kReportTimeout after its last report. The last call may take its time limit to arrive.
  return kRepeatLimit + kMaxStartAge + kReportTimeout + kOrderTimeout + LongerUnheardLease(policy);
}

std::optional<Time> OpenUntil(const TaskRow& task) {
  if (task.stage != StartStage::kSent || task.starts_sent == 0) return task.late_until;
  const Time sent_last = task.start_sent_at + kLateCallLimit;
  return task.late_until ? std::max(*task.late_until, sent_last) : sent_last;
}

const char* EndByReport(const TaskRow& task, const WorkerRow& worker, Time sent) {
  if (task.inherited) return "never-started";
  if (task.revoked_at && sent > *task.revoked_at) return "revoked";
  if (task.stage == StartStage::kConfirmed) {
    // A report that was requested before the run was confirmed does not tell in which incarnation
    // it began.
    const bool restarted = task.worker_start_time_ms != worker.start_time_ms;
    return restarted && sent > task.confirmed_at ? "reborn" : nullptr;
  }
  if (task.start_series < worker.calls.refused_before()) return "refused";
  return sent >= OpenUntil(task) ? "start-expired" : nullptr;
}

bool HasEndedUnreported(const TaskRow& task, const WorkerRow& worker, const Policy& policy,
                        Time now) {
  if (now < worker.leases_expire_at) return false;
  const std::optional<Time> open_until = OpenUntil(task);
  if (!open_until || now >= *open_until + LongestLease(policy, policy->max_lease)) return true;
  const std::int64_t registered = worker.entry->start_time_ms;
  if (registered != 0 && registered != task.worker_start_time_ms) return false;
  if (worker.listed) return worker.listed_at >= worker.leases_expire_at;
  return task.settled || now >= worker.unheard_leases_expire_at;
}

}  // namespace dn
