// Tests which calls to the owner of a shard are logged, and what the line says.
#include "node/internal/owner_call.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

const Endpoint kSelf{.host = "self", .port = 1};
const Endpoint kOld{.host = "old", .port = 2};
const Endpoint kNew{.host = "new", .port = 3};

TEST_CASE("calls to an owner that failed, were repeated or were slow are logged",
          "[node][owner_call]") {
  struct Case {
    std::string name;
    std::vector<OwnerAttempt> attempts;
    Duration took;
    std::string text;  // Empty: not logged.
  };
  const auto c = GENERATE(values<Case>({
      {"answered at once", {{kNew, false, Duration(0), Duration(50), {}}}, Duration(50), ""},
      {"answered locally", {{kSelf, true, Duration(0), Duration(0), {}}}, Duration(0), ""},
      {"slow",
       {{kNew, false, Duration(300), Duration(260), {}}},
       Duration(560),
       "answered=yes attempts=1 took_ms=560 lookups_ms=300 last=new:3/remote last_ms=260"},
      {"answered by the next owner",
       {{kOld, false, Duration(30), Duration(900), Errc::kTimeout},
        {kNew, false, Duration(200), Duration(50), {}}},
       Duration(1'300),
       "answered=yes attempts=2 took_ms=1300 lookups_ms=230 last=new:3/remote last_ms=50 "
       "longest_failed=old:2/remote failed_lookup_ms=30 failed_ms=900 error=timed out"},
      {"no owner",
       {{std::nullopt, false, Duration(400), Duration(0), Errc::kNotFound}},
       Duration(400),
       "answered=no attempts=1 took_ms=400 lookups_ms=400 last=none last_ms=0 "
       "longest_failed=none failed_lookup_ms=400 failed_ms=0 error=not found"},
      {"own shard not open yet",
       {{kSelf, true, Duration(20), Duration(0), Errc::kUnavailable},
        {kSelf, true, Duration(20), Duration(0), {}}},
       Duration(160),
       "answered=yes attempts=2 took_ms=160 lookups_ms=40 last=self:1/local last_ms=0 "
       "longest_failed=self:1/local failed_lookup_ms=20 failed_ms=0 error=unavailable"},
  }));
  CAPTURE(c.name);
  OwnerCall call;
  for (const OwnerAttempt& attempt : c.attempts) call.Add(attempt);
  CHECK(call.attempts() == static_cast<int>(c.attempts.size()));
  CHECK(call.IsNotable(c.took) == !c.text.empty());
  if (!c.text.empty()) CHECK(call.ToText(c.took) == c.text);
}

}  // namespace
}  // namespace dn
