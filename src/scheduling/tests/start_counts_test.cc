// Tests the evidence of a job's start, and the counts that the log contains.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr Time kNow{Duration(1'000'000)};
const Queue kQueue({.name = "q", .service = "s"});

AcceptedJob JobWith(JobId id, const Queue& queue = kQueue) {
  const StepFields step{.count = 2, .demand = {.millicores = 1'000}, .estimate_ms = 1'000};
  return AcceptedJob(
      {.id = id, .queue = queue, .accepted_ms = 0, .spec = JobSpec({.steps = {StepSpec(step)}})});
}

struct Case {
  std::string name;
  void (*edit)(JobRow& job, TaskRow& task);
  StartEvidence evidence;
};
const std::vector<Case> kCases = {
    {"accepted", [](JobRow&, TaskRow&) {}, StartEvidence::kNone},
    {"planned, intent not durable", [](JobRow&, TaskRow& task) { task.phase = TaskPhase::kPlaced; },
     StartEvidence::kNone},
    {"start sent",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.phase = TaskPhase::kPlaced;
       task.stage = StartStage::kSent;
       task.start_sent_at = kNow;
     },
     StartEvidence::kSent},
    {"start sent and refused",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.start_sent_at = kNow;
     },
     StartEvidence::kSent},
    {"start confirmed",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.phase = TaskPhase::kPlaced;
       task.stage = StartStage::kConfirmed;
       task.start_sent_at = kNow;
     },
     StartEvidence::kConfirmed},
    {"run has failed",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.failures = 1;
     },
     StartEvidence::kConfirmed},
    {"run has saved a checkpoint",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.checkpoint = "00";
     },
     StartEvidence::kConfirmed},
    {"run has ended",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.phase = TaskPhase::kDone;
     },
     StartEvidence::kConfirmed},
    {"only the record of an earlier owner",
     [](JobRow& job, TaskRow& task) {
       job.started = true;
       task.phase = TaskPhase::kPlaced;
       task.stage = StartStage::kSent;
       task.inherited = true;
     },
     StartEvidence::kRestored},
};

TEST_CASE("a job's start is confirmed only by a worker", "[scheduling][starts]") {
  const auto c = GENERATE(from_range(kCases));
  CAPTURE(c.name);
  JobTable table;
  REQUIRE(table.Accept(JobWith(1), kNow));
  JobRow& job = *table.Find(1);
  // The position must not matter.
  const auto position = GENERATE(std::size_t{0}, std::size_t{1});
  c.edit(job, job.tasks[position]);
  CHECK(StartEvidenceOf(job) == c.evidence);
}

TEST_CASE("starts are counted by queue among the open jobs", "[scheduling][starts]") {
  JobTable table;
  const Queue other({.name = "other", .service = "s"});
  JobId id = 0;
  const auto add = [&](const Queue& queue, const Case& c) -> JobRow& {
    REQUIRE(table.Accept(JobWith(++id, queue), kNow));
    JobRow& job = *table.Find(id);
    c.edit(job, job.tasks.front());
    return job;
  };
  for (const Case& c : kCases) add(kQueue, c);
  for (const Case& c : kCases) add(kQueue, c).phase = JobPhase::kCancelled;
  add(other, kCases.back());
  struct Expected {
    std::string queue;
    std::string text;
  };
  const auto expected =
      GENERATE(values<Expected>({{"q", "open=9 unconfirmed_sent=2 unconfirmed_restored=1"},
                                 {"other", "open=1 unconfirmed_sent=0 unconfirmed_restored=1"},
                                 {"unknown", "open=0 unconfirmed_sent=0 unconfirmed_restored=0"}}));
  CAPTURE(expected.queue);
  CHECK(ToText(CountStarts(table, expected.queue)) == expected.text);
}

}  // namespace
}  // namespace dn
