// Tests of single decisions of a shard's owner.
#include <catch2/catch.hpp>
#include <set>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
const WorkerId kWorker{"w1"};
const WorkerId kOtherWorker{"w2"};

// A shard with idle workers. The test advances the time.
class ShardHarness {
 public:
  explicit ShardHarness(PolicyFields policy = {}) : shard(Policy(policy), 7) {}

  void AddWorker(const WorkerId& id, std::int64_t millicores = 16'000) {
    AddWorker(
        WorkerEntryFields{.id = id, .capacity = {.millicores = millicores, .memory_mb = 64'000}});
  }
  void AddWorker(WorkerEntryFields entry) {
    entry.service = "s";
    entry.address = {"127.0.0.1", 1};
    entry.start_time_ms = 1;
    const WorkerId id = entry.id;
    shard.WorkerListed(WorkerEntry(std::move(entry)), now);
    Report(id, {}, {});
  }

  void Report(const WorkerId& id, std::vector<ReportedRun> running, std::vector<ReportedEnd> ended,
              std::int64_t incarnation = 1) {
    const Time sent = now;
    now += Duration(2);
    shard.Reported(id,
                   OrderResponse({.report = RunReport({.clock = now.time_since_epoch().count(),
                                                       .start_time_ms = incarnation,
                                                       .running = std::move(running),
                                                       .ended = std::move(ended)})}),
                   sent, now);
  }

  void Submit(StepFields step, JobId id = kJob, int max_attempts = 2) {
    shard.Accept(
        AcceptedJob({.id = id,
                     .queue = Queue({.name = "q", .service = "s", .max_attempts = max_attempts}),
                     .accepted_ms = 0,
                     .spec = JobSpec({.payload = "p", .steps = {StepSpec(step)}})}),
        now);
  }

  // Plans, records all changes and returns the starts that are due.
  std::vector<StartOrder> PlanAndRecord(std::int64_t wall_ms = 0) {
    now += Duration(10);
    shard.Plan(now, wall_ms);
    const RecordBatch batch = shard.TakeBatch();
    shard.Recorded(batch, now);
    orders = shard.TakeOrders(now);
    return orders.starts;
  }

  void Respond(const StartOrder& start, std::optional<OrderRefusal> refusal) {
    std::optional<OrderResponse> response;
    if (refusal) response = OrderResponse({.refusal = *refusal});
    shard.StartAnswered(start, response, now);
  }

  static ReportedRun Running(const StartOrder& start, int progress = 10) {
    return ReportedRun({.task = start->task, .run = start->run, .progress_percent = progress});
  }
  static ReportedEnd End(const StartOrder& start, EndKind kind, std::int64_t number = 1) {
    return ReportedEnd({.number = number, .task = start->task, .run = start->run, .kind = kind});
  }

  Time now{Duration(1'000'000)};
  Shard shard;
  Orders orders;
};

const StepFields kTask{
    .count = 1, .demand = {.millicores = 4'000, .memory_mb = 1'000}, .estimate_ms = 1'000};

TEST_CASE("reaction to the response to a start", "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::vector<std::optional<OrderRefusal>> responses;  // Empty: no response arrived.
    bool started_again;                                  // Another run is planned immediately.
    bool sent_again;                                     // The start of the same run is sent again.
    bool stopped;                                        // A stop of the run is ordered.
  };
  const auto c = GENERATE(values<Case>({
      {"accepted", {OrderRefusal::kNone}, false, false, false},
      {"no room", {OrderRefusal::kNoRoom}, true, false, false},
      {"unhealthy", {OrderRefusal::kUnhealthy}, true, false, false},
      // The run has ended on the worker, possibly successfully: only the report shows how.
      {"obsolete", {OrderRefusal::kObsolete}, false, false, false},
      {"no response", {std::nullopt}, false, true, false},
      {"no response, then obsolete", {std::nullopt, OrderRefusal::kObsolete}, false, false, false},
      // The first start may still take effect.
      {"no response, then no room", {std::nullopt, OrderRefusal::kNoRoom}, false, false, true},
      {"no response, then unhealthy", {std::nullopt, OrderRefusal::kUnhealthy}, false, false, true},
      {"no response to any start", {std::nullopt, std::nullopt, std::nullopt}, false, false, true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask);
  auto starts = harness.PlanAndRecord();
  REQUIRE(starts.size() == 1);
  const StartOrder first = starts[0];
  for (std::size_t i = 0; i < c.responses.size(); ++i) {
    if (i > 0) {
      REQUIRE(starts.size() == 1);
      CHECK(starts[0]->run == first->run);
    }
    harness.Respond(first, c.responses[i]);
    starts = harness.PlanAndRecord();
  }
  CHECK(harness.orders.stops.size() == (c.stopped ? 1U : 0U));
  REQUIRE(starts.size() == (c.started_again || c.sent_again ? 1U : 0U));
  if (c.started_again) CHECK(starts[0]->run == first->run + 1);
  if (c.sent_again) CHECK(starts[0]->run == first->run);
}

TEST_CASE("a run refused as obsolete counts as it ended", "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.Respond(start, OrderRefusal::kObsolete);
  CHECK(harness.PlanAndRecord().empty());
  harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kDone)});
  CHECK(harness.PlanAndRecord().empty());
  CHECK(harness.shard.StateOf(kJob) == JobState::kCompleted);
}

TEST_CASE("reaction to the end of a run", "[scheduling][shard]") {
  struct Case {
    EndKind kind;
    bool long_running;
    bool starts_again;
    JobState state;
  };
  const auto c = GENERATE(values<Case>({
      {EndKind::kDone, false, false, JobState::kCompleted},
      {EndKind::kFailed, false, true, JobState::kRunning},
      {EndKind::kStopped, false, true, JobState::kRunning},
      {EndKind::kLapsed, false, true, JobState::kRunning},
      {EndKind::kBroken, false, true, JobState::kRunning},
      {EndKind::kAlone, false, true, JobState::kRunning},
      {EndKind::kDone, true, true, JobState::kRunning},
      {EndKind::kFailed, true, true, JobState::kRunning},
  }));
  CAPTURE(NameOf(c.kind), c.long_running);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  StepFields step = kTask;
  step.long_running = c.long_running;
  harness.Submit(step);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.Respond(start, OrderRefusal::kNone);
  harness.Report(kWorker, {}, {ShardHarness::End(start, c.kind)});
  harness.PlanAndRecord();
  harness.now += PolicyFields().retry_delay;
  const auto restarts =
      harness.orders.starts.empty() ? harness.PlanAndRecord() : harness.orders.starts;
  REQUIRE(restarts.size() == (c.starts_again ? 1U : 0U));
  if (c.starts_again) CHECK(restarts[0]->run == start->run + 1);
  CHECK(harness.shard.StateOf(kJob) == c.state);
}

TEST_CASE("a job fails after its last attempt and not before", "[scheduling][shard]") {
  const int attempts = GENERATE(1, 2, 4);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask, kJob, attempts);
  for (int i = 1; i <= attempts; ++i) {
    CHECK(harness.shard.StateOf(kJob) != JobState::kFailed);
    const StartOrder start = harness.PlanAndRecord().at(0);
    CHECK(start->run == i);
    harness.Respond(start, OrderRefusal::kNone);
    harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kFailed, i)});
    harness.now += PolicyFields().retry_delay;
  }
  CHECK(harness.PlanAndRecord().empty());
  CHECK(harness.shard.StateOf(kJob) == JobState::kFailed);
}

