// Record of who owns a shard.
#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"

namespace dn {

// The first record of an owner in the progress of its shard. It is text that versions without it
// cannot take for the progress of a job.
struct OwnershipFields {
  std::string instance;       // Identifier of the owner's instance.
  std::int64_t token = 0;     // Fencing token, which is the epoch of the owner's records.
  std::int64_t since_ms = 0;  // When the take-over began, in ms since 1970.

  auto operator<=>(const OwnershipFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("instance", &OwnershipFields::instance),
                           Required("token", &OwnershipFields::token),
                           Required("since_ms", &OwnershipFields::since_ms));
  }
};
using Ownership = Immutable<OwnershipFields>;

}  // namespace dn
