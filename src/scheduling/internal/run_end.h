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
// - the same incarnation is known to have written a registration since: by its clock, an open copy
//   is too late; or
// - the worker is not registered any more, and its start is settled, or all leases are over that a
//   later incarnation may have got by carrying a copy out in time; or
// - the time for late calls is over, and the longest lease that the last one may have got.
//
// Not covered: a renewal that an incarnation of which the owner has not heard carries out over 0.2
// s after it was sent, and that prolongs a run which a copy began there. Nor an open copy that the
// next incarnation carries out before an owner reaches that, within kLateCallLimit of its sending,
// after the former one refused it, ended the run or was registered no more. A refusal ends with its
// incarnation, and the copy may be a former owner's. Waiting for that time after each start without
// a response would delay every such task by 12 s.
#pragma once

#include <optional>

#include "scheduling/internal/worker_table.h"

namespace dn {

// How long after its first copy another copy of a start may be decided on: two copies without a
// response, and what a busy owner adds.
constexpr Duration kRepeatLimit{2'250};

// Returns by how much a lease of an incarnation that the owner has not heard of may outlast those
// that the owner counts for the worker: calls by another clock grant it the platform's longest.
Duration LongerUnheardLease(const Policy& policy);

// Returns how long after its first copy was sent a start is settled, whatever became of it: see
// settled_records.h.
Duration SettlingTime(const Policy& policy);

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
