// Tests of the stand-in for the metadata store.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr Duration kShort{50};
constexpr Duration kLong{60'000};
constexpr std::size_t kPartitions = 16;

Join JoinOf(const std::string& member, Duration time_to_live) {
  return Join({.group = "g", .member = member, .topic = "t", .time_to_live = time_to_live});
}

// Lets a member expire beside another one. Returns the memberships of the first join of the former
// and of the last join of the latter; fewer if a call fails.
Task<std::vector<Membership>> JoinUntilExpired(StoreClient& store, int reads_of_owners) {
  std::vector<Membership> out;
  const Join expires = JoinOf("expires", kShort);
  const Join stays = JoinOf("stays", kLong);
  const auto first = co_await store.JoinGroup(expires);
  if (first) out.push_back(first.value());
  const auto second = co_await store.JoinGroup(stays);
  if (!second) co_return out;
  co_await SleepFor(kShort * 2);
  const std::string group = "g";
  const std::string topic = "t";
  for (int i = 0; i < reads_of_owners; ++i) co_await store.Owners(group, topic);
  const auto last = co_await store.JoinGroup(stays);
  if (last) out.push_back(last.value());
  co_return out;
}

// Guards against partitions that no member gets: the stand-in forgot that a member had expired if a
// read of the owners noticed it before the next join.
TEST_CASE("the partitions of an expired member are reassigned", "[standins]") {
  const int reads_of_owners = GENERATE(0, 1, 2);
  CAPTURE(reads_of_owners);
  Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  const auto memberships = runner.Wait(JoinUntilExpired(store, reads_of_owners));
  REQUIRE(memberships.size() == 2);
  CHECK(memberships[0]->partitions.size() == kPartitions);
  CHECK(memberships[1]->partitions.size() == kPartitions);
  CHECK(memberships[1]->generation > memberships[0]->generation);
}

const Partition kKeyed({.topic = "keyed.t", .number = 0});

// Appends a record with the given key under the number 1 of `epoch`.
Task<std::optional<AppendResponse>> AppendFirst(StoreClient& store, std::int64_t epoch,
                                                std::string key) {
  const Producer producer({.name = "owner", .epoch = epoch, .sequence = 1});
  std::vector<StoreRecord> records = {StoreRecord({.key = std::move(key), .value = "v"})};
  auto response = co_await store.Append(kKeyed, producer, std::move(records));
  if (!response) co_return std::nullopt;
  co_return response.value();
}

// Tasks ran twice since an owner numbered its appends like the one before it. Guards against tests
// that know only the store that forgets the earlier owner.
TEST_CASE("the store takes the first append of a higher epoch for a repeat, if set so", "[store]") {
  struct Case {
    standins::RepeatMemory memory;
    std::int64_t first;     // Offset that the response to the second owner tells.
    AppendOutcome earlier;  // Of the first owner's next append.
  };
  const auto c = GENERATE(values<Case>({
      {standins::RepeatMemory::kOfEpoch, 1, AppendOutcome::kFenced},
      {standins::RepeatMemory::kAcrossEpochs, 0, AppendOutcome::kFenced},
      {standins::RepeatMemory::kBeforeEpoch, 0, AppendOutcome::kStored},
  }));
  CAPTURE(NameOf(c.memory));
  Runner runner;
  standins::StoreStandin standin(runner.pool(),
                                 standins::StoreStandinSettings({.repeat_memory = c.memory}));
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  REQUIRE(runner.Wait(AppendFirst(store, 7, "a")));
  const auto second = runner.Wait(AppendFirst(store, 8, "b"));
  REQUIRE(second);
  CHECK((*second)->outcome == AppendOutcome::kStored);
  CHECK((*second)->first == c.first);
  const auto late = runner.Wait(AppendFirst(store, 7, "c"));
  REQUIRE(late);
  CHECK((*late)->outcome == c.earlier);
  runner.Stop();
}

}  // namespace
}  // namespace dn::testing
