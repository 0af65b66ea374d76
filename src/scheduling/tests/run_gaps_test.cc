// Tests which tasks count as being without a run, and what is told about them.
#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
const WorkerId kWorker{"w1"};
constexpr Time kAccepted{Duration(1'000'000)};
constexpr std::int64_t kAcceptedWallMs = 5'000'000;

// A job of two steps, the second of which follows the first, and one worker that could run it.
class Fixture {
 public:
  explicit Fixture(const StepFields& step = {.demand = {.millicores = 4'000, .memory_mb = 1'000}},
                   const QueueFields& queue = {.name = "q", .service = "s"}) {
    Accept(kJob, step, queue);
    workers.Listed(WorkerEntry({.id = kWorker,
                                .service = "s",
                                .address = {"127.0.0.1", 1},
                                .start_time_ms = 1,
                                .capacity = {.millicores = 16'000, .memory_mb = 64'000}}),
                   kAccepted);
    worker().confirmed = true;
    worker().start_time_ms = 1;
    worker().last_report = kAccepted;
  }

  JobRow& Accept(JobId id, const StepFields& step, const QueueFields& queue) {
    StepFields second = step;
    second.after = {0};
    jobs.Accept(AcceptedJob({.id = id,
                             .queue = Queue(queue),
                             .accepted_ms = kAcceptedWallMs,
                             .spec = JobSpec({.steps = {StepSpec(step), StepSpec(second)}})}),
                kAccepted);
    return *jobs.Find(id);
  }

  JobRow& job() { return *jobs.Find(kJob); }
  WorkerRow& worker() { return *workers.Find(kWorker); }

  // Places a task, as Shard does.
  void Place(JobRow& row, std::size_t position, Time now) {
    TaskRow& task = row.tasks[position];
    ++task.run;
    task.worker = kWorker;
    WorkerTable::Reserve(worker(), row, position);
    jobs.SetPhase(row, position, TaskPhase::kPlaced, now);
  }
  void Finish(std::size_t position, Time now) {
    job().tasks[position].reported_at = now;
    jobs.SetPhase(job(), position, TaskPhase::kDone, now);
  }

  PlacementView ViewAt(Time now) const {
    return {.interference = interference, .policy = policy, .now = now};
  }
  RunGaps CheckAt(Time now) {
    return monitor.Check(jobs, workers, ViewAt(now), kAcceptedWallMs + (now - kAccepted).count());
  }

  JobTable jobs;
  Interference interference;
  Policy policy;
  WorkerTable workers{policy};
  RunGapMonitor monitor;
};

