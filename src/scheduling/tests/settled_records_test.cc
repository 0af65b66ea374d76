// Tests which records an owner states as settled.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

constexpr Duration kNever = Time::max().time_since_epoch();

// Guards against a successor that takes a start for settled which its predecessor had just sent, or
// which an incarnation of a worker may have carried out that the predecessor had not heard of; and
// against records that never settle.
TEST_CASE("records settle once their starts are closed or old", "[scheduling][settled]") {
  struct Look {
    Duration at;
    Duration open_since;  // When the oldest open start was sent.
    std::optional<std::int64_t> stated;
  };
  struct Case {
    std::string name;
    std::vector<std::pair<std::int64_t, Duration>> stored;  // Ends, and when.
    std::int64_t settled_before;                            // By an earlier owner.
    std::vector<Look> looks;
  };
  // A lease that is not heard of is 1.02 s longer. Starts are old after 7.77 s.
  const auto c = GENERATE(values<Case>({
      {"nothing stored", {}, 0, {{Duration(20'000), kNever, std::nullopt}}},
      {"no start is open",
       {{5, Duration(2'000)}},
       0,
       {{Duration(2'100), kNever, std::nullopt},
        {Duration(3'100), kNever, std::nullopt},
        {Duration(4'100), kNever, 5},
        {Duration(5'100), kNever, std::nullopt}}},
      {"a later start is open",
       {{5, Duration(2'000)}, {9, Duration(3'000)}},
       0,
       {{Duration(3'100), Duration(2'500), std::nullopt}, {Duration(4'200), Duration(2'500), 5}}},
      {"a start stays open",
       {{5, Duration(2'000)}},
       0,
       {{Duration(4'200), Duration(2'000), std::nullopt},
        {Duration(9'769), Duration(2'000), std::nullopt},
        {Duration(9'770), Duration(2'000), 5}}},
      {"a start of an earlier owner is open",
       {{5, Duration(2'000)}},
       0,
       {{Duration(9'769), Duration(0), std::nullopt}, {Duration(9'770), Duration(0), 5}}},
      {"the end is not known", {{-1, Duration(0)}}, 0, {{Duration(20'000), kNever, std::nullopt}}},
      {"settled by an earlier owner", {{9, Duration(1'000)}}, 4, {{Duration(1'001), kNever, 4}}},
  }));
  CAPTURE(c.name);
  SettledRecords records{Policy()};
  records.SettledBefore(c.settled_before);
  for (const auto& [end, at] : c.stored) records.Stored(end, Time(at));
  for (const Look& look : c.looks) {
    CAPTURE(look.at.count());
    CHECK(records.Settle(Time(look.at), Time(look.open_since)) == look.stated);
  }
}

// Guards against an append for each step of the settled end, and against one without a change.
TEST_CASE("settled records are looked at once in a period while there is something to state",
          "[scheduling][settled]") {
  SettledRecords records{Policy()};
  CHECK_FALSE(records.IsDue(Time(Duration(5'000))));
  records.Stored(3, Time(Duration(5'000)));
  CHECK(records.IsDue(Time(Duration(5'000))));
  records.Settle(Time(Duration(5'000)), Time::max());
  CHECK_FALSE(records.IsDue(Time(Duration(5'999))));
  CHECK(records.IsDue(Time(Duration(6'000))));
  CHECK(records.Settle(Time(Duration(6'100)), Time::max()) == 3);
  CHECK_FALSE(records.IsDue(Time(Duration(60'000))));
}

}  // namespace
}  // namespace dn
