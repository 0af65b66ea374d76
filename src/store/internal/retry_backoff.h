// Pauses between the attempts of a failing read: they grow, and a random part keeps readers that
// failed at the same time, such as all instances of one region, from trying again together.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "core/core.h"

namespace dn {

class RetryBackoff {
 public:
  // `first`: upper limit of the first pause; it doubles with each failure up to `longest`. `seed`
  // must differ between instances.
  RetryBackoff(Duration first, Duration longest, std::uint64_t seed)
      : first_(first), longest_(longest), limit_(first) {
    // Seeds that differ little, such as times of start, give unrelated sequences.
    std::seed_seq sequence{static_cast<std::uint32_t>(seed),
                           static_cast<std::uint32_t>(seed >> 32U)};
    random_.seed(sequence);
  }

  // Returns how long to wait after one more failure: between half of the limit and the limit.
  Duration Next() {
    const Duration limit = std::exchange(limit_, std::min(limit_ * 2, longest_));
    std::uniform_int_distribution<Duration::rep> pause(limit.count() / 2, limit.count());
    return Duration(pause(random_));
  }
  // Handles a success: the next pause is a first one again.
  void Reset() { limit_ = first_; }

 private:
  Duration first_;
  Duration longest_;
  Duration limit_;  // Of the next pause; at most `longest_`.
  std::minstd_rand random_;
};

}  // namespace dn
