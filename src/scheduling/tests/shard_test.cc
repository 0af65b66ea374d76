// Single decisions of a shard's owner.
#include <catch2/catch.hpp>
#include <set>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
const WorkerId kWorker{"w1"};
const WorkerId kOther{"w2"};

// A shard with idle workers, in hand-driven time.
class Bench {
 public:
  explicit Bench(PolicyFields policy = {}) : shard(Policy(policy), 7) {}

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
              std::int64_t born = 1) {
    const Time asked = now;
    now += Duration(2);
    shard.Reported(id,
                   OrderAnswer({.report = RunReport({.clock = now.time_since_epoch().count(),
                                                     .born_ms = born,
                                                     .running = std::move(running),
                                                     .ended = std::move(ended)})}),
                   asked, now);
  }

  void Submit(StepFields step, JobId id = kJob, int max_attempts = 2) {
    shard.Accept(
        AcceptedJob({.id = id,
                     .queue = Queue({.name = "q", .service = "s", .max_attempts = max_attempts}),
                     .accepted_ms = 0,
                     .spec = JobSpec({.payload = "p", .steps = {StepSpec(step)}})}),
        now);
  }

  // Plans, makes everything durable and returns the starts that are due.
  std::vector<StartOrder> Turn(std::int64_t wall_ms = 0) {
    now += Duration(10);
    shard.Plan(now, wall_ms);
    const RecordBatch batch = shard.TakeBatch();
    shard.Recorded(batch, now);
    orders = shard.TakeOrders(now);
    return orders.starts;
  }

  void Answer(const StartOrder& start, std::optional<OrderRefusal> refusal) {
    std::optional<OrderAnswer> answer;
    if (refusal) answer = OrderAnswer({.refusal = *refusal});
    shard.StartAnswered(start, answer, now);
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

TEST_CASE("what follows the answer to a start", "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::vector<std::optional<OrderRefusal>> answers;  // Nothing: none came.
    bool started_again;                                // Another run is planned at once.
    bool sent_again;                                   // The same run is sent once more.
    bool stopped;                                      // The run is revoked.
  };
  const auto c = GENERATE(values<Case>({
      {"accepted", {OrderRefusal::kNone}, false, false, false},
      {"no room", {OrderRefusal::kNoRoom}, true, false, false},
      {"unhealthy", {OrderRefusal::kUnhealthy}, true, false, false},
      // The run has ended there, perhaps done: only the report tells.
      {"obsolete", {OrderRefusal::kObsolete}, false, false, false},
      {"no answer", {std::nullopt}, false, true, false},
      {"no answer, then obsolete", {std::nullopt, OrderRefusal::kObsolete}, false, false, false},
      // The first copy may still take effect.
      {"no answer, then no room", {std::nullopt, OrderRefusal::kNoRoom}, false, false, true},
      {"no answer, then unhealthy", {std::nullopt, OrderRefusal::kUnhealthy}, false, false, true},
      {"no answer at all", {std::nullopt, std::nullopt, std::nullopt}, false, false, true},
  }));
  CAPTURE(c.name);
  Bench bench;
  bench.AddWorker(kWorker);
  bench.AddWorker(kOther);
  bench.Submit(kTask);
  auto starts = bench.Turn();
  REQUIRE(starts.size() == 1);
  const StartOrder first = starts[0];
  for (std::size_t i = 0; i < c.answers.size(); ++i) {
    if (i > 0) {
      REQUIRE(starts.size() == 1);
      CHECK(starts[0]->run == first->run);
    }
    bench.Answer(first, c.answers[i]);
    starts = bench.Turn();
  }
  CHECK(bench.orders.stops.size() == (c.stopped ? 1U : 0U));
  REQUIRE(starts.size() == (c.started_again || c.sent_again ? 1U : 0U));
  if (c.started_again) CHECK(starts[0]->run == first->run + 1);
  if (c.sent_again) CHECK(starts[0]->run == first->run);
}

TEST_CASE("a run that was refused as obsolete counts by its end", "[scheduling][shard]") {
  Bench bench;
  bench.AddWorker(kWorker);
  bench.Submit(kTask);
  const StartOrder start = bench.Turn().at(0);
  bench.Answer(start, OrderRefusal::kObsolete);
  CHECK(bench.Turn().empty());
  bench.Report(kWorker, {}, {Bench::End(start, EndKind::kDone)});
  CHECK(bench.Turn().empty());
  CHECK(bench.shard.StateOf(kJob) == ShownState::kCompleted);
}

