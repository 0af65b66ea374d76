// What a list of the owners of all partitions tells about the members of the group.
#pragma once

#include <string>
#include <vector>

#include "store/store.h"

namespace dn {

// Returns whether `member` has left the group or has been evicted, as far as `owners` can tell. A
// member without a partition is missing from the list although it is a member; that is excluded
// only if several members share the partitions evenly and each of them could have more than one.
bool HasLeft(const std::vector<PartitionOwner>& owners, const std::string& member);

}  // namespace dn
