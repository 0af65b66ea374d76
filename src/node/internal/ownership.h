// Records of who owns a shard, and what they tell about earlier owners.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/internal/shards.h"

namespace dn {

// The first record of an owner in the progress of its shard, which it renews later. Each owner
// writes its own, so that the next one learns who came before it. It is text that versions without
// it cannot take for the progress of a job.
struct OwnershipFields {
  std::string instance;       // Identifier of the owner's instance.
  std::int64_t token = 0;     // Fencing token, which is the epoch of the owner's records.
  std::int64_t since_ms = 0;  // When the take-over began, in ms since 1970.
  std::string member;         // The owner's name in the group; empty: not known.
  // The starts in all records of progress below this offset are settled.
  std::int64_t settled_end = 0;

  auto operator<=>(const OwnershipFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("instance", &OwnershipFields::instance),
                           Required("token", &OwnershipFields::token),
                           Required("since_ms", &OwnershipFields::since_ms),
                           Optional("member", &OwnershipFields::member),
                           Optional("settled_end", &OwnershipFields::settled_end));
  }
};
using Ownership = Immutable<OwnershipFields>;

// Returns the key of the record of the owner with `token`. Versions before the name in the group
// have one key for all owners, kOwnershipKey.
std::string OwnershipKeyOf(FencingToken token);

// Returns the ownership in `record`; nothing if it is none. One whose value cannot be decoded has
// the token of its key.
std::optional<Ownership> OwnershipIn(const StoreRecord& record);

// Returns the last one before the owner with `token`; nothing if there is none. `ownerships`: by
// key.
std::optional<Ownership> LastBefore(const std::map<std::string, Ownership>& ownerships,
                                    FencingToken token);

// Returns whether no earlier owner can act any more, after the owner with `token` has fenced them
// and read `owners` at the time of day `now_ms`. All whose records are left must have left the
// group, and the time to live of those before the last one must have passed, since they may not
// know that they were replaced.
bool HaveEnded(const std::map<std::string, Ownership>& ownerships, FencingToken token,
               const std::vector<PartitionOwner>& owners, Duration time_to_live,
               std::int64_t now_ms);

// Returns until when earlier owners may act that were fenced at `fenced_at`. `have_ended`: they
// were found to have ended at `now`. They may have acted until then, but not for longer than their
// time to live after the fence.
Time EndOfEarlierOwners(Time fenced_at, Duration time_to_live, bool have_ended, Time now);

}  // namespace dn
