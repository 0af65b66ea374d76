// Implements the rules of the membership stream.
#include "decisions/internal/roster_fold.h"

#include <algorithm>

namespace dn {
namespace {

// Moves the member `id` from the members to the evicted ones.
void Evict(MembershipState& state, const InstanceId& id, ClockReading time) {
  const auto found = state.members.find(id);
  if (found == state.members.end()) return;
  state.evicted.push_back({.instance = found->second, .time = time});
  if (state.evicted.size() > MembershipRules::kMaxEvicted)
    state.evicted.erase(state.evicted.begin());
  state.members.erase(found);
}

// Evicts older incarnations at the address of `joining`: a newer process at the same
// address proves that the older one has ended.
void EvictOlderAtAddress(MembershipState& state, const Instance& joining, ClockReading time) {
  std::vector<InstanceId> older;
  for (const auto& [id, member] : state.members) {
    const bool same_address = member->sibling_address == joining->sibling_address;
    if (same_address && member->incarnation < joining->incarnation) older.push_back(id);
  }
  for (const InstanceId& id : older) Evict(state, id, time);
}

// Adds `instance`, unless the same or a newer incarnation of it is a member or has
// been evicted. An older incarnation that is a member is evicted.
void Join(MembershipState& state, const Instance& instance, ClockReading time) {
  const auto same_id = state.members.find(instance->id);
  if (same_id != state.members.end() && same_id->second->incarnation >= instance->incarnation) {
    return;
  }
  for (const EvictedMember& earlier : state.evicted) {
    const bool same_instance = earlier.instance->id == instance->id;
    if (same_instance && earlier.instance->incarnation >= instance->incarnation) return;
  }
  if (same_id != state.members.end()) Evict(state, instance->id, time);
  EvictOlderAtAddress(state, instance, time);
  state.members.insert_or_assign(instance->id, instance);
}

}  // namespace

std::vector<Instance> MembershipState::MembersOf(const RegionName& region) const {
  std::vector<Instance> found;
  for (const auto& [id, member] : members) {
    if (member->region == region) found.push_back(member);
  }
  return found;
}

bool MembershipState::Contains(const Instance& instance) const {
  const auto found = members.find(instance->id);
  return found != members.end() && found->second->incarnation == instance->incarnation;
}

void MembershipRules::Step(State& state, const StreamRecord<Record>& record) {
  const MembershipRecord& entry = record.record;
  if (!entry->change || !entry->instance) return;
  const Instance& instance = *entry->instance;
  switch (*entry->change) {
    case MembershipChange::kJoin:
      Join(state, instance, record.time);
      return;
    case MembershipChange::kLeave:
      // An instance leaves after draining, so that it uses no slots any more.
      if (state.Contains(instance)) state.members.erase(instance->id);
      return;
    case MembershipChange::kEvict:
      if (state.Contains(instance)) Evict(state, instance->id, record.time);
      return;
  }
}

std::optional<std::pair<MembershipState, Offset>> MembershipRules::Restore(
    const StreamRecord<Record>& record) {
  if (!record.record->snapshot) return std::nullopt;
  const MembershipSnapshot& snapshot = *record.record->snapshot;
  MembershipState state;
  for (const Instance& member : snapshot->members) state.members.emplace(member->id, member);
  // The snapshot was written before it was read. The computed time of an eviction is
  // therefore never earlier than the actual one.
  for (const Evicted& evicted : snapshot->evicted) {
    state.evicted.push_back(
        {.instance = evicted->instance, .time = record.time - evicted->age.count()});
  }
  return std::pair(std::move(state), snapshot->as_of);
}

MembershipRecord MembershipRules::Snapshot(const State& state, Offset as_of, ClockReading now) {
  MembershipSnapshotFields fields{.as_of = as_of, .members = {}, .evicted = {}};
  for (const EvictedMember& evicted : state.evicted) {
    fields.evicted.push_back(
        Evicted({.instance = evicted.instance, .age = Duration(now - evicted.time)}));
  }
  for (const auto& [id, member] : state.members) fields.members.push_back(member);
  return MembershipRecord(
      {.change = {}, .instance = {}, .snapshot = MembershipSnapshot(std::move(fields))});
}

}  // namespace dn
