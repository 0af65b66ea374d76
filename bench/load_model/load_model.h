// A shard under load in virtual time: workers, images that harm each other, jobs
// that arrive by a named pattern, and what its callers get out of it. No
// network, no processes; the same seed gives the same figures.
#pragma once

#include <string>
#include <vector>

#include "scheduling/scheduling.h"

namespace dn::bench {

// How jobs arrive and what goes wrong meanwhile.
struct LoadPatternFields {
  std::string name;
  int workers = 48;
  Duration length{30'000};           // Of arrivals; what was accepted is then worked off.
  double urgent_jobs = 4;            // Jobs a second: reserved cores, short, priority 0.
  double fill_jobs = 5;              // Jobs a second: cores that others leave, priority 2.
  int serving_jobs = 37;             // There from the start, until the end.
  double burst_factor = 1;           // Fill jobs in the middle third, in times the usual.
  double run_time_error = 0.2;       // Largest error of estimates, as a share.
  double hopeless_share = 0;         // Of fill jobs: every run fails.
  double cancelled_share = 0.05;     // Of fill jobs: cancelled a second after they came.
  double lost_worker_share = 0;      // Gone for good after a third.
  double failing_worker_share = 0;   // Fail all that they start in the middle third.
  double standing_worker_share = 0;  // Tasks make no progress there in the middle third.
  double slow_worker_share = 0;      // Work four times as long in the middle third.

  friend auto operator<=>(const LoadPatternFields&, const LoadPatternFields&) = default;
};
using LoadPattern = Immutable<LoadPatternFields>;

// The patterns by name, from steady to the heaviest.
const std::vector<LoadPattern>& LoadPatterns();

struct LoadResultFields {
  // Shares of what was owed, by kind of job: 1 within the objective, 0.15 up to
  // three times that. Serving jobs: share of task seconds at work and under
  // target, harmed ones counted four times.
  double urgent_worth = 0;
  double fill_worth = 0;
  double serving_worth = 0;
  double wasted_core_seconds = 0;  // Stopped without a checkpoint, or failed.
  double harmed_seconds = 0;       // Of serving tasks, over target because of fills.
  double longest_harm_ms = 0;      // On end, of one task.
  int starts = 0;
  int unfinished_jobs = 0;  // Neither completed, failed nor cancelled at the end.
  double first_start_p50_ms = 0;
  double first_start_p95_ms = 0;

  friend auto operator<=>(const LoadResultFields&, const LoadResultFields&) = default;
};
using LoadResult = Immutable<LoadResultFields>;

// Plays `pattern`. `plan_seconds`, if not null, gets the processor time that the
// shard's decisions took, which is not the same every time.
LoadResult PlayLoad(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed,
                    double* plan_seconds = nullptr);

}  // namespace dn::bench
