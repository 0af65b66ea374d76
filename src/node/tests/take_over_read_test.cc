// Tests what the log states about the records that a take-over read.
#include "node/internal/take_over_read.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

constexpr JobId kJob = 0x10;
constexpr JobId kOtherJob = 0x11;

StoreRecord Record(std::string key, std::optional<std::string> value) {
  return StoreRecord({.key = std::move(key), .value = std::move(value)});
}

StoreRecord Progress(JobId id, const std::vector<TaskPhase>& phases) {
  JobProgressFields progress{.id = id};
  for (const TaskPhase phase : phases) {
    progress.tasks.emplace_back(TaskProgressFields{
        .phase = phase, .run = 1, .worker = phase == TaskPhase::kPlaced ? "w" : ""});
  }
  return Record(FormatJobId(id), EncodeJobProgress(JobProgress(std::move(progress))));
}

// Guards against take-overs of which the log does not tell how much they read.
TEST_CASE("the line of a take-over counts what was read", "[node][take_over]") {
  using enum TaskPhase;
  struct Case {
    std::string name;
    std::vector<StoreRecord> records;
    std::string counts;
  };
  const auto c = GENERATE(values<Case>({
      {"nothing",
       {},
       "progress_records=0 unreadable=0 jobs_recorded=0 placed=0 done=0 waiting=0 settled=0"},
      {"two jobs",
       {Progress(kJob, {kPlaced, kDone, kDone}), Progress(kOtherJob, {kWaiting, kPlaced})},
       "progress_records=2 unreadable=0 jobs_recorded=2 placed=2 done=2 waiting=1 settled=0"},
      {"the record of the owner itself",
       {Record("owner.7", R"({"instance":"edge-1","token":7,"since_ms":1,"member":"m"})"),
        Record("owner", R"({"instance":"edge-2","token":6,"since_ms":1})")},
       "progress_records=2 unreadable=0 jobs_recorded=0 placed=0 done=0 waiting=0 settled=0"},
      {"crashes, interference and a deletion",
       {Record(CrashesKey(kJob), EncodeJobCrashes(JobCrashes({.id = kJob}))),
        Record(kInterferenceKey, EncodeInterference({})), Record("10", std::nullopt)},
       "progress_records=3 unreadable=0 jobs_recorded=0 placed=0 done=0 waiting=0 settled=0"},
      {"records of a later format",
       {Progress(kJob, {kDone}), Record(FormatJobId(kOtherJob), "\x7frest"),
        Record(kInterferenceKey, "\x7frest")},
       "progress_records=3 unreadable=2 jobs_recorded=1 placed=0 done=1 waiting=0 settled=0"},
  }));
  CAPTURE(c.name);
  const RecordedProgress progress = DecodeProgress(c.records);
  const TakeOverRead read = CountProgress({.token = 7,
                                           .fence_end = 40,
                                           .progress_end = 41,
                                           .progress_records = c.records.size(),
                                           .jobs_end = 90,
                                           .jobs = 5,
                                           .workers = 3},
                                          progress);
  CHECK(ToText(read) ==
        "token=7 fence_end=40 progress_end=41 " + c.counts + " jobs_end=90 jobs=5 workers=3");
}

}  // namespace
}  // namespace dn
