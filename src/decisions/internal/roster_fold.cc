// Rules of the roster.
#include "decisions/internal/roster_fold.h"

#include <algorithm>

namespace dn {
namespace {

void Retire(RosterState& state, const InstanceId& id, ClockReading time) {
  const auto found = state.members.find(id);
  if (found == state.members.end()) return;
  state.retired.push_back({.instance = found->second, .time = time});
  if (state.retired.size() > RosterRules::kMaxRetired) state.retired.erase(state.retired.begin());
  state.members.erase(found);
}

// A newer process on an address shows that the older one has ended.
void RetireOlderOnAddress(RosterState& state, const Instance& joining, ClockReading time) {
  std::vector<InstanceId> older;
  for (const auto& [id, member] : state.members) {
    const bool same_address = member->sibling_address == joining->sibling_address;
    if (same_address && member->incarnation < joining->incarnation) older.push_back(id);
  }
  for (const InstanceId& id : older) Retire(state, id, time);
}

void Join(RosterState& state, const Instance& instance, ClockReading time) {
  const auto same_id = state.members.find(instance->id);
  if (same_id != state.members.end() && same_id->second->incarnation >= instance->incarnation) {
    return;
  }
  for (const RetiredMember& past : state.retired) {
    const bool same = past.instance->id == instance->id;
    if (same && past.instance->incarnation >= instance->incarnation) return;
  }
  if (same_id != state.members.end()) Retire(state, instance->id, time);
  RetireOlderOnAddress(state, instance, time);
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
      // Written after draining: nothing is held any more.
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
  // The snapshot was written before it was read, so that this is never too early.
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
