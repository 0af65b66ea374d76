// Orders to workers and what workers report.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/internal/job_spec.h"

namespace dn {

// Token of the owner that gives an order; a worker ignores lower ones.
using FencingToken = std::int64_t;

// What stops a worker from carrying out an order.
enum class OrderRefusal {
  kNone,
  kFenced,        // The worker has seen a higher fencing token.
  kObsolete,      // This or a later run was stopped or ended there.
  kLeaseExpired,  // The lease named in the order is already over.
  kNoRoom,
  kNoTicket,
  kOtherLife,  // The worker has restarted or is another one.
  kUnhealthy,  // Nothing was done; the worker cannot take orders now.
  kInvalid,
};
template <>
struct EnumNames<OrderRefusal> {
  static constexpr std::array<EnumName<OrderRefusal>, 9> kNames = {
      {{OrderRefusal::kNone, "none"},
       {OrderRefusal::kFenced, "fenced"},
       {OrderRefusal::kObsolete, "obsolete"},
       {OrderRefusal::kLeaseExpired, "lease-expired"},
       {OrderRefusal::kNoRoom, "no-room"},
       {OrderRefusal::kNoTicket, "no-ticket"},
       {OrderRefusal::kOtherLife, "other-life"},
       {OrderRefusal::kUnhealthy, "unhealthy"},
       {OrderRefusal::kInvalid, "invalid"}}};
};

struct StartOrderFields {
  WorkerId worker;
  TaskKey task;
  int run = 0;
  std::string payload;
  std::string checkpoint;  // Empty: from the beginning.
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

// Lets a task work, and disturb others, at a share of its full speed.
struct PaceOrderFields {
  WorkerId worker;
  TaskKey task;
  int run = 0;
  int percent = 100;
  FencingToken token = 0;

  friend auto operator<=>(const PaceOrderFields&, const PaceOrderFields&) = default;
};
using PaceOrder = Immutable<PaceOrderFields>;

// Renews the leases of all that runs on a worker and asks for a report.
struct RenewalFields {
  WorkerId worker;
  ClockReading lease_until = 0;  // 0: renews nothing.
  std::int64_t ends_seen = 0;    // Ends up to this number are recorded for good.
  std::int64_t wait_ms = 0;      // The worker may wait this long for an end.
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
  // Serving tasks: tail latency in ms. Others: cores in use, in thousandths.
  // Rough, over the last half second.
  std::int64_t observed = 0;

  friend auto operator<=>(const ReportedRunFields&, const ReportedRunFields&) = default;
};
using ReportedRun = Immutable<ReportedRunFields>;

struct ReportedEndFields {
  std::int64_t number = 0;  // Rises from 1 in each life of a worker.
  TaskKey task;
  int run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;

  friend auto operator<=>(const ReportedEndFields&, const ReportedEndFields&) = default;
};
using ReportedEnd = Immutable<ReportedEndFields>;

struct RunReportFields {
  ClockReading clock = 0;
  std::int64_t born_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;

  friend auto operator<=>(const RunReportFields&, const RunReportFields&) = default;
};
using RunReport = Immutable<RunReportFields>;

// Answer of a worker to an order or a renewal.
struct OrderAnswerFields {
  OrderRefusal refusal = OrderRefusal::kNone;
  std::optional<ClockReading> clock;
  RunReport report;  // Of a renewal that was not refused.

  friend auto operator<=>(const OrderAnswerFields&, const OrderAnswerFields&) = default;
};
using OrderAnswer = Immutable<OrderAnswerFields>;

}  // namespace dn
