// Folds of configuration and keys: racing operators, repeated records,
// retention, snapshots, readers that begin anywhere.
#include <catch2/catch.hpp>
#include <random>

#include "decisions/decisions.h"
#include "tests/support/seeds.h"

namespace dn {
namespace {

Configuration Named(const std::string& deployment) {
  return Configuration({.deployment = deployment});
}

ConfigurationRecord ApplyRecord(const std::string& id, Offset base) {
  return ConfigurationRecord(
      {.apply = Apply({.id = {id}, .base = base, .configuration = Named(id)}), .snapshot = {}});
}

TEST_CASE("an apply is accepted only on the revision in force", "[decisions][configuration]") {
  struct Case {
    std::string name;
    std::vector<ConfigurationRecord> records;
    Offset revision;
    std::string in_force;
    std::string asked;
    bool accepted;
  };
  const auto c = GENERATE(values<Case>({
      {"first", {ApplyRecord("a", -1)}, 0, "a", "a", true},
      {"next", {ApplyRecord("a", -1), ApplyRecord("b", 0)}, 1, "b", "b", true},
      {"race: the second is refused",
       {ApplyRecord("a", -1), ApplyRecord("b", -1)},
       0,
       "a",
       "b",
       false},
      {"repeated append", {ApplyRecord("a", -1), ApplyRecord("a", -1)}, 0, "a", "a", true},
      {"repeated after another was accepted",
       {ApplyRecord("a", -1), ApplyRecord("b", 0), ApplyRecord("a", -1)},
       1,
       "b",
       "a",
       true},
      {"late repetition of a refused one",
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
  CHECK(fold.state().configuration->deployment == c.in_force);
  const auto verdict = fold.state().VerdictOf({c.asked});
  REQUIRE(verdict.has_value());
  CHECK(verdict->accepted == c.accepted);
}

// Readers begin at any time, at the oldest record that is left, and must agree
// with one that has read everything, and never go back.
TEST_CASE("readers agree whatever retention has cut off", "[decisions][matrix][configuration]") {
  for (const std::uint64_t seed : testing::Seeds(200)) {
    CAPTURE(seed);
    Random random(seed);
    const auto draw = [&](int low, int high) {
      return std::uniform_int_distribution<int>(low, high)(random);
    };
    std::vector<Logged<ConfigurationRecord>> log;
    ConfigurationFold full;
    full.Begin(0);
    Offset oldest = 0;
    const auto append = [&](ConfigurationRecord record) {
      log.push_back({static_cast<Offset>(log.size()), static_cast<ClockReading>(log.size()),
                     std::move(record)});
      full.Apply(log.back());
    };
    std::optional<ConfigurationFold> late;
    Offset in_force = kNoOffset;
    ConfigurationRecord stale_snapshot;
    for (int step = 0; step < 120; ++step) {
      const int what = draw(0, 9);
      const Offset base = full.state().revision - (draw(0, 3) == 0 ? 1 : 0);
      if (what < 5) append(ApplyRecord("a" + std::to_string(step), base));
      // Snapshots may reach the log late.
      if (what == 5) stale_snapshot = ConfigurationRules::Snapshot(full.state(), full.offset());
      if (what == 6 && stale_snapshot->snapshot) append(stale_snapshot);
      if (what == 7) append(ConfigurationRules::Snapshot(full.state(), full.offset()));
      if (what == 8 && !log.empty()) {
        oldest = std::max<Offset>(oldest, draw(0, static_cast<int>(log.size()) - 1));
      }
      if (what == 9 || !late) {
        if (!late) late.emplace();
        late->Begin(oldest);
        for (std::size_t i = static_cast<std::size_t>(oldest); i < log.size(); ++i) {
          late->Apply(log[i]);
        }
      } else if (!log.empty()) {
        late->Apply(log.back());
      }
      if (!late->ready() || late->offset() != full.offset()) continue;
      REQUIRE(late->state().revision == full.state().revision);
      REQUIRE(late->state().configuration == full.state().configuration);
      REQUIRE(late->state().revision >= in_force);
      in_force = late->state().revision;
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
    std::string holder;
    std::optional<RequestOutcome> outcome;
    ClaimStep next_of_b;  // Of an instance that wants to claim as "b".
  };
  const auto none = std::optional<RequestOutcome>();
  const auto not_run = std::optional(RequestOutcome::kNotRun);
  const auto answered = std::optional(RequestOutcome::kAnswered);
  const auto unknown = std::optional(RequestOutcome::kUnknown);
  const auto c = GENERATE_COPY(values<Case>({
      {"one claim", {record("a", none)}, "a", none, ClaimStep::kWait},
      {"two claims", {record("a", none), record("b", none)}, "a", none, ClaimStep::kWait},
      {"answered",
       {record("a", none), record("a", answered)},
       "a",
       answered,
       ClaimStep::kDuplicate},
      {"unknown is final",
       {record("a", none), record("a", unknown), record("b", none)},
       "a",
       unknown,
       ClaimStep::kDuplicate},
      {"not run frees the key",
       {record("a", none), record("a", not_run)},
       "a",
       not_run,
       ClaimStep::kAppend},
      {"claimed again",
       {record("a", none), record("a", not_run), record("b", none)},
       "b",
       none,
       ClaimStep::kWon},
      {"a repeated claim does not come back to life",
       {record("a", none), record("a", not_run), record("a", none)},
       "a",
       not_run,
       ClaimStep::kAppend},
      {"the end of another claim changes nothing",
       {record("a", none), record("b", answered)},
       "a",
       none,
       ClaimStep::kWait},
      {"the first end counts",
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
  CHECK(state->claim.value == c.holder);
  CHECK(state->outcome == c.outcome);
  CHECK(NextClaimStep(state, {"b"}, false) == c.next_of_b);
}

}  // namespace
}  // namespace dn