TEST_CASE("how a run ended decides what comes next", "[scheduling][shard]") {
  struct Case {
    EndKind kind;
    bool long_running;
    bool starts_again;
    ShownState shown;
  };
  const auto c = GENERATE(values<Case>({
      {EndKind::kDone, false, false, ShownState::kCompleted},
      {EndKind::kFailed, false, true, ShownState::kRunning},
      {EndKind::kStopped, false, true, ShownState::kRunning},
      {EndKind::kLapsed, false, true, ShownState::kRunning},
      {EndKind::kBroken, false, true, ShownState::kRunning},
      {EndKind::kAlone, false, true, ShownState::kRunning},
      {EndKind::kDone, true, true, ShownState::kRunning},
      {EndKind::kFailed, true, true, ShownState::kRunning},
  }));
  CAPTURE(NameOf(c.kind), c.long_running);
  Bench bench;
  bench.AddWorker(kWorker);
  StepFields step = kTask;
  step.long_running = c.long_running;
  bench.Submit(step);
  const StartOrder start = bench.Turn().at(0);
  bench.Answer(start, OrderRefusal::kNone);
  bench.Report(kWorker, {}, {Bench::End(start, c.kind)});
  bench.Turn();
  bench.now += PolicyFields().retry_delay;
  const auto again = bench.orders.starts.empty() ? bench.Turn() : bench.orders.starts;
  REQUIRE(again.size() == (c.starts_again ? 1U : 0U));
  if (c.starts_again) CHECK(again[0]->run == start->run + 1);
  CHECK(bench.shard.StateOf(kJob) == c.shown);
}

TEST_CASE("a job fails after its last attempt and not before", "[scheduling][shard]") {
  const int attempts = GENERATE(1, 2, 4);
  Bench bench;
  bench.AddWorker(kWorker);
  bench.Submit(kTask, kJob, attempts);
  for (int i = 1; i <= attempts; ++i) {
    CHECK(bench.shard.StateOf(kJob) != ShownState::kFailed);
    const StartOrder start = bench.Turn().at(0);
    CHECK(start->run == i);
    bench.Answer(start, OrderRefusal::kNone);
    bench.Report(kWorker, {}, {Bench::End(start, EndKind::kFailed, i)});
    bench.now += PolicyFields().retry_delay;
  }
  CHECK(bench.Turn().empty());
  CHECK(bench.shard.StateOf(kJob) == ShownState::kFailed);
}

TEST_CASE("nothing is shown or passed to a worker before it is durable", "[scheduling][shard]") {
  Bench bench;
  bench.AddWorker(kWorker);
  bench.Submit(kTask);
  bench.shard.Plan(bench.now, 0);
  const RecordBatch intent = bench.shard.TakeBatch();
  CHECK(bench.shard.TakeOrders(bench.now).starts.empty());
  bench.shard.Recorded(intent, bench.now);
  const StartOrder start = bench.shard.TakeOrders(bench.now).starts.at(0);
  bench.Answer(start, OrderRefusal::kNone);
  bench.Report(kWorker, {}, {Bench::End(start, EndKind::kDone)});
  CHECK(bench.shard.StateOf(kJob) == ShownState::kRunning);
  CHECK(bench.shard.NextRenewal(kWorker, bench.now)->ends_seen == 0);
  const RecordBatch end = bench.shard.TakeBatch();
  bench.shard.Recorded(end, bench.now);
  CHECK(bench.shard.StateOf(kJob) == ShownState::kCompleted);
  CHECK(bench.shard.NextRenewal(kWorker, bench.now)->ends_seen == 1);
}

// Two racks of two workers; the second rack has accelerators and a label.
void AddRacks(Bench& bench) {
  for (const int number : {1, 2, 3, 4}) {
    const bool second = number > 2;
    const std::string rack = second ? "r2" : "r1";
    bench.AddWorker(
        {.id = {"w" + std::to_string(number)},
         .capacity = {.millicores = 8'000, .memory_mb = 64'000, .accelerators = second ? 2 : 0},
         .labels = {second ? "large" : "small", rack},
         .rack = rack});
  }
}

