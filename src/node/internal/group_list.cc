// Finds members that have left in a list of the owners of all partitions.
#include "node/internal/group_list.h"

#include <algorithm>
#include <map>

namespace dn {

bool HasLeft(const std::vector<PartitionOwner>& owners, const std::string& member) {
  std::map<std::string, int> counts;
  for (const PartitionOwner& row : owners) ++counts[row->member];
  if (counts.size() < 2 || counts.count(member) > 0) return false;
  const auto [least, most] =
      std::minmax_element(counts.begin(), counts.end(),
                          [](const auto& a, const auto& b) { return a.second < b.second; });
  return most->second > 1 && most->second - least->second <= 1;
}

}  // namespace dn
