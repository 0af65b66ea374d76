// Limits the retries of requests and computes the delay before each retry.
#pragma once

#include <algorithm>
#include <random>

#include "decisions/internal/routing.h"

namespace dn {

// Token bucket that limits retries to a share of the first attempts.
class RetryBudget {
 public:
  static constexpr double kShare = 0.1;     // Retries for each first attempt.
  static constexpr double kMaxTokens = 50;  // Capacity of the bucket: the largest burst of retries.

  // Records the first attempt of a request.
  void RecordFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kShare); }
  // Takes a token for one retry; returns false if the budget is exhausted.
  bool ConsumeRetry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 10;
};

inline constexpr int kMaxRequestAttempts = 3;  // Including the first attempt.
inline constexpr Duration kInitialBackoff{10};
inline constexpr Duration kMaxBackoff{500};

// Returns the delay before the next attempt: full jitter over a range that doubles
// with each attempt. `attempts` is the number of attempts so far, at least 1.
inline Duration Backoff(int attempts, Random& random) {
  const auto range =
      std::min(kMaxBackoff.count(), kInitialBackoff.count() << std::min(attempts, 10));
  return Duration(std::uniform_int_distribution<Duration::rep>(1, range)(random));
}

}  // namespace dn
