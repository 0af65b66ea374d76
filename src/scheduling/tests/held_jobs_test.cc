// Tests a take-over that finds progress of jobs whose submission it has not read.
#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
constexpr FencingToken kToken = 7;
constexpr std::int64_t kIncarnation = 5;  // ms since 1970.
const WorkerId kWorker{"w1"};
const TaskKey kTask{.job = kJob, .occurrence = 0, .step = 0, .index = 0};

// An owner with one worker. The test advances the time.
struct Owner {
  Owner() : shard(Policy(), kToken) {
    shard.WorkerListed(WorkerEntry({.id = kWorker,
                                    .service = "s",
                                    .address = {"127.0.0.1", 1},
                                    .start_time_ms = kIncarnation,
                                    .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
                       now);
  }

  void Submit() {
    StepFields step{.count = 1, .demand = {.millicores = 1'000, .memory_mb = 1}};
    shard.Accept(AcceptedJob({.id = kJob,
                              .queue = Queue({.name = "q", .service = "s"}),
                              .spec = JobSpec({.steps = {StepSpec(step)}})}),
                 now);
  }
  void Report(RunReportFields report) {
    now += Duration(30);
    report.start_time_ms = kIncarnation;
    report.clock = now.time_since_epoch().count();
    shard.Reported(kWorker, OrderResponse({.report = RunReport(std::move(report))}), now, now);
  }
  // Plans and records all changes.
  void PlanAndRecord() {
    now += Duration(30);
    shard.Plan(now, 0);
    batch = shard.TakeBatch();
    shard.Recorded(batch, now);
    orders = shard.TakeOrders(now);
  }
  std::int64_t EndsAcknowledged() { return shard.NextRenewal(kWorker, now)->ends_seen; }

  Time now{Duration(1'000'000)};
  Shard shard;
  RecordBatch batch;
  Orders orders;
};

ReportedRun Running(int run) { return ReportedRun({.task = kTask, .run = run}); }
ReportedEnd Done(int run) { return ReportedEnd({.number = 1, .task = kTask, .run = run}); }

const TaskProgressFields kPlaced{.phase = TaskPhase::kPlaced,
                                 .run = 2,
                                 .worker = kWorker.value,
                                 .worker_start_time_ms = kIncarnation};

// Guards against a task that runs a second time because its job arrived after its progress.
TEST_CASE("a job that arrives after its progress goes on from there", "[scheduling][held]") {
  struct Case {
    std::string name;
    JobPhase phase;
    TaskProgressFields task;
    void (*meanwhile)(Owner&);   // Before the job arrives.
    std::optional<int> started;  // Number of the run that is started afterwards.
    JobState state;
  };
  const auto c = GENERATE(values<Case>({
      {"done",
       JobPhase::kCompleted,
       {.phase = TaskPhase::kDone, .run = 1},
       [](Owner&) {},
       std::nullopt,
       JobState::kCompleted},
      {"cancelled",
       JobPhase::kCancelled,
       {.phase = TaskPhase::kWaiting, .run = 1},
       [](Owner&) {},
       std::nullopt,
       JobState::kCancelled},
      {"waiting",
       JobPhase::kOpen,
       {.phase = TaskPhase::kWaiting, .run = 4},
       [](Owner&) {},
       5,
       JobState::kPending},
      {"running", JobPhase::kOpen, kPlaced,
       [](Owner& owner) { owner.Report({.running = {Running(2)}}); }, std::nullopt,
       JobState::kRunning},
      {"ended before the job arrives", JobPhase::kOpen, kPlaced,
       [](Owner& owner) { owner.Report({.ended = {Done(2)}}); }, std::nullopt,
       JobState::kCompleted},
  }));
  CAPTURE(c.name);
  Owner owner;
  owner.Report({});
  owner.shard.Restore(JobProgress({.id = kJob, .phase = c.phase, .tasks = {TaskProgress(c.task)}}),
                      owner.now);
  c.meanwhile(owner);
  owner.PlanAndRecord();
  CHECK(owner.orders.stops.empty());
  owner.Submit();
  if (c.state == JobState::kRunning) owner.Report({.running = {Running(2)}});
  owner.PlanAndRecord();
  CHECK(owner.shard.StateOf(kJob) == c.state);
  std::vector<int> started;
  for (const StartOrder& start : owner.orders.starts) started.push_back(start->run);
  CHECK(started == (c.started ? std::vector<int>{*c.started} : std::vector<int>()));
}

// Guards against an end that the worker forgets before any owner has recorded it.
TEST_CASE("the end of a run is acknowledged once its job has arrived and the end is recorded",
          "[scheduling][held]") {
  Owner owner;
  owner.Report({});
  owner.shard.Restore(
      JobProgress({.id = kJob, .phase = JobPhase::kOpen, .tasks = {TaskProgress(kPlaced)}}),
      owner.now);
  owner.Report({.ended = {Done(2)}});
  owner.PlanAndRecord();
  CHECK(owner.EndsAcknowledged() == 0);
  owner.Submit();
  CHECK(owner.EndsAcknowledged() == 0);
  owner.PlanAndRecord();
  CHECK(owner.EndsAcknowledged() == 1);
}

// Guards against a worker that keeps the ends of a job for ever although the job was deleted.
TEST_CASE("the ends of a job that was deleted are acknowledged", "[scheduling][held]") {
  Owner owner;
  owner.Report({});
  owner.shard.Restore(
      JobProgress({.id = kJob, .phase = JobPhase::kOpen, .tasks = {TaskProgress(kPlaced)}}),
      owner.now);
  owner.Report({.ended = {Done(2)}});
  owner.shard.Deleted(kJob);
  owner.PlanAndRecord();
  CHECK(owner.EndsAcknowledged() == 1);
  owner.Submit();
  owner.PlanAndRecord();
  CHECK(owner.orders.starts.size() == 1);
}

// Guards against a task that crashes one worker after the other because the count starts anew.
TEST_CASE("the crashes of a job wait for the job", "[scheduling][held]") {
  Owner owner;
  owner.Report({});
  const TaskProgress waiting({.phase = TaskPhase::kWaiting, .run = 2});
  owner.shard.Restore(JobProgress({.id = kJob, .tasks = {waiting}}), owner.now);
  const JobCrashes crashes(
      {.id = kJob, .tasks = {TaskCrashes({.position = 0, .history = RunHistory({.crashes = 2})})}});
  owner.shard.RestoreCrashes(crashes, owner.now);
  owner.Submit();
  const RecordBatch batch = owner.shard.TakeBatch();
  CHECK(batch.crashes == std::vector<JobCrashes>{crashes});
}

// Guards against a task that runs a second time because an instance of an earlier version cannot
// read its progress.
TEST_CASE("a job whose progress cannot be read is held back", "[scheduling][held]") {
  struct Case {
    std::string name;
    bool submitted_before;  // The job was read before its progress.
    bool deleted;           // The job is deleted and submitted anew.
  };
  const auto c = GENERATE(values<Case>(
      {{"known", true, false}, {"arrives later", false, false}, {"deleted", true, true}}));
  CAPTURE(c.name);
  Owner owner;
  owner.Report({});
  if (c.submitted_before) owner.Submit();
  owner.shard.HoldBack(kJob);
  owner.Submit();
  owner.Report({.running = {Running(3)}, .ended = {Done(2)}});
  owner.PlanAndRecord();
  CHECK(owner.shard.IsHeld(kJob));
  CHECK(owner.shard.StateOf(kJob) == JobState::kUnknown);
  CHECK(owner.orders.empty());
  CHECK(owner.batch.records.empty());
  CHECK(owner.EndsAcknowledged() == 0);
  if (!c.deleted) return;
  owner.shard.Deleted(kJob);
  owner.Submit();
  owner.PlanAndRecord();
  CHECK_FALSE(owner.shard.IsHeld(kJob));
  CHECK(owner.orders.starts.size() == 1);
}

// Guards against progress without a job that leaves no trace in the log.
TEST_CASE("the log shows progress that waits for its job", "[scheduling][held]") {
  Owner owner;
  owner.shard.TakeDecisions();
  owner.shard.Restore(JobProgress({.id = kJob, .tasks = {TaskProgress(kPlaced)}}), owner.now);
  owner.Submit();
  std::vector<std::string> kinds;
  for (const Decision& decision : owner.shard.TakeDecisions()) {
    CHECK(decision->subject == FormatJobId(kJob));
    kinds.push_back(decision->kind);
  }
  CHECK(kinds == std::vector<std::string>{"progress-without-job", "progress-applied"});
}

}  // namespace
}  // namespace dn
