// What an owner does while the store has not confirmed that it still owns the shard, and how long
// its successor waits for what it may have ordered.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
const WorkerId kWorker{"w1"};
const WorkerId kOtherWorker{"w2"};
constexpr Time kBegin{Duration(1'000'000)};
constexpr Duration kTimeToLive{1'800};
// Unix milliseconds at the owner's time 0.
constexpr std::int64_t kWallBegin = 1'700'000'000'000;

constexpr std::int64_t WallOf(Time time) { return kWallBegin + time.time_since_epoch().count(); }

WorkerEntry EntryOf(const WorkerId& id, bool draining = false, std::int64_t start_time_ms = 1) {
  return WorkerEntry({.id = id,
                      .service = "s",
                      .address = {"127.0.0.1", 1},
                      .start_time_ms = start_time_ms,
                      .draining = draining,
                      .capacity = {.millicores = 16'000, .memory_mb = 64'000}});
}

AcceptedJob JobWithTasks(int count) {
  const StepFields step{
      .count = count, .demand = {.millicores = 1'000, .memory_mb = 1'000}, .estimate_ms = 1'000};
  return AcceptedJob({.id = kJob,
                      .queue = Queue({.name = "q", .service = "s", .max_attempts = 3}),
                      .spec = JobSpec({.payload = "p", .steps = {StepSpec(step)}})});
}

// Reports that the worker runs nothing. Its clock shows the owner's time.
void ReportIdle(Shard& shard, const WorkerId& id, Time now) {
  const RunReport report({.clock = now.time_since_epoch().count(), .start_time_ms = 1});
  shard.Reported(id, OrderResponse({.report = report}), now, now);
}

Orders PlanAndRecord(Shard& shard, Time now) {
  shard.Plan(now, 0);
  shard.Recorded(shard.TakeBatch(), now);
  return shard.TakeOrders(now);
}

// Guards against an owner that was paused or cut off, and that renews leases or sends starts to the
// workers that it reaches after another instance may have become the owner: tasks ran twice.
TEST_CASE("an owner acts only while its ownership is confirmed", "[scheduling][ownership]") {
  struct Case {
    std::string name;
    Duration age;  // Of the latest confirmation when the owner acts.
    bool owned;
  };
  const auto c =
      GENERATE(values<Case>({{"just confirmed", Duration(0), true},
                             {"within the time to live", kTimeToLive - Duration(1), true},
                             {"run out", kTimeToLive, false},
                             {"run out for long", Duration(60'000), false}}));
  CAPTURE(c.name);
  Shard shard(Policy(), 7);
  shard.OwnUntil(kBegin + Duration(100'000));
  shard.WorkerListed(EntryOf(kWorker), kBegin);
  ReportIdle(shard, kWorker, kBegin);
  shard.Accept(JobWithTasks(2), kBegin);
  const std::vector<StartOrder> starts = PlanAndRecord(shard, kBegin).starts;
  REQUIRE(starts.size() == 2);

  shard.OwnUntil(kBegin - c.age + kTimeToLive);
  CHECK((shard.NextRenewal(kWorker, kBegin)->lease_until > 0) == c.owned);
  CHECK(shard.MayStart(starts[0], kBegin) == c.owned);
  // The first start got no response; the second one is repeated only by an owner.
  shard.StartAnswered(starts[0], std::nullopt, kBegin);
  const Orders orders = shard.TakeOrders(kBegin);
  CHECK(orders.starts.size() == (c.owned ? 1U : 0U));
  CHECK(orders.stops.empty());
  // The worker's next report tells of its run; an owner that may not act starts nothing then.
  shard.NextRenewal(kWorker, kBegin);
  ReportIdle(shard, kWorker, kBegin + Duration(1));
  CHECK(PlanAndRecord(shard, kBegin + Duration(2)).starts.empty());
}

// Guards against starts whose intent was recorded just before the owner was paused: they were sent
// after the pause, to workers that the new owner could not reach.
TEST_CASE("a start whose record becomes durable after the ownership has run out is not sent",
          "[scheduling][ownership]") {
  const bool owned = GENERATE(true, false);
  CAPTURE(owned);
  Shard shard(Policy(), 7);
  shard.OwnUntil(kBegin + Duration(1));
  shard.WorkerListed(EntryOf(kWorker), kBegin);
  ReportIdle(shard, kWorker, kBegin);
  shard.Accept(JobWithTasks(1), kBegin);
  shard.Plan(kBegin, 0);
  const RecordBatch batch = shard.TakeBatch();
  REQUIRE(batch.intents.size() == 1);
  // The worker has reported meanwhile, so nothing else keeps the start back.
  const Time later = kBegin + Duration(2'000);
  ReportIdle(shard, kWorker, later);
  if (owned) shard.OwnUntil(later + kTimeToLive);
  shard.Recorded(batch, later);
  CHECK(shard.TakeOrders(later).starts.size() == (owned ? 1U : 0U));
  // Nothing is planned either until the ownership is confirmed again.
  shard.Plan(later, 0);
  CHECK(shard.TakeBatch().intents.empty());
  shard.OwnUntil(later + kTimeToLive);
  if (!owned) CHECK(PlanAndRecord(shard, later).starts.size() == 1);
}

// Guards against starts that waited in the queue of their worker and reach it after its notice,
// after their owner's ownership has run out, or after their task was cancelled or done.
TEST_CASE("a start that waits is checked again before it is sent", "[scheduling][ownership]") {
  struct Case {
    std::string name;
    void (*event)(Shard&, const StartOrder&);
    bool may_start;
  };
  const auto c = GENERATE(values<Case>({
      {"as planned", [](Shard&, const StartOrder&) {}, true},
      {"the worker has given notice",
       [](Shard& shard, const StartOrder&) { shard.WorkerListed(EntryOf(kWorker, true), kBegin); },
       false},
      {"the ownership has run out", [](Shard& shard, const StartOrder&) { shard.OwnUntil(kBegin); },
       false},
      {"the job was cancelled", [](Shard& shard, const StartOrder&) { shard.Cancel(kJob, kBegin); },
       false},
      {"another run is done",
       [](Shard& shard, const StartOrder& start) {
         shard.WorkerListed(EntryOf(kOtherWorker), kBegin);
         const RunReport report(
             {.clock = kBegin.time_since_epoch().count(),
              .start_time_ms = 1,
              .ended = {ReportedEnd(
                  {.number = 1, .task = start->task, .run = start->run, .kind = EndKind::kDone})}});
         shard.Reported(kOtherWorker, OrderResponse({.report = report}), kBegin, kBegin);
       },
       false},
  }));
  CAPTURE(c.name);
  Shard shard(Policy(), 7);
  shard.OwnUntil(kBegin + Duration(1));
  shard.WorkerListed(EntryOf(kWorker), kBegin);
  ReportIdle(shard, kWorker, kBegin);
  shard.Accept(JobWithTasks(1), kBegin);
  const StartOrder start = PlanAndRecord(shard, kBegin).starts.at(0);
  c.event(shard, start);
  CHECK(shard.MayStart(start, kBegin) == c.may_start);
}

// Guards against a second run while the first one lives: an owner that has been replaced renews the
// leases on the workers that it reaches until its ownership runs out, and its successor, which does
// not reach them, counted one lease from its own beginning.
TEST_CASE("a new owner waits for the last lease of an owner that does not know of its replacement",
          "[scheduling][ownership]") {
  struct Case {
    std::string name;
    Duration lease;
    Duration time_to_live;
    Duration replaced_after;  // From the earlier owner's last confirmation.
  };
  const auto c = GENERATE(values<Case>(
      {{"replaced at once", Duration(5'000), Duration(1'800), Duration(0)},
       {"replaced after its time to live", Duration(5'000), Duration(1'800), Duration(1'800)},
       {"long time to live", Duration(5'000), Duration(4'000), Duration(500)},
       {"short lease", Duration(3'000), Duration(1'800), Duration(0)}}));
  CAPTURE(c.name);
  const Policy policy({.lease = c.lease});
  Shard earlier(policy, 7);
  earlier.OwnUntil(kBegin + c.time_to_live);
  earlier.WorkerListed(EntryOf(kWorker), kBegin);
  ReportIdle(earlier, kWorker, kBegin);
  earlier.Accept(JobWithTasks(1), kBegin);
  earlier.Plan(kBegin, 0);
  const RecordBatch batch = earlier.TakeBatch();
  earlier.Recorded(batch, kBegin);
  REQUIRE(earlier.TakeOrders(kBegin).starts.size() == 1);
  // The latest end of a lease, by the owner's clock. The worker's clock may be slower.
  Time lapsed = kBegin;
  for (Time now = kBegin; now < kBegin + Duration(20'000); now += Duration(100)) {
    ReportIdle(earlier, kWorker, now);
    const std::int64_t until = earlier.NextRenewal(kWorker, now)->lease_until;
    if (until == 0) continue;
    const auto left = static_cast<double>(until - now.time_since_epoch().count());
    lapsed = now + Duration(static_cast<std::int64_t>(left / (1.0 - policy->clock_drift)));
  }

  Shard shard(policy, 8);
  const Time taken_over = kBegin + c.replaced_after;
  shard.ExpectEarlierOrders(kBegin + c.time_to_live, WallOf(kBegin + c.time_to_live));
  shard.WorkerListed(EntryOf(kOtherWorker), taken_over);
  shard.Accept(JobWithTasks(1), taken_over);
  shard.Restore(batch.records.at(0), taken_over);
  std::optional<Time> started;
  for (Time now = taken_over; !started && now < kBegin + Duration(20'000); now += Duration(50)) {
    ReportIdle(shard, kOtherWorker, now);
    if (!PlanAndRecord(shard, now).starts.empty()) started = now;
  }
  REQUIRE(started);
  CHECK(*started >= lapsed);
}

// How the registration of a worker that its new owner does not reach changes.
enum class Registration {
  kStays,
  kLapses,  // Shortly after the take-over.
  kLapsed,  // Before the take-over: the new owner never reads it.
  // That of the former incarnation stays, and lapses shortly after the take-over: the new owner
  // never hears of the incarnation that reported to the earlier one.
  kFormerLapses,
};

// The longest time for which a lease of the policy (5 s), and the platform's longest (6 and 10 s),
// may go on, and the period of the search for tasks whose run has ended.
constexpr Duration kLeaseWait{5'302 + 150};
constexpr Duration kLongWait{6'322 + 150};
constexpr Duration kLongestWait{10'404 + 150};
// A call may be carried out this late.
constexpr Duration kLateCall{12'000};
constexpr Duration kSixSeconds{6'000};
constexpr Duration kTenSeconds{10'000};
constexpr Duration kStep{50};

class RestartedWorker;

// A worker that restarts while the earlier owner has a call under way, which grants a lease by the
// clock of the former incarnation, and which the new one carries out.
struct InheritedGrant {
  std::string name;
  // Starts a task on the worker; returns its record.
  JobProgress (*start)(RestartedWorker& worker);
  Duration began;    // From the beginning of the new incarnation to the take-over.
  Duration granted;  // From the arrival of that call to the take-over.
  Duration max_lease;
  Registration registration;
  Duration wait;  // From the take-over to the second run, at most.
  // By how much the worker's time of day is behind.
  Duration time_of_day_error{0};
};

class RestartedWorker {
 public:
  explicit RestartedWorker(const InheritedGrant& grant)
      : policy(PolicyFields{.max_lease = grant.max_lease}),
        taken_over(kBegin + Duration(400'000)),
        began(taken_over - grant.began),
        granted(taken_over - grant.granted),
        entry(EntryOf(kWorker, false, WallOf(began) - grant.time_of_day_error.count())),
        lapsed(began) {}

  ClockReading ClockOf(Time now) const { return (now - began).count() + 1; }
  // Carries out a call that grants a lease.
  void Grant(ClockReading until, Time now) {
    const ClockReading granted_ms = std::min(until - ClockOf(now), policy->max_lease.count());
    const double longest = static_cast<double>(granted_ms) / (1.0 - policy->clock_drift);
    lapsed = std::max(lapsed, now + Duration(static_cast<std::int64_t>(longest)));
  }
  void Report(Shard& shard, const std::vector<ReportedRun>& running, Time now) const {
    const RunReport report(
        {.clock = ClockOf(now), .start_time_ms = entry->start_time_ms, .running = running});
    shard.Reported(kWorker, OrderResponse({.clock = ClockOf(now), .report = report}), now, now);
  }

  const Policy policy;
  const Time taken_over;
  const Time began;    // Of the new incarnation.
  const Time granted;  // When it carries out a call that was sent as it began.
  const WorkerEntry entry;
  Time lapsed;  // Latest end of its leases, by the owner's clock; its own may be slower.
};

// Returns the earlier owner, which has heard of the former incarnation just now.
Shard EarlierOwner(const RestartedWorker& worker) {
  Shard shard(worker.policy, 7);
  shard.WorkerListed(EntryOf(kWorker), worker.began - kStep);
  ReportIdle(shard, kWorker, worker.began - kStep);
  return shard;
}

// The earlier owner hears of the new incarnation when that has carried out a renewal by the former
// clock, starts the task there and renews its leases until the new owner takes over.
JobProgress StartAfterReport(RestartedWorker& worker) {
  Shard shard = EarlierOwner(worker);
  const ClockReading until = shard.NextRenewal(kWorker, worker.began)->lease_until;
  REQUIRE(until > 0);
  worker.Grant(until, worker.granted);
  shard.RenewalFailed(kWorker, true, worker.granted);
  shard.WorkerListed(worker.entry, worker.granted);
  std::vector<JobProgress> records;
  std::vector<ReportedRun> running;
  for (Time now = worker.granted; now < worker.taken_over; now += kStep) {
    worker.Grant(shard.NextRenewal(kWorker, now)->lease_until, now);
    worker.Report(shard, running, now);
    shard.Accept(JobWithTasks(1), now);
    shard.Plan(now, 0);
    const RecordBatch batch = shard.TakeBatch();
    shard.Recorded(batch, now);
    records.insert(records.end(), batch.records.begin(), batch.records.end());
    for (const StartOrder& start : shard.TakeOrders(now).starts) {
      worker.Grant(start->lease_until, now);
      shard.StartAnswered(start, OrderResponse({.clock = worker.ClockOf(now)}), now);
      running.emplace_back(ReportedRunFields{.task = start->task, .run = start->run});
    }
  }
  REQUIRE(running.size() == 1);
  return records.back();
}

// The earlier owner starts the task on the former incarnation; the new one carries the start out.
JobProgress StartInTheDark(RestartedWorker& worker) {
  Shard shard = EarlierOwner(worker);
  shard.Accept(JobWithTasks(1), worker.began);
  shard.Plan(worker.began, 0);
  const RecordBatch batch = shard.TakeBatch();
  shard.Recorded(batch, worker.began);
  const std::vector<StartOrder> starts = shard.TakeOrders(worker.began).starts;
  REQUIRE(starts.size() == 1);
  worker.Grant(starts[0]->lease_until, worker.granted);
  return batch.records.at(0);
}

// Returns when the new owner, which does not reach the worker, starts the task again.
Time SecondStart(const RestartedWorker& worker, const JobProgress& progress,
                 Registration registration) {
  Shard shard(worker.policy, 8);
  shard.ExpectEarlierOrders(worker.taken_over, WallOf(worker.taken_over));
  if (registration == Registration::kFormerLapses) {
    shard.WorkerListed(EntryOf(kWorker), worker.taken_over);
  } else if (registration != Registration::kLapsed) {
    shard.WorkerListed(worker.entry, worker.taken_over);
  }
  shard.WorkerListed(EntryOf(kOtherWorker), worker.taken_over);
  shard.Accept(JobWithTasks(1), worker.taken_over);
  // The record of the start was durable before the call was carried out.
  const bool settled = worker.taken_over - worker.granted >= SettlingTime(worker.policy);
  shard.Restore(progress, worker.taken_over, settled);
  const Time limit = worker.taken_over + Duration(60'000);
  for (Time now = worker.taken_over; now < limit; now += kStep) {
    if (registration == Registration::kStays) shard.WorkerListed(worker.entry, now, now);
    const bool lapses =
        registration == Registration::kLapses || registration == Registration::kFormerLapses;
    if (lapses && now > worker.taken_over + Duration(1'000)) {
      shard.WorkerUnlisted(kWorker, now);
    }
    ReportIdle(shard, kOtherWorker, now);
    if (!PlanAndRecord(shard, now).starts.empty()) return now;
  }
  return Time::max();
}

const std::vector<InheritedGrant> kInheritedGrants = {
    {"stays", StartAfterReport, Duration(600), Duration(200), kSixSeconds, Registration::kStays,
     kLongWait},
    {"lapses", StartAfterReport, Duration(600), Duration(200), kSixSeconds, Registration::kLapses,
     kLongWait},
    {"lapsed", StartAfterReport, Duration(600), Duration(200), kSixSeconds, Registration::kLapsed,
     kLongWait},
    {"stays, 10 s", StartAfterReport, Duration(600), Duration(200), kTenSeconds,
     Registration::kStays, kLongestWait},
    {"lapses, 10 s", StartAfterReport, Duration(600), Duration(200), kTenSeconds,
     Registration::kLapses, kLongestWait},
    {"lapsed, 10 s", StartAfterReport, Duration(600), Duration(200), kTenSeconds,
     Registration::kLapsed, kLongestWait},
    {"2.3 s before", StartAfterReport, Duration(3'200), Duration(2'300), kSixSeconds,
     Registration::kLapses, kLongWait},
    {"2.3 s before, 10 s", StartAfterReport, Duration(3'200), Duration(2'300), kTenSeconds,
     Registration::kLapses, kLongestWait},
    {"late call", StartAfterReport, Duration(14'400), Duration(200), kSixSeconds,
     Registration::kStays, kLongWait},
    {"late call, 10 s", StartAfterReport, Duration(14'400), Duration(200), kTenSeconds,
     Registration::kLapses, kLongestWait},
    {"late call, 10 s, time of day behind", StartAfterReport, Duration(14'400), Duration(200),
     kTenSeconds, Registration::kLapses, kLongestWait, Duration(5'000)},
    {"10 s, time of day ahead", StartAfterReport, Duration(600), Duration(200), kTenSeconds,
     Registration::kStays, kLongestWait, Duration(-5'000)},
    {"start in the dark, stays", StartInTheDark, Duration(600), Duration(200), kSixSeconds,
     Registration::kStays, kLateCall + kLongWait},
    {"start in the dark, lapsed", StartInTheDark, Duration(600), Duration(200), kSixSeconds,
     Registration::kLapsed, kLongWait},
    {"start in the dark, former one lapses", StartInTheDark, Duration(600), Duration(200),
     kSixSeconds, Registration::kFormerLapses, kLongWait},
    {"start in the dark, lapsed, 10 s", StartInTheDark, Duration(600), Duration(200), kTenSeconds,
     Registration::kLapsed, kLongestWait},
    {"start in the dark, former one lapses, 10 s", StartInTheDark, Duration(600), Duration(200),
     kTenSeconds, Registration::kFormerLapses, kLongestWait},
    {"start in the dark, lapses, 10 s", StartInTheDark, Duration(600), Duration(200), kTenSeconds,
     Registration::kLapses, kLateCall + kLongestWait},
    {"long before, stays", StartAfterReport, Duration(30'000), Duration(29'800), kSixSeconds,
     Registration::kStays, kLeaseWait},
    {"long before, lapses", StartAfterReport, Duration(30'000), Duration(29'800), kSixSeconds,
     Registration::kLapses, kLeaseWait},
    {"long before, lapsed", StartAfterReport, Duration(30'000), Duration(29'800), kSixSeconds,
     Registration::kLapsed, kLeaseWait},
    {"long before, stays, 10 s", StartAfterReport, Duration(30'000), Duration(29'800), kTenSeconds,
     Registration::kStays, kLeaseWait},
    {"long before, lapses, 10 s", StartAfterReport, Duration(30'000), Duration(29'800), kTenSeconds,
     Registration::kLapses, kLeaseWait},
    {"long before, lapsed, 10 s", StartAfterReport, Duration(30'000), Duration(29'800), kTenSeconds,
     Registration::kLapsed, kLeaseWait},
};

// Guards against a second run while the first one lives: the first one's worker had restarted
// shortly before the take-over, taken the platform's longest lease by the clock of its former
// incarnation, and been cut off. The new owner counted a lease of its policy. And against waiting
// that long for workers that cannot have taken such a lease.
TEST_CASE("a new owner waits for leases by the clock of an incarnation that has ended",
          "[scheduling][ownership]") {
  const InheritedGrant grant = GENERATE(from_range(kInheritedGrants));
  CAPTURE(grant.name);
  RestartedWorker worker(grant);
  const JobProgress progress = grant.start(worker);
  const Time started = SecondStart(worker, progress, grant.registration);
  const std::int64_t waited_ms = (started - worker.taken_over).count();
  const std::int64_t first_run_ms = (worker.lapsed - worker.taken_over).count();
  CHECK(waited_ms >= first_run_ms);
  CHECK(waited_ms <= grant.wait.count());
}

}  // namespace
}  // namespace dn
