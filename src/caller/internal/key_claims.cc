// Appending of claims, and waiting for their results.
#include "caller/internal/key_claims.h"

namespace dn {

RecordId KeyClaims::NextClaimId() {
  return {self_.value + "-" + std::to_string(incarnation_) + "-" +
          std::to_string(next_claim_.fetch_add(1))};
}

Task<ClaimResult> KeyClaims::Claim(IdempotencyKey key, Time deadline) {
  const RecordId claim = NextClaimId();
  bool appended = false;
  while (Now() < deadline) {
    const std::uint64_t ticket = changed_.Ticket();
    const auto state = keys_.With([&](const KeyFold& keys) { return keys.Find(key); });
    const ClaimStep step = NextClaimStep(state, claim, appended);
    if (step == ClaimStep::kWon) {
      co_return ClaimResult{.kind = ClaimResult::Kind::kWon, .claim = claim};
    }
    if (step == ClaimStep::kDuplicate) {
      co_return ClaimResult{.kind = ClaimResult::Kind::kDuplicate,
                            .claim = {},
                            .first_outcome = state->outcome,
                            .first_status = state->status};
    }
    if (step == ClaimStep::kAppend) {
      const KeyRecord record({.key = key, .claim = claim, .claimant = self_});
      appender_.AppendLater(kKeyStream, EncodeText(record), deadline);
      appended = true;
    }
    co_await changed_.Wait(ticket, deadline);
  }
  // The appended claim may still win after the deadline. Its end is recorded as not run, so that it
  // does not block the key for a retry.
  if (appended) {
    EndClaim(key, claim, RequestOutcome::kNotRun, 0);
    co_return ClaimResult{.kind = ClaimResult::Kind::kNotConfirmed};
  }
  co_return ClaimResult{.kind = ClaimResult::Kind::kDuplicate};
}

void KeyClaims::EndClaim(const IdempotencyKey& key, const RecordId& claim, RequestOutcome outcome,
                         int status) {
  const KeyRecord record(
      {.key = key, .claim = claim, .claimant = self_, .outcome = outcome, .status = status});
  appender_.AppendLater(kKeyStream, EncodeText(record), Now() + kOutcomeAppendTimeout);
}

}  // namespace dn
