// Computes the claims of idempotency keys as a pure function of the stream "keys".
// The first claim of a key is accepted, and it holds until the key expires.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "core/core.h"

namespace dn {

// The accepted claim of a key.
struct KeyState {
  RecordId claim;
  InstanceId claimant;
  ClockReading time = 0;                  // When the claim was read, by the reader's steady clock.
  std::optional<RequestOutcome> outcome;  // Empty while the claim is open.
  int status = 0;                         // HTTP status of the response; only for kAnswered.

  auto operator<=>(const KeyState&) const = default;
};

// Fold of the stream "keys".
class KeyFold {
 public:
  // A key expires `window` after its claim was read. The window is shorter than the
  // stream's retention, so that a reader that starts later can still read the claim
  // of every key that has not expired for other readers.
  explicit KeyFold(Duration window) : window_(window) {}

  // Called when reading restarts; the known keys are kept. Keys need no snapshot,
  // because no key is kept longer than the record of its claim.
  void Begin(Offset) {}
  // Applies the next record. A record at or before offset() has no effect.
  void Apply(const StreamRecord<KeyRecord>& record);
  // Returns the accepted claim of `key`, or nothing if there is none.
  std::optional<KeyState> Find(const IdempotencyKey& key) const;
  std::size_t size() const { return keys_.size(); }
  // Offset of the last applied record.
  Offset offset() const { return offset_; }

 private:
  void Expire(ClockReading now);

  Duration window_;
  Offset offset_ = kNoOffset;
  std::map<IdempotencyKey, KeyState> keys_;
  struct Age {
    ClockReading time = 0;
    IdempotencyKey key;
  };
  std::deque<Age> by_age_;  // All accepted claims, oldest first.
};

}  // namespace dn
