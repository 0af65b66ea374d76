// Ages of what was read from the store while its responses are held up.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "store/store.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

const Partition kPartition({.topic = "keyed.t", .number = 0});
constexpr Duration kDelay{300};
// Time from the start of a call until it is sent.
constexpr Duration kSendTime{100};

// Guards against an old view that counts as new because the response to its read was held
// up: an answer was based on it for as long as that again.
TEST_CASE("reads and contacts are dated by sending", "[store][view]") {
  struct Case {
    std::string name;
    Task<> (*read)(KeyedFollower&);
  };
  const auto c = GENERATE(values<Case>({
      {"newest records", [](KeyedFollower& follower) -> Task<> { co_await follower.Load(); }},
      {"records after a position",
       [](KeyedFollower& follower) -> Task<> { co_await follower.Poll(Duration(0)); }},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  KeyedFollower follower(store, kPartition, {}, log, [](const auto&, bool) {});
  CHECK(follower.last_complete() == Time());
  standin.SetFault({.delay = kDelay});
  const Time called = Now();
  runner.Wait([](KeyedFollower& reader, Task<> (*read)(KeyedFollower&)) -> Task<bool> {
    co_await read(reader);
    co_return true;
  }(follower, c.read));
  REQUIRE(Now() - called >= kDelay);
  CHECK(follower.last_complete() >= called);
  CHECK(follower.last_complete() < called + kSendTime);
  CHECK(store.last_contact() >= called);
  CHECK(store.last_contact() < called + kSendTime);
  // A failed read changes neither.
  const Time complete = follower.last_complete();
  const Time contact = store.last_contact();
  standin.SetFault({.busy = true});
  runner.Wait([](KeyedFollower& reader) -> Task<bool> {
    co_await reader.Poll(Duration(0));
    co_return true;
  }(follower));
  CHECK(follower.last_complete() == complete);
  CHECK(store.last_contact() == contact);
  CHECK(!follower.reachable());
}

// What a replica of the store that lags behind shows: the end of the partition is `stale_end`, if
// this is set.
std::atomic<std::int64_t> stale_end{-1};

StoreProtocol StaleProtocol() {
  StoreProtocol protocol = platform::MakeStoreProtocol();
  protocol.decode_read = [](const HttpReply& reply, const Partition& partition,
                            std::int64_t from) -> Result<ReadPage> {
    auto page = platform::MakeStoreProtocol().decode_read(reply, partition, from);
    if (!page || stale_end < 0) return page;
    return page.value().With([](ReadPageFields& fields) { fields.end = stale_end; });
  };
  protocol.decode_newest = [](const HttpReply& reply) -> Result<NewestPage> {
    auto page = platform::MakeStoreProtocol().decode_newest(reply);
    if (!page || stale_end < 0) return page;
    return page.value().With([](NewestPageFields& fields) { fields.end = stale_end; });
  };
  return protocol;
}

// Guards against a zone that is taken for restored since a replica that lags behind does not know
// its evacuation: an older state replaced a newer one, or counted as a complete read.
TEST_CASE("a replica that lags behind neither replaces the state nor counts", "[store][view]") {
  struct Case {
    std::string name;
    Task<> (*read)(KeyedFollower&);
    std::int64_t end;  // As the replica shows it; negative: the true end.
    bool counts;
  };
  const auto load = [](KeyedFollower& follower) -> Task<> { co_await follower.Load(); };
  const auto load_twice = [](KeyedFollower& follower) -> Task<> {
    co_await follower.Load();
    co_await follower.Load();
  };
  const auto poll = [](KeyedFollower& follower) -> Task<> { co_await follower.Poll(Duration(0)); };
  const auto c = GENERATE_COPY(values<Case>({
      {"reload", load, 2, false},
      {"reload after a drop", load_twice, 2, false},
      {"reload at the same end", load, -1, true},
      {"poll", poll, 2, false},
      {"poll at the same end", poll, -1, true},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  for (const char* key : {"a", "b", "c"}) standin.Put(kPartition->topic, key, "v");
  HttpClient http;
  StoreClient store(standin.address(), StaleProtocol(), http);
  DecisionLog log("node");
  int handled = 0;
  KeyedFollower follower(store, kPartition, {}, log, [&](const auto&, bool) { ++handled; });
  const auto run = [&](Task<> (*read)(KeyedFollower&)) {
    runner.Wait([](KeyedFollower& reader, Task<> (*call)(KeyedFollower&)) -> Task<bool> {
      co_await call(reader);
      co_return true;
    }(follower, read));
  };
  run(load);
  REQUIRE(handled == 1);
  const Time complete = follower.last_complete();
  std::this_thread::sleep_for(Duration(5));
  stale_end = c.end;
  run(c.read);
  stale_end = -1;
  CHECK((follower.last_complete() > complete) == c.counts);
  CHECK(follower.position() == 3);
  if (!c.counts) CHECK(handled == 1);
}

// Guards against old records that count as new since they are read again: a registration that a
// reload handed over counted as written when it was read.
TEST_CASE("a handler can tell records that were written since the last complete read",
          "[store][view]") {
  struct Case {
    std::string name;
    bool dropped;  // The history, so that all records are read again.
    std::vector<std::string> written_before;
  };
  const auto c = GENERATE(values<Case>({
      {"changes", false, {}},
      {"reload", true, {"a", "b"}},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  for (const char* key : {"a", "b", "c"}) standin.Put(kPartition->topic, key, "v");
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const KeyedFollower* reader = nullptr;
  std::vector<std::string> before;
  std::vector<std::string> since;
  Time last_read;
  KeyedFollower follower(store, kPartition, {}, log, [&](const auto& records, bool) {
    before.clear();
    since.clear();
    last_read = reader->last_complete();
    for (const StoreRecord& record : records) {
      (record->offset >= reader->position() ? since : before).push_back(record->key);
    }
  });
  reader = &follower;
  const auto poll = [&] {
    runner.Wait([](KeyedFollower& polled) -> Task<bool> {
      co_await polled.Poll(Duration(0));
      co_return true;
    }(follower));
  };
  poll();
  CHECK(last_read == Time());
  const Time complete = follower.last_complete();
  std::this_thread::sleep_for(Duration(5));
  standin.Put(kPartition->topic, "c", "w");
  if (c.dropped) standin.DropHistory();
  poll();
  CHECK(before == c.written_before);
  CHECK(since == std::vector<std::string>{"c"});
  CHECK(last_read == complete);
  CHECK(follower.last_complete() > complete);
}

// Guards against a Load after a compaction that never gets the time it needs: the response for an
// expired offset, which arrives at once, reset the limits that earlier failures had extended.
TEST_CASE("the response for an expired offset does not reset the limits of pages", "[store]") {
  struct Case {
    std::string name;
    bool expired;
    bool resets_backoff;
  };
  const auto c = GENERATE(values<Case>({
      {"expired", true, false},
      {"retained", false, true},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  standin.Put(kPartition->topic, "a", "v");
  standin.Put(kPartition->topic, "a", "w");
  if (c.expired) standin.DropHistory();
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  ReadPacing pacing(1);
  for (int i = 0; i < 5; ++i) pacing.RecordFailure(Errc::kTimeout);
  const Duration limit = pacing.PageLimits()->first_byte;
  const bool expired = runner.Wait([](StoreClient& client, ReadPacing& used) -> Task<bool> {
    auto page = co_await client.Read(kPartition, 0, Duration(0), &used);
    co_return page&& page.value()->expired;
  }(store, pacing));
  REQUIRE(expired == c.expired);
  CHECK(pacing.PageLimits()->first_byte == limit);
  // Pauses are 100 ms at most after a reset, and 400 ms at least after many failures.
  CHECK((pacing.RecordFailure(Errc::kUnavailable) <= Duration(100)) == c.resets_backoff);
}

// Guards against starts that cease after one lost response: the poll that follows waited for
// records, and its response came after the age limit of starts.
TEST_CASE("the poll after a failed one does not wait", "[store][evacuation]") {
  struct Case {
    std::string name;
    std::vector<bool> polls;  // Whether each succeeds.
    Duration next_wait;
  };
  constexpr Duration kWait{700};
  const auto c = GENERATE_COPY(values<Case>({
      {"no poll yet", {}, kWait},
      {"success", {true}, kWait},
      {"failure", {true, false}, Duration(0)},
      {"success after a failure", {false, true}, kWait},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  KeyedFollower follower(store, kPartition, {.wait = kWait}, log, [](const auto&, bool) {});
  for (const bool succeeds : c.polls) {
    standin.SetFault({.busy = !succeeds});
    runner.Wait([](KeyedFollower& reader) -> Task<bool> {
      co_await reader.Poll(Duration(0));
      co_return true;
    }(follower));
  }
  CHECK(follower.next_wait() == c.next_wait);
}

}  // namespace
}  // namespace dn
