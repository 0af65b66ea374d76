// Decides the next step of an instance that claims an idempotency key.
#pragma once

#include <optional>

#include "decisions/internal/key_fold.h"

namespace dn {

// Next step of the instance.
enum class ClaimStep {
  kWon,        // The instance's claim was accepted: the request may be sent.
  kDuplicate,  // Another claim ended with outcome kAnswered or kUnknown.
  kAppend,     // The key is free: the instance appends its claim.
  kWait,       // The claim was appended but not read yet, or another claim is open.
};

// Returns the next step for `claim`. `state` is the state of the key as far as the
// stream has been read; `appended` states whether `claim` has been appended.
inline ClaimStep NextClaimStep(const std::optional<KeyState>& state, const RecordId& claim,
                               bool appended) {
  if (state && state->claim == claim) return ClaimStep::kWon;
  const bool taken = state && state->outcome != RequestOutcome::kNotRun;
  if (taken) return state->outcome ? ClaimStep::kDuplicate : ClaimStep::kWait;
  return appended ? ClaimStep::kWait : ClaimStep::kAppend;
}

}  // namespace dn