TEST_CASE("a task is without a run from its turn to a worker's report", "[scheduling][gaps]") {
  struct Case {
    std::string name;
    void (*prepare)(Fixture& fixture);
    Duration checked;  // After the job was accepted.
    std::int64_t waiting;
    std::int64_t placed;
    Duration longest;
  };
  const auto c = GENERATE(values<Case>({
      {"accepted just now", [](Fixture&) {}, Duration(2'999), 0, 0, Duration(0)},
      {"only the first step is ready", [](Fixture&) {}, Duration(3'000), 1, 0, Duration(3'000)},
      {"the second step's turn counts from the end of the first",
       [](Fixture& f) { f.Finish(0, kAccepted + Duration(4'000)); }, Duration(6'999), 0, 0,
       Duration(0)},
      {"the second step waits", [](Fixture& f) { f.Finish(0, kAccepted + Duration(4'000)); },
       Duration(7'500), 1, 0, Duration(3'500)},
      {"all done",
       [](Fixture& f) {
         f.Finish(0, kAccepted);
         f.Finish(1, kAccepted);
       },
       Duration(9'000), 0, 0, Duration(0)},
      {"placed and never reported",
       [](Fixture& f) { f.Place(f.job(), 0, kAccepted + Duration(2'000)); }, Duration(4'000), 0, 1,
       Duration(4'000)},
      {"placed after a long wait, start under way",
       [](Fixture& f) { f.Place(f.job(), 0, kAccepted + Duration(8'000)); }, Duration(9'499), 0, 0,
       Duration(0)},
      {"placed after a long wait, no report of the run",
       [](Fixture& f) { f.Place(f.job(), 0, kAccepted + Duration(8'000)); }, Duration(9'500), 0, 1,
       Duration(9'500)},
      {"confirmed by the response to the start only",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         f.job().tasks[0].stage = StartStage::kConfirmed;
       },
       Duration(4'000), 0, 1, Duration(4'000)},
      {"reported lately",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         f.job().tasks[0].reported_at = kAccepted + Duration(3'000);
       },
       Duration(5'999), 0, 0, Duration(0)},
      {"reports have ceased",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         f.job().tasks[0].reported_at = kAccepted + Duration(3'000);
       },
       Duration(6'000), 0, 1, Duration(3'000)},
      {"a run has ended and the next one waits",
       [](Fixture& f) { f.job().tasks[0].reported_at = kAccepted + Duration(3'000); },
       Duration(7'000), 1, 0, Duration(4'000)},
      {"placed again and again without a run",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         f.jobs.SetPhase(f.job(), 0, TaskPhase::kWaiting, kAccepted + Duration(3'900));
       },
       Duration(4'000), 1, 0, Duration(4'000)},
      {"the next run is not due yet",
       [](Fixture& f) { f.job().tasks[0].not_before = kAccepted + Duration(9'000); },
       Duration(5'000), 0, 0, Duration(0)},
      {"cancelled", [](Fixture& f) { f.job().phase = JobPhase::kCancelled; }, Duration(5'000), 0, 0,
       Duration(0)},
  }));
  CAPTURE(c.name);
  Fixture fixture;
  c.prepare(fixture);
  const RunGaps gaps = fixture.CheckAt(kAccepted + c.checked);
  CHECK(gaps->waiting == c.waiting);
  CHECK(gaps->placed == c.placed);
  CHECK(gaps->longest == c.longest);
  CHECK(gaps->due.size() == static_cast<std::size_t>(c.waiting + c.placed));
  CHECK(gaps->left_out == 0);
}

TEST_CASE("a job of a queue that needs advice is not without a run", "[scheduling][gaps]") {
  const bool needs_advice = GENERATE(false, true);
  Fixture fixture({}, {.name = "q", .service = "s", .needs_advice = needs_advice});
  CHECK(fixture.CheckAt(kAccepted + Duration(5'000))->waiting == (needs_advice ? 0 : 1));
}

TEST_CASE("an occurrence is without a run from its due time on", "[scheduling][gaps]") {
  Fixture fixture;
  constexpr JobId kPeriodic = 0x20;
  fixture.jobs.Accept(AcceptedJob({.id = kPeriodic,
                                   .queue = Queue({.name = "q", .service = "s"}),
                                   .accepted_ms = kAcceptedWallMs,
                                   .spec = JobSpec({.steps = {StepSpec()},
                                                    .occurrences = 2,
                                                    .first_due_ms = kAcceptedWallMs + 4'000,
                                                    .interval_ms = 2'000})}),
                      kAccepted);
  JobRow& job = *fixture.jobs.Find(kPeriodic);
  const Time now = kAccepted + Duration(7'000);
  fixture.jobs.AddDueOccurrences(job, kAcceptedWallMs + 7'000);
  REQUIRE(job.tasks.size() == 2);
  CHECK(DueWithoutRunSince(job, 0, now, kAcceptedWallMs + 7'000) == kAccepted + Duration(4'000));
  CHECK(DueWithoutRunSince(job, 1, now, kAcceptedWallMs + 7'000) == kAccepted + Duration(6'000));
}

TEST_CASE("a worker refuses a task for the first condition that it fails", "[scheduling][gaps]") {
  struct Case {
    std::string name;
    void (*edit)(StepFields& step, WorkerEntryFields& entry);
    void (*edit_worker)(Fixture& fixture);
    std::optional<PlacementRefusal> refusal;
  };
  constexpr auto kNoEdit = [](StepFields&, WorkerEntryFields&) {};
  constexpr auto kNoWorkerEdit = [](Fixture&) {};
  const auto c = GENERATE_COPY(values<Case>({
      {"accepted", kNoEdit, kNoWorkerEdit, std::nullopt},
      {"accepted best-effort", [](StepFields& step, auto&) { step.best_effort = true; },
       kNoWorkerEdit, std::nullopt},
      {"unlisted", kNoEdit, [](Fixture& f) { f.worker().listed = false; },
       PlacementRefusal::kUnlisted},
      {"draining", [](auto&, WorkerEntryFields& entry) { entry.draining = true; }, kNoWorkerEdit,
       PlacementRefusal::kDraining},
      {"unconfirmed", kNoEdit, [](Fixture& f) { f.worker().confirmed = false; },
       PlacementRefusal::kUnconfirmed},
      {"silent", kNoEdit, [](Fixture& f) { f.worker().last_report = kAccepted; },
       PlacementRefusal::kSilent},
      {"other service", [](auto&, WorkerEntryFields& entry) { entry.service = "other"; },
       kNoWorkerEdit, PlacementRefusal::kOtherService},
      {"other incarnation", [](auto&, WorkerEntryFields& entry) { entry.start_time_ms = 2; },
       kNoWorkerEdit, PlacementRefusal::kOtherIncarnation},
      {"avoided", kNoEdit, [](Fixture& f) { f.worker().avoid_until = kAccepted + Duration(9'000); },
       PlacementRefusal::kAvoided},
      {"memory", [](StepFields& step, auto&) { step.demand.memory_mb = 64'001; }, kNoWorkerEdit,
       PlacementRefusal::kNoMemory},
      {"accelerators", [](StepFields& step, auto&) { step.demand.accelerators = 1; }, kNoWorkerEdit,
       PlacementRefusal::kNoAccelerator},
      {"cores", [](StepFields& step, auto&) { step.demand.millicores = 16'001; }, kNoWorkerEdit,
       PlacementRefusal::kNoCores},
      {"label", [](StepFields& step, auto&) { step.required_label = "b"; }, kNoWorkerEdit,
       PlacementRefusal::kLabel},
      {"spread",
       [](StepFields& step, auto&) {
         step.max_per_worker = 1;
         step.count = 2;
       },
       [](Fixture& f) { f.Place(f.job(), 1, kAccepted); }, PlacementRefusal::kSpread},
      {"idle cores",
       [](StepFields& step, auto&) {
         step.best_effort = true;
         step.demand.millicores = 20'000;
       },
       kNoWorkerEdit, PlacementRefusal::kFewIdleCores},
      {"load",
       [](StepFields& step, auto&) {
         step.best_effort = true;
         step.demand.millicores = 8'000;
       },
       [](Fixture& f) {
         const StepFields serving{.long_running = true, .target_latency_ms = 10};
         JobRow& job = f.Accept(0x20, serving, {.name = "q", .service = "s"});
         f.Place(job, 0, kAccepted);
         job.tasks[0].normalised_load = 0.85;
       },
       PlacementRefusal::kLoad},
  }));
  CAPTURE(c.name);
  StepFields step{.demand = {.millicores = 4'000, .memory_mb = 1'000}};
  WorkerEntryFields entry = *Fixture().worker().entry;
  c.edit(step, entry);
  Fixture fixture(step);
  fixture.workers.Listed(WorkerEntry(entry), kAccepted);
  const Time now = kAccepted + Duration(5'000);
  fixture.worker().last_report = now;
  c.edit_worker(fixture);

  const PlacementCost cost = CostOf(fixture.worker(), fixture.job(), 0, fixture.ViewAt(now));
  const auto* refusal = std::get_if<PlacementRefusal>(&cost);
  REQUIRE((refusal != nullptr) == c.refusal.has_value());
  if (refusal != nullptr) CHECK(*refusal == *c.refusal);

  // The line shows the same reason.
  WaitingGap expected{.workers = 1, .accepting = c.refusal ? 0 : 1, .refusing = {}};
  if (c.refusal) expected.refusing.at(static_cast<std::size_t>(*c.refusal)) = 1;
  const RunGaps gaps = fixture.CheckAt(now);
  const auto found = std::find_if(gaps->due.begin(), gaps->due.end(), [](const RunGap& gap) {
    return gap->task == TaskKey{.job = kJob};
  });
  REQUIRE(found != gaps->due.end());
  CHECK(std::get<WaitingGap>((*found)->state) == expected);
}

TEST_CASE("the line of a task without a run tells its state", "[scheduling][gaps]") {
  struct Case {
    std::string name;
    void (*prepare)(Fixture& fixture);
    std::string text;
  };
  const auto c = GENERATE(values<Case>({
      {"waiting", [](Fixture& f) { f.worker().listed = false; },
       "state=waiting workers=1 accepted=0 unlisted=1 closed=0 owned=1 suspect=0 held=0 crashes=0 "
       "isolated_run=0 without_run_ms=5000 kind=fills image=i millicores=14000 memory_mb=13376 "
       "accelerators=0 run=0 failures=0"},
      {"placed, intent not durable", [](Fixture& f) { f.Place(f.job(), 0, kAccepted); },
       "state=placed stage=unrecorded worker=w1 placed_ms=5000 stopping=0 inherited=0 revoked=0 "
       "listed=1 report_age_ms=5000 start_age_ms=never attempts=0 without_run_ms=5000 kind=fills "
       "image=i millicores=14000 memory_mb=13376 accelerators=0 run=1 failures=0"},
      {"inherited, on a worker that has not reported",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         f.job().tasks[0].stage = StartStage::kSent;
         f.job().tasks[0].inherited = true;
         f.worker().listed = false;
         f.worker().last_report = Time();
       },
       "state=placed stage=sent worker=w1 placed_ms=5000 stopping=0 inherited=1 revoked=0 "
       "listed=0 report_age_ms=never start_age_ms=never attempts=0 without_run_ms=5000 kind=fills "
       "image=i millicores=14000 memory_mb=13376 accelerators=0 run=1 failures=0"},
      {"revoked",
       [](Fixture& f) {
         f.Place(f.job(), 0, kAccepted);
         TaskRow& task = f.job().tasks[0];
         task.stage = StartStage::kSent;
         task.start_sent_at = kAccepted + Duration(2'000);
         task.start_attempts = 3;
         task.stopping = true;
         task.revoked_at = kAccepted + Duration(4'000);
         task.failures = 1;
       },
       "state=placed stage=sent worker=w1 placed_ms=5000 stopping=1 inherited=0 revoked=1 "
       "listed=1 report_age_ms=5000 start_age_ms=3000 attempts=3 without_run_ms=5000 kind=fills "
       "image=i millicores=14000 memory_mb=13376 accelerators=0 run=1 failures=1"},
  }));
  CAPTURE(c.name);
  Fixture fixture(
      {.demand = {.millicores = 14'000, .memory_mb = 13'376}, .best_effort = true, .image = "i"});
  c.prepare(fixture);
  const RunGaps gaps = fixture.CheckAt(kAccepted + Duration(5'000));
  REQUIRE(gaps->due.size() == 1);
  CHECK(ToText(gaps->due.front()) == c.text);
}

TEST_CASE("the line of a task that waits tells what else keeps it from starting",
          "[scheduling][gaps]") {
  struct Case {
    std::string name;
    void (*prepare)(Fixture& fixture, StartRestrictions& restrictions);
    std::string text;
  };
  const auto c = GENERATE(values<Case>({
      {"nothing", [](Fixture&, StartRestrictions&) {},
       "closed=0 owned=1 suspect=0 held=0 crashes=0 isolated_run=0"},
      {"no confirmed ownership",
       [](Fixture&, StartRestrictions& restrictions) { restrictions.owned = false; },
       "closed=0 owned=0 suspect=0 held=0 crashes=0 isolated_run=0"},
      {"suspects on the workers that accept it",
       [](Fixture&, StartRestrictions& restrictions) {
         restrictions.may_use = [](const auto&...) { return false; };
       },
       "closed=1 owned=1 suspect=0 held=0 crashes=0 isolated_run=0"},
      {"suspect without a held worker",
       [](Fixture& f, StartRestrictions&) {
         TaskRow& task = f.job().tasks[0];
         task.suspect = true;
         task.history = RunHistory({.crashes = 2, .isolated_run = 3});
       },
       "closed=0 owned=1 suspect=1 held=0 crashes=2 isolated_run=3"},
      {"suspect with a held worker",
       [](Fixture& f, StartRestrictions& restrictions) {
         f.job().tasks[0].suspect = true;
         restrictions.is_held_for = [](const TaskRef& group) {
           return group == TaskRef{.job = kJob};
         };
       },
       "closed=0 owned=1 suspect=1 held=1 crashes=0 isolated_run=0"},
  }));
  CAPTURE(c.name);
  Fixture fixture;
  StartRestrictions restrictions;
  c.prepare(fixture, restrictions);
  const Time now = kAccepted + Duration(3'000);
  fixture.worker().last_report = now;
  const RunGaps gaps =
      fixture.monitor.Check(fixture.jobs, fixture.workers, fixture.ViewAt(now),
                            kAcceptedWallMs + (now - kAccepted).count(), restrictions);
  REQUIRE(gaps->due.size() == 1);
  CHECK(ToText(gaps->due.front()).find("accepted=1 " + c.text) != std::string::npos);
}

TEST_CASE("a task is logged again after a while only", "[scheduling][gaps]") {
  struct Case {
    Duration after;  // After the first line.
    std::size_t lines;
  };
  const auto c = GENERATE(values<Case>(
      {{Duration(1'000), 0}, {Duration(4'999), 0}, {Duration(5'000), 1}, {Duration(9'000), 1}}));
  Fixture fixture;
  const Time first = kAccepted + Duration(3'000);
  REQUIRE(fixture.CheckAt(first)->due.size() == 1);
  const RunGaps gaps = fixture.CheckAt(first + c.after);
  CHECK(gaps->due.size() == c.lines);
  CHECK(gaps->waiting == 1);
  CHECK(gaps->left_out == 0);
}

TEST_CASE("a task that had a run is logged without delay when it is lost again",
          "[scheduling][gaps]") {
  Fixture fixture;
  const Time first = kAccepted + Duration(3'000);
  REQUIRE(fixture.CheckAt(first)->due.size() == 1);
  fixture.job().tasks[0].reported_at = first;
  REQUIRE(fixture.CheckAt(first + Duration(1'000))->waiting == 0);
  CHECK(fixture.CheckAt(first + Duration(3'000))->due.size() == 1);
}

TEST_CASE("a backlog does not flood the log", "[scheduling][gaps]") {
  // The limits hold for one check; the checks of a backlog log one task after the other.
  constexpr std::size_t kLines = 10;
  struct Case {
    int count;                       // Tasks that wait, besides a placed one.
    std::vector<std::size_t> lines;  // By check, one second apart.
    std::vector<std::int64_t> left_out;
  };
  const auto c = GENERATE(values<Case>({{4, {5, 0, 0}, {0, 0, 0}},
                                        {9, {kLines, 0, 0}, {0, 0, 0}},
                                        {14, {kLines, 5, 0}, {5, 0, 0}},
                                        {2'000, {kLines, kLines, kLines}, {1'991, 1'981, 1'971}}}));
  Fixture fixture({.count = c.count});
  JobRow& later = fixture.Accept(0x20, {}, {.name = "q", .service = "s"});
  fixture.Place(later, 0, kAccepted);
  for (std::size_t check = 0; check < c.lines.size(); ++check) {
    CAPTURE(c.count, check);
    const RunGaps gaps =
        fixture.CheckAt(kAccepted + Duration(3'000) + Duration(1'000) * static_cast<int>(check));
    CHECK(gaps->due.size() == c.lines[check]);
    CHECK(gaps->left_out == c.left_out[check]);
    CHECK(gaps->waiting == c.count);
    CHECK(gaps->placed == 1);
    // The placed task comes first, though it was submitted last.
    if (check == 0) CHECK(gaps->due.front()->task.job == 0x20);
  }
}

TEST_CASE("the shard finds the tasks without a run", "[scheduling][gaps]") {
  Shard shard(Policy(), 7);
  shard.Accept(AcceptedJob({.id = kJob,
                            .queue = Queue({.name = "q", .service = "s"}),
                            .accepted_ms = 0,
                            .spec = JobSpec({.steps = {StepSpec()}})}),
               kAccepted);
  const Time now = kAccepted + Duration(3'000);
  shard.Plan(now, 0);
  const RunGaps gaps = shard.CheckRunGaps(now, 0);
  CHECK(ToText(gaps) == "waiting=1 placed=0 longest_ms=3000 left_out=0");
}

}  // namespace
}  // namespace dn
