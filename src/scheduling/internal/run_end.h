// When a run is known to have ended.
//
// A run belongs to the incarnation of its worker that answered its start or has shown it. A copy of
// its start that got no response is open: for kLateCallLimit it may be carried out late, by the
// incarnation that it was meant for or by a later one.
//
// With a report, a run that the report does not list has ended if
// - a response or an earlier report showed it, another incarnation reports now, and no copy is
//   open; or
// - the reporting incarnation refuses all copies: it has answered a call of a later series (see
//   worker_calls.h), or, for a run of an earlier owner, any call of this one; or
// - the time for late calls is over.
// Without reports, it has ended if all leases of its incarnation are over, and
// - no copy is open; or
// - the worker's registration has been renewed since for the same incarnation: by its clock, an
//   open copy is too late; or
// - the worker is not registered any more; or
// - the time for late calls is over, and the longest lease that the last one may have got.
//
// Not covered: an open copy that the next incarnation carries out before an owner reaches that,
// within kLateCallLimit of its sending, after the former one refused it, ended the run or was
// registered no more. A refusal ends with its incarnation, and the copy may be a former owner's.
// Waiting for that time after each start without a response would delay every such task by 12 s.
#pragma once

#include <optional>

#include "scheduling/internal/worker_table.h"

namespace dn {

// Returns until when an open copy of the start of the task's run may be carried out; nothing if no
// copy is open.
std::optional<Time> OpenUntil(const TaskRow& task);

// Returns why a run that was sent and that the worker's last report, requested at `sent`, does not
// list has ended; nullptr if it may go on or begin.
const char* EndByReport(const TaskRow& task, const WorkerRow& worker, Time sent);

// Returns whether a run on a worker that does not report has ended.
bool HasEndedUnreported(const TaskRow& task, const WorkerRow& worker, const Policy& policy,
                        Time now);

}  // namespace dn
