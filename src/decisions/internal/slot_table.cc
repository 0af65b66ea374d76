// Implements the handover and the use of slots.
#include "decisions/internal/slot_table.h"

#include <algorithm>

#include "decisions/internal/ownership.h"

namespace dn {
namespace {

constexpr double kLatencyWeight = 0.1;  // Weight of a new sample in the moving average.

// Returns the availability zones of `region`.
std::set<std::string> ZonesOf(const RegionName& region, const Configuration& configuration) {
  std::set<std::string> zones;
  for (const Region& declared : configuration->regions) {
    if (declared->name != region) continue;
    for (const ZoneName& zone : declared->availability_zones) zones.insert(zone.value);
  }
  return zones;
}

}  // namespace

std::vector<Slot> SlotTable::Update(const MembershipState& membership, Offset offset,
                                    const std::vector<WorkerEntry>& workers,
                                    const Configuration& configuration) {
  membership_offset_ = offset;
  membership_ = membership;
  const std::vector<Instance> members = membership.MembersOf(self_->region);
  siblings_.clear();
  for (const Instance& member : members) {
    if (member->id != self_->id) siblings_.insert(member->id);
  }
  evicted_.clear();
  for (const EvictedMember& evicted : membership.evicted) {
    if (evicted.instance->region == self_->region) evicted_.push_back(evicted);
  }
  const std::set<std::string> zones = ZonesOf(self_->region, configuration);
  std::map<WorkerId, KnownWorker> listed;
  owned_.clear();
  const bool member = membership.Contains(self_);
  for (const WorkerEntry& worker : workers) {
    if (!zones.contains(worker->zone)) continue;
    const auto known = workers_.find(worker->id);
    listed.emplace(worker->id,
                   KnownWorker{worker, known == workers_.end() ? 0 : known->second.latency_us});
    if (!member) continue;
    for (const Service& service : configuration->services) {
      if (service->name.value != worker->service) continue;
      for (int index = 0; index < service->slots_per_worker; ++index) {
        Slot slot({.worker = worker->id, .service = service->name, .index = index});
        if (OwnerOfSlot(slot, members) == self_->id) owned_.insert(std::move(slot));
      }
    }
  }
  workers_ = std::move(listed);
  std::vector<Slot> dropped = DropUnowned();
  for (const Slot& slot : owned_) slots_.try_emplace(slot);
  return dropped;
}

std::vector<Slot> SlotTable::DropUnowned() {
  std::vector<Slot> dropped;
  for (auto it = slots_.begin(); it != slots_.end();) {
    const Slot& slot = it->first;
    if (Owns(slot)) {
      if (it->second.state == State::kDraining) it->second.state = State::kBusy;
      ++it;
      continue;
    }
    if (it->second.state == State::kBusy) it->second.state = State::kDraining;
    if (it->second.state == State::kDraining) {
      ++it;
      continue;
    }
    if (it->second.state == State::kFree) {
      std::erase(free_[slot->service][slot->worker], slot->index);
      dropped.push_back(slot);
    }
    it = slots_.erase(it);
  }
  return dropped;
}

void SlotTable::RecordConfirmation(const Heartbeat& heartbeat) {
  const auto member = membership_.members.find(heartbeat->from);
  if (member != membership_.members.end() &&
      member->second->incarnation != heartbeat->incarnation) {
    return;
  }
  const auto known = confirmations_.find(heartbeat->from);
  const bool older = known != confirmations_.end() &&
                     known->second->incarnation == heartbeat->incarnation &&
                     known->second->membership_offset > heartbeat->membership_offset;
  if (!older) confirmations_.insert_or_assign(heartbeat->from, heartbeat);
}

bool SlotTable::IsConfirmed(const Slot& slot) const {
  return std::all_of(siblings_.begin(), siblings_.end(), [&](const InstanceId& id) {
    const auto found = confirmations_.find(id);
    if (found == confirmations_.end()) return false;
    const Heartbeat& heartbeat = found->second;
    if (heartbeat->incarnation != membership_.members.at(id)->incarnation) return false;
    if (heartbeat->membership_offset != membership_offset_) return false;
    return std::find(heartbeat->held.begin(), heartbeat->held.end(), slot) == heartbeat->held.end();
  });
}

int SlotTable::ActivateConfirmed(ClockReading now, Duration eviction_wait) {
  for (const EvictedMember& evicted : evicted_) {
    if (now - evicted.time < eviction_wait.count()) return 0;
  }
  int activated = 0;
  for (auto& [slot, entry] : slots_) {
    if (entry.state != State::kWaiting || !IsConfirmed(slot)) continue;
    entry.state = State::kFree;
    free_[slot->service][slot->worker].push_back(slot->index);
    ++activated;
  }
  return activated;
}

std::vector<Slot> SlotTable::HeldButNotOwned() const {
  std::vector<Slot> held;
  for (const auto& [slot, entry] : slots_) {
    if (entry.state == State::kDraining) held.push_back(slot);
  }
  return held;
}

std::optional<Slot> SlotTable::Acquire(const ServiceName& service,
                                       const std::set<WorkerId>& excluded,
                                       const RoutingStrategy& routing, Random& random) {
  const auto by_worker = free_.find(service);
  if (by_worker == free_.end()) return std::nullopt;
  std::vector<WorkerLoad> candidates;
  for (const auto& [id, indexes] : by_worker->second) {
    const auto worker = workers_.find(id);
    if (indexes.empty() || excluded.contains(id) || worker == workers_.end()) continue;
    if (worker->second.entry->draining) continue;
    const auto busy = busy_.find(id);
    candidates.push_back({.worker = id,
                          .free = static_cast<int>(indexes.size()),
                          .busy = busy == busy_.end() ? 0 : busy->second,
                          .same_zone = worker->second.entry->zone == self_->zone.value,
                          .latency_us = worker->second.latency_us});
  }
  if (candidates.empty()) return std::nullopt;
  const WorkerId chosen = candidates[routing.Choose(candidates, random)].worker;
  std::vector<int>& indexes = by_worker->second[chosen];
  Slot slot({.worker = chosen, .service = service, .index = indexes.back()});
  indexes.pop_back();
  slots_.at(slot).state = State::kBusy;
  ++busy_[chosen];
  return slot;
}

void SlotTable::Release(const Slot& slot, double latency_us) {
  const auto entry = slots_.find(slot);
  if (entry == slots_.end()) return;
  --busy_[slot->worker];
  const auto worker = workers_.find(slot->worker);
  if (worker != workers_.end() && latency_us > 0) {
    double& average = worker->second.latency_us;
    average = average > 0 ? average + kLatencyWeight * (latency_us - average) : latency_us;
  }
  if (entry->second.state == State::kDraining) {
    slots_.erase(entry);
    return;
  }
  entry->second.state = State::kFree;
  free_[slot->service][slot->worker].push_back(slot->index);
}

int SlotTable::FreeCount(const ServiceName& service) const {
  const auto by_worker = free_.find(service);
  if (by_worker == free_.end()) return 0;
  int count = 0;
  for (const auto& [id, indexes] : by_worker->second) {
    const auto worker = workers_.find(id);
    if (worker != workers_.end() && !worker->second.entry->draining) {
      count += static_cast<int>(indexes.size());
    }
  }
  return count;
}

int SlotTable::BusyCount() const {
  int count = 0;
  for (const auto& [worker, busy] : busy_) count += busy;
  return count;
}

std::optional<Endpoint> SlotTable::AddressOf(const Slot& slot) const {
  const auto worker = workers_.find(slot->worker);
  if (worker == workers_.end() || worker->second.entry->service != slot->service.value) {
    return std::nullopt;
  }
  return worker->second.entry->address;
}

bool SlotTable::Owns(const Slot& slot) const { return owned_.contains(slot); }

int SlotTable::HeldCount() const {
  return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [](const auto& entry) {
    return entry.second.state != State::kWaiting;
  }));
}

}  // namespace dn
