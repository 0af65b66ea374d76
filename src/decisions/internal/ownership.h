// Assigns owners by rendezvous hashing. All instances that have read the membership
// stream up to the same offset compute the same owners.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace dn {

// Returns the owner of `key` among `members`, or nothing if `members` is empty.
std::optional<InstanceId> OwnerOf(std::string_view key, const std::vector<Instance>& members);

// Returns the owner of a slot among `members`, or nothing if `members` is empty.
std::optional<InstanceId> OwnerOfSlot(const Slot& slot, const std::vector<Instance>& members);

}  // namespace dn
