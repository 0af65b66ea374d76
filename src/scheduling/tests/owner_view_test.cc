// Tests when the owner of a shard may tell what it holds in memory.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr Duration kNow{10'000};

struct Case {
  std::string name;
  int confirmed_ms;     // Send time of the latest confirmation; 0: none.
  int jobs_read_ms;     // Send time of the latest complete read; 0: none.
  int time_to_live_ms;  // Of the ownership.
  ViewStatus status;
};

// Guards against counts and states told by an owner that may have been replaced or that has not
// read the latest submissions.
TEST_CASE("only a confirmed owner with recent reads tells counts and states", "[view]") {
  const auto c = GENERATE(values<Case>({
      {"confirmed and read at once", 10'000, 10'000, 1'800, ViewStatus::kCurrent},
      {"confirmed just within the limit", 8'201, 10'000, 1'800, ViewStatus::kCurrent},
      {"membership may have expired", 8'200, 10'000, 1'800, ViewStatus::kUnconfirmed},
      {"paused for seconds", 4'000, 4'000, 1'800, ViewStatus::kUnconfirmed},
      {"never confirmed", 0, 10'000, 1'800, ViewStatus::kUnconfirmed},
      {"read just within the limit", 10'000, 8'201, 1'800, ViewStatus::kCurrent},
      {"reads fail while joins succeed", 10'000, 8'200, 1'800, ViewStatus::kLagging},
      {"never read", 10'000, 0, 1'800, ViewStatus::kLagging},
      {"short time to live", 8'900, 10'000, 1'000, ViewStatus::kUnconfirmed},
      {"a long time to live does not extend the limit", 8'200, 10'000, 6'000,
       ViewStatus::kUnconfirmed},
      {"neither confirmed nor read", 0, 0, 1'800, ViewStatus::kUnconfirmed},
  }));
  CAPTURE(c.name);
  const OwnerView view({.confirmed = Time(Duration(c.confirmed_ms)),
                        .jobs_read = Time(Duration(c.jobs_read_ms)),
                        .time_to_live = Duration(c.time_to_live_ms)});
  CHECK(StatusOf(view, Time(kNow)) == c.status);
  CHECK(ToText(view, Time(kNow)) ==
        "view_age_ms=" + std::to_string(kNow.count() - c.jobs_read_ms) +
            " confirmed_age_ms=" + std::to_string(kNow.count() - c.confirmed_ms));
}

}  // namespace
}  // namespace dn
