// Finds tasks whose turn has come and that have had no live run for seconds, and tells why: a task
// that waits is refused by the workers, and a placed task has no run on its worker. The findings
// serve the log and the metrics; they affect no decision.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/internal/placement_policy.h"

namespace dn {

// What the shard's owner requires of a start besides the placement rules.
struct StartRestrictions {
  bool owned = true;  // The ownership allows starts.
  // Returns whether a suspect may start now: a worker is held for it.
  std::function<bool(const TaskRef&)> is_held_for = [](const TaskRef&) { return false; };
  // Returns whether suspects, there or to come, leave the worker open to the task at a position.
  std::function<bool(const WorkerRow&, const JobRow&, std::size_t)> may_use =
      [](const WorkerRow&, const JobRow&, std::size_t) { return true; };
};

// Responses of all known workers to a task that waits.
struct WaitingGap {
  std::int64_t workers = 0;
  std::int64_t accepting = 0;  // By the placement rules.
  std::int64_t closed = 0;     // Of these: kept from the task by suspects.
  bool owned = true;           // The ownership allows starts.
  bool suspect = false;
  bool held = false;     // A worker is held for the suspect.
  int crashes = 0;       // As counted for the task, or for its gang.
  int isolated_run = 0;  // See RunHistoryFields.
  // Indexed by PlacementRefusal: workers by the first condition that they do not satisfy.
  std::array<std::int64_t, EnumNames<PlacementRefusal>::kNames.size()> refusing{};

  friend auto operator<=>(const WaitingGap&, const WaitingGap&) = default;
};

// State of a task that is placed and whose run no report has shown lately.
struct PlacedGap {
  StartStage stage = StartStage::kUnrecorded;
  bool stopping = false;
  bool inherited = false;
  bool revoked = false;
  WorkerId worker;
  bool listed = false;  // The worker's registration exists.
  Duration placed{};    // Time since the task was placed.
  int start_attempts = 0;
  std::optional<Duration> start_age;   // Since the last start was sent; nothing if none was.
  std::optional<Duration> report_age;  // Since the worker's last report; nothing if none arrived.

  friend auto operator<=>(const PlacedGap&, const PlacedGap&) = default;
};

// A task that is due and has no live run.
struct RunGapFields {
  TaskKey task;
  StepKind kind = StepKind::kBatch;
  std::string image;
  Resources demand;
  int run = 0;
  int failures = 0;
  Duration without_run{};
  std::variant<WaitingGap, PlacedGap> state;

  friend auto operator<=>(const RunGapFields&, const RunGapFields&) = default;
};
using RunGap = Immutable<RunGapFields>;

// Returns the members as a list of name=value, separated by spaces. Reasons for which no worker
// refuses the task are left out.
std::string ToText(const RunGap& gap);

struct RunGapsFields {
  std::int64_t waiting = 0;  // Tasks without a live run that wait.
  std::int64_t placed = 0;   // Tasks without a live run that are placed.
  Duration longest{};        // Longest time without a run.
  std::vector<RunGap> due;   // Those that are to be logged now.
  // Tasks that are neither in `due` nor were logged within the repeat period.
  std::int64_t left_out = 0;

  friend auto operator<=>(const RunGapsFields&, const RunGapsFields&) = default;
};
using RunGaps = Immutable<RunGapsFields>;

// Returns the counts as a list of name=value, separated by spaces.
std::string ToText(const RunGaps& gaps);

// Returns since when a task has been due without a run: its step is ready, its time has come, and
// no report has shown a run of it since. Returns nothing if it is not due. `wall_ms`: ms since
// 1970.
std::optional<Time> DueWithoutRunSince(const JobRow& job, std::size_t position, Time now,
                                       std::int64_t wall_ms);

// Selects which tasks without a run are logged, so that a backlog does not flood the log.
class RunGapMonitor {
 public:
  // Returns the state of all tasks without a run. Placed tasks are logged first, since their number
  // is small in a backlog, then those that have had no run for longest.
  RunGaps Check(const JobTable& jobs, const WorkerTable& workers, const PlacementView& view,
                std::int64_t wall_ms, const StartRestrictions& restrictions = {});

 private:
  // When a task was last logged; contains only tasks that had no run at the last check.
  std::map<TaskRef, Time> logged_;
};

}  // namespace dn
