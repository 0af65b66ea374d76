// Implements the rules of the membership stream.
#include "decisions/internal/roster_fold.h"

#include <algorithm>

namespace dn {
namespace {

// Moves the member `id` from the members to the evicted ones.
void Retire(RosterState& state, const InstanceId& id, ClockReading time) {
  const auto found = state.members.find(id);
  if (found == state.members.end()) return;
  state.retired.push_back({.instance = found->second, .time = time});
  if (state.retired.size() > RosterRules::kMaxRetired) state.retired.erase(state.retired.begin());
  state.members.erase(found);
}

// Evicts older incarnations at the address of `joining`: a newer process at the same
// address proves that the older one has ended.
void EvictOlderAtAddress(RosterState& state, const Instance& joining, ClockReading time) {
  std::vector<InstanceId> older;
  for (const auto& [id, member] : state.members) {
    const bool same_address = member->sibling_address == joining->sibling_address;
    if (same_address && member->incarnation < joining->incarnation) older.push_back(id);
  }
  for (const InstanceId& id : older) Retire(state, id, time);
}

// Adds `instance`, unless the same or a newer incarnation of it is a member or has
// been evicted. An older incarnation that is a member is evicted.
void Join(RosterState& state, const Instance& instance, ClockReading time) {
  const auto same_id = state.members.find(instance->id);
  if (same_id != state.members.end() && same_id->second->incarnation >= instance->incarnation) {
    return;
  }
  for (const RetiredMember& earlier : state.retired) {
    const bool same_instance = earlier.instance->id == instance->id;
    if (same_instance && earlier.instance->incarnation >= instance->incarnation) return;
  }
  if (same_id != state.members.end()) Retire(state, instance->id, time);
  EvictOlderAtAddress(state, instance, time);
  state.members.insert_or_assign(instance->id, instance);
}

}  // namespace

std::vector<Instance> RosterState::MembersOf(const RegionName& region) const {
  std::vector<Instance> found;
  for (const auto& [id, member] : members) {
    if (member->region == region) found.push_back(member);
  }
  return found;
}

bool RosterState::Contains(const Instance& instance) const {
  const auto found = members.find(instance->id);
  return found != members.end() && found->second->incarnation == instance->incarnation;
}

void RosterRules::Step(State& state, const Logged<Record>& record) {
  const RosterRecord& entry = record.record;
  if (!entry->change || !entry->instance) return;
  const Instance& instance = *entry->instance;
  switch (*entry->change) {
    case RosterChange::kJoin:
      Join(state, instance, record.time);
      return;
    case RosterChange::kLeave:
      // An instance leaves after draining, so that it uses no slots any more.
      if (state.Contains(instance)) state.members.erase(instance->id);
      return;
    case RosterChange::kRetire:
      if (state.Contains(instance)) Retire(state, instance->id, record.time);
      return;
  }
}

std::optional<std::pair<RosterState, Offset>> RosterRules::Restore(const Logged<Record>& record) {
  if (!record.record->snapshot) return std::nullopt;
  const RosterSnapshot& snapshot = *record.record->snapshot;
  RosterState state;
  for (const Instance& member : snapshot->members) state.members.emplace(member->id, member);
  // The snapshot was written before it was read. The computed time of an eviction is
  // therefore never earlier than the actual one.
  for (const Retired& retired : snapshot->retired) {
    state.retired.push_back(
        {.instance = retired->instance, .time = record.time - retired->age.count()});
  }
  return std::pair(std::move(state), snapshot->as_of);
}

RosterRecord RosterRules::Snapshot(const State& state, Offset as_of, ClockReading now) {
  RosterSnapshotFields fields{.as_of = as_of, .members = {}, .retired = {}};
  for (const RetiredMember& retired : state.retired) {
    fields.retired.push_back(
        Retired({.instance = retired.instance, .age = Duration(now - retired.time)}));
  }
  for (const auto& [id, member] : state.members) fields.members.push_back(member);
  return RosterRecord(
      {.change = {}, .instance = {}, .snapshot = RosterSnapshot(std::move(fields))});
}

}  // namespace dn
