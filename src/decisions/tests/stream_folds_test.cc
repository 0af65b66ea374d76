// Tests the folds of configurations and keys against concurrent operators, duplicate
// records, retention, snapshots and readers that start at any offset.
#include <catch2/catch.hpp>
#include <random>

#include "decisions/decisions.h"
#include "tests/support/seeds.h"

namespace dn {
namespace {

Configuration ConfigurationNamed(const std::string& deployment) {
  return Configuration({.deployment = deployment});
}

ConfigurationRecord ApplyRecord(const std::string& id, Offset base) {
  return ConfigurationRecord(
      {.apply = Apply({.id = {id}, .base = base, .configuration = ConfigurationNamed(id)}),
       .snapshot = {}});
}

TEST_CASE("an apply is accepted only on the active revision", "[decisions][configuration]") {
  struct Case {
    std::string name;
    std::vector<ConfigurationRecord> records;
    Offset revision;
    std::string active;
    std::string apply;  // The apply whose result is checked.
    bool accepted;
  };
  const auto c = GENERATE(values<Case>({
      {"first apply", {ApplyRecord("a", -1)}, 0, "a", "a", true},
      {"second apply", {ApplyRecord("a", -1), ApplyRecord("b", 0)}, 1, "b", "b", true},
      {"of two concurrent applies, the second is rejected",
       {ApplyRecord("a", -1), ApplyRecord("b", -1)},
       0,
       "a",
       "b",
       false},
      {"duplicate record", {ApplyRecord("a", -1), ApplyRecord("a", -1)}, 0, "a", "a", true},
      {"duplicate record after another apply was accepted",
       {ApplyRecord("a", -1), ApplyRecord("b", 0), ApplyRecord("a", -1)},
       1,
       "b",
       "a",
       true},
      {"retry of a rejected apply",
       {ApplyRecord("a", -1), ApplyRecord("b", -1), ApplyRecord("b", 0)},
       0,
       "a",
       "b",
       false},
  }));
  CAPTURE(c.name);
  ConfigurationFold fold;
  fold.Begin(0);
  for (std::size_t i = 0; i < c.records.size(); ++i) {
    fold.Apply({static_cast<Offset>(i), 1, c.records[i]});
  }
  CHECK(fold.state().revision == c.revision);
  CHECK(fold.state().configuration->deployment == c.active);
  const auto result = fold.state().ApplyResultOf({c.apply});
  REQUIRE(result.has_value());
  CHECK(result->accepted == c.accepted);
}

// Readers start at any time, at the oldest retained record. Each must compute the same
// state as a reader of the whole stream and must never return to an older revision.
TEST_CASE("readers agree regardless of records removed by retention",
          "[decisions][matrix][configuration]") {
  for (const std::uint64_t seed : testing::Seeds(200)) {
    CAPTURE(seed);
    Random random(seed);
    const auto draw = [&](int low, int high) {
      return std::uniform_int_distribution<int>(low, high)(random);
    };
    std::vector<StreamRecord<ConfigurationRecord>> log;
    ConfigurationFold full;
    full.Begin(0);
    Offset oldest = 0;
    const auto append = [&](ConfigurationRecord record) {
      log.push_back({static_cast<Offset>(log.size()), static_cast<ClockReading>(log.size()),
                     std::move(record)});
      full.Apply(log.back());
    };
    std::optional<ConfigurationFold> restarted;
    Offset newest_revision = kNoOffset;
    ConfigurationRecord stale_snapshot;
    for (int step = 0; step < 120; ++step) {
      const int action = draw(0, 9);
      const Offset base = full.state().revision - (draw(0, 3) == 0 ? 1 : 0);
      if (action < 5) append(ApplyRecord("a" + std::to_string(step), base));
      // A snapshot may be appended later than it was made.
      if (action == 5) stale_snapshot = ConfigurationRules::Snapshot(full.state(), full.offset());
      if (action == 6 && stale_snapshot->snapshot) append(stale_snapshot);
      if (action == 7) append(ConfigurationRules::Snapshot(full.state(), full.offset()));
      if (action == 8 && !log.empty()) {
        oldest = std::max<Offset>(oldest, draw(0, static_cast<int>(log.size()) - 1));
      }
      if (action == 9 || !restarted) {
        if (!restarted) restarted.emplace();
        restarted->Begin(oldest);
        for (std::size_t i = static_cast<std::size_t>(oldest); i < log.size(); ++i) {
          restarted->Apply(log[i]);
        }
      } else if (!log.empty()) {
        restarted->Apply(log.back());
      }
      if (!restarted->ready() || restarted->offset() != full.offset()) continue;
      REQUIRE(restarted->state().revision == full.state().revision);
      REQUIRE(restarted->state().configuration == full.state().configuration);
      REQUIRE(restarted->state().revision >= newest_revision);
      newest_revision = restarted->state().revision;
    }
  }
}

TEST_CASE("the first claim of a key wins", "[decisions][keys]") {
  const auto record = [](const std::string& claim, std::optional<RequestOutcome> outcome) {
    return KeyRecord(
        {.key = {"k"}, .claim = {claim}, .claimant = {"i"}, .outcome = outcome, .status = 0});
  };
  struct Case {
    std::string name;
    std::vector<KeyRecord> records;
    std::string claim;  // The accepted claim.
    std::optional<RequestOutcome> outcome;
    ClaimStep next_step_of_b;  // Next step of the instance whose claim is "b".
  };
  const auto none = std::optional<RequestOutcome>();
  const auto not_run = std::optional(RequestOutcome::kNotRun);
  const auto answered = std::optional(RequestOutcome::kAnswered);
  const auto unknown = std::optional(RequestOutcome::kUnknown);
  const auto c = GENERATE_COPY(values<Case>({
      {"one claim", {record("a", none)}, "a", none, ClaimStep::kWait},
      {"the second of two claims is rejected",
       {record("a", none), record("b", none)},
       "a",
       none,
       ClaimStep::kWait},
      {"an answered request keeps the key",
       {record("a", none), record("a", answered)},
       "a",
       answered,
       ClaimStep::kDuplicate},
      {"an unknown outcome keeps the key",
       {record("a", none), record("a", unknown), record("b", none)},
       "a",
       unknown,
       ClaimStep::kDuplicate},
      {"a request that did not run frees the key",
       {record("a", none), record("a", not_run)},
       "a",
       not_run,
       ClaimStep::kAppend},
      {"a freed key can be claimed again",
       {record("a", none), record("a", not_run), record("b", none)},
       "b",
       none,
       ClaimStep::kWon},
      {"a duplicate of an ended claim has no effect",
       {record("a", none), record("a", not_run), record("a", none)},
       "a",
       not_run,
       ClaimStep::kAppend},
      {"the end of another claim has no effect",
       {record("a", none), record("b", answered)},
       "a",
       none,
       ClaimStep::kWait},
      {"only the first end of a claim has an effect",
       {record("a", none), record("a", unknown), record("a", not_run)},
       "a",
       unknown,
       ClaimStep::kDuplicate},
  }));
  CAPTURE(c.name);
  KeyFold fold(Duration(1000));
  for (std::size_t i = 0; i < c.records.size(); ++i) {
    fold.Apply({static_cast<Offset>(i), 1, c.records[i]});
  }
  const auto state = fold.Find({"k"});
  REQUIRE(state.has_value());
  CHECK(state->claim.value == c.claim);
  CHECK(state->outcome == c.outcome);
  CHECK(NextClaimStep(state, {"b"}, false) == c.next_step_of_b);
}

}  // namespace
}  // namespace dn
