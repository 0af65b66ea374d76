// Reads of the newest records of a partition, page by page, while others append to it.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "store/store.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

using Records = std::map<std::string, std::string>;

const Partition kPartition({.topic = "keyed.t", .number = 0});
constexpr int kKeys = 110;  // Three pages of the stand-in.
constexpr Duration kResponseDelay{100};

std::string KeyOf(int number) { return "k" + std::to_string(1'000 + number); }

// Guards against records that a take-over misses since they change between two pages. Pages are
// in order of keys, and the reader continues from the end as of the first page.
TEST_CASE("no change between pages of the newest records is missed", "[store][take_over]") {
  struct Case {
    std::string name;
    std::string key;
    std::optional<std::string> value;
  };
  const auto c = GENERATE(values<Case>({
      {"a key of a page that was read", KeyOf(3), "changed"},
      {"a key of a page that was not read", KeyOf(100), "changed"},
      {"a new key before the last one that was read", KeyOf(3) + "x", "new"},
      {"a new key after all others", KeyOf(kKeys), "new"},
      {"the last key of the first page is deleted", KeyOf(39), std::nullopt},
      {"a key that was not read is deleted", KeyOf(100), std::nullopt},
  }));
  const int page = GENERATE(1, 2);  // Number of pages that were read before the change.
  CAPTURE(c.name, page);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  Records expected;
  for (int i = 0; i < kKeys; ++i) {
    standin.Put(kPartition->topic, KeyOf(i), "v");
    expected[KeyOf(i)] = "v";
  }
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  Records read;
  KeyedFollower follower(store, kPartition, {}, log, [&](const auto& records, bool complete) {
    if (complete) read.clear();
    for (const StoreRecord& record : records) {
      if (record->value) {
        read[record->key] = *record->value;
      } else {
        read.erase(record->key);
      }
    }
  });
  standin.SetFault({.delay = kResponseDelay});
  auto loaded = runner.Begin([](KeyedFollower& reader) -> Task<bool> {
    co_return bool(co_await reader.Load());
  }(follower));
  std::this_thread::sleep_for(page * kResponseDelay + kResponseDelay / 2);
  standin.Put(kPartition->topic, c.key, c.value);
  if (c.value) expected[c.key] = *c.value;
  if (!c.value) expected.erase(c.key);
  REQUIRE(loaded.get());
  CHECK(follower.position() == kKeys);
  runner.Wait([](KeyedFollower& reader) -> Task<bool> {
    co_await reader.Poll(Duration(0));
    co_return true;
  }(follower));
  CHECK(follower.position() == kKeys + 1);
  CHECK(read == expected);
}

}  // namespace
}  // namespace dn
