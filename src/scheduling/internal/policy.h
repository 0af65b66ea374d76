// Parameters of the scheduler. Durations are in milliseconds.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/core.h"

namespace dn {

// How far the times of day of two machines may differ. They may jump by seconds; the platform's
// rules allow 5 s for that.
constexpr Duration kTimeOfDayError{5'000};

struct PolicyFields {
  // Length of a lease. No lease expires during a take-over, which takes the member timeout of 2 s,
  // 0.5 s to read the records, and one renewal.
  Duration lease{5'000};
  // Longest lease that a worker grants, whatever a call says. The platform's settings tell it.
  Duration max_lease{6'000};
  // How much slower than the owner's clock a worker's clock may run, as a fraction. The platform's
  // protocol sets this value.
  double clock_drift = 0.02;
  // Added to the computed expiry of a lease: two network round trips between regions.
  Duration expiry_margin{200};
  // Longest time that the platform allows for stopping a run.
  Duration max_stop_time{900};
  // After a refused start, or a start without a response, a worker gets no task for this long:
  // about two periods of a worker's registration.
  Duration avoid_after_refusal{1'000};
  // A worker gets no further task while a start has been without a response for longer than this:
  // half of the timeout of a call.
  Duration slow_response{500};
  // A worker on which tasks fail gets no task for this long, and then gets tasks again as a probe.
  Duration quarantine{4'000};
  // Number of different jobs that fail on a worker, without a success in between, before the worker
  // is quarantined.
  int quarantine_failures = 3;
  // A task that reports no progress for this long is moved: four checkpoint periods.
  Duration stall_limit{2'000};
  // Delay between the failure of a task and its next run.
  Duration retry_delay{50};
  // How long the state of a finished job stays available. The platform's protocol sets this value.
  Duration finished_retention{120'000};
  // Fraction of its reserved cores that a latency-critical task is assumed to use.
  double latency_critical_use = 0.55;
  // Fraction of its cores that a best-effort or batch task is assumed to use until reports show its
  // actual use: half of the tasks use two thirds of their cores and half use all.
  double initial_use = 0.85;
  // A latency-critical task counts as over its target from this fraction of the target on, since
  // the reported latency is approximate and 0.5 s old.
  double over_target_fraction = 0.9;
  // Time over target after which best-effort tasks are throttled, and after which their speed is
  // set to 0: 0.3 and 0.6 of the time over target that the platform tolerates.
  Duration throttle_after{1'200};
  Duration suspend_after{2'400};
  // Time under target, and since the last change, after which a throttled best-effort task is sped
  // up again.
  Duration speed_up_after{900};
  // Largest expected normalised load of a latency-critical task beside which a best-effort task
  // that interferes with it is placed. It lies below 1 (the target) because loads rise by up to 0.1
  // per second while the best-effort task runs.
  double max_expected_load = 0.85;
  // A job without a run for this long starts a best-effort task that every worker refuses at full
  // speed, at reduced speed: half of the time without a run that the platform tolerates.
  Duration reduced_start_after{1'500};
  // See NodeSettingsFields; nothing: the operator's records on zones are ignored.
  std::optional<Duration> evacuation_limit;
  // Most starts that a cold worker gets within kColdWindow; nothing: as many as any other.
  std::optional<std::int64_t> max_cold_starts;

  friend auto operator<=>(const PolicyFields&, const PolicyFields&) = default;
};
using Policy = Immutable<PolicyFields>;

}  // namespace dn