TEST_CASE("where the tasks of a step may run", "[scheduling][shard]") {
  struct Case {
    std::string name;
    void (*edit)(StepFields&);
    std::multiset<std::string> workers;
  };
  const auto c = GENERATE(values<Case>({
      {"anywhere, packed", [](StepFields& step) { step.count = 2; }, {"w1", "w1"}},
      {"with a label",
       [](StepFields& step) {
         step.count = 5;
         step.required_label = "large";
       },
       {"w3", "w3", "w4", "w4"}},
      {"with accelerators",
       [](StepFields& step) {
         step.count = 3;
         step.demand.accelerators = 2;
       },
       {"w3", "w4"}},
      {"near their data", [](StepFields& step) { step.data_rack = "r2"; }, {"w3"}},
      {"near their data while there is room",
       [](StepFields& step) {
         step.count = 5;
         step.data_rack = "r2";
       },
       {"w3", "w3", "w4", "w4", "w1"}},
      {"one a worker",
       [](StepFields& step) {
         step.count = 5;
         step.max_per_worker = 1;
       },
       {"w1", "w2", "w3", "w4"}},
      {"on one rack",
       [](StepFields& step) {
         step.count = 4;
         step.same_rack = true;
       },
       {"w1", "w1", "w2", "w2"}},
      {"a gang as a whole",
       [](StepFields& step) {
         step.count = 8;
         step.gang = true;
       },
       {"w1", "w1", "w2", "w2", "w3", "w3", "w4", "w4"}},
      {"a gang that does not fit as a whole",
       [](StepFields& step) {
         step.count = 9;
         step.gang = true;
       },
       {}},
      {"a gang on one rack only",
       [](StepFields& step) {
         step.count = 4;
         step.gang = true;
         step.same_rack = true;
       },
       {"w1", "w1", "w2", "w2"}},
      {"nowhere", [](StepFields& step) { step.required_label = "other"; }, {}},
  }));
  CAPTURE(c.name);
  Bench bench;
  AddRacks(bench);
  StepFields step = kTask;
  c.edit(step);
  bench.Submit(step);
  std::multiset<std::string> workers;
  for (const StartOrder& start : bench.Turn()) workers.insert(start->worker.value);
  CHECK(workers == c.workers);
}

TEST_CASE("the members of a gang run and end together", "[scheduling][shard]") {
  struct Case {
    EndKind kind;
    std::size_t started_again;
    ShownState shown;
  };
  const auto c = GENERATE(values<Case>({
      {EndKind::kDone, 0, ShownState::kCompleted},
      {EndKind::kFailed, 2, ShownState::kRunning},
      {EndKind::kAlone, 2, ShownState::kRunning},
  }));
  CAPTURE(NameOf(c.kind));
  Bench bench;
  bench.AddWorker(kWorker);
  StepFields step = kTask;
  step.count = 2;
  step.gang = true;
  bench.Submit(step);
  const auto starts = bench.Turn();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0]->run == starts[1]->run);
  for (const StartOrder& start : starts) bench.Answer(start, OrderRefusal::kNone);
  const EndKind other = c.kind == EndKind::kDone ? EndKind::kDone : EndKind::kBroken;
  bench.Report(kWorker, {}, {Bench::End(starts[0], c.kind, 1), Bench::End(starts[1], other, 2)});
  bench.now += PolicyFields().retry_delay;
  const auto again = bench.Turn();
  CHECK(again.size() == c.started_again);
  for (const StartOrder& start : again) CHECK(start->run == starts[0]->run + 1);
  CHECK(bench.shard.StateOf(kJob) == c.shown);
}

