// Tests the record of who owns a shard.
#include "node/internal/ownership.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

constexpr Duration kTimeToLive{1'800};

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
  const Ownership ownership(
      {.instance = "edge-3", .token = 7, .since_ms = 1'796'528'600'000, .member = "m"});
  CHECK_FALSE(c.decodes(EncodeText(ownership)));
  const auto decoded = DecodeMessage<Ownership>(EncodeText(ownership));
  REQUIRE(decoded);
  CHECK(decoded.value() == ownership);
}

// Guards against an owner that takes another one than the last for its predecessor.
TEST_CASE("the last owner is found among the records of all owners", "[node]") {
  constexpr FencingToken kToken = 16;
  struct Case {
    std::string name;
    std::vector<std::pair<std::string, std::string>> records;  // Keys and values.
    std::optional<FencingToken> token;
    std::string member;
  };
  const auto c = GENERATE(values<Case>({
      {"none", {{"harm", "{}"}}, std::nullopt, ""},
      {"only the owner itself",
       {{"owner.16", R"({"instance":"e","token":16,"since_ms":1,"member":"x"})"}},
       std::nullopt,
       ""},
      {"the last of two",
       {{"owner.7", R"({"instance":"a","token":7,"since_ms":1,"member":"x"})"},
        {"owner.10", R"({"instance":"b","token":10,"since_ms":2,"member":"y"})"},
        {"owner.16", R"({"instance":"c","token":16,"since_ms":3,"member":"z"})"}},
       10,
       "y"},
      {"one of an earlier version",
       {{"owner", R"({"instance":"b","token":10,"since_ms":2})"},
        {"owner.7", R"({"instance":"a","token":7,"since_ms":1,"member":"x"})"}},
       10,
       ""},
      {"one that cannot be decoded",
       {{"owner.12", "\x7frest"},
        {"owner.7", R"({"instance":"a","token":7,"since_ms":1,"member":"x"})"}},
       12,
       ""},
  }));
  CAPTURE(c.name);
  std::map<std::string, Ownership> ownerships;
  for (const auto& [key, value] : c.records) {
    const auto ownership = OwnershipIn(StoreRecord({.key = key, .value = value}));
    if (ownership) ownerships.emplace(key, *ownership);
  }
  const auto last = LastBefore(ownerships, kToken);
  CHECK(last.has_value() == c.token.has_value());
  if (!last || !c.token) return;
  CHECK((*last)->token == *c.token);
  CHECK((*last)->member == c.member);
}

// Guards against a successor that does not wait for owners that may still act.
TEST_CASE("earlier owners have ended if all have left and the last had outlived those before it",
          "[node]") {
  constexpr std::int64_t kSinceMs = 1'796'528'600'000;
  constexpr std::int64_t kLongMs = 11'800;  // Time to live and the errors of two times of day.
  struct Case {
    std::string name;
    std::vector<std::string> members;  // Of the earlier owners, the last one at the end.
    std::int64_t age_ms;
    bool ended;
  };
  const auto c = GENERATE(values<Case>({
      {"has left", {"x"}, kLongMs, true},
      {"is a member", {"a"}, kLongMs, false},
      {"not known", {""}, kLongMs, false},
      {"no record", {}, kLongMs, false},
      {"had just replaced another one", {"x"}, kLongMs - 1, false},
      {"by a clock that is ahead", {"x"}, -3'000, false},
      {"both have left", {"y", "x"}, kLongMs, true},
      {"the one before it is a member", {"a", "x"}, kLongMs, false},
  }));
  CAPTURE(c.name);
  std::vector<PartitionOwner> owners;
  for (const char* member : {"a", "a", "b", "b"}) {
    owners.emplace_back(
        PartitionOwnerFields{.partition = static_cast<int>(owners.size()), .member = member});
  }
  std::map<std::string, Ownership> ownerships;
  FencingToken token = 7;
  for (const std::string& member : c.members) {
    ownerships.emplace(
        OwnershipKeyOf(token),
        Ownership({.instance = "e", .token = token, .since_ms = kSinceMs, .member = member}));
    ++token;
  }
  CHECK(HaveEnded(ownerships, token, owners, kTimeToLive, kSinceMs + c.age_ms) == c.ended);
}

// Guards against a successor that finds that earlier owners have ended after a long read, and
// counts their leases from its fence on although they went on during the read.
TEST_CASE("earlier owners count until they are found to have ended", "[node]") {
  constexpr Time kFenced{Duration(10'000)};
  struct Case {
    std::string name;
    bool have_ended;
    Duration after;  // From the fence until the list of owners was read.
    Duration until;  // From the fence.
  };
  const auto c = GENERATE(values<Case>({
      {"not known to have ended", false, Duration(50), kTimeToLive},
      {"ended, short read", true, Duration(50), Duration(50)},
      {"ended, long read", true, Duration(1'700), Duration(1'700)},
      {"ended, longer read", true, Duration(6'000), kTimeToLive},
  }));
  CAPTURE(c.name);
  CHECK(EndOfEarlierOwners(kFenced, kTimeToLive, c.have_ended, kFenced + c.after) ==
        kFenced + c.until);
}

}  // namespace
}  // namespace dn
