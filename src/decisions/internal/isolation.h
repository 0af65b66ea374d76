// Determines whether this instance may still use its slots. An instance without
// contact to the store or to its siblings cannot know whether it has been evicted.
#pragma once

#include <algorithm>

#include "core/core.h"

namespace dn {

// Maximum time without contact during which requests are dispatched.
inline constexpr Duration kIsolationLimit{3000};
// Margin in waiting times for inaccurate timers and message delays.
inline constexpr Duration kSafetyMargin{1000};

// The peer that responded to a call of this instance. Only the streams in the store
// show with certainty whether this instance has been evicted; a response of the
// other sources only shows that this instance is connected.
enum class ContactSource {
  kStream,  // A stream in the store.
  kGroup,   // The store's group of instances.
  kSibling  // Another instance.
};

// Tracks the contact of this instance with the store and its siblings.
class Isolation {
 public:
  // Records the response to a call that was sent at `sent`. Unsolicited messages do
  // not count as contact, because they may have been buffered while this process was
  // paused. After kIsolationLimit without contact, only a stream restores it.
  void RecordContact(ContactSource source, Time sent, Time now) {
    const bool expired = now - last_contact_ > kIsolationLimit;
    if (expired && source != ContactSource::kStream) return;
    last_contact_ = std::max(last_contact_, sent);
  }
  // Records that a sibling has read the membership stream up to `offset`.
  void RecordReportedOffset(Offset offset, Time now) {
    if (read_ >= newest_reported_ && offset > read_) behind_since_ = now;
    newest_reported_ = std::max(newest_reported_, offset);
  }
  // Records that this instance has read the membership stream up to `offset`.
  void RecordReadOffset(Offset offset) { read_ = std::max(read_, offset); }

  // Returns whether requests may be dispatched at `now`.
  bool MayDispatch(Time now) const {
    // An outdated membership is safe for kIsolationLimit: an instance that gains a slot
    // waits for this instance's confirmation, and after an eviction for a longer time.
    const bool behind = read_ < newest_reported_ && now - behind_since_ > kIsolationLimit;
    return now - last_contact_ <= kIsolationLimit && !behind;
  }

 private:
  Time last_contact_{};                 // Send time of the latest call that received a response.
  Time behind_since_{};                 // Valid only while read_ < newest_reported_.
  Offset newest_reported_ = kNoOffset;  // Newest offset reported by a sibling.
  Offset read_ = kNoOffset;             // Read by this instance.
};

}  // namespace dn