TEST_CASE("no state is reported to callers or workers before it is durable",
          "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  harness.shard.Plan(harness.now, 0);
  const RecordBatch intent = harness.shard.TakeBatch();
  CHECK(harness.shard.TakeOrders(harness.now).starts.empty());
  harness.shard.Recorded(intent, harness.now);
  const StartOrder start = harness.shard.TakeOrders(harness.now).starts.at(0);
  harness.Respond(start, OrderRefusal::kNone);
  harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kDone)});
  CHECK(harness.shard.StateOf(kJob) == JobState::kRunning);
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == 0);
  const RecordBatch end = harness.shard.TakeBatch();
  harness.shard.Recorded(end, harness.now);
  CHECK(harness.shard.StateOf(kJob) == JobState::kCompleted);
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == 1);
}

// Adds two racks of two workers; only the second has accelerators and the label "large".
void AddRacks(ShardHarness& harness) {
  for (const int number : {1, 2, 3, 4}) {
    const bool second = number > 2;
    const std::string rack = second ? "r2" : "r1";
    harness.AddWorker(
        {.id = {"w" + std::to_string(number)},
         .capacity = {.millicores = 8'000, .memory_mb = 64'000, .accelerators = second ? 2 : 0},
         .labels = {second ? "large" : "small", rack},
         .rack = rack});
  }
}

