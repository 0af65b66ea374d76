// Tests how finished jobs are forgotten once their retention period is over.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
constexpr Duration kSweep{200};  // Longer than the period at which a plan looks for expired jobs.

AcceptedJob Job() {
  return AcceptedJob({.id = kJob,
                      .queue = Queue({.name = "q", .service = "s"}),
                      .spec = JobSpec({.steps = {StepSpec()}})});
}

// Guards against an owner that ends with a segmentation fault two minutes after a job has ended.
TEST_CASE("a job that expires while its deletion is being recorded is deleted once",
          "[scheduling][expiry]") {
  const int plans_meanwhile = GENERATE(0, 1, 3);
  const bool batches_meanwhile = GENERATE(false, true);
  CAPTURE(plans_meanwhile, batches_meanwhile);
  Time now{Duration(1'000'000)};
  Shard shard(Policy(), 7);
  shard.Accept(Job(), now);
  shard.Cancel(kJob, now);
  shard.Recorded(shard.TakeBatch(), now);
  now += Policy()->finished_retention + kSweep;
  shard.Plan(now, 0);
  const RecordBatch deletion = shard.TakeBatch();
  REQUIRE(deletion.expired == std::vector<JobId>{kJob});
  for (int i = 0; i < plans_meanwhile; ++i) {
    now += kSweep;
    shard.Plan(now, 0);
    if (batches_meanwhile) CHECK(shard.TakeBatch().empty());
  }
  shard.Recorded(deletion, now);
  CHECK(shard.jobs() == 0);
  CHECK(shard.TakeBatch().expired.empty());
}

// Guards against a job that runs again long after it was done: a read of the submitted jobs that
// began before its deletion ends after it.
TEST_CASE("a job does not come back with a read that began before its deletion",
          "[scheduling][expiry]") {
  constexpr Duration kRead{1'500};  // Three pages of a store that takes 0.5 s for a response.
  const int reads = GENERATE(1, 3);
  CAPTURE(reads);
  Time now{Duration(1'000'000)};
  Shard shard(Policy(), 7);
  shard.Accept(Job(), now);
  shard.Cancel(kJob, now);
  shard.Recorded(shard.TakeBatch(), now);
  now += Policy()->finished_retention + kSweep;
  shard.Plan(now, 0);
  shard.Recorded(shard.TakeBatch(), now);
  REQUIRE(shard.jobs() == 0);
  for (int i = 0; i < reads; ++i) {
    now += kRead;
    shard.Plan(now, 0);
    shard.Accept(Job(), now);
    CHECK(shard.StateOf(kJob) == JobState::kUnknown);
  }
}

}  // namespace
}  // namespace dn
