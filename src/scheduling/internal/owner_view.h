// Decides whether the owner of a shard may tell what it holds in memory. Since the last responses
// of the store, another node may have become the owner and jobs may have been submitted.
#pragma once

#include <algorithm>
#include <string>

#include "core/core.h"

namespace dn {

// Maximum age of what callers are told about jobs that have not ended. The platform allows 2 s; the
// difference covers the way to the caller.
inline constexpr Duration kMaxViewAge{1'800};

// What the owner's memory is based on. Times are those at which a call was sent, not those of its
// response: what the store returned may be that old.
struct OwnerViewFields {
  Time confirmed{};          // Latest join by which the store confirmed the ownership.
  Time jobs_read{};          // Latest read that reached the end of the submitted jobs.
  Duration time_to_live{0};  // The store keeps the ownership for this long after a join.

  friend auto operator<=>(const OwnerViewFields&, const OwnerViewFields&) = default;
};
using OwnerView = Immutable<OwnerViewFields>;

enum class ViewStatus {
  kCurrent,      // May be told.
  kLagging,      // Jobs may be missing; may be told after another read.
  kUnconfirmed,  // Another node may be the owner.
};

inline ViewStatus StatusOf(const OwnerView& view, Time now) {
  if (now - view->confirmed >= std::min(view->time_to_live, kMaxViewAge)) {
    return ViewStatus::kUnconfirmed;
  }
  return now - view->jobs_read >= kMaxViewAge ? ViewStatus::kLagging : ViewStatus::kCurrent;
}

// Returns the ages of the parts of `view` as a list of name=value, separated by spaces.
inline std::string ToText(const OwnerView& view, Time now) {
  return "view_age_ms=" + std::to_string((now - view->jobs_read).count()) +
         " confirmed_age_ms=" + std::to_string((now - view->confirmed).count());
}

}  // namespace dn
