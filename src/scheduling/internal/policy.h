// Figures that steer the scheduler. Durations are in milliseconds.
#pragma once

#include <compare>
#include <cstdint>

#include "core/core.h"

namespace dn {

struct PolicyFields {
  // Length of a lease. Long enough that a take-over (member time-out 2 s, read
  // 0.5 s, renewal) does not let tasks lapse; the platform's longest is 6 s.
  Duration lease{5'000};
  // How much slower than ours a worker's clock may run, as a share. From the
  // platform's protocol.
  double clock_drift = 0.02;
  // Added to a computed lapse: two network round trips between regions.
  Duration lapse_margin{200};
  // Longest time that the platform lets a stop take.
  Duration stop_limit{900};
  // A refused or failing worker gets no task for this long: about two
  // registrations of a worker.
  Duration avoid_after_refusal{1'000};
  // A worker gets no further task while a start waits longer than this for its
  // answer: half of the longest that a call waits.
  Duration slow_answer{500};
  // A worker that fails what it starts is left out this long, then probed.
  Duration quarantine{4'000};
  // Failures of different jobs in a row that put a worker into quarantine.
  int quarantine_failures = 3;
  // A task without progress for this long is moved: four checkpoint periods.
  Duration stall_limit{2'000};
  // A task that has failed waits this long before its next run.
  Duration retry_delay{50};
  // Finished jobs are shown this long. From the platform's protocol.
  Duration finished_kept{120'000};
  // Share of its reserved cores that a serving task is taken to use.
  double serving_use = 0.55;
  // Share of its cores that a fill or batch task is taken to use before reports
  // show it: half of them use two thirds, half all.
  double fill_use = 0.85;
  // Serving tasks are taken to be over target at this share of it: the reported
  // figure is rough and half a second old.
  double target_share = 0.9;
  // Time over target after which fills are paced down, and after which they
  // are stopped altogether: 3 and 6 tenths of what the platform tolerates.
  Duration harm_patience{1'200};
  Duration harm_limit{2'400};
  // Time under target after which a paced fill is raised a step.
  Duration raise_after{900};
  // Expected pressure up to which a fill that harms is placed. Below the target,
  // since loads rise by up to a tenth a second while the fill works.
  double harm_bound = 0.85;

  friend auto operator<=>(const PolicyFields&, const PolicyFields&) = default;
};
using Policy = Immutable<PolicyFields>;

}  // namespace dn
