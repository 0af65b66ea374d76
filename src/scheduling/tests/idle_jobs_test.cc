// Tests which jobs count as being without a run, and what is told about them.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr Time kReady{Duration(1'000'000)};
const WorkerId kWorker{"w1"};

// A best-effort job of two tasks that is ready from kReady on, and a worker of 16 cores.
class Fixture {
 public:
  Fixture() {
    for (const JobId id : {1, 2}) {
      StepFields step;
      step.count = 2;
      step.demand = {.millicores = 4'000, .memory_mb = 1'000};
      step.best_effort = true;
      step.image = "fill";
      jobs.Accept(AcceptedJob({.id = id,
                               .queue = Queue({.name = "q", .service = "s"}),
                               .spec = JobSpec({.steps = {StepSpec(step)}})}),
                  kReady);
    }
    job().without_run_since = kReady;
    workers.Listed(WorkerEntry({.id = kWorker,
                                .service = "s",
                                .address = {"127.0.0.1", 1},
                                .start_time_ms = 1,
                                .capacity = {.millicores = 16'000, .memory_mb = 64'000}}),
                   kReady);
    worker().confirmed = true;
    worker().start_time_ms = 1;
    worker().last_report = kReady + Duration(3'000);
  }

  JobRow& job() { return *jobs.Find(1); }
  WorkerRow& worker() { return *workers.Find(kWorker); }
  // Places a task of a job, as Shard does.
  TaskRow& Place(JobId id) {
    JobRow& row = *jobs.Find(id);
    row.tasks[0].worker = kWorker;
    WorkerTable::Reserve(worker(), row, 0);
    jobs.SetPhase(row, 0, TaskPhase::kPlaced, kReady);
    return row.tasks[0];
  }

  JobTable jobs;
  Interference interference;
  Policy policy;
  WorkerTable workers{policy};
};

TEST_CASE("a job without a run is logged with what keeps it from a reduced start",
          "[scheduling][gaps]") {
  struct Case {
    std::string name;
    void (*prepare)(Fixture& fixture);
    Duration checked;  // After the job's turn.
    std::string line;  // Empty: none.
  };
  const auto c = GENERATE(values<Case>({
      {"its turn has just come", [](Fixture&) {}, Duration(2'999), ""},
      {"it has a run", [](Fixture& f) { f.job().without_run_since.reset(); }, Duration(5'000), ""},
      {"it has ended", [](Fixture& f) { f.job().phase = JobPhase::kCancelled; }, Duration(5'000),
       ""},
      {"a worker accepts it", [](Fixture&) {}, Duration(3'000),
       "without_run_ms=3000 image=fill unused_percent=100 ready=2 suspects=0 placed=0 accepted=1 "
       "unusable=0 "
       "occupied=0 idle_cores=0 memory=0"},
      {"the worker drains",
       [](Fixture& f) {
         WorkerEntryFields entry = *f.worker().entry;
         entry.draining = true;
         f.workers.Listed(WorkerEntry(entry), kReady);
       },
       Duration(3'000),
       "without_run_ms=3000 image=fill unused_percent=0 ready=2 suspects=0 placed=0 accepted=0 "
       "unusable=1 "
       "occupied=0 idle_cores=0 memory=0"},
      {"its tasks are suspects",
       [](Fixture& f) {
         for (TaskRow& task : f.job().tasks) task.suspect = true;
       },
       Duration(3'000),
       "without_run_ms=3000 image=fill unused_percent=100 ready=2 suspects=2 placed=0 accepted=1 "
       "unusable=0 "
       "occupied=0 idle_cores=0 memory=0"},
      {"a start has no response", [](Fixture& f) { f.Place(1); }, Duration(4'000),
       "without_run_ms=4000 image=fill unused_percent=100 ready=1 suspects=0 placed=1 accepted=1 "
       "unusable=0 "
       "occupied=0 idle_cores=0 memory=0"},
      {"the memory is nearly used up", [](Fixture& f) { f.worker().reserved.memory_mb = 48'000; },
       Duration(3'000),
       "without_run_ms=3000 image=fill unused_percent=100 ready=2 suspects=0 placed=0 accepted=0 "
       "unusable=0 occupied=0 idle_cores=0 memory=1"},
      {"the cores are in use", [](Fixture& f) { f.Place(2).observed = 14'000; }, Duration(4'000),
       "without_run_ms=4000 image=fill unused_percent=12 ready=2 suspects=0 placed=0 accepted=0 "
       "unusable=0 "
       "occupied=0 idle_cores=1 memory=0"},
  }));
  CAPTURE(c.name);
  Fixture fixture;
  c.prepare(fixture);
  const IdleJobs idle = FindIdleJobs(
      fixture.jobs, fixture.workers,
      {.interference = fixture.interference, .policy = fixture.policy, .now = kReady + c.checked});
  CHECK(idle->count == (c.line.empty() ? 0 : 1));
  REQUIRE(idle->due.size() == (c.line.empty() ? 0 : 1));
  if (!c.line.empty()) CHECK(ToText(idle->due.front()) == c.line);
}

}  // namespace
}  // namespace dn
