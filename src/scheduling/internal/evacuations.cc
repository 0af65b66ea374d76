// Folds the operator's records on zones.
#include "scheduling/internal/evacuations.h"

#include <algorithm>

namespace dn {
namespace {

// Longest time from the last check of a start until it arrives: the timeout of a call (1 s), and
// half a second for a thread that is not scheduled between the check and the call.
constexpr Duration kStartArrival{1'500};

}  // namespace

Evacuations WithRecords(const Evacuations& known, const std::vector<ZoneRecord>& records,
                        bool complete) {
  std::set<std::string> zones;
  if (!complete) zones = known->zones;
  for (const ZoneRecord& record : records) {
    if (record->evacuated) {
      zones.insert(record->zone);
    } else {
      zones.erase(record->zone);
    }
  }
  if (zones == known->zones) return known;
  return known.With([&](EvacuationsFields& fields) {
    fields.zones = std::move(zones);
    ++fields.revision;
  });
}

Time StartsUntil(const Evacuations& evacuations, const std::optional<Duration>& limit) {
  if (!limit) return Time::max();
  if (evacuations->read == Time()) return Time();
  return evacuations->read + std::max(Duration(0), *limit - kStartArrival);
}

}  // namespace dn
