// Which instances offer themselves as owners.
#include <catch2/catch.hpp>

#include "scheduling/scheduling.h"

namespace dn {
namespace {

struct Read {
  int at_ms;
  bool known;
  std::vector<double> shares;  // Of the other members.
};

struct Case {
  std::string name;
  double share;
  std::vector<Read> reads;
  bool offers;
};

TEST_CASE("small instances stand back for much larger ones", "[candidacy]") {
  const auto c = GENERATE(values<Case>({
      {"nothing read yet", 0.1, {}, false},
      {"alone, but only just started", 0.1, {{0, true, {}}, {400, true, {}}}, false},
      {"alone for long enough", 0.1, {{0, true, {}}, {500, true, {}}}, true},
      {"among equals", 0.1, {{0, true, {0.1, 0.1}}, {500, true, {0.1, 0.12}}}, true},
      {"the largest among small ones", 0.5, {{0, true, {0.07}}, {500, true, {0.07}}}, true},
      {"beside one twice as large", 0.25, {{0, true, {0.5}}, {900, true, {0.5}}}, false},
      {"a member steps down for a larger one",
       0.07,
       {{0, true, {}}, {500, true, {0.07}}, {900, true, {0.07, 0.5}}},
       false},
      {"the larger one is gone, but only just",
       0.07,
       {{0, true, {0.5}}, {900, true, {}}, {1'300, true, {}}},
       false},
      {"the larger one stays away",
       0.07,
       {{0, true, {0.5}}, {900, true, {}}, {1'400, true, {}}},
       true},
      {"reads that failed say nothing",
       0.07,
       {{0, true, {}}, {400, false, {}}, {800, true, {}}},
       false},
      {"a member stays one while the store is away",
       0.07,
       {{0, true, {}}, {500, true, {}}, {900, false, {}}, {1'000, true, {}}},
       true},
  }));
  CAPTURE(c.name);
  Candidacy candidacy(c.share);
  for (const Read& read : c.reads) {
    if (read.known) {
      candidacy.Seen(read.shares, Time(Duration(read.at_ms)));
    } else {
      candidacy.Unknown();
    }
  }
  CHECK(candidacy.Offers() == c.offers);
}

}  // namespace
}  // namespace dn
