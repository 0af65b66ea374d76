// Implements rendezvous hashing with XXH3.
#include "decisions/internal/ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>

namespace dn {

std::optional<InstanceId> OwnerOf(std::string_view key, const std::vector<Instance>& members) {
  const Instance* best = nullptr;
  XXH64_hash_t best_weight = 0;
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  for (const Instance& member : members) {
    const std::string& id = member->id.value;
    const XXH64_hash_t weight = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    const bool better = best == nullptr || weight > best_weight ||
                        (weight == best_weight && id < (*best)->id.value);
    if (!better) continue;
    best = &member;
    best_weight = weight;
  }
  if (best == nullptr) return std::nullopt;
  return (*best)->id;
}

std::optional<InstanceId> OwnerOfSlot(const Slot& slot, const std::vector<Instance>& members) {
  std::string key = slot->worker.value;
  key += '\0';
  key += slot->service.value;
  key += '\0';
  key += std::to_string(slot->index);
  return OwnerOf(key, members);
}

}  // namespace dn
