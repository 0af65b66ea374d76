// Tests what the log states about decisions on runs: those that were given up, and those that a
// worker reports and that are not the owner's current run of the task.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
constexpr JobId kUnknownJob = 0x11;
constexpr FencingToken kToken = 7;
const WorkerId kWorker{"w1"};

TaskKey TaskOf(JobId job) { return {.job = job, .occurrence = 0, .step = 0, .index = 0}; }

// A shard that has taken over a job with one task. The test advances the time.
struct TakenOver {
  explicit TakenOver(TaskProgressFields task) : shard(Policy(), kToken) {
    shard.Accept(AcceptedJob({.id = kJob,
                              .queue = Queue({.name = "q", .service = "s"}),
                              .spec = JobSpec({.steps = {StepSpec(StepFields{})}})}),
                 now);
    shard.WorkerListed(WorkerEntry({.id = kWorker,
                                    .service = "s",
                                    .address = {"127.0.0.1", 1},
                                    .start_time_ms = 5,
                                    .capacity = {.millicores = 4'000, .memory_mb = 64'000}}),
                       now);
    shard.Restore(JobProgress({.id = kJob, .tasks = {TaskProgress(std::move(task))}}), now);
    shard.TakeDecisions();
  }

  void Report(RunReportFields report) {
    const Time sent = now;
    now += Duration(30);
    report.start_time_ms = 5;
    shard.Reported(kWorker, OrderResponse({.report = RunReport(std::move(report))}), sent, now);
  }
  void PassTime(Duration time) {
    now += time;
    shard.Plan(now, 0);
  }

  Time now{Duration(1'000'000)};
  Shard shard;
};

const TaskProgressFields kPlacedByOther{
    .phase = TaskPhase::kPlaced, .run = 2, .worker = kWorker.value, .worker_start_time_ms = 4};
const TaskProgressFields kDoneTask{.phase = TaskPhase::kDone, .run = 2};

// Guards against tasks that run twice, or whose end is ignored, without a line that tells which
// report and which incarnation of the worker decided.
TEST_CASE("the decision to give up or ignore a run states its evidence", "[scheduling][evidence]") {
  struct Case {
    std::string name;
    TaskProgressFields recorded;
    void (*events)(TakenOver&);
    std::string kind;
    JobId job;
    std::string detail;
  };
  const auto c = GENERATE(values<Case>({
      {"never started", kPlacedByOther, [](TakenOver& owner) { owner.Report({}); }, "task-lost",
       kJob,
       "run=2 worker=w1 cause=never-started incarnation=5 placed_incarnation=4 registered=5 "
       "report_age_ms=30 granted_ms_ago=none granted_in=0 unanswered=0 copy_open_ms=11970 "
       "settled=0 "
       "inherited=1 token=7"},
      {"silent", kPlacedByOther, [](TakenOver& owner) { owner.PassTime(Duration(19'000)); },
       "task-lost", kJob,
       "run=2 worker=w1 cause=silent incarnation=0 placed_incarnation=4 registered=5 "
       "report_age_ms=none granted_ms_ago=none granted_in=0 unanswered=0 copy_open_ms=none "
       "settled=0 "
       "inherited=1 token=7"},
      {"lease over", kPlacedByOther,
       [](TakenOver& owner) {
         owner.Report({.running = {ReportedRun({.task = TaskOf(kJob), .run = 2})}});
         owner.shard.WorkerUnlisted(kWorker, owner.now);
         owner.PassTime(Duration(9'000));
       },
       "task-lost", kJob,
       "run=2 worker=w1 cause=lease-over incarnation=5 placed_incarnation=5 registered=5 "
       "report_age_ms=9000 granted_ms_ago=none granted_in=0 unanswered=0 copy_open_ms=2970 "
       "settled=0 "
       "inherited=0 token=7"},
      {"end of an earlier run", kPlacedByOther,
       [](TakenOver& owner) {
         owner.Report(
             {.running = {ReportedRun({.task = TaskOf(kJob), .run = 2})},
              .ended = {ReportedEnd(
                  {.number = 3, .task = TaskOf(kJob), .run = 1, .kind = EndKind::kFailed})}});
       },
       "end-ignored", kJob,
       "run=1 how=failed worker=w1 number=3 own_run=2 own_phase=placed own_worker=w1 token=7"},
      {"end as done of an earlier run", kPlacedByOther,
       [](TakenOver& owner) {
         owner.Report({.running = {ReportedRun({.task = TaskOf(kJob), .run = 2})},
                       .ended = {ReportedEnd({.number = 3, .task = TaskOf(kJob), .run = 1})}});
       },
       "unknown-run-done", kJob, "run=1 worker=w1 own_run=2 own_worker=w1"},
      {"end of a task that is done", kDoneTask,
       [](TakenOver& owner) {
         owner.Report({.ended = {ReportedEnd({.number = 1, .task = TaskOf(kJob), .run = 2})}});
       },
       "end-ignored", kJob,
       "run=2 how=done worker=w1 number=1 own_run=2 own_phase=done own_worker=none token=7"},
      {"end of an unknown task", kDoneTask,
       [](TakenOver& owner) {
         owner.Report(
             {.ended = {ReportedEnd({.number = 1, .task = TaskOf(kUnknownJob), .run = 2})}});
       },
       "end-ignored", kUnknownJob, "run=2 how=done worker=w1 number=1 own=unknown token=7"},
      {"run of a task that is done", kDoneTask,
       [](TakenOver& owner) {
         owner.Report({.running = {ReportedRun({.task = TaskOf(kJob), .run = 1})}});
       },
       "stray-run", kJob,
       "run=1 worker=w1 incarnation=5 own_run=2 own_phase=done own_worker=none token=7"},
  }));
  CAPTURE(c.name);
  TakenOver owner(c.recorded);
  c.events(owner);
  std::vector<std::string> details;
  for (const Decision& decision : owner.shard.TakeDecisions()) {
    if (decision->kind != c.kind) continue;
    CHECK(decision->subject == FormatTaskKey(TaskOf(c.job)));
    details.push_back(decision->detail);
  }
  CHECK(details == std::vector<std::string>{c.detail});
}

}  // namespace
}  // namespace dn
