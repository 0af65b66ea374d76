// Rate limit of appends to the metadata store, shared by all instances.
#pragma once

#include <algorithm>

#include "core/core.h"

namespace dn {

// Maximum appends per second of all instances together. The platform's metadata
// store accepts several hundred.
inline constexpr int kMaxTotalAppendsPerSecond = 160;
inline constexpr Duration kMinAppendInterval{10};

// Returns the minimum interval between two appends of one instance when
// `members` instances share the limit. Records that are submitted within the
// interval are sent in one append.
inline Duration AppendInterval(std::size_t members) {
  const Duration share{1000 * std::max<std::size_t>(members, 1) / kMaxTotalAppendsPerSecond};
  return std::max(kMinAppendInterval, share);
}

}  // namespace dn
