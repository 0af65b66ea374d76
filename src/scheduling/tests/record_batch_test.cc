// Tests the text of a batch of records in the log.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

// Size of the detail of a line of the log that a batch may take, in bytes.
constexpr std::size_t kMaxBytes = 2'250;

RecordBatch BatchOf(int runs, int ends, std::size_t worker_bytes) {
  RecordBatch batch;
  const std::string name(worker_bytes, 'w');
  for (int i = 0; i < runs; ++i) {
    batch.intents.push_back({.job = 0x1f, .occurrence = 0, .step = 1, .index = i});
    batch.runs.push_back(2);
    batch.workers.push_back(WorkerId{name + std::to_string(i)});
  }
  for (int i = 0; i < ends; ++i) batch.ends[WorkerId{name + std::to_string(i)}] = {5, 40 + i};
  return batch;
}

// A run that was started twice cannot be traced to the append that recorded it. Guards against
// lines that do not name the runs and ends of an append, and against lines that are cut off.
TEST_CASE("the log names the runs and ends of an append, or how many it leaves out",
          "[scheduling]") {
  struct Case {
    std::string name;
    int runs;
    int ends;
    std::size_t worker_bytes;
    std::string starts_with;
  };
  const std::string run = FormatTaskKey({.job = 0x1f, .occurrence = 0, .step = 1, .index = 0});
  const auto c = GENERATE_COPY(values<Case>({
      {"nothing", 0, 0, 3, "runs_left_out=0 ends_left_out=0 runs= ends="},
      {"one run", 1, 0, 3, "runs_left_out=0 ends_left_out=0 runs=" + run + "/2@www0 ends="},
      {"two ends", 0, 2, 3, "runs_left_out=0 ends_left_out=0 runs= ends=www0:40,www1:41"},
      {"more than fit", 500, 300, 12, "runs_left_out=463 ends_left_out=270 runs=" + run + "/2@"},
      {"long names", 3, 3, 4'000, "runs_left_out=3 ends_left_out=3 runs= ends="},
  }));
  CAPTURE(c.name);
  const std::string text = ToText(BatchOf(c.runs, c.ends, c.worker_bytes));
  CHECK(text.substr(0, c.starts_with.size()) == c.starts_with);
  CHECK(text.size() <= kMaxBytes);
}

}  // namespace
}  // namespace dn
