// Availability zones that the operator evacuates: which zones get no starts, and how long that
// knowledge permits starts elsewhere.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace dn {

// What the operator has recorded on zones, as far as it was read.
struct EvacuationsFields {
  std::set<std::string> zones;  // Those that are evacuated.
  // Send time of the last complete read; Time() if there was none. `zones` reflects all records
  // that were acknowledged until then.
  Time read{};
  std::int64_t revision = 0;  // Counts the changes of `zones`.

  friend auto operator<=>(const EvacuationsFields&, const EvacuationsFields&) = default;
};
using Evacuations = Immutable<EvacuationsFields>;

// One record on a zone.
struct ZoneRecordFields {
  std::string zone;
  bool evacuated = false;  // False: the record was removed.

  friend auto operator<=>(const ZoneRecordFields&, const ZoneRecordFields&) = default;
};
using ZoneRecord = Immutable<ZoneRecordFields>;

// Returns the state after `records`, in their order. `complete`: they are all records that exist,
// so that any other zone is in service.
Evacuations WithRecords(const Evacuations& known, const std::vector<ZoneRecord>& records,
                        bool complete);

// Returns until when starts may be sent by `evacuations`, so that none arrives later than `limit`
// after a record that is not in it was acknowledged. Without a limit, evacuations restrict nothing.
Time StartsUntil(const Evacuations& evacuations, const std::optional<Duration>& limit);

}  // namespace dn
