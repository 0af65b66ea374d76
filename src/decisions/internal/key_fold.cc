// Implements the fold of claims of idempotency keys.
#include "decisions/internal/key_fold.h"

namespace dn {

void KeyFold::Apply(const StreamRecord<KeyRecord>& record) {
  if (record.offset <= offset_) return;
  offset_ = record.offset;
  Expire(record.time);
  const KeyRecord& entry = record.record;
  const auto found = keys_.find(entry->key);
  if (entry->outcome) {
    const bool ends_claim =
        found != keys_.end() && found->second.claim == entry->claim && !found->second.outcome;
    if (!ends_claim) return;
    found->second.outcome = entry->outcome;
    found->second.status = entry->status;
    return;
  }
  const bool free = found == keys_.end() || (found->second.outcome == RequestOutcome::kNotRun &&
                                             found->second.claim != entry->claim);
  if (!free) return;
  keys_.insert_or_assign(entry->key, KeyState{.claim = entry->claim,
                                              .claimant = entry->claimant,
                                              .time = record.time,
                                              .outcome = {},
                                              .status = 0});
  by_age_.push_back({.time = record.time, .key = entry->key});
}

std::optional<KeyState> KeyFold::Find(const IdempotencyKey& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return std::nullopt;
  return found->second;
}

void KeyFold::Expire(ClockReading now) {
  while (!by_age_.empty() && now - by_age_.front().time > window_.count()) {
    const auto found = keys_.find(by_age_.front().key);
    if (found != keys_.end() && found->second.time == by_age_.front().time) keys_.erase(found);
    by_age_.pop_front();
  }
}

}  // namespace dn
