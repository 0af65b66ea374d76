// Claims of idempotency keys as a pure function of the stream "keys": the
// first claim of a key wins, for as long as records are kept.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "core/core.h"

namespace dn {

struct KeyState {
  RecordId claim;
  InstanceId claimant;
  ClockReading time = 0;  // When the claim was read.
  std::optional<RequestOutcome> outcome;
  int status = 0;

  auto operator<=>(const KeyState&) const = default;
};

class KeyFold {
 public:
  // Keys are kept for `window` from the reading of their claim. It is below the
  // retention of the stream, so that no reader frees a key earlier than a reader
  // that begins later could know of it.
  explicit KeyFold(Duration window) : window_(window) {}

  // Reading begins anew; what is known stays. Keys need no snapshot, since no
  // key is kept for longer than its record.
  void Begin(Offset) {}
  void Apply(const Logged<KeyRecord>& record);
  std::optional<KeyState> Find(const IdempotencyKey& key) const;
  std::size_t size() const { return keys_.size(); }
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
  std::deque<Age> by_age_;  // Every claim that won, oldest first.
};

}  // namespace dn
