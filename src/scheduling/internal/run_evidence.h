// What a decision on a run was based on, for the log: a run that was given up, and a run or an end
// that a worker reports and that is not the owner's current run of the task.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "scheduling/internal/worker_table.h"

namespace dn {

// A run that was lost or never started.
struct LostRunFields {
  int run = 0;
  WorkerId worker;
  std::string cause;
  std::int64_t incarnation = 0;             // In the worker's last report; 0: it has not reported.
  std::int64_t placed_incarnation = 0;      // In which the run was placed; 0: not known.
  std::int64_t registered_incarnation = 0;  // In the worker's last registration; 0: none was read.
  // Age of the request for the report that decided, or of the last report if its absence did;
  // nothing if the worker has never reported to this owner.
  std::optional<Duration> report_age;
  // Time since the last call that may have granted a lease, and the incarnation whose clock that
  // call used; nothing if this owner has granted none.
  std::optional<std::pair<Duration, std::int64_t>> last_grant;
  int unanswered_calls = 0;  // Calls to the worker without a response since its last report.
  // How much longer a copy of the start may be carried out; nothing if none is open.
  std::optional<Duration> open_for;
  bool settled = false;    // See TaskRow.
  bool inherited = false;  // An earlier owner placed the run, and no report has shown it.
  FencingToken token = 0;  // Of this owner.

  friend auto operator<=>(const LostRunFields&, const LostRunFields&) = default;
};
using LostRun = Immutable<LostRunFields>;

// Describes the run of a task that is placed on `worker`.
LostRun MakeLostRun(const TaskRow& task, const WorkerRow& worker, std::string cause,
                    FencingToken token, std::optional<Duration> report_age, Time now);
// Returns the age of the worker's last report; nothing if there was none.
std::optional<Duration> ReportAge(const WorkerRow& worker, Time now);
// Returns what is known of the worker's incarnations, its leases and the calls to it, as a list of
// name=value, separated by spaces.
std::string ContactText(const WorkerRow& worker, Time now);

// Returns the values as a list of name=value, separated by spaces.
std::string ToText(const LostRun& run);
// Returns what the owner knows of a task that a worker reported; `task` is null if the owner does
// not know it.
std::string OwnRunText(const TaskRow* task);
// Returns what is counted of the runs of a task.
std::string AttemptsText(const TaskRow& counted);

}  // namespace dn
