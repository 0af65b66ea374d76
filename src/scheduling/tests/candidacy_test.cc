// Tests which instances are candidates for the ownership of shards.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

// A read of the group's members.
struct Read {
  int at_ms;
  bool known;
  std::vector<double> shares;  // Processor shares of the other members.
};

struct Case {
  std::string name;
  double share;
  std::vector<Read> reads;
  bool offers;
};

TEST_CASE("small instances withdraw their candidacy for much larger ones", "[candidacy]") {
  const auto c = GENERATE(values<Case>({
      {"no read yet", 0.1, {}, false},
      {"no other member, 400 ms after the first read",
       0.1,
       {{0, true, {}}, {400, true, {}}},
       false},
      {"no other member, 500 ms after the first read", 0.1, {{0, true, {}}, {500, true, {}}}, true},
      {"members of about the same size",
       0.1,
       {{0, true, {0.1, 0.1}}, {500, true, {0.1, 0.12}}},
       true},
      {"largest member", 0.5, {{0, true, {0.07}}, {500, true, {0.07}}}, true},
      {"a member twice as large", 0.25, {{0, true, {0.5}}, {900, true, {0.5}}}, false},
      {"a candidate withdraws for a new larger member",
       0.07,
       {{0, true, {}}, {500, true, {0.07}}, {900, true, {0.07, 0.5}}},
       false},
      {"the larger member left 400 ms ago",
       0.07,
       {{0, true, {0.5}}, {900, true, {}}, {1'300, true, {}}},
       false},
      {"the larger member left 500 ms ago",
       0.07,
       {{0, true, {0.5}}, {900, true, {}}, {1'400, true, {}}},
       true},
      {"a failed read restarts the waiting period",
       0.07,
       {{0, true, {}}, {400, false, {}}, {800, true, {}}},
       false},
      {"a candidate stays one through a failed read",
       0.07,
       {{0, true, {}}, {500, true, {}}, {900, false, {}}, {1'000, true, {}}},
       true},
  }));
  CAPTURE(c.name);
  Candidacy candidacy(c.share);
  for (const Read& read : c.reads) {
    if (read.known) {
      candidacy.RecordMembers(read.shares, Time(Duration(read.at_ms)));
    } else {
      candidacy.RecordReadFailure();
    }
  }
  CHECK(candidacy.IsCandidate() == c.offers);
}

}  // namespace
}  // namespace dn
