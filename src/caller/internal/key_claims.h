// Claims idempotency keys by appending records to a stream in the store. The first claim of a key
// in the stream wins, so that at most one instance sends the key's request.
#pragma once

#include <functional>
#include <optional>

#include "decisions/decisions.h"
#include "runtime/runtime.h"
#include "store/store.h"

namespace dn {

using SharedKeys = Shared<KeyFold, LockRank::kKeys>;

// Result of an attempt to claim a key.
struct ClaimResult {
  enum class Kind {
    kWon,          // The request may be sent.
    kDuplicate,    // Another request has claimed the key.
    kNotConfirmed  // The own claim was appended, but had not won when the deadline passed.
  };
  Kind kind = Kind::kNotConfirmed;
  RecordId claim;  // Set for kWon.
  // Set for kDuplicate if the outcome of the request that won the claim is known.
  std::optional<RequestOutcome> first_outcome;
  int first_status = 0;  // HTTP status of that request if it was answered.

  auto operator<=>(const ClaimResult&) const = default;
};

class KeyClaims {
 public:
  // `keys` is the fold of the stream; whoever updates it calls NotifyChanged afterwards.
  KeyClaims(InstanceId self, std::uint64_t incarnation, StreamAppender& appender, SharedKeys& keys)
      : self_(std::move(self)), incarnation_(incarnation), appender_(appender), keys_(keys) {}

  // Claims `key`. If another request has an open claim, waits until `deadline` for its outcome: an
  // outcome of kNotRun frees the key for a new claim, any other makes this request a duplicate.
  Task<ClaimResult> Claim(IdempotencyKey key, Time deadline);
  // Appends the outcome of the request whose claim won. `status`: HTTP status of the response, 0 if
  // there was none.
  void EndClaim(const IdempotencyKey& key, const RecordId& claim, RequestOutcome outcome,
                int status);
  // Wakes the waiting claims after records were added to the fold.
  void NotifyChanged() { changed_.NotifyAll(); }

 private:
  // Time limit for recording an outcome: 10 min, so that an outcome is still recorded after a
  // long outage of the store: a claim without an outcome blocks its key until the key expires.
  static constexpr Duration kOutcomeAppendTimeout{600'000};

  RecordId NextClaimId();
  void Append(const KeyRecord& record, Time deadline);

  const InstanceId self_;
  const std::uint64_t incarnation_;
  StreamAppender& appender_;
  SharedKeys& keys_;
  Notifier changed_;
  std::atomic<std::uint64_t> next_claim_{0};
};

}  // namespace dn
