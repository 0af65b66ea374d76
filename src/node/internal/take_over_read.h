// What a take-over reads from the store: the decoded records of progress, and the counts that the
// log states.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/internal/ownership.h"

namespace dn {

// The newest records of the partition of progress.
struct RecordedProgressFields {
  std::vector<JobProgress> jobs;
  std::vector<JobCrashes> crashes;
  std::optional<std::vector<InterferenceEstimate>> interference;
  std::map<std::string, Ownership> ownerships;  // By key, of all owners whose records are left.
  std::vector<std::string> unreadable;          // Keys of the records that cannot be decoded.
  std::int64_t settled_end = 0;                 // The highest one in `ownerships`.
  std::set<JobId> settled;                      // Those of `jobs` recorded below `settled_end`.

  friend auto operator<=>(const RecordedProgressFields&, const RecordedProgressFields&) = default;
};
using RecordedProgress = Immutable<RecordedProgressFields>;

RecordedProgress DecodeProgress(const std::vector<StoreRecord>& records);

// Counts of one take-over. The ends are offsets; every append of an earlier owner lies below
// `fence_end`.
struct TakeOverReadFields {
  FencingToken token = 0;
  std::int64_t fence_end = 0;
  std::int64_t progress_end = 0;
  std::size_t progress_records = 0;
  std::size_t unreadable = 0;  // Records of progress that cannot be decoded.
  // Jobs with readable progress, and their tasks by phase.
  std::size_t jobs_recorded = 0;
  std::size_t placed = 0;
  std::size_t done = 0;
  std::size_t waiting = 0;
  std::size_t settled = 0;    // Those of the jobs whose records are settled.
  std::int64_t jobs_end = 0;  // Of the submitted jobs.
  std::size_t jobs = 0;       // Submitted jobs.
  std::size_t workers = 0;    // Registered workers.

  friend auto operator<=>(const TakeOverReadFields&, const TakeOverReadFields&) = default;
};
using TakeOverRead = Immutable<TakeOverReadFields>;

// Fills the counts of the records of progress in.
TakeOverRead CountProgress(TakeOverReadFields read, const RecordedProgress& progress);

// Returns the counts as a list of name=value, separated by spaces.
std::string ToText(const TakeOverRead& read);

}  // namespace dn
