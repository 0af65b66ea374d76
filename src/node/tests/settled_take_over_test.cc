// Tests what a take-over reads of the settled records of earlier owners.
#include <catch2/catch.hpp>

#include "node/internal/take_over_read.h"

namespace dn {
namespace {

// Guards against a take-over that counts a shorter lease for a start that may have been sent just
// before.
TEST_CASE("a take-over finds the jobs whose starts are settled", "[node][settled]") {
  struct Case {
    std::string name;
    std::vector<std::string> ownerships;  // Of the earlier owners.
    std::int64_t offset;                  // Of the job's record.
    bool settled;
  };
  const auto c = GENERATE(values<Case>({
      {"below the end", {R"({"instance":"a","token":5,"since_ms":1,"settled_end":8})"}, 7, true},
      {"at the end", {R"({"instance":"a","token":5,"since_ms":1,"settled_end":8})"}, 8, false},
      {"no end is stated", {R"({"instance":"a","token":5,"since_ms":1,"member":"m"})"}, 0, false},
      {"the record cannot be decoded", {"\x7frest"}, 0, false},
      {"an owner before the last states it",
       {R"({"instance":"a","token":5,"since_ms":1,"settled_end":8})",
        R"({"instance":"b","token":6,"since_ms":2})"},
       7,
       true},
      {"no owner", {}, 0, false},
      {"the offset is not known",
       {R"({"instance":"a","token":5,"since_ms":1,"settled_end":8})"},
       -1,
       false},
  }));
  CAPTURE(c.name);
  constexpr JobId kJob = 0x10;
  std::vector<StoreRecord> records{
      StoreRecord({.key = FormatJobId(kJob),
                   .value = EncodeJobProgress(JobProgress({.id = kJob})),
                   .offset = c.offset})};
  FencingToken token = 5;
  for (const std::string& ownership : c.ownerships) {
    records.emplace_back(StoreRecordFields{.key = OwnershipKeyOf(token++), .value = ownership});
  }
  CHECK((DecodeProgress(records)->settled.count(kJob) > 0) == c.settled);
}

}  // namespace
}  // namespace dn
