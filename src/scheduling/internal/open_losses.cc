// Keeps runs whose loss is not explained yet.
#include "scheduling/internal/open_losses.h"

namespace dn {
namespace {

// How long a loss may be explained: the platform lets workers come back "after some seconds". Long
// enough for a machine that starts anew, and a bound on what is kept.
constexpr Duration kOpenLossPeriod{60'000};

}  // namespace

void OpenLosses::Add(const WorkerEntry& worker, std::vector<OpenLoss> losses, Time now) {
  if (losses.empty()) return;
  const bool has_address = worker->address.port != 0;
  if (has_address) by_address_[worker->address] = worker->id;
  Lost& lost = lost_[worker->id];
  lost.address = worker->address;
  lost.losses.insert(lost.losses.end(), losses.begin(), losses.end());
  lost.since = now;
}

std::vector<ExplainedLoss> OpenLosses::Take(const WorkerEntry& entry) {
  std::vector<ExplainedLoss> explained;
  auto lost = lost_.find(entry->id);
  const bool same_worker = lost != lost_.end();
  if (!same_worker) {
    const auto at_address = by_address_.find(entry->address);
    if (at_address != by_address_.end()) lost = lost_.find(at_address->second);
  }
  if (lost == lost_.end()) return explained;
  for (const OpenLoss& loss : lost->second.losses) {
    const std::int64_t placed_in = loss->worker_start_time_ms;
    if (placed_in == 0) continue;
    // A worker that has taken the address over started later.
    if (!same_worker && entry->start_time_ms <= placed_in) return {};
    explained.emplace_back(
        ExplainedLossFields{.loss = loss, .crashed = entry->start_time_ms != placed_in});
  }
  by_address_.erase(lost->second.address);
  lost_.erase(lost);
  return explained;
}

void OpenLosses::Expire(Time now) {
  for (auto lost = lost_.begin(); lost != lost_.end();) {
    if (now - lost->second.since < kOpenLossPeriod) {
      ++lost;
      continue;
    }
    by_address_.erase(lost->second.address);
    lost = lost_.erase(lost);
  }
}

}  // namespace dn
