// Claims of idempotency keys through a stream in the store.
#pragma once

#include <functional>
#include <optional>

#include "decisions/decisions.h"
#include "runtime/runtime.h"
#include "store/store.h"

namespace dn {

using SharedKeys = Shared<KeyFold, LockRank::kKeys>;

// What became of an attempt to claim a key.
struct ClaimResult {
  enum class Kind { kWon, kDuplicate, kNotConfirmed };
  Kind kind = Kind::kNotConfirmed;
  RecordId claim;                               // For kWon.
  std::optional<RequestOutcome> first_outcome;  // For kDuplicate, if known.
  int first_status = 0;

  auto operator<=>(const ClaimResult&) const = default;
};

class KeyClaims {
 public:
  // `changed` is notified whenever the fold has grown.
  KeyClaims(InstanceId self, std::uint64_t incarnation, StreamAppender& appender, SharedKeys& keys)
      : self_(std::move(self)), incarnation_(incarnation), appender_(appender), keys_(keys) {}

  // Claims `key`, or waits for the outcome of the one who did, until `deadline`.
  Task<ClaimResult> Claim(IdempotencyKey key, Time deadline);
  // Records the end of a won claim.
  void End(const IdempotencyKey& key, const RecordId& claim, RequestOutcome outcome, int status);
  // The fold has grown.
  void Changed() { changed_.NotifyAll(); }

 private:
  // Ends stay worth recording through a long outage of the store.
  static constexpr Duration kEndDeadline{600'000};

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
