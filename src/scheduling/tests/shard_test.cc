// Tests of single decisions of a shard's owner.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
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
              std::int64_t incarnation = 1, bool more_ends = false) {
    const Time sent = now;
    shard.NextRenewal(id, now);
    now += Duration(2);
    shard.Reported(id,
                   OrderResponse({.report = RunReport({.clock = now.time_since_epoch().count(),
                                                       .start_time_ms = incarnation,
                                                       .running = std::move(running),
                                                       .ended = std::move(ended),
                                                       .more_ends = more_ends})}),
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

  // Returns how often the shard has decided that a job has begun since the last call.
  std::int64_t BegunDecisions() {
    const std::vector<Decision> decisions = shard.TakeDecisions();
    return std::count_if(decisions.begin(), decisions.end(),
                         [](const Decision& decision) { return decision->kind == "job-begun"; });
  }

  // Lets the responses to all starts of a run fail to arrive. Returns the last start.
  StartOrder LeaveUnanswered(const StartOrder& start) {
    StartOrder last = start;
    for (int attempt = 0; attempt < 3; ++attempt) {
      Respond(last, std::nullopt);
      orders = shard.TakeOrders(now);
      if (!orders.starts.empty()) last = orders.starts[0];
    }
    return last;
  }

  // Lets the responses to all starts of a run fail to arrive, and a report show that the worker
  // refuses them.
  void Revoke(const StartOrder& start) {
    LeaveUnanswered(start);
    now += Duration(1);
    Report(start->worker, {}, {});
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
      // The worker's next report tells.
      {"no response to any start", {std::nullopt, std::nullopt, std::nullopt}, false, false, false},
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
    harness.Respond(starts[0], c.responses[i]);
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

// What a caller sees of a job: its state, and whether its queue counts it as waiting.
void CheckShown(const Shard& shard, JobState state) {
  CHECK(shard.StateOf(kJob) == state);
  CHECK(shard.WaitingOf("q") == (state == JobState::kPending ? 1 : 0));
}

// Guards against a count of waiting jobs far below the truth: starts that no worker had carried out
// counted as begun jobs.
TEST_CASE("a job has begun once a worker confirmed a run of it", "[scheduling][shard]") {
  struct Case {
    std::string name;
    void (*events)(ShardHarness&, const StartOrder&);  // After the start was sent.
    bool begun;
  };
  const auto c = GENERATE(values<Case>({
      {"no response yet", [](ShardHarness&, const StartOrder&) {}, false},
      {"no response",
       [](ShardHarness& harness, const StartOrder& start) { harness.Respond(start, std::nullopt); },
       false},
      {"revoked", [](ShardHarness& harness, const StartOrder& start) { harness.Revoke(start); },
       false},
      {"accepted",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Respond(start, OrderRefusal::kNone);
       },
       true},
      {"accepted, reported and then lost",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Respond(start, OrderRefusal::kNone);
         for (int i = 0; i < 3; ++i) harness.Report(start->worker, {}, {});
       },
       true},
      {"accepted by a worker that then restarted",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Respond(start, OrderRefusal::kNone);
         harness.Report(start->worker, {}, {}, 2);
       },
       true},
      {"accepted after the run was revoked",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Revoke(start);
         harness.Respond(start, OrderRefusal::kNone);
       },
       true},
      {"reported without a response",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Report(start->worker, {ShardHarness::Running(start)}, {});
       },
       true},
      {"reported after the run was revoked",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Revoke(start);
         harness.Report(start->worker, {ShardHarness::Running(start)}, {});
       },
       true},
      {"reported by a worker other than the one it was sent to",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.AddWorker(kOtherWorker);
         harness.Report(kOtherWorker, {ShardHarness::Running(start)}, {});
       },
       true},
      {"end of an earlier run reported",
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Respond(start, OrderRefusal::kNoRoom);
         harness.now += PolicyFields().avoid_after_refusal;
         REQUIRE(harness.PlanAndRecord().size() == 1);
         harness.Report(start->worker, {}, {ShardHarness::End(start, EndKind::kStopped)});
       },
       true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  CheckShown(harness.shard, JobState::kPending);
  const StartOrder start = harness.PlanAndRecord().at(0);
  CheckShown(harness.shard, JobState::kPending);
  CHECK(harness.BegunDecisions() == 0);
  c.events(harness, start);
  CheckShown(harness.shard, c.begun ? JobState::kRunning : JobState::kPending);
  CHECK(harness.BegunDecisions() == (c.begun ? 1 : 0));
  // Further evidence changes nothing.
  harness.Report(kWorker, {ShardHarness::Running(start)}, {});
  CheckShown(harness.shard, JobState::kRunning);
  CHECK(harness.BegunDecisions() == (c.begun ? 0 : 1));
}

// Guards against a count of waiting jobs far below the truth: refused starts counted as begun jobs.
TEST_CASE("a refused start does not begin its job", "[scheduling][shard]") {
  const auto refusal = GENERATE(from_range(EnumNames<OrderRefusal>::kNames));
  const bool after_lost_copy = GENERATE(false, true);
  CAPTURE(refusal.name, after_lost_copy);
  const bool begun = refusal.value == OrderRefusal::kNone;
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  if (after_lost_copy) harness.Respond(start, std::nullopt);
  harness.Respond(start, refusal.value);
  CheckShown(harness.shard, begun ? JobState::kRunning : JobState::kPending);
  CHECK(harness.BegunDecisions() == (begun ? 1 : 0));
  harness.PlanAndRecord();
  CheckShown(harness.shard, begun ? JobState::kRunning : JobState::kPending);
}

// Guards against begun jobs that are counted as waiting: an end may be all that is heard of a run.
TEST_CASE("the end of a run shows that its job has begun", "[scheduling][shard]") {
  const auto end = GENERATE(from_range(EnumNames<EndKind>::kNames));
  const auto response = GENERATE(values<std::optional<OrderRefusal>>(
      {std::nullopt, OrderRefusal::kNone, OrderRefusal::kObsolete}));
  CAPTURE(end.name, response.has_value());
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  CheckShown(harness.shard, JobState::kPending);
  if (response) harness.Respond(start, response);
  harness.Report(kWorker, {}, {ShardHarness::End(start, end.value)});
  CHECK(harness.BegunDecisions() == 1);
  harness.PlanAndRecord();
  CheckShown(harness.shard,
             end.value == EndKind::kDone ? JobState::kCompleted : JobState::kRunning);
  CHECK(harness.BegunDecisions() == 0);
}

