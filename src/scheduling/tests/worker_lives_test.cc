// What an owner concludes from responses of a worker that may have restarted since its last report.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
const WorkerId kWorker{"w1"};
const WorkerId kOtherWorker{"w2"};
constexpr std::int64_t kFirstLife = 1;
constexpr std::int64_t kNextLife = 2;
constexpr Time kReported{Duration(1'000'000)};  // When the first life reports for the last time.
constexpr Duration kFirstReport{450};           // Of a life that has reported before, before that.
constexpr Duration kWay{10};                    // Of a call or its response.
constexpr Duration kStartSent{150};             // After that report.
constexpr Duration kStep{50};
// The longest time for which a lease of the policy (5 s) and the platform's longest (6 s) may go
// on, and the period of the search for tasks whose run has ended.
constexpr Duration kLeaseWait{5'302 + 150};
constexpr Duration kLongWait{6'322 + 150};

// What becomes of the worker's registration after the response.
enum class Registration { kNextLife, kLapses };

// A start that is answered by the life that reported last, or by the next one.
struct AnsweredStart {
  std::string name;
  Duration age;                   // Of the first life at its last report.
  std::optional<Duration> began;  // Of the next life, after that report; nothing: there is none.
  Duration carried_out;           // After that report.
  Registration registration;
  bool in_doubt;
  Duration wait;                    // From the response to the second run, at most.
  Duration poll = 2 * kWay;         // How long the last report was under way.
  Duration between = kFirstReport;  // Between the two reports of the first life.
};

WorkerEntry EntryOf(const WorkerId& id, std::int64_t start_time_ms) {
  return WorkerEntry({.id = id,
                      .service = "s",
                      .address = {"127.0.0.1", 1},
                      .start_time_ms = start_time_ms,
                      .capacity = {.millicores = 16'000, .memory_mb = 64'000}});
}

AcceptedJob OneTask() {
  const StepFields step{
      .count = 1, .demand = {.millicores = 1'000, .memory_mb = 1'000}, .estimate_ms = 1'000};
  return AcceptedJob({.id = kJob,
                      .queue = Queue({.name = "q", .service = "s", .max_attempts = 3}),
                      .spec = JobSpec({.payload = "p", .steps = {StepSpec(step)}})});
}

void Report(Shard& shard, const WorkerId& id, std::int64_t life, ClockReading clock, Time now,
            Duration poll = 2 * kWay) {
  const RunReport report({.clock = clock, .start_time_ms = life});
  shard.NextRenewal(id, now - poll);
  shard.Reported(id, OrderResponse({.clock = clock, .report = report}), now - poll, now);
}

std::vector<StartOrder> PlanAndRecord(Shard& shard, Time now) {
  shard.Plan(now, 0);
  shard.Recorded(shard.TakeBatch(), now);
  return shard.TakeOrders(now).starts;
}

const std::vector<AnsweredStart> kAnsweredStarts = {
    {"next life of a young one, registered", Duration(500), Duration(640), Duration(1'100),
     Registration::kNextLife, true, Duration(12'000) + kLongWait},
    {"next life of a young one, lapses", Duration(500), Duration(640), Duration(1'100),
     Registration::kLapses, true, kLongWait},
    {"next life that is as old as the former one", Duration(500), Duration(300), Duration(1'000),
     Registration::kLapses, true, kLongWait},
    {"next life of an old one, lapses", Duration(60'000), Duration(500), Duration(1'100),
     Registration::kLapses, true, Duration(12'000) + kLongWait},
    {"same life", Duration(60'000), std::nullopt, Duration(1'100), Registration::kLapses, false,
     kLeaseWait},
    {"next life of a young one, start that waited", Duration(500), Duration(1'400), Duration(2'050),
     Registration::kLapses, true, kLongWait},
    {"same life, young", Duration(1'200), std::nullopt, Duration(1'100), Registration::kLapses,
     false, kLeaseWait},
    // A clock that began just after the report was made shows 0.22 s less, with the margin.
    {"same life, older by the bound", Duration(221), std::nullopt, Duration(1'100),
     Registration::kLapses, false, kLeaseWait, 2 * kWay, Duration(200)},
    {"same life, younger than the bound", Duration(220), std::nullopt, Duration(1'100),
     Registration::kLapses, true, kLongWait, 2 * kWay, Duration(200)},
    {"same life, after a long poll", Duration(2'100), std::nullopt, Duration(1'100),
     Registration::kLapses, false, kLeaseWait, Duration(2'000), Duration(2'020)},
};

// Guards against a second run while the first one lives: the response to its start came from the
// next life of the worker, whose clock had passed the reading that was expected of the former one
// when the start was sent. The run was taken for one of the former life, and its lease for over by
// that one's clock. And against waiting longer where the same life has answered.
TEST_CASE("a response of the next life of a worker confirms no run of the former one",
          "[scheduling][lives]") {
  const AnsweredStart start = GENERATE(from_range(kAnsweredStarts));
  CAPTURE(start.name);
  const Policy policy;
  Shard shard(policy, 7);
  shard.WorkerListed(EntryOf(kWorker, kFirstLife), kReported - start.between - 2 * kWay);
  Report(shard, kWorker, kFirstLife, (start.age - start.between).count(),
         kReported - start.between);
  Report(shard, kWorker, kFirstLife, start.age.count(), kReported, start.poll);
  shard.Accept(OneTask(), kReported);
  const std::vector<StartOrder> sent = PlanAndRecord(shard, kReported + kStartSent);
  REQUIRE(sent.size() == 1);

  const Duration clock =
      start.began ? start.carried_out - *start.began : start.age + start.carried_out + kWay;
  const Duration granted =
      std::min(Duration(sent[0]->lease_until) - clock, Duration(policy->max_lease));
  const Time lapsed = kReported + start.carried_out +
                      Duration(static_cast<std::int64_t>(static_cast<double>(granted.count()) /
                                                         (1.0 - policy->clock_drift)));
  const Time answered = kReported + start.carried_out + kWay;
  shard.StartAnswered(sent[0], OrderResponse({.clock = clock.count()}), answered);
  shard.WorkerListed(EntryOf(kOtherWorker, kFirstLife), answered);
  if (start.registration == Registration::kLapses) {
    shard.WorkerUnlisted(kWorker, answered);
  } else {
    shard.WorkerListed(EntryOf(kWorker, kNextLife), answered);
  }
  const std::vector<Decision> decisions = shard.TakeDecisions();
  CHECK(std::any_of(decisions.begin(), decisions.end(), [](const Decision& decision) {
          return decision->kind == "start-in-doubt" ||
                 decision->kind == "start-in-other-incarnation";
        }) == start.in_doubt);
  std::optional<Time> second;
  for (Time now = answered; !second && now < answered + Duration(60'000); now += kStep) {
    Report(shard, kOtherWorker, kFirstLife, now.time_since_epoch().count(), now);
    if (!PlanAndRecord(shard, now).empty()) second = now;
  }
  REQUIRE(second);
  CHECK((*second - answered).count() >= (lapsed - answered).count());
  CHECK((*second - answered).count() <= start.wait.count());
}

// A registration that is read while the worker does not report. Times are counted from the last
// report.
struct ReadRegistration {
  std::string name;
  std::int64_t life;
  Duration written;  // At the earliest, as the owner knows.
  Duration read;
  Duration second_from;  // When the task may run elsewhere, and when it must.
  Duration second_until;
};

// The last copy of the start is sent between these times, and carries the lease of the policy.
constexpr Duration kLastCopyFrom = kStartSent;
constexpr Duration kLastCopyUntil{2'500};
constexpr Duration kLateFrom = kLastCopyFrom + Duration(12'000 + 6'000);
constexpr Duration kLateUntil = kLastCopyUntil + Duration(12'000) + kLongWait;
constexpr Duration kReadAfterLeases{9'000};
static_assert(kLastCopyUntil + kLeaseWait < kReadAfterLeases);

const std::vector<ReadRegistration> kReadRegistrations = {
    {"renewed after the leases", kFirstLife, Duration(8'500), kReadAfterLeases, kReadAfterLeases,
     kReadAfterLeases + Duration(200)},
    {"old one, read again", kFirstLife, Duration(-500), kReadAfterLeases, kLateFrom, kLateUntil},
    {"renewed before the leases are over, read late", kFirstLife, Duration(4'000), kReadAfterLeases,
     kLateFrom, kLateUntil},
    {"next life", kNextLife, Duration(8'500), kReadAfterLeases, kLateFrom, kLateUntil},
};

// Guards against a second run while the first one lives: a copy of its start was still open, and
// the registration of a life that had ended was read again after the leases. It counted as written
// when it was read, so that the copy was taken for too late by the clock of that life. And against
// waiting longer where the life has renewed its registration.
TEST_CASE("only a registration that was written since shows that a copy is too late",
          "[scheduling][lives]") {
  const ReadRegistration registration = GENERATE(from_range(kReadRegistrations));
  CAPTURE(registration.name);
  Shard shard(Policy(), 7);
  shard.WorkerListed(EntryOf(kWorker, kFirstLife), kReported - kFirstReport - 2 * kWay);
  for (const Duration before : {kFirstReport, Duration(0)}) {
    Report(shard, kWorker, kFirstLife, (Duration(60'000) - before).count(), kReported - before);
  }
  shard.Accept(OneTask(), kReported);
  shard.WorkerListed(EntryOf(kOtherWorker, kFirstLife), kReported + kStartSent + kStep);
  std::optional<Duration> second;
  Duration last_copy{};
  for (Duration after = kStartSent; !second && after < Duration(60'000); after += kStep) {
    const Time now = kReported + after;
    if (after > kStartSent + kStep) {
      Report(shard, kOtherWorker, kFirstLife, now.time_since_epoch().count(), now);
    }
    if (after == registration.read) {
      shard.WorkerListed(EntryOf(kWorker, registration.life), now,
                         kReported + registration.written);
    }
    for (const StartOrder& start : PlanAndRecord(shard, now)) {
      if (start->worker == kOtherWorker) {
        second = after;
        continue;
      }
      shard.StartAnswered(start, std::nullopt, now + kWay);
      last_copy = after;
    }
  }
  REQUIRE(second);
  CHECK(last_copy >= kLastCopyFrom);
  CHECK(last_copy <= kLastCopyUntil);
  CHECK(second->count() >= registration.second_from.count());
  CHECK(second->count() <= registration.second_until.count());
}

}  // namespace
}  // namespace dn
