// Tells whether this instance may still act on its shares. An instance that
// heard from nobody cannot tell whether it was retired.
#pragma once

#include <algorithm>

#include "core/core.h"

namespace dn {

// Longest time without contact after which no request is dispatched.
inline constexpr Duration kIsolationLimit{3000};
// Margin for timers and message delays in waiting times.
inline constexpr Duration kSafetyMargin{1000};

// Who answered a call of this instance. Only the streams in the store tell for
// certain whether this instance was retired; the others tell that it is not cut
// off.
enum class ContactSource { kStream, kGroup, kSibling };

class Isolation {
 public:
  // A call that was sent at `sent` has been answered. What others send unasked
  // is no contact: it may have waited in a buffer while this process was
  // paused. Once contact has lapsed, only a stream restores it.
  void Contact(ContactSource source, Time sent, Time now) {
    const bool lapsed = now - last_contact_ > kIsolationLimit;
    if (lapsed && source != ContactSource::kStream) return;
    last_contact_ = std::max(last_contact_, sent);
  }
  // A sibling has read the roster up to `offset`.
  void HeardOffset(Offset offset, Time now) {
    if (read_ >= newest_heard_ && offset > read_) behind_since_ = now;
    newest_heard_ = std::max(newest_heard_, offset);
  }
  // This instance has read the roster up to `offset`.
  void ReadOffset(Offset offset) { read_ = std::max(read_, offset); }

  bool MayDispatch(Time now) const {
    // For a short time an older roster does no harm: who gains a share waits
    // for this instance's confirmation, and after a retirement for longer.
    const bool behind = read_ < newest_heard_ && now - behind_since_ > kIsolationLimit;
    return now - last_contact_ <= kIsolationLimit && !behind;
  }

 private:
  Time last_contact_{};  // When the last answered call was sent.
  Time behind_since_{};  // While read_ < newest_heard_.
  Offset newest_heard_ = kNoOffset;
  Offset read_ = kNoOffset;
};

}  // namespace dn