// Guards against a count of waiting jobs far below the truth after a take-over: starts that the
// earlier owner had recorded but not sent counted as begun jobs.
TEST_CASE("a restored job has begun if its record or a worker shows a run", "[scheduling][shard]") {
  struct Case {
    std::string name;
    TaskProgressFields task;
    void (*events)(ShardHarness&, const StartOrder&);  // After the job was restored.
    JobState restored;                                 // Shown before the events.
    JobState state;                                    // Shown after them.
    JobPhase phase = JobPhase::kOpen;
  };
  const auto nothing = [](ShardHarness&, const StartOrder&) {};
  const TaskProgressFields placed{.phase = TaskPhase::kPlaced, .run = 1, .worker = kWorker.value};
  const TaskProgressFields waiting{.phase = TaskPhase::kWaiting, .run = 1};
  const auto c = GENERATE_COPY(values<Case>({
      {"intent only", placed, nothing, JobState::kPending, JobState::kPending},
      {"intent only, not reported by its worker", placed,
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Report(start->worker, {}, {});
         REQUIRE(harness.PlanAndRecord().size() == 1);  // It is started again.
       },
       JobState::kPending, JobState::kPending},
      {"intent, reported as running", placed,
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Report(start->worker, {ShardHarness::Running(start)}, {});
       },
       JobState::kPending, JobState::kRunning},
      {"intent, reported as ended", placed,
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Report(start->worker, {}, {ShardHarness::End(start, EndKind::kLapsed)});
       },
       JobState::kPending, JobState::kRunning},
      {"waiting again without a trace of a run", waiting, nothing, JobState::kPending,
       JobState::kPending},
      {"checkpoint",
       {.phase = TaskPhase::kWaiting, .run = 1, .checkpoint = "c"},
       nothing,
       JobState::kRunning,
       JobState::kRunning},
      {"failure",
       {.phase = TaskPhase::kWaiting, .run = 1, .failures = 1},
       nothing,
       JobState::kRunning,
       JobState::kRunning},
      {"one task done",
       {.phase = TaskPhase::kDone, .run = 1},
       nothing,
       JobState::kRunning,
       JobState::kRunning},
      {"cancelled", placed, nothing, JobState::kCancelled, JobState::kCancelled,
       JobPhase::kCancelled},
      {"cancelled, reported as running", placed,
       [](ShardHarness& harness, const StartOrder& start) {
         harness.Report(start->worker, {ShardHarness::Running(start)}, {});
       },
       JobState::kCancelled, JobState::kCancelled, JobPhase::kCancelled},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  StepFields step = kTask;
  step.count = 2;
  harness.Submit(step);
  harness.shard.Restore(
      JobProgress({.id = kJob, .phase = c.phase, .tasks = {TaskProgress(c.task), TaskProgress()}}),
      harness.now);
  CheckShown(harness.shard, c.restored);
  const StartOrder start(
      {.worker = kWorker, .task = {.job = kJob, .occurrence = 0, .step = 0, .index = 0}, .run = 1});
  harness.shard.WorkerListed(WorkerEntry({.id = kWorker,
                                          .service = "s",
                                          .address = {"127.0.0.1", 1},
                                          .start_time_ms = 1,
                                          .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
                             harness.now);
  c.events(harness, start);
  CheckShown(harness.shard, c.state);
}

// Guards against cancelled jobs that are counted as waiting.
TEST_CASE("a cancelled job neither waits nor runs", "[scheduling][shard]") {
  struct Case {
    std::string name;
    void (*events)(ShardHarness&);  // Before the job is cancelled.
  };
  const auto c = GENERATE(values<Case>({
      {"not placed", [](ShardHarness&) {}},
      {"start sent", [](ShardHarness& harness) { harness.PlanAndRecord(); }},
      {"begun",
       [](ShardHarness& harness) {
         harness.Respond(harness.PlanAndRecord().at(0), OrderRefusal::kNone);
       }},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  c.events(harness);
  harness.shard.Cancel(kJob, harness.now);
  CHECK(harness.shard.WaitingOf("q") == 0);
  harness.PlanAndRecord();
  CheckShown(harness.shard, JobState::kCancelled);
}

// Guards against measuring how long a job waited for its first start from the take-over on.
TEST_CASE("the wait for the first start is measured unless an earlier owner may have begun the job",
          "[scheduling][shard]") {
  const bool restored = GENERATE(false, true);
  CAPTURE(restored);
  ShardHarness harness;
  harness.Submit(kTask);
  if (restored) {
    harness.shard.Restore(
        JobProgress(
            {.id = kJob, .tasks = {TaskProgress({.phase = TaskPhase::kWaiting, .run = 1})}}),
        harness.now);
  }
  const Time submitted = harness.now;
  harness.AddWorker(kWorker);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.shard.TakeDecisions();
  harness.Respond(start, OrderRefusal::kNone);
  const std::vector<Decision> decisions = harness.shard.TakeDecisions();
  CheckShown(harness.shard, JobState::kRunning);
  REQUIRE(decisions.size() == (restored ? 0U : 1U));
  if (restored) return;
  CHECK(decisions[0]->kind == "job-begun");
  CHECK(decisions[0]->waited == harness.now - submitted);
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

// Guards against checkpoints that are lost at a take-over: the worker forgets an end once it is
// acknowledged, also that of a run that had been given up.
TEST_CASE("the checkpoint of an end is durable before the end is acknowledged",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    bool lost;  // The run had been given up before its end was reported.
  };
  const auto c = GENERATE(values<Case>({{"run placed", false}, {"run given up", true}}));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.Respond(start, OrderRefusal::kNone);
  if (c.lost) {
    for (int i = 0; i < 3; ++i) harness.Report(kWorker, {}, {});
    harness.shard.Recorded(harness.shard.TakeBatch(), harness.now);
  }
  harness.Report(kWorker, {},
                 {ReportedEnd({.number = 1,
                               .task = start->task,
                               .run = start->run,
                               .kind = EndKind::kStopped,
                               .checkpoint = "c"})});
  const RecordBatch batch = harness.shard.TakeBatch();
  CHECK(batch.ends.size() == 1);
  REQUIRE(batch.records.size() == 1);
  CHECK(batch.records[0]->tasks[0]->checkpoint == "c");
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

// What happens to an order on its way to the worker and back.
enum class Delivery {
  kApplied,
  kUnhealthy,     // Refused; the worker did nothing.
  kRequestLost,   // No response; no effect.
  kResponseLost,  // No response; it has taken effect.
  kLate,          // No response; it takes effect seconds later, after newer orders.
};

// A worker with a latency-critical task and a best-effort task that is throttled for it. The orders
// that change its speed meet the given deliveries in turn, and are applied after that.
class ThrottledWorker {
 public:
  ThrottledWorker() {
    harness_.AddWorker(kWorker);
    StepFields latency_critical = kTask;
    latency_critical.long_running = true;
    latency_critical.image = "s";
    latency_critical.target_latency_ms = kTargetMs;
    harness_.Submit(latency_critical, 1);
    latency_critical_ = Start();
    Report(kLowTailMs);
    StepFields best_effort = kTask;
    best_effort.best_effort = true;
    best_effort.image = "f";
    harness_.Submit(best_effort, 2);
    best_effort_ = Start();
  }

  // Lets the tail latency of the latency-critical task be `tail_ms` for `duration`.
  void Run(std::int64_t tail_ms, Duration duration, const std::vector<Delivery>& deliveries) {
    next_delivery_ = deliveries;
    orders_ = 0;
    for (const Time end = harness_.now + duration; harness_.now < end;) {
      Report(tail_ms);
      for (auto event = events_.begin(); event != events_.end() && event->first <= harness_.now;) {
        event->second();
        event = events_.erase(event);
      }
      harness_.PlanAndRecord();
      for (const ThrottleOrder& order : harness_.orders.throttles) Deliver(order);
    }
  }

  // Reports the end of the best-effort task.
  void End() {
    harness_.Report(kWorker, {}, {ShardHarness::End(*best_effort_, EndKind::kStopped)});
    best_effort_.reset();
  }

  int speed_percent() const { return speed_percent_; }
  int orders() const { return orders_; }                  // During the last call of Run.
  int most_in_flight() const { return most_in_flight_; }  // At any time.

  static constexpr std::int64_t kTargetMs = 100;
  static constexpr std::int64_t kLowTailMs = kTargetMs / 4;
  static constexpr std::int64_t kHighTailMs = kTargetMs * 3 / 2;

 private:
  StartOrder Start() {
    StartOrder start = harness_.PlanAndRecord().at(0);
    harness_.Respond(start, OrderRefusal::kNone);
    return start;
  }

  void Report(std::int64_t tail_ms) {
    harness_.now += Duration(50);
    progress_ = progress_ == 20 ? 21 : 20;  // Neither stalled nor worth a move.
    std::vector<ReportedRun> running = {ReportedRun({.task = (*latency_critical_)->task,
                                                     .run = (*latency_critical_)->run,
                                                     .progress_percent = 100,
                                                     .observed = tail_ms})};
    if (best_effort_) running.push_back(ShardHarness::Running(*best_effort_, progress_));
    harness_.Report(kWorker, std::move(running), {});
  }

  void Deliver(const ThrottleOrder& order) {
    static constexpr Duration kRoundTrip{10};
    static constexpr Duration kTimeout{1'000};
    static constexpr Duration kDelay{4'000};
    ++orders_;
    most_in_flight_ = std::max(most_in_flight_, ++in_flight_);
    Delivery delivery = Delivery::kApplied;
    if (!next_delivery_.empty()) {
      delivery = next_delivery_.front();
      next_delivery_.erase(next_delivery_.begin());
    }
    std::optional<OrderResponse> response;
    if (delivery == Delivery::kApplied) response = OrderResponse();
    if (delivery == Delivery::kUnhealthy) {
      response = OrderResponse({.refusal = OrderRefusal::kUnhealthy});
    }
    if (delivery == Delivery::kApplied || delivery == Delivery::kResponseLost) {
      speed_percent_ = order->percent;
      token_ = std::max(token_, order->token);
    }
    if (delivery == Delivery::kLate) {
      events_.emplace(harness_.now + kDelay, [this, order] {
        if (order->token >= token_) speed_percent_ = order->percent;
      });
    }
    events_.emplace(harness_.now + (response ? kRoundTrip : kTimeout), [this, order, response] {
      --in_flight_;
      harness_.shard.ThrottleAnswered(order, response, harness_.now);
    });
  }

  ShardHarness harness_;
  std::optional<StartOrder> latency_critical_;
  std::optional<StartOrder> best_effort_;
  int progress_ = 0;
  int speed_percent_ = 100;  // Of the best-effort task on the worker.
  FencingToken token_ = 0;   // Highest one that the worker has seen.
  std::vector<Delivery> next_delivery_;
  std::multimap<Time, std::function<void()>> events_;
  int orders_ = 0;
  int in_flight_ = 0;
  int most_in_flight_ = 0;
};

// Guards against best-effort tasks that keep interfering, or stay slow for good, because the only
// order that changes their speed did not take effect.
TEST_CASE("a change of speed is ordered until the worker has acknowledged it",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::vector<Delivery> deliveries;
    int orders;  // At least one for each delivery that fails, and one a second at most.
  };
  const auto c = GENERATE(values<Case>({
      {"applied", {}, 1},
      {"response lost", {Delivery::kResponseLost}, 12},
      {"request lost", {Delivery::kRequestLost}, 12},
      {"three requests lost",
       {Delivery::kRequestLost, Delivery::kRequestLost, Delivery::kRequestLost},
       12},
      {"refused by an unhealthy worker", {Delivery::kUnhealthy}, 2},
      {"refused, then lost", {Delivery::kUnhealthy, Delivery::kRequestLost}, 12},
      {"late", {Delivery::kLate}, 12},
      {"late twice", {Delivery::kLate, Delivery::kLate}, 12},
  }));
  const bool suspending = GENERATE(false, true);
  const bool speeding_up = GENERATE(false, true);
  CAPTURE(c.name, suspending, speeding_up);
  constexpr Duration kPhase{16'000};
  const std::vector<Delivery> all_applied;
  ThrottledWorker worker;
  worker.Run(ThrottledWorker::kHighTailMs, kPhase, suspending ? c.deliveries : all_applied);
  CHECK(worker.speed_percent() == 0);
  CHECK(worker.orders() <= (suspending ? c.orders : 1));
  worker.Run(ThrottledWorker::kLowTailMs, kPhase, speeding_up ? c.deliveries : all_applied);
  CHECK(worker.speed_percent() == 100);
  CHECK(worker.orders() <= (speeding_up ? c.orders : 1));
  CHECK(worker.most_in_flight() == 1);
}

// Guards against orders that are repeated for runs that do not exist any more.
TEST_CASE("a change of speed is not repeated after the end of the run", "[scheduling][shard]") {
  const Delivery delivery = GENERATE(Delivery::kUnhealthy, Delivery::kRequestLost);
  CAPTURE(static_cast<int>(delivery));
  ThrottledWorker worker;
  worker.Run(ThrottledWorker::kHighTailMs, Duration(4'000), std::vector<Delivery>(9, delivery));
  CHECK(worker.orders() >= 2);
  worker.End();
  worker.Run(ThrottledWorker::kHighTailMs, Duration(4'000), {});
  CHECK(worker.orders() == 0);
}

// Guards against a change of speed that is undone for good by an older order that takes effect
// after it.
TEST_CASE("a late change of speed does not last", "[scheduling][shard]") {
  constexpr Duration kShortPhase{4'000};  // The late order takes effect after its end.
  constexpr Duration kLongPhase{16'000};
  const auto deliveries =
      GENERATE(values<std::vector<Delivery>>({{Delivery::kLate},
                                              {Delivery::kLate, Delivery::kLate},
                                              {Delivery::kLate, Delivery::kUnhealthy}}));
  CAPTURE(deliveries.size());
  ThrottledWorker worker;
  worker.Run(ThrottledWorker::kHighTailMs, kShortPhase, deliveries);
  worker.Run(ThrottledWorker::kLowTailMs, kLongPhase, {});
  CHECK(worker.speed_percent() == 100);
  CHECK(worker.most_in_flight() == 1);
}

// Guards against a task that is moved, and a worker that is avoided, because the task makes no
// progress at a speed that has not been raised yet.
TEST_CASE("a task is not stalled while its speed is not acknowledged", "[scheduling][shard]") {
  const bool acknowledged = GENERATE(false, true);
  CAPTURE(acknowledged);
  ShardHarness harness;
  StepFields step = kTask;
  step.best_effort = true;
  step.image = "f";
  harness.Submit(step);
  harness.shard.Restore(
      JobProgress({.id = kJob,
                   .tasks = {TaskProgress(
                       {.phase = TaskPhase::kPlaced, .run = 1, .worker = kWorker.value})}}),
      harness.now);
  harness.shard.WorkerListed(
      WorkerEntry({.id = kWorker, .service = "s", .address = {"127.0.0.1", 1}}), harness.now);
  const StartOrder start({.worker = kWorker, .task = {.job = kJob}, .run = 1});
  std::size_t stops = 0;
  for (int i = 0; i < 40; ++i) {
    harness.now += Duration(100);
    harness.Report(kWorker, {ShardHarness::Running(start)}, {});
    harness.PlanAndRecord();
    stops += harness.orders.stops.size();
    for (const ThrottleOrder& order : harness.orders.throttles) {
      harness.shard.ThrottleAnswered(
          order,
          OrderResponse({.refusal = acknowledged ? OrderRefusal::kNone : OrderRefusal::kUnhealthy}),
          harness.now);
    }
  }
  CHECK((stops > 0) == acknowledged);
}

// Guards against best-effort tasks that an earlier owner throttled and that stay slow, or count as
// stalled, because their new owner believes that they run at full speed.
TEST_CASE("an inherited best-effort run is set to the speed that its owner believes",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    bool best_effort;
    bool inherited;  // Otherwise this owner starts the run.
    std::size_t orders;
  };
  const auto c = GENERATE(values<Case>({
      {"best-effort, inherited", true, true, 1},
      {"batch, inherited", false, true, 0},
      {"best-effort, own", true, false, 0},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  StepFields step = kTask;
  step.best_effort = c.best_effort;
  step.image = "f";
  harness.Submit(step);
  StartOrder start({.worker = kWorker, .task = {.job = kJob}, .run = 1});
  if (c.inherited) {
    harness.shard.Restore(
        JobProgress({.id = kJob,
                     .tasks = {TaskProgress(
                         {.phase = TaskPhase::kPlaced, .run = 1, .worker = kWorker.value})}}),
        harness.now);
    harness.PlanAndRecord();
    CHECK(harness.orders.throttles.empty());  // The worker may not have the run.
    harness.shard.WorkerListed(
        WorkerEntry({.id = kWorker, .service = "s", .address = {"127.0.0.1", 1}}), harness.now);
  } else {
    harness.AddWorker(kWorker);
    start = harness.PlanAndRecord().at(0);
    harness.Respond(start, OrderRefusal::kNone);
  }
  harness.Report(kWorker, {ShardHarness::Running(start)}, {});
  harness.PlanAndRecord();
  REQUIRE(harness.orders.throttles.size() == c.orders);
  for (const ThrottleOrder& order : harness.orders.throttles) {
    CHECK(order->task == start->task);
    CHECK(order->percent == 100);
    harness.shard.ThrottleAnswered(order, OrderResponse(), harness.now);
  }
  for (int i = 0; i < 3; ++i) {
    harness.now += Duration(1'000);
    harness.Report(kWorker, {ShardHarness::Running(start, 20 + i)}, {});
    harness.PlanAndRecord();
    CHECK(harness.orders.throttles.empty());
  }
}

// Guards against a take-over at which the speeds of all inherited runs are ordered at once, so that
// the starts that waited for it wait on, and against runs that stay slow.
TEST_CASE("the speeds of inherited runs are ordered beside the starts",
          "[scheduling][shard][load]") {
  constexpr int kWorkers = 350;
  constexpr int kRuns = 1'500;
  constexpr JobId kFirstWaiting = 100'000;
  constexpr JobId kWaiting = 200;
  constexpr Duration kRoundTrip{40};
  // Responses to the first order of each worker; the others are accepted.
  struct Case {
    std::string name;
    OrderRefusal first;
  };
  const auto c = GENERATE(values<Case>({
      {"all accept", OrderRefusal::kNone},
      {"all unhealthy at first", OrderRefusal::kUnhealthy},
      {"runs have ended", OrderRefusal::kObsolete},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  StepFields step = kTask;
  step.best_effort = true;
  step.image = "f";
  step.demand.millicores = 1'000;
  const auto worker_of = [](int run) { return WorkerId{"w" + std::to_string(run % kWorkers)}; };
  std::map<WorkerId, std::vector<ReportedRun>> running;
  for (int i = 0; i < kRuns; ++i) {
    const JobId job = static_cast<JobId>(i) + 1;
    harness.Submit(step, job);
    harness.shard.Restore(
        JobProgress({.id = job,
                     .tasks = {TaskProgress(
                         {.phase = TaskPhase::kPlaced, .run = 1, .worker = worker_of(i).value})}}),
        harness.now);
    running[worker_of(i)].push_back(ReportedRun({.task = {.job = job}, .run = 1}));
  }
  for (JobId job = 0; job < kWaiting; ++job) harness.Submit(kTask, kFirstWaiting + job);
  for (int i = 0; i < kWorkers; ++i) {
    harness.shard.WorkerListed(
        WorkerEntry({.id = worker_of(i),
                     .service = "s",
                     .address = {"127.0.0.1", 1},
                     .start_time_ms = 1,
                     .capacity = {.millicores = 64'000, .memory_mb = 250'000}}),
        harness.now);
    harness.shard.Reported(
        worker_of(i),
        OrderResponse({.report = RunReport(
                           {.clock = 1, .start_time_ms = 1, .running = running[worker_of(i)]})}),
        harness.now, harness.now);
  }
  const Time opened = harness.now;
  std::multimap<Time, std::pair<ThrottleOrder, OrderRefusal>> responses;
  std::map<WorkerId, int> in_flight;
  std::set<WorkerId> answered;
  std::set<JobId> at_speed;
  std::size_t started = harness.PlanAndRecord().size();
  CHECK(started == kWaiting);
  while (harness.now < opened + Duration(2'000) && at_speed.size() < kRuns) {
    for (const ThrottleOrder& order : harness.orders.throttles) {
      CHECK(order->percent == 100);
      CHECK(++in_flight[order->worker] == 1);
      const bool first = answered.insert(order->worker).second;
      responses.emplace(harness.now + kRoundTrip,
                        std::make_pair(order, first ? c.first : OrderRefusal::kNone));
    }
    while (!responses.empty() && responses.begin()->first <= harness.now) {
      const auto [order, refusal] = responses.begin()->second;
      responses.erase(responses.begin());
      --in_flight[order->worker];
      if (refusal != OrderRefusal::kUnhealthy) at_speed.insert(order->task.job);
      harness.shard.ThrottleAnswered(order, OrderResponse({.refusal = refusal}), harness.now);
    }
    harness.PlanAndRecord();
  }
  CHECK(at_speed.size() == kRuns);
}

// Guards against an inherited run that ends while the order of its speed waits: the order is
// dropped, and the other runs of its worker get theirs.
TEST_CASE("the speed of an inherited run that has ended is not ordered", "[scheduling][shard]") {
  ShardHarness harness;
  StepFields step = kTask;
  step.best_effort = true;
  step.image = "f";
  std::vector<StartOrder> runs;
  for (JobId job = 1; job <= 3; ++job) {
    harness.Submit(step, job);
    harness.shard.Restore(
        JobProgress({.id = job,
                     .tasks = {TaskProgress(
                         {.phase = TaskPhase::kPlaced, .run = 1, .worker = kWorker.value})}}),
        harness.now);
    runs.push_back(StartOrder({.worker = kWorker, .task = {.job = job}, .run = 1}));
  }
  harness.shard.WorkerListed(
      WorkerEntry({.id = kWorker, .service = "s", .address = {"127.0.0.1", 1}}), harness.now);
  std::vector<ReportedRun> running;
  running.reserve(runs.size());
  for (const StartOrder& run : runs) running.push_back(ShardHarness::Running(run));
  harness.Report(kWorker, running, {});
  harness.PlanAndRecord();
  REQUIRE(harness.orders.throttles.size() == 1);
  const ThrottleOrder first = harness.orders.throttles[0];
  REQUIRE(first->task.job == 1);
  harness.Report(kWorker, {running[0], running[2]}, {ShardHarness::End(runs[1], EndKind::kDone)});
  harness.PlanAndRecord();
  CHECK(harness.orders.throttles.empty());  // One order at a time.
  // The run whose order is in flight ends as well.
  harness.Report(kWorker, {running[2]}, {ShardHarness::End(runs[0], EndKind::kDone, 2)});
  harness.shard.ThrottleAnswered(first, std::nullopt, harness.now);
  harness.PlanAndRecord();
  REQUIRE(harness.orders.throttles.size() == 1);
  CHECK(harness.orders.throttles[0]->task.job == 3);
}

// Guards against starts that are sent to a worker that is known not to respond: they cannot be told
// from runs that were lost with it.
TEST_CASE("no task is placed on a worker whose last renewal failed", "[scheduling][shard]") {
  const bool timed_out = GENERATE(false, true);
  ShardHarness harness;
  harness.AddWorker({.id = kWorker, .capacity = {.millicores = 8'000, .memory_mb = 8'000}});
  harness.Submit({.count = 1, .demand = {.millicores = 1'000, .memory_mb = 500}});
  harness.shard.RenewalFailed(kWorker, timed_out, harness.now);
  CHECK(harness.PlanAndRecord().empty());
  harness.Report(kWorker, {}, {});
  CHECK(harness.PlanAndRecord().size() == 1);
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

// Guards against plans whose cost grows with the tasks of a step times workers: the tasks of a step
// are alike.
TEST_CASE("all tasks of a step are placed in one search", "[scheduling][shard][load]") {
  struct Case {
    std::string name;
    int max_per_worker;
    bool best_effort;
    std::string data_rack;
  };
  const auto c = GENERATE(values<Case>({{"batch", 0, false, ""},
                                        {"at most one on a worker", 1, false, ""},
                                        {"best-effort", 0, true, ""},
                                        {"data on a rack", 0, false, "r3"}}));
  CAPTURE(c.name);
  constexpr int kWorkers = 100;
  constexpr int kTasks = 39;
  ShardHarness harness;
  for (int i = 0; i < kWorkers; ++i) {
    harness.AddWorker(WorkerEntryFields{.id = {"w" + std::to_string(i)},
                                        .capacity = {.millicores = 16'000, .memory_mb = 64'000},
                                        .rack = "r" + std::to_string(i / 8)});
  }
  StepFields step = kTask;
  step.count = kTasks;
  step.max_per_worker = c.max_per_worker;
  step.best_effort = c.best_effort;
  step.data_rack = c.data_rack;
  step.image = "f";
  harness.Submit(step);
  const std::int64_t before = harness.shard.workers_evaluated();
  const std::vector<StartOrder> starts = harness.PlanAndRecord();
  REQUIRE(starts.size() == kTasks);
  // One search, and the worker of each placement once more.
  CHECK(harness.shard.workers_evaluated() - before <= kWorkers + kTasks);
  std::map<WorkerId, int> on_worker;
  int on_rack = 0;
  for (const StartOrder& start : starts) {
    ++on_worker[start->worker];
    const int index = std::stoi(start->worker.value.substr(1));
    if ("r" + std::to_string(index / 8) == c.data_rack) ++on_rack;
  }
  for (const auto& [id, count] : on_worker) {
    CHECK(count <= (c.max_per_worker > 0 ? c.max_per_worker : 4));
  }
  // The 8 workers of the rack have room for 32 tasks.
  if (!c.data_rack.empty()) CHECK(on_rack == 32);
}

// How a worker that stays listed responds to renewals.
struct Renewals {
  std::string name;
  std::optional<OrderRefusal> refusal;  // Empty: no response arrives.
};
const std::vector<Renewals> kFailedRenewals = {
    {"no response", std::nullopt},
    {"unhealthy", OrderRefusal::kUnhealthy},
    {"other incarnation", OrderRefusal::kOtherIncarnation},
    {"invalid", OrderRefusal::kInvalid}};

// Lets time pass in which the first worker's renewals fail and the second worker reports. Returns
// the starts that were planned.
// `incarnation`: in the first worker's registration, which goes on; nothing if that has ended.
std::vector<StartOrder> PassTime(ShardHarness& harness, const Renewals& renewals, Duration time,
                                 std::optional<std::int64_t> incarnation = 1) {
  constexpr Duration kStep{100};
  std::vector<StartOrder> starts;
  for (const Time end = harness.now + time; harness.now + kStep <= end;) {
    harness.now += kStep - Duration(12);  // Report() and PlanAndRecord() take 12 ms.
    harness.shard.NextRenewal(kWorker, harness.now);
    if (incarnation) {
      harness.shard.WorkerListed(
          WorkerEntry({.id = kWorker,
                       .service = "s",
                       .address = {"127.0.0.1", 1},
                       .start_time_ms = *incarnation,
                       .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
          harness.now, harness.now);
    }
    if (renewals.refusal) {
      harness.shard.Reported(kWorker, OrderResponse({.refusal = *renewals.refusal}), harness.now,
                             harness.now);
    }
    std::vector<ReportedRun> running;
    for (const StartOrder& start : starts) {
      if (start->worker == kOtherWorker) running.push_back(ShardHarness::Running(start));
    }
    harness.Report(kOtherWorker, running, {});
    for (const StartOrder& start : harness.PlanAndRecord()) starts.push_back(start);
  }
  return starts;
}

// Guards against a task that stays placed for ever on a worker that is listed but does not report;
// against a second run before the leases of the first have expired; and against one while a start
// without a response may still be carried out by a later incarnation, and its longest lease last.
TEST_CASE("the tasks of a worker are released once it has been silent for long",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::optional<OrderRefusal> response;    // To the start; empty: the call is still open.
    std::optional<std::int64_t> registered;  // Incarnation; the start was meant for 1.
    Duration silence;
    bool released;
  };
  // Leases are granted for 2.5 s after the last report, and last 5 s, 2 % and 0.2 s longer: 7.8 s.
  // An incarnation that is not registered may have carried the start and the renewals out: then its
  // leases may be of the longest kind, 6 s, and last until 8.8 s.
  // A late start and the longest lease after it take 12 s, 6 s, 2 % and 0.2 s longer: 18.3 s.
  const auto c = GENERATE(values<Case>({
      {"accepted, 7.6 s", OrderRefusal::kNone, 1, Duration(7'600), false},
      {"accepted, 8.0 s", OrderRefusal::kNone, 1, Duration(8'000), true},
      {"accepted, has restarted, 8.0 s", OrderRefusal::kNone, 2, Duration(8'000), true},
      {"no response yet, 7.6 s", std::nullopt, 1, Duration(7'600), false},
      {"no response yet, 8.0 s", std::nullopt, 1, Duration(8'000), true},
      {"no response yet, has restarted, 18.2 s", std::nullopt, 2, Duration(18'200), false},
      {"no response yet, has restarted, 18.6 s", std::nullopt, 2, Duration(18'600), true},
      {"accepted, registered no more, 8.0 s", OrderRefusal::kNone, std::nullopt, Duration(8'000),
       true},
      {"no response yet, registered no more, 8.6 s", std::nullopt, std::nullopt, Duration(8'600),
       false},
      {"no response yet, registered no more, 9.0 s", std::nullopt, std::nullopt, Duration(9'000),
       true},
  }));
  const auto renewals = GENERATE(from_range(kFailedRenewals));
  CAPTURE(c.name, renewals.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  if (c.response) harness.Respond(start, c.response);
  harness.AddWorker(kOtherWorker);
  if (!c.registered) harness.shard.WorkerUnlisted(kWorker, harness.now);
  const auto starts = PassTime(harness, renewals, c.silence, c.registered);
  // A worker that is registered no more has ended if another one answers at its address.
  const bool replaced = !c.registered && renewals.refusal == OrderRefusal::kOtherIncarnation;
  const bool released = c.released || replaced;
  REQUIRE(starts.size() == (released ? 1U : 0U));
  if (!released) return;
  CHECK(starts[0]->worker == kOtherWorker);
  CHECK(starts[0]->run == start->run + 1);
  const std::string cause = c.registered ? "cause=silent" : "cause=lease-over";
  const std::vector<Decision> decisions = harness.shard.TakeDecisions();
  CHECK(std::any_of(decisions.begin(), decisions.end(), [&](const Decision& decision) {
    return decision->kind == "task-lost" && decision->detail.find(cause) != std::string::npos;
  }));
}

// Guards against tasks that an earlier owner placed and that stay placed for ever, because their
// worker is listed but has never reported to this owner.
TEST_CASE("inherited tasks of a listed worker are released if it never reports",
          "[scheduling][shard]") {
  struct Case {
    std::int64_t registered;  // Incarnation; the run was placed in 1.
    Duration silence;
    bool released;
  };
  // The leases of the earlier owner last 5.3 s; see above for its late starts.
  const auto c = GENERATE(values<Case>({{1, Duration(5'200), false},
                                        {1, Duration(5'600), true},
                                        {2, Duration(18'200), false},
                                        {2, Duration(18'600), true}}));
  const auto renewals = GENERATE(from_range(kFailedRenewals));
  CAPTURE(renewals.name, c.registered, c.silence.count());
  ShardHarness harness;
  harness.Submit(kTask);
  harness.shard.Restore(JobProgress({.id = kJob,
                                     .phase = JobPhase::kOpen,
                                     .tasks = {TaskProgress({.phase = TaskPhase::kPlaced,
                                                             .run = 1,
                                                             .worker = kWorker.value,
                                                             .worker_start_time_ms = 1})}}),
                        harness.now);
  harness.AddWorker(kOtherWorker);
  const auto starts = PassTime(harness, renewals, c.silence, c.registered);
  REQUIRE(starts.size() == (c.released ? 1U : 0U));
  if (c.released) CHECK(starts[0]->run == 2);
}

// Guards against tasks that are placed on a worker that does not report any more, and wait there
// until they are released.
TEST_CASE("a listed worker that has stopped reporting gets no task", "[scheduling][shard]") {
  struct Case {
    Duration age;  // Of the last report.
    bool placed;
  };
  const auto c = GENERATE(
      values<Case>({{Duration(2'400), true}, {Duration(2'600), false}, {Duration(60'000), false}}));
  CAPTURE(c.age.count());
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.now += c.age;
  harness.Submit(kTask);
  CHECK(harness.PlanAndRecord().size() == (c.placed ? 1U : 0U));
  // It gets tasks again once it reports.
  harness.Report(kWorker, {}, {});
  CHECK(harness.PlanAndRecord().size() == (c.placed ? 0U : 1U));
}

// Guards against a start without a response that is neither repeated nor given up, because the
// worker has stopped reporting and no lease can be offered.
TEST_CASE("a start that cannot be repeated is given up", "[scheduling][shard]") {
  struct Case {
    Duration age;  // Of the last report when the call ends.
    bool repeated;
  };
  const auto c = GENERATE(values<Case>({{Duration(1'000), true}, {Duration(2'600), false}}));
  CAPTURE(c.age.count());
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.now += c.age;
  harness.Respond(start, std::nullopt);
  const Orders orders = harness.shard.TakeOrders(harness.now);
  CHECK(orders.starts.size() == (c.repeated ? 1U : 0U));
  CHECK(orders.stops.empty());
  if (c.repeated) return;
  // The worker reports again, and refuses the start from then on.
  harness.AddWorker(kOtherWorker);
  harness.Report(kWorker, {}, {});
  const auto restarts = harness.PlanAndRecord();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0]->run == start->run + 1);
}

// Guards against starts that reach a worker seconds after its notice: they were planned before it,
// and were recorded or repeated after it.
TEST_CASE("no start is sent to a worker that has given notice since it was planned",
          "[scheduling][shard]") {
  const bool draining = GENERATE(false, true);
  const bool repeated = GENERATE(false, true);
  CAPTURE(draining, repeated);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const auto give_notice = [&] {
    harness.now += Duration(10);
    harness.shard.WorkerListed(
        WorkerEntry({.id = kWorker,
                     .service = "s",
                     .address = {"127.0.0.1", 1},
                     .start_time_ms = 1,
                     .draining = draining,
                     .remaining_ms = 5'000,
                     .capacity = {.millicores = 16'000, .memory_mb = 64'000}}),
        harness.now);
  };
  const std::size_t sent = draining ? 0 : 1;
  if (repeated) {
    const StartOrder start = harness.PlanAndRecord().at(0);
    give_notice();
    harness.Respond(start, std::nullopt);
    const Orders orders = harness.shard.TakeOrders(harness.now);
    CHECK(orders.starts.size() == sent);
    // The first copy may still take effect, until the worker refuses it.
    harness.AddWorker(kOtherWorker);
    CHECK(harness.PlanAndRecord().empty());
    harness.Report(kWorker, {}, {});
    CHECK(harness.PlanAndRecord().size() == 1 - sent);
    return;
  }
  harness.shard.Plan(harness.now, 0);
  const RecordBatch batch = harness.shard.TakeBatch();
  REQUIRE(batch.intents.size() == 1);
  give_notice();
  harness.shard.Recorded(batch, harness.now);
  CHECK(harness.shard.TakeOrders(harness.now).starts.size() == sent);
  if (!draining) return;
  harness.AddWorker(kOtherWorker);
  const auto starts = harness.PlanAndRecord();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0]->worker == kOtherWorker);
}

// Guards against a run that was only sent and is never given up, and against a second run while the
// worker may still carry out a start of the first.
TEST_CASE("a run that was only sent is given up once its worker refuses the start",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    bool call_ends;     // The time limits of the calls end; otherwise the start waits for ever.
    bool asked_before;  // The report was requested before that.
    bool restarted;     // The worker reports its next incarnation.
    bool given_up;
  };
  const auto c = GENERATE(values<Case>({
      {"asked after the last copy", true, false, false, true},
      {"asked before the last copy", true, true, false, false},
      {"asked while the start waits", false, false, false, true},
      {"asked before the start waited for long", false, true, false, false},
      {"restarted, asked after the last copy", true, false, true, true},
      {"restarted, asked before the last copy", true, true, true, false},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  const auto end_calls = [&] {
    if (c.call_ends) {
      harness.LeaveUnanswered(start);
    } else {
      harness.now += PolicyFields().slow_response;
      harness.shard.Plan(harness.now, 0);
    }
  };
  if (!c.asked_before) end_calls();
  harness.shard.NextRenewal(kWorker, harness.now);
  const Time sent = harness.now;
  if (c.asked_before) end_calls();
  harness.now += Duration(10);
  harness.shard.Reported(
      kWorker,
      OrderResponse({.report = RunReport({.clock = 1, .start_time_ms = c.restarted ? 2 : 1})}),
      sent, harness.now);
  harness.AddWorker(kOtherWorker);
  const auto restarts = harness.PlanAndRecord();
  REQUIRE(restarts.size() == (c.given_up ? 1U : 0U));
  if (c.given_up) CHECK(restarts[0]->run == start->run + 1);
}

// Guards against two runs at the same time: a lease by the clock of one incarnation was granted to
// the next one, which let it last for the longest time from the arrival of the call.
TEST_CASE("a worker whose registration shows a restart gets no lease and no start",
          "[scheduling][shard]") {
  constexpr std::int64_t kNext = 2;
  ShardHarness harness;
  harness.AddWorker(kWorker);
  const auto renewal = [&] { return harness.shard.NextRenewal(kWorker, harness.now); };
  const auto list = [&](std::int64_t incarnation) {
    harness.shard.WorkerListed(
        WorkerEntry({.id = kWorker,
                     .service = "s",
                     .address = {"127.0.0.1", 1},
                     .start_time_ms = incarnation,
                     .capacity = {.millicores = 16'000, .memory_mb = 64'000}}),
        harness.now);
  };
  CHECK(renewal()->lease_until > 0);
  list(kNext);
  CHECK(renewal()->lease_until == 0);
  harness.Submit(kTask);
  CHECK(harness.PlanAndRecord().empty());
  // Calls that were meant for the former incarnation may still arrive.
  const FencingToken before = renewal()->token;
  harness.Report(kWorker, {}, {}, kNext);
  CHECK(harness.PlanAndRecord().empty());
  CHECK(renewal()->token > before);
  harness.Report(kWorker, {}, {}, kNext);
  CHECK(harness.PlanAndRecord().size() == 1);
  CHECK(renewal()->lease_until > 0);
}

// Guards against two runs at the same time: the start of a run was carried out by a new incarnation
// that the owner had not heard of, and whose leases last longer than it knew.
TEST_CASE("a start is not confirmed by the clock of another incarnation", "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::int64_t clock_ahead;  // Of the reading in the response, against the expected one.
    bool confirmed;
  };
  const auto c = GENERATE(values<Case>({{"same incarnation", 0, true},
                                        {"slow clock", -150, true},
                                        {"another incarnation", -900'000, false}}));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.now += Duration(5);
  const ClockReading reading = harness.now.time_since_epoch().count() + c.clock_ahead;
  harness.shard.StartAnswered(start, OrderResponse({.clock = reading}), harness.now);
  harness.now += Duration(5);
  harness.Report(kWorker, {}, {});
  // A run that a worker has confirmed is missing only after three reports.
  CHECK(harness.PlanAndRecord().size() == (c.confirmed ? 0U : 1U));
}

// Guards against starts that are put off, and gangs that wait for a member, since another call to
// the worker got no response; and against starts of a task that is to stop.
TEST_CASE("a start that another call has superseded is sent again", "[scheduling][shard]") {
  struct Case {
    std::string name;
    OrderRefusal refusal;
    void (*before)(ShardHarness&, FencingToken);  // Before the response to the start.
    bool again;
  };
  const auto lose_stop = [](ShardHarness& harness, FencingToken token) {
    harness.shard.StopAnswered(StopOrder({.worker = kWorker, .task = {.job = 1}, .token = token}),
                               std::nullopt, harness.now);
  };
  const auto lose_stop_and_cancel = [](ShardHarness& harness, FencingToken token) {
    harness.shard.StopAnswered(StopOrder({.worker = kWorker, .task = {.job = 1}, .token = token}),
                               std::nullopt, harness.now);
    harness.shard.Cancel(kJob, harness.now);
  };
  const auto c = GENERATE_COPY(values<Case>({
      {"withdrawn, same series", OrderRefusal::kWithdrawn, [](ShardHarness&, FencingToken) {},
       false},
      {"withdrawn, superseded", OrderRefusal::kWithdrawn, lose_stop, true},
      {"fenced, superseded", OrderRefusal::kFenced, lose_stop, true},
      {"no room, superseded", OrderRefusal::kNoRoom, lose_stop, false},
      {"fenced, superseded, to be stopped", OrderRefusal::kFenced, lose_stop_and_cancel, false},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  c.before(harness, start->token);
  harness.Respond(start, c.refusal);
  const std::vector<StartOrder> starts = harness.shard.TakeOrders(harness.now).starts;
  REQUIRE(starts.size() == (c.again ? 1U : 0U));
  if (!c.again) return;
  CHECK(starts[0]->run == start->run);
  CHECK(starts[0]->token > start->token);
}

// Guards against an owner that takes refusals of its own late calls for those of another owner.
TEST_CASE("an owner is fenced only by refusals of its latest calls", "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  const FencingToken first = harness.shard.NextRenewal(kWorker, harness.now)->token;
  CHECK(harness.shard.IsFenced(kWorker, first));
  harness.shard.RenewalFailed(kWorker, true, harness.now);
  const FencingToken second = harness.shard.NextRenewal(kWorker, harness.now)->token;
  CHECK(second > first);
  CHECK_FALSE(harness.shard.IsFenced(kWorker, first));
  CHECK(harness.shard.IsFenced(kWorker, second));
  CHECK_FALSE(harness.shard.IsFenced(kOtherWorker, second));
}

// Guards against a worker that gets no task for ever because one start on it is never answered.
TEST_CASE("one start without an answer does not exclude its worker for ever",
          "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask, 1);
  REQUIRE(harness.PlanAndRecord().size() == 1);
  const Time sent = harness.now;
  harness.now += PolicyFields().slow_response;
  harness.Report(kWorker, {}, {});
  CHECK(harness.PlanAndRecord().empty());
  harness.Submit(kTask, 2);
  std::set<JobId> started;
  while (harness.now < sent + Duration(10'000)) {
    harness.now += Duration(50);
    harness.Report(kWorker, {}, {});
    for (const StartOrder& start : harness.PlanAndRecord()) {
      started.insert(start->task.job);
      harness.Respond(start, OrderRefusal::kNone);
    }
  }
  CHECK(started == std::set<JobId>{1, 2});
}

// Guards against a placed task that nothing starts or releases, because its run number changed when
// the end of a run with a higher number was reported.
TEST_CASE("the end of another run does not lose a placed task", "[scheduling][shard]") {
  enum class When { kUnrecorded, kSent, kConfirmed };
  const auto when = GENERATE(When::kUnrecorded, When::kSent, When::kConfirmed);
  constexpr int kOtherRun = 6;
  CAPTURE(static_cast<int>(when));
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask);
  harness.now += Duration(10);
  harness.shard.Plan(harness.now, 0);
  const RecordBatch batch = harness.shard.TakeBatch();
  const ReportedEnd other({.number = 1,
                           .task = {.job = kJob, .occurrence = 0, .step = 0, .index = 0},
                           .run = kOtherRun,
                           .kind = EndKind::kLapsed});
  if (when == When::kUnrecorded) harness.Report(kOtherWorker, {}, {other});
  harness.shard.Recorded(batch, harness.now);
  const auto starts = harness.shard.TakeOrders(harness.now).starts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0]->worker == kWorker);
  if (when == When::kSent) harness.Report(kOtherWorker, {}, {other});
  harness.Respond(starts[0], OrderRefusal::kNone);
  if (when == When::kConfirmed) harness.Report(kOtherWorker, {}, {other});
  harness.Report(kWorker, {ShardHarness::Running(starts[0])}, {});
  CHECK(harness.PlanAndRecord().empty());
  CHECK(harness.orders.stops.empty());
  // The run still counts, and the next one has a number that no worker has seen.
  harness.Report(kWorker, {}, {ShardHarness::End(starts[0], EndKind::kLapsed)});
  const auto next = harness.PlanAndRecord();
  REQUIRE(next.size() == 1);
  CHECK(next[0]->run == kOtherRun + 1);
}

// Guards against a wait for the calls of a start whose worker has restarted meanwhile, and against
// a second run while a late copy of the start may still reach the new incarnation.
TEST_CASE("a run that was only sent is given up once the restarted worker refuses its start",
          "[scheduling][shard]") {
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  REQUIRE(start->worker == kWorker);
  // The renewal was of the same series as the start, which may still be carried out.
  harness.Report(kWorker, {}, {}, 2);
  CHECK(harness.PlanAndRecord().empty());
  harness.shard.WorkerListed(WorkerEntry({.id = kWorker,
                                          .service = "s",
                                          .address = {"127.0.0.1", 1},
                                          .start_time_ms = 2,
                                          .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
                             harness.now);
  harness.Report(kWorker, {}, {}, 2);
  const auto restarts = harness.PlanAndRecord();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0]->run == start->run + 1);
}

// Guards against two runs at the same time: a report that a new incarnation sent before it began a
// run says nothing of that run, though it arrives after the response to the start.
TEST_CASE("a run that a new incarnation accepted is not lost by an earlier report",
          "[scheduling][shard]") {
  const bool sent_before = GENERATE(true, false);
  CAPTURE(sent_before);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  const Time sent = harness.now;
  harness.now += Duration(5);
  harness.Respond(start, OrderRefusal::kNone);
  harness.now += Duration(5);
  harness.shard.Reported(
      start->worker,
      OrderResponse({.report = RunReport({.clock = 1, .start_time_ms = 2, .running = {}})}),
      sent_before ? sent : harness.now, harness.now);
  CHECK(harness.PlanAndRecord().size() == (sent_before ? 0U : 1U));
}

// Guards against tasks that run twice: the end of their run was in the part of a long list of ends
// that a report left out.
TEST_CASE("a run is not lost by a report that does not list all ends", "[scheduling][shard]") {
  constexpr int kReports = 3;
  constexpr std::int64_t kNumber = 501;
  struct Case {
    std::string name;
    bool inherited;
    // After the start was sent or restored. `more_ends`: what each report tells.
    void (*events)(ShardHarness&, const StartOrder&, bool more_ends);
  };
  const auto c = GENERATE(values<Case>({
      {"placed by an earlier owner", true,
       [](ShardHarness& harness, const StartOrder&, bool more_ends) {
         harness.Report(kWorker, {}, {}, 1, more_ends);
       }},
      {"confirmed", false,
       [](ShardHarness& harness, const StartOrder& start, bool more_ends) {
         harness.Respond(start, OrderRefusal::kNone);
         for (int i = 0; i < kReports; ++i) harness.Report(kWorker, {}, {}, 1, more_ends);
       }},
      {"confirmed, and its worker has restarted", false,
       [](ShardHarness& harness, const StartOrder& start, bool more_ends) {
         harness.Respond(start, OrderRefusal::kNone);
         harness.now += Duration(1);
         harness.Report(kWorker, {}, {}, 2, more_ends);
       }},
      {"sent, and refused from now on", false,
       [](ShardHarness& harness, const StartOrder& start, bool more_ends) {
         harness.LeaveUnanswered(start);
         harness.now += Duration(1);
         harness.Report(kWorker, {}, {}, 1, more_ends);
       }},
      {"sent longer ago than a late order takes", false,
       [](ShardHarness& harness, const StartOrder&, bool more_ends) {
         harness.now += kLateCallLimit;
         harness.Report(kWorker, {}, {}, 1, more_ends);
       }},
  }));
  const bool more_ends = GENERATE(false, true);
  CAPTURE(c.name, more_ends);
  ShardHarness harness;
  StartOrder start({.worker = kWorker, .task = {.job = kJob}, .run = 1});
  if (c.inherited) {
    harness.Submit(kTask);
    harness.shard.Restore(JobProgress({.id = kJob,
                                       .tasks = {TaskProgress({.phase = TaskPhase::kPlaced,
                                                               .run = start->run,
                                                               .worker = kWorker.value})}}),
                          harness.now);
    harness.shard.WorkerListed(
        WorkerEntry({.id = kWorker, .service = "s", .address = {"127.0.0.1", 1}}), harness.now);
  } else {
    harness.AddWorker(kWorker);
    harness.Submit(kTask);
    start = harness.PlanAndRecord().at(0);
  }
  c.events(harness, start, more_ends);
  harness.AddWorker(kOtherWorker);
  CHECK(harness.PlanAndRecord().size() == (more_ends ? 0U : 1U));
  if (!more_ends) return;
  harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kDone, kNumber)});
  CHECK(harness.PlanAndRecord().empty());
  CHECK(harness.shard.StateOf(kJob) == JobState::kCompleted);
}

// Guards against jobs that are given up for crashes that did not happen: a start may reach a worker
// only after its restart, and then the first report of the new incarnation shows the run or its
// end.
TEST_CASE("a run that began in the new incarnation counts no crash", "[scheduling][shard]") {
  enum class Shown { kNothing, kRunning, kEnd, kOtherRun };
  struct Case {
    std::string name;
    Shown shown;
    bool answered;  // The response to the start arrives before the report.
    bool crash;
  };
  const auto c = GENERATE(values<Case>({
      {"running", Shown::kRunning, false, false},
      {"running, start answered", Shown::kRunning, true, false},
      {"ended", Shown::kEnd, false, false},
      {"ended, start answered", Shown::kEnd, true, false},
      {"not shown", Shown::kNothing, false, true},
      {"another run is shown", Shown::kOtherRun, true, true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  if (c.answered) harness.Respond(start, OrderRefusal::kNone);
  const std::map<Shown, std::vector<ReportedRun>> running = {
      {Shown::kRunning, {ShardHarness::Running(start)}},
      {Shown::kOtherRun, {ReportedRun({.task = start->task, .run = start->run + 1})}}};
  const std::map<Shown, std::vector<ReportedEnd>> ended = {
      {Shown::kEnd, {ShardHarness::End(start, EndKind::kDone)}}};
  const auto rows = [&](const auto& table) {
    const auto found = table.find(c.shown);
    return found == table.end() ? decltype(found->second)() : found->second;
  };
  harness.Report(kWorker, rows(running), rows(ended), 2);
  const std::vector<Decision> decisions = harness.shard.TakeDecisions();
  CHECK(c.crash == std::any_of(decisions.begin(), decisions.end(), [](const Decision& decision) {
          return decision->kind == "worker-crashed";
        }));
  harness.PlanAndRecord();
  CHECK((harness.shard.StateOf(kJob) == JobState::kCompleted) == (c.shown == Shown::kEnd));
}

// Guards against a done task that runs again: a restarted worker took the acknowledgement of its
// earlier incarnation's ends for that of its own and forgot an end that no report had shown.
TEST_CASE("ends are not acknowledged to a worker that may have restarted", "[scheduling][shard]") {
  struct Case {
    Duration age;  // Of the last report.
    std::int64_t ends_seen;
  };
  const auto c = GENERATE(values<Case>({{Duration(100), 1}, {Duration(1'000), 0}}));
  CAPTURE(c.age.count());
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder start = harness.PlanAndRecord().at(0);
  harness.Respond(start, OrderRefusal::kNone);
  harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kDone)});
  harness.PlanAndRecord();
  harness.now += c.age;
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == c.ends_seen);
  // The worker lists the end until it is acknowledged.
  harness.Report(kWorker, {}, {ShardHarness::End(start, EndKind::kDone)});
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == 1);
  // An acknowledgement may reach a later incarnation, so that it is not repeated.
  harness.Report(kWorker, {}, {});
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == 0);
}

// Guards against a done task that runs again: a start and an acknowledgement waited together for
// the next incarnation of their worker, which ended the run and forgot the end before any report.
// And against ends that stay unacknowledged where starts are sent all the time.
TEST_CASE("ends wait for the response to a start before they are acknowledged",
          "[scheduling][shard]") {
  struct Case {
    std::string name;
    std::function<void(ShardHarness& harness, const StartOrder& second, const ReportedEnd& end)>
        happens;  // Once the second start has been sent.
    std::int64_t ends_seen;
  };
  const auto report = [](ShardHarness& harness, const ReportedEnd& end, Duration pause) {
    harness.Report(kWorker, {}, {end});
    harness.now += pause;
  };
  const auto c = GENERATE_REF(values<Case>({
      {"no response yet", [](auto&, const auto&, const auto&) {}, 0},
      {"no response",
       [](auto& harness, const auto& second, const auto&) {
         harness.Respond(second, std::nullopt);
       },
       0},
      {"carried out",
       [](auto& harness, const auto& second, const auto&) {
         harness.Respond(second, OrderRefusal::kNone);
       },
       1},
      {"refused",
       [](auto& harness, const auto& second, const auto&) {
         harness.Respond(second, OrderRefusal::kNoRoom);
       },
       1},
      {"shown by a report",
       [](auto& harness, const auto& second, const auto& end) {
         harness.Report(kWorker, {ShardHarness::Running(second)}, {end});
       },
       1},
      {"no response for less than the limit",
       [&](auto& harness, const auto&, const auto& end) { report(harness, end, Duration(97)); }, 0},
      {"no response for the limit",
       [&](auto& harness, const auto&, const auto& end) { report(harness, end, Duration(98)); }, 1},
      {"no response, after an earlier wait",
       [&](auto& harness, const auto&, const auto& end) {
         report(harness, end, Duration(10));
         harness.Report(kWorker, {}, {});
         harness.now += Duration(200);
         report(harness, end, Duration(10));
       },
       0},
      {"no response for the limit, twice",
       [&](auto& harness, const auto&, const auto& end) {
         report(harness, end, Duration(98));
         report(harness, end, Duration(10));
       },
       0},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.Submit(kTask);
  const StartOrder first = harness.PlanAndRecord().at(0);
  harness.Respond(first, OrderRefusal::kNone);
  const ReportedEnd end = ShardHarness::End(first, EndKind::kDone);
  harness.Report(kWorker, {}, {end});
  harness.Submit(kTask, kJob + 1);
  const StartOrder second = harness.PlanAndRecord().at(0);
  c.happens(harness, second, end);
  CHECK(harness.shard.NextRenewal(kWorker, harness.now)->ends_seen == c.ends_seen);
}

constexpr TaskKey kFirstTask{.job = kJob, .occurrence = 0, .step = 0, .index = 0};

// Guards against a second run of a done task: the end of a run that the owner's records lacked was
// ignored and acknowledged.
TEST_CASE("a task is done once any run of it has ended as done", "[scheduling][shard][unknown]") {
  // How far the owner's own run has got when the end of another one is reported.
  enum class OwnRun { kNone, kPlanned, kSent, kConfirmed };
  struct Case {
    std::string name;
    OwnRun own;
    int ended_run;
    bool done;
    bool own_stopped;
    EndKind kind = EndKind::kDone;
    bool gang = false;
    bool long_running = false;
  };
  const auto c = GENERATE(values<Case>({
      {"waiting", OwnRun::kNone, 1, true, false},
      {"planned, same number", OwnRun::kPlanned, 1, true, false},
      {"planned, higher number", OwnRun::kPlanned, 2, true, false},
      {"sent, same number", OwnRun::kSent, 1, true, true},
      {"sent, higher number", OwnRun::kSent, 2, true, true},
      {"confirmed, same number", OwnRun::kConfirmed, 1, true, true},
      {"confirmed, higher number", OwnRun::kConfirmed, 2, true, true},
      {"other run stopped", OwnRun::kConfirmed, 1, false, false, EndKind::kStopped},
      {"other run failed", OwnRun::kConfirmed, 1, false, false, EndKind::kFailed},
      {"gang", OwnRun::kConfirmed, 2, false, false, EndKind::kDone, true},
      {"latency-critical", OwnRun::kConfirmed, 2, false, false, EndKind::kDone, false, true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  StepFields step = kTask;
  step.gang = c.gang;
  step.long_running = c.long_running;
  harness.Submit(step);
  const ReportedEnd end({.number = 1, .task = kFirstTask, .run = c.ended_run, .kind = c.kind});
  if (c.own == OwnRun::kNone) harness.Report(kOtherWorker, {}, {end});
  harness.now += Duration(10);
  harness.shard.Plan(harness.now, 0);
  const RecordBatch batch = harness.shard.TakeBatch();
  if (c.own == OwnRun::kPlanned) harness.Report(kOtherWorker, {}, {end});
  harness.shard.Recorded(batch, harness.now);
  const auto starts = harness.shard.TakeOrders(harness.now).starts;
  const bool sent = c.own == OwnRun::kSent || c.own == OwnRun::kConfirmed;
  REQUIRE(starts.size() == (sent ? 1U : 0U));
  if (sent) {
    CHECK(starts[0]->worker == kWorker);
    if (c.own == OwnRun::kConfirmed) harness.Respond(starts[0], OrderRefusal::kNone);
    harness.Report(kOtherWorker, {}, {end});
  }
  CHECK(harness.PlanAndRecord().empty());
  CHECK((harness.shard.StateOf(kJob) == JobState::kCompleted) == c.done);
  REQUIRE(harness.orders.stops.size() == (c.own_stopped ? 1U : 0U));
  if (!c.own_stopped) return;
  CHECK(harness.orders.stops[0]->worker == kWorker);
  CHECK(harness.orders.stops[0]->run == starts[0]->run);
}

// Guards against two runs at the same time: a run that the records lacked was ordered to stop while
// its task was started elsewhere.
TEST_CASE("a run that the records lack is adopted by its waiting task",
          "[scheduling][shard][unknown]") {
  struct Case {
    std::string name;
    int recorded_run;  // 0: the job has no record.
    int shown_run;
    bool adopted;
    bool gang = false;
    bool cancelled = false;
    int step = 0;  // Of the shown run; step 1 follows step 0.
  };
  const auto c = GENERATE(values<Case>({
      {"no record", 0, 1, true},
      {"an earlier run is recorded", 1, 2, true},
      {"the run is recorded as over", 2, 2, true},
      {"a later run is recorded", 3, 2, false},
      {"gang", 0, 1, false, true},
      {"cancelled job", 0, 1, false, false, true},
      {"an earlier step is not done", 0, 1, false, false, false, 1},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  StepFields first = kTask;
  first.gang = c.gang;
  StepFields second = kTask;
  second.after = {0};
  harness.shard.Accept(
      AcceptedJob(
          {.id = kJob,
           .queue = Queue({.name = "q", .service = "s", .max_attempts = 2}),
           .accepted_ms = 0,
           .spec = JobSpec({.payload = "p", .steps = {StepSpec(first), StepSpec(second)}})}),
      harness.now);
  if (c.recorded_run > 0) {
    harness.shard.Restore(
        JobProgress({.id = kJob,
                     .phase = JobPhase::kOpen,
                     .tasks = {TaskProgress({.phase = TaskPhase::kWaiting, .run = c.recorded_run}),
                               TaskProgress()}}),
        harness.now);
  }
  if (c.cancelled) harness.shard.Cancel(kJob, harness.now);
  harness.AddWorker(kWorker);
  harness.AddWorker(kOtherWorker);
  const TaskKey key{.job = kJob, .occurrence = 0, .step = c.step, .index = 0};
  const ReportedRun shown({.task = key, .run = c.shown_run, .progress_percent = 10});
  harness.Report(kOtherWorker, {shown}, {});
  harness.now += Duration(10);
  harness.shard.Plan(harness.now, 0);
  const RecordBatch batch = harness.shard.TakeBatch();
  harness.shard.Recorded(batch, harness.now);
  const Orders orders = harness.shard.TakeOrders(harness.now);
  CHECK(orders.stops.size() == (c.adopted ? 0U : 1U));
  if (!c.adopted) return;
  CHECK(orders.starts.empty());
  REQUIRE(batch.records.size() == 1);
  const TaskProgress& recorded = batch.records[0]->tasks[0];
  CHECK(recorded->phase == TaskPhase::kPlaced);
  CHECK(recorded->run == c.shown_run);
  CHECK(recorded->worker == kOtherWorker.value);
  // Its end counts, and the next run has a number that no worker has seen.
  const ReportedEnd end({.number = 1, .task = key, .run = c.shown_run, .kind = EndKind::kLapsed});
  harness.Report(kOtherWorker, {}, {end});
  const auto next = harness.PlanAndRecord();
  REQUIRE(next.size() == 1);
  CHECK(next[0]->run == c.shown_run + 1);
}

// Guards against two runs at the same time: a new owner started tasks on the workers that had
// reported while another one was still running them.
TEST_CASE("a new owner starts no task before the workers can have shown its runs",
          "[scheduling][shard][unknown]") {
  struct Case {
    std::string name;
    Duration after;        // Time since the first plan.
    bool second_reported;  // Whether the second worker has reported.
    std::string service;   // Of the second worker.
    bool received_later;   // The job arrives after the first plan.
    bool starts;
  };
  const auto c = GENERATE(values<Case>({
      {"all workers have reported", Duration(10), true, "s", false, true},
      {"one worker has not reported", Duration(10), false, "s", false, false},
      {"one worker is late", Duration(490), false, "s", false, false},
      {"one worker is silent", Duration(500), false, "s", false, true},
      {"a worker of another service has not reported", Duration(10), false, "t", false, true},
      {"the job is new", Duration(10), false, "s", true, true},
  }));
  CAPTURE(c.name);
  ShardHarness harness;
  if (!c.received_later) harness.Submit(kTask);
  harness.shard.WorkerListed(WorkerEntry({.id = kOtherWorker,
                                          .service = c.service,
                                          .address = {"127.0.0.1", 1},
                                          .start_time_ms = 1,
                                          .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
                             harness.now);
  harness.shard.Plan(harness.now, 0);
  const Time first_plan = harness.now;
  harness.AddWorker(kWorker);
  if (c.received_later) harness.Submit(kTask);
  if (c.second_reported) harness.Report(kOtherWorker, {}, {});
  harness.now = first_plan + c.after - Duration(10);  // PlanAndRecord() adds 10 ms.
  CHECK(harness.PlanAndRecord().size() == (c.starts ? 1U : 0U));
}

}  // namespace
}  // namespace dn
