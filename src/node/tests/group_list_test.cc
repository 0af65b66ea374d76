// Tests when a list of owners shows that a member has left the group.
#include "node/internal/group_list.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

// Guards against a former owner that counts as gone although it is a member without a partition:
// its successor did not wait for the leases that it still granted.
TEST_CASE("a member that is not listed has left only if all members are listed", "[node]") {
  struct Case {
    std::string name;
    std::vector<std::string> owners;  // By partition.
    bool left;
  };
  const auto c = GENERATE(values<Case>({
      {"listed", {"a", "a", "b", "b", "x", "x"}, false},
      {"not among members that share evenly", {"a", "a", "b", "b", "c", "c"}, true},
      {"as evenly as possible", {"a", "a", "b", "b", "c"}, true},
      {"unevenly", {"a", "a", "a", "b", "c"}, false},
      {"one member has all", {"a", "a", "a", "a"}, false},
      {"as many members as partitions", {"a", "b", "c"}, false},
      {"no owners", {}, false},
  }));
  CAPTURE(c.name);
  std::vector<PartitionOwner> owners;
  for (const std::string& member : c.owners) {
    owners.emplace_back(
        PartitionOwnerFields{.partition = static_cast<int>(owners.size()), .member = member});
  }
  CHECK(HasLeft(owners, "x") == c.left);
}

}  // namespace
}  // namespace dn
