// Orders that the owner of a shard sends to workers, and the reports of the workers.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/internal/job_spec.h"

namespace dn {

// Orders owners and their calls. A worker refuses a call whose token is lower than the highest one
// that it has seen.
using FencingToken = std::int64_t;

// Number of a series of calls of one owner to one worker; see worker_calls.h.
using CallSeries = std::int64_t;
// Two days of a renewal that fails at once and is repeated every 0.2 s.
constexpr CallSeries kMaxCallSeries = 999'999;
// Returns the token of a call: a later series, like a later owner, has a higher one.
constexpr FencingToken TokenOf(FencingToken owner, CallSeries series) {
  return owner * (kMaxCallSeries + 1) + series;
}
// Returns the highest token of the owner that sent a call with `token`.
constexpr FencingToken LastTokenOf(FencingToken token) {
  return TokenOf(token / (kMaxCallSeries + 1), kMaxCallSeries);
}
// Returns the series of a call with `token`.
constexpr CallSeries SeriesOf(FencingToken token) { return token % (kMaxCallSeries + 1); }

// Why a worker refused an order.
enum class OrderRefusal {
  kNone,
  kFenced,        // The worker has seen a higher fencing token.
  kObsolete,      // This run or a later one was stopped or has ended on the worker.
  kLeaseExpired,  // The lease in the order has already expired.
  kNoRoom,
  kNoTicket,
  kOtherIncarnation,  // The worker has restarted or is a different worker.
  kUnhealthy,         // The worker cannot accept orders now; it did nothing.
  kInvalid,
  kWithdrawn,  // The order was not sent: it had become too old, or its worker is leaving.
};
template <>
struct EnumNames<OrderRefusal> {
  static constexpr std::array<EnumName<OrderRefusal>, 10> kNames = {
      {{OrderRefusal::kNone, "none"},
       {OrderRefusal::kFenced, "fenced"},
       {OrderRefusal::kObsolete, "obsolete"},
       {OrderRefusal::kLeaseExpired, "lease-expired"},
       {OrderRefusal::kNoRoom, "no-room"},
       {OrderRefusal::kNoTicket, "no-ticket"},
       {OrderRefusal::kOtherIncarnation, "other-life"},
       {OrderRefusal::kUnhealthy, "unhealthy"},
       {OrderRefusal::kInvalid, "invalid"},
       {OrderRefusal::kWithdrawn, "withdrawn"}}};
};

struct StartOrderFields {
  WorkerId worker;
  TaskKey task;
  int run = 0;
  std::string payload;
  std::string checkpoint;  // Empty: the task starts from the beginning.
  ClockReading lease_until = 0;
  FencingToken token = 0;

  friend auto operator<=>(const StartOrderFields&, const StartOrderFields&) = default;
};
using StartOrder = Immutable<StartOrderFields>;

struct StopOrderFields {
  WorkerId worker;
  TaskKey task;
  int run = 0;
  FencingToken token = 0;

  friend auto operator<=>(const StopOrderFields&, const StopOrderFields&) = default;
};
using StopOrder = Immutable<StopOrderFields>;

// Sets the speed of a task, in percent of its full speed. The interference that the task causes
// falls in proportion.
struct ThrottleOrderFields {
  WorkerId worker;
  TaskKey task;
  int run = 0;
  int percent = 100;
  FencingToken token = 0;

  friend auto operator<=>(const ThrottleOrderFields&, const ThrottleOrderFields&) = default;
};
using ThrottleOrder = Immutable<ThrottleOrderFields>;

// Renews the leases of all runs on a worker and requests a report.
struct RenewalFields {
  WorkerId worker;
  ClockReading lease_until = 0;  // 0: no lease is renewed.
  std::int64_t ends_seen = 0;    // Ends up to this number are recorded durably.
  // Longest time that the worker may wait for a run to end before it responds.
  std::int64_t wait_ms = 0;
  FencingToken token = 0;

  friend auto operator<=>(const RenewalFields&, const RenewalFields&) = default;
};
using Renewal = Immutable<RenewalFields>;

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };
template <>
struct EnumNames<EndKind> {
  static constexpr std::array<EnumName<EndKind>, 6> kNames = {{{EndKind::kDone, "done"},
                                                               {EndKind::kFailed, "failed"},
                                                               {EndKind::kStopped, "stopped"},
                                                               {EndKind::kLapsed, "lapsed"},
                                                               {EndKind::kBroken, "broken"},
                                                               {EndKind::kAlone, "alone"}}};
};

struct ReportedRunFields {
  TaskKey task;
  int run = 0;
  std::string checkpoint;
  int progress_percent = 0;
  // Latency-critical tasks: tail latency in ms. Other tasks: CPU use in millicores.
  // The value is approximate and covers the last 0.5 s.
  std::int64_t observed = 0;

  friend auto operator<=>(const ReportedRunFields&, const ReportedRunFields&) = default;
};
using ReportedRun = Immutable<ReportedRunFields>;

struct ReportedEndFields {
  std::int64_t number = 0;  // Counts up from 1 in each incarnation of a worker.
  TaskKey task;
  int run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;

  friend auto operator<=>(const ReportedEndFields&, const ReportedEndFields&) = default;
};
using ReportedEnd = Immutable<ReportedEndFields>;

struct RunReportFields {
  ClockReading clock = 0;
  std::int64_t start_time_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
  // The worker may hold further ends that this report does not list: it lists a limited number, the
  // oldest first. A run that is not in the report may then have ended.
  bool more_ends = false;

  friend auto operator<=>(const RunReportFields&, const RunReportFields&) = default;
};
using RunReport = Immutable<RunReportFields>;

// Response of a worker to an order or a renewal.
struct OrderResponseFields {
  OrderRefusal refusal = OrderRefusal::kNone;
  std::optional<ClockReading> clock;
  RunReport report;  // Set in the response to a renewal that was not refused.

  friend auto operator<=>(const OrderResponseFields&, const OrderResponseFields&) = default;
};
using OrderResponse = Immutable<OrderResponseFields>;

}  // namespace dn
