// The rules of ownership.h.
#include "node/internal/ownership.h"

#include <algorithm>
#include <charconv>

#include "node/internal/group_list.h"

namespace dn {

std::string OwnershipKeyOf(FencingToken token) {
  return std::string(kOwnershipKey) + "." + std::to_string(token);
}

std::optional<Ownership> OwnershipIn(const StoreRecord& record) {
  if (!record->value || !record->key.starts_with(kOwnershipKey)) return std::nullopt;
  if (auto ownership = DecodeMessage<Ownership>(*record->value)) return ownership.value();
  OwnershipFields unreadable;
  const std::string_view token = std::string_view(record->key).substr(kOwnershipKey.size());
  if (!token.empty()) {
    std::from_chars(token.data() + 1, token.data() + token.size(), unreadable.token);
  }
  return Ownership(std::move(unreadable));
}

std::optional<Ownership> LastBefore(const std::map<std::string, Ownership>& ownerships,
                                    FencingToken token) {
  std::optional<Ownership> last;
  for (const auto& [key, ownership] : ownerships) {
    if (ownership->token >= token) continue;
    if (!last || ownership->token > (*last)->token) last = ownership;
  }
  return last;
}

bool HaveEnded(const std::map<std::string, Ownership>& ownerships, FencingToken token,
               const std::vector<PartitionOwner>& owners, Duration time_to_live,
               std::int64_t now_ms) {
  const std::optional<Ownership> last = LastBefore(ownerships, token);
  if (!last) return false;
  for (const auto& [key, earlier] : ownerships) {
    if (earlier->token >= token) continue;
    if (earlier->member.empty() || !HasLeft(owners, earlier->member)) return false;
  }
  // Both times of day may be wrong, in opposite directions.
  return now_ms - (*last)->since_ms >= (time_to_live + 2 * kTimeOfDayError).count();
}

Time EndOfEarlierOwners(Time fenced_at, Duration time_to_live, bool have_ended, Time now) {
  const Time latest = fenced_at + time_to_live;
  return have_ended ? std::min(now, latest) : latest;
}

}  // namespace dn