TEST_CASE("occurrences start when they are due and may overlap", "[scheduling][shard]") {
  struct Case {
    std::int64_t wall_ms;
    std::size_t started;
  };
  const auto c = GENERATE(
      values<Case>({{9'999, 0}, {10'000, 1}, {10'999, 1}, {11'000, 2}, {12'500, 3}, {60'000, 3}}));
  CAPTURE(c.wall_ms);
  Bench bench;
  bench.AddWorker(kWorker);
  bench.shard.Accept(AcceptedJob({.id = kJob,
                                  .queue = Queue({.name = "q", .service = "s"}),
                                  .accepted_ms = 0,
                                  .spec = JobSpec({.payload = "p",
                                                   .steps = {StepSpec(kTask)},
                                                   .occurrences = 3,
                                                   .first_due_ms = 10'000,
                                                   .interval_ms = 1'000})}),
                     bench.now);
  CHECK(bench.Turn(c.wall_ms).size() == c.started);
  CHECK(bench.Turn(c.wall_ms).empty());
}

// The pattern: serving tasks are restarted on a fleet where fills wait.
TEST_CASE("a restarted serving task does not count with its old pressure", "[scheduling][shard]") {
  Bench bench;
  bench.AddWorker(kWorker);
  StepFields serving = kTask;
  serving.long_running = true;
  serving.image = "s";
  serving.target_latency_ms = 100;
  bench.Submit(serving, 1);
  const StartOrder first = bench.Turn().at(0);
  bench.Answer(first, OrderRefusal::kNone);
  for (const std::int64_t tail_ms : {25, 99}) {
    bench.Report(kWorker,
                 {ReportedRun({.task = first->task,
                               .run = first->run,
                               .progress_percent = 100,
                               .observed = tail_ms})},
                 {});
  }
  StepFields fill = kTask;
  fill.fills = true;
  fill.image = "f";
  fill.demand.millicores = 8'000;
  bench.Submit(fill, 2);
  CHECK(bench.Turn().empty());  // The serving task is at its target.
  bench.Report(kWorker, {}, {Bench::End(first, EndKind::kFailed)});
  bench.now += PolicyFields().retry_delay;
  CHECK(bench.Turn().size() == 2);
}

// The pattern: some workers leave orders unanswered, or have gone dark.
TEST_CASE("a worker that leaves starts unanswered gets no others", "[scheduling][shard][load]") {
  struct Case {
    std::string name;
    Duration waits;  // For an answer, before the next job comes.
    bool gives_up;   // The call has ended without an answer.
    bool avoided;
  };
  const auto c = GENERATE(values<Case>({
      {"a moment ago", Duration(50), false, false},
      {"longer than any usual answer takes", Duration(600), false, true},
      {"the call timed out", Duration(1'000), true, true},
  }));
  CAPTURE(c.name);
  Bench bench;
  bench.AddWorker(kWorker);
  bench.AddWorker(kOther);
  bench.Submit(kTask, 1);
  const StartOrder first = bench.Turn().at(0);
  bench.now += c.waits;
  if (c.gives_up) bench.Answer(first, std::nullopt);
  bench.shard.Plan(bench.now, 0);
  bench.Submit(kTask, 2);
  const auto starts = bench.Turn();
  const auto second = std::find_if(starts.begin(), starts.end(),
                                   [](const StartOrder& start) { return start->task.job == 2; });
  REQUIRE(second != starts.end());
  // Best fit would choose the worker that has one task already.
  CHECK(((*second)->worker != first->worker) == c.avoided);
}

// The pattern: wide jobs come faster than they are done, on a full fleet.
TEST_CASE("a plan does not grow with waiting steps times workers", "[scheduling][shard][load]") {
  struct Case {
    std::string name;
    StepFields step;
  };
  StepFields fill = kTask;
  fill.fills = true;
  fill.image = "f";
  StepFields huge = kTask;
  huge.demand.millicores = 17'000;
  const auto c =
      GENERATE_COPY(values<Case>({{"batch", kTask}, {"fill", fill}, {"too large", huge}}));
  CAPTURE(c.name);
  constexpr int kWorkers = 20;
  constexpr int kJobs = 300;
  Bench bench;
  for (int i = 0; i < kWorkers; ++i) bench.AddWorker(WorkerId{"w" + std::to_string(i)});
  for (int i = 0; i < kJobs; ++i) bench.Submit(c.step, static_cast<JobId>(i) + 1);
  const std::size_t placed = bench.Turn().size();
  const std::int64_t before = bench.shard.workers_weighed();
  CHECK(before <= static_cast<std::int64_t>(placed + 1) * kWorkers);
  CHECK(bench.Turn().empty());
  // The first step that finds no room answers for all that want as much.
  CHECK(bench.shard.workers_weighed() - before <= kWorkers);
}

}  // namespace
}  // namespace dn
