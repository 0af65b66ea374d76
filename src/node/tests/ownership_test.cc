// Tests the record of who owns a shard.
#include "node/internal/ownership.h"

#include <catch2/catch.hpp>

#include "node/internal/shards.h"

namespace dn {
namespace {

// During an update of the program, an instance of the previous version takes over from one of this
// version. Guards against an ownership record that it restores as the progress of a job.
TEST_CASE("an ownership record is not taken for a record of a job", "[node]") {
  struct Case {
    std::string name;
    bool (*decodes)(const std::string& bytes);
  };
  const auto c = GENERATE(values<Case>({
      {"progress", [](const std::string& bytes) { return DecodeJobProgress(bytes).has_value(); }},
      {"crashes", [](const std::string& bytes) { return DecodeJobCrashes(bytes).has_value(); }},
      {"interference",
       [](const std::string& bytes) { return DecodeInterference(bytes).has_value(); }},
  }));
  CAPTURE(c.name);
  const Ownership ownership({.instance = "edge-3", .token = 7, .since_ms = 1'796'528'600'000});
  CHECK_FALSE(c.decodes(EncodeText(ownership)));
  const auto decoded = DecodeMessage<Ownership>(EncodeText(ownership));
  REQUIRE(decoded);
  CHECK(decoded.value() == ownership);
}

}  // namespace
}  // namespace dn
