// Standing back for larger instances.
#include "scheduling/internal/candidacy.h"

#include <algorithm>

namespace dn {
namespace {

// A member this many times as large is left to own alone. Below it a hand-over
// costs more than it gains.
constexpr double kMuchLarger = 2.0;
// Instances of one deployment start within 0.3 s of each other; a join and the
// read that shows it take a few answers of the store.
constexpr Duration kPatience{500};

}  // namespace

void Candidacy::Seen(const std::vector<double>& shares, Time now) {
  rivalled_ = std::any_of(shares.begin(), shares.end(),
                          [&](double share) { return share >= kMuchLarger * share_; });
  if (rivalled_) {
    unrivalled_since_.reset();
    offers_ = false;
    return;
  }
  if (!unrivalled_since_) unrivalled_since_ = now;
  offers_ = offers_ || now - *unrivalled_since_ >= kPatience;
}

void Candidacy::Unknown() {
  rivalled_ = false;
  unrivalled_since_.reset();
}

}  // namespace dn
