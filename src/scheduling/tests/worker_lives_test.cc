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
  Duration wait;             // From the response to the second run, at most.
  Duration poll = 2 * kWay;  // How long the last report was under way.
  Duration between{450};     // Between the two reports of the first life.
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

}  // namespace
}  // namespace dn