TEST_CASE("placement constraints of a step are respected", "[scheduling][shard]") {
  struct Case {
    std::string name;
    void (*edit)(StepFields&);
    std::multiset<std::string> workers;
  };
  const auto c = GENERATE(values<Case>({
      {"no constraint: packed", [](StepFields& step) { step.count = 2; }, {"w1", "w1"}},
      {"required label",
       [](StepFields& step) {
         step.count = 5;
         step.required_label = "large";
       },
       {"w3", "w3", "w4", "w4"}},
      {"accelerators",
       [](StepFields& step) {
         step.count = 3;
         step.demand.accelerators = 2;
       },
       {"w3", "w4"}},
      {"data rack", [](StepFields& step) { step.data_rack = "r2"; }, {"w3"}},
      {"data rack without enough room",
       [](StepFields& step) {
         step.count = 5;
         step.data_rack = "r2";
       },
       {"w3", "w3", "w4", "w4", "w1"}},
      {"one task per worker",
       [](StepFields& step) {
         step.count = 5;
         step.max_per_worker = 1;
       },
       {"w1", "w2", "w3", "w4"}},
      {"same rack",
       [](StepFields& step) {
         step.count = 4;
         step.same_rack = true;
       },
       {"w1", "w1", "w2", "w2"}},
      {"gang that fits",
       [](StepFields& step) {
         step.count = 8;
         step.gang = true;
       },
       {"w1", "w1", "w2", "w2", "w3", "w3", "w4", "w4"}},
      {"gang that does not fit as a whole",
       [](StepFields& step) {
         step.count = 9;
         step.gang = true;
       },
       {}},
      {"gang on the same rack",
       [](StepFields& step) {
         step.count = 4;
         step.gang = true;
         step.same_rack = true;
       },
       {"w1", "w1", "w2", "w2"}},
      {"label that no worker has", [](StepFields& step) { step.required_label = "other"; }, {}},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  AddRacks(harness);
  StepFields step = kTask;
  c.edit(step);
  harness.Submit(step);
  std::multiset<std::string> workers;
  for (const StartOrder& start : harness.PlanAndRecord()) workers.insert(start->worker.value);
  CHECK(workers == c.workers);
}

TEST_CASE("the tasks of a gang start and end together", "[scheduling][shard]") {
  struct Case {
    EndKind kind;
    std::size_t started_again;
    JobState state;
  };
  const auto c = GENERATE(values<Case>({
      {EndKind::kDone, 0, JobState::kCompleted},
      {EndKind::kFailed, 2, JobState::kRunning},
      {EndKind::kAlone, 2, JobState::kRunning},
  }));
  CAPTURE(NameOf(c.kind));
  ShardHarness harness;
  harness.AddWorker(kWorker);
  StepFields step = kTask;
  step.count = 2;
  step.gang = true;
  harness.Submit(step);
  const auto starts = harness.PlanAndRecord();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0]->run == starts[1]->run);
  for (const StartOrder& start : starts) harness.Respond(start, OrderRefusal::kNone);
  const EndKind other = c.kind == EndKind::kDone ? EndKind::kDone : EndKind::kBroken;
  harness.Report(kWorker, {},
                 {ShardHarness::End(starts[0], c.kind, 1), ShardHarness::End(starts[1], other, 2)});
  harness.now += PolicyFields().retry_delay;
  const auto restarts = harness.PlanAndRecord();
  CHECK(restarts.size() == c.started_again);
  for (const StartOrder& start : restarts) CHECK(start->run == starts[0]->run + 1);
  CHECK(harness.shard.StateOf(kJob) == c.state);
}

TEST_CASE("occurrences start when they are due and may overlap", "[scheduling][shard]") {
  struct Case {
    std::int64_t wall_ms;
    std::size_t started;
  };
  const auto c = GENERATE(
      values<Case>({{9'999, 0}, {10'000, 1}, {10'999, 1}, {11'000, 2}, {12'500, 3}, {60'000, 3}}));
  CAPTURE(c.wall_ms);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.shard.Accept(AcceptedJob({.id = kJob,
                                    .queue = Queue({.name = "q", .service = "s"}),
                                    .accepted_ms = 0,
                                    .spec = JobSpec({.payload = "p",
                                                     .steps = {StepSpec(kTask)},
                                                     .occurrences = 3,
                                                     .first_due_ms = 10'000,
                                                     .interval_ms = 1'000})}),
                       harness.now);
  CHECK(harness.PlanAndRecord(c.wall_ms).size() == c.started);
  CHECK(harness.PlanAndRecord(c.wall_ms).empty());
}

// Guards against best-effort tasks that are not placed beside a restarted latency-critical task
// because its load from before the restart still counts.
TEST_CASE("a restarted latency-critical task does not keep its old load", "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  StepFields latency_critical = kTask;
  latency_critical.long_running = true;
  latency_critical.image = "s";
  latency_critical.target_latency_ms = 100;
  harness.Submit(latency_critical, 1);
  const StartOrder first = harness.PlanAndRecord().at(0);
  harness.Respond(first, OrderRefusal::kNone);
  for (const std::int64_t tail_ms : {25, 99}) {
    harness.Report(kWorker,
                   {ReportedRun({.task = first->task,
                                 .run = first->run,
                                 .progress_percent = 100,
                                 .observed = tail_ms})},
                   {});
  }
  StepFields best_effort = kTask;
  best_effort.best_effort = true;
  best_effort.image = "f";
  best_effort.demand.millicores = 8'000;
  harness.Submit(best_effort, 2);
  CHECK(harness.PlanAndRecord().empty());  // The latency-critical task is at its target.
  harness.Report(kWorker, {}, {ShardHarness::End(first, EndKind::kFailed)});
  harness.now += PolicyFields().retry_delay;
  CHECK(harness.PlanAndRecord().size() == 2);
}

// Guards against tasks that wait for a worker that is down or does not respond to orders.
TEST_CASE("a worker that does not respond to starts gets no others", "[scheduling][shard][load]") {
  struct Case {
    std::string name;
    Duration elapsed;  // Time from the start to the next job.
    bool call_ended;   // The call has ended without a response.
    bool avoided;
  };
  const auto c = GENERATE(values<Case>({
      {"start sent 50 ms ago", Duration(50), false, false},
      {"start sent 600 ms ago", Duration(600), false, true},
      {"call timed out", Duration(1'000), true, true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask, 1);
  const StartOrder first = harness.PlanAndRecord().at(0);
  harness.now += c.elapsed;
  if (c.call_ended) harness.Respond(first, std::nullopt);
  harness.shard.Plan(harness.now, 0);
  harness.Submit(kTask, 2);
  const auto starts = harness.PlanAndRecord();
  const auto second = std::find_if(starts.begin(), starts.end(),
                                   [](const StartOrder& start) { return start->task.job == 2; });
  REQUIRE(second != starts.end());
  // Best fit alone would select the worker that already has a task.
  CHECK(((*second)->worker != first->worker) == c.avoided);
}

// Guards against plans that take too long on a full fleet while jobs with many tasks arrive faster
// than they are done: a plan must not search all workers again for every waiting step.
TEST_CASE("the cost of a plan does not grow with waiting steps times workers",
          "[scheduling][shard][load]") {
  struct Case {
    std::string name;
    StepFields step;
  };
  StepFields best_effort = kTask;
  best_effort.best_effort = true;
  best_effort.image = "f";
  StepFields huge = kTask;
  huge.demand.millicores = 17'000;
  const auto c = GENERATE_COPY(values<Case>(
      {{"batch", kTask}, {"best-effort", best_effort}, {"larger than any worker", huge}}));
  CAPTURE(c.name);
  constexpr int kWorkers = 20;
  constexpr int kJobs = 300;
  ShardHarness harness;
  for (int i = 0; i < kWorkers; ++i) harness.AddWorker(WorkerId{"w" + std::to_string(i)});
  for (int i = 0; i < kJobs; ++i) harness.Submit(c.step, static_cast<JobId>(i) + 1);
  const std::size_t placed = harness.PlanAndRecord().size();
  const std::int64_t before = harness.shard.workers_evaluated();
  CHECK(before <= static_cast<std::int64_t>(placed + 1) * kWorkers);
  CHECK(harness.PlanAndRecord().empty());
  // The first failed search applies to all steps that need at least as much.
  CHECK(harness.shard.workers_evaluated() - before <= kWorkers);
}

}  // namespace
}  // namespace dn
