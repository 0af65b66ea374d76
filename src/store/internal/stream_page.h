// Decoding of a page of stream records.
#pragma once

#include <functional>
#include <vector>

#include "store/internal/store_protocol.h"

namespace dn {

// Decodes the records of `page` and stamps each with the current time. Calls
// `skipped` with the offset of each record that cannot be decoded.
template <class Record>
std::vector<StreamRecord<Record>> DecodePage(const ReadPage& page,
                                             const std::function<void(Offset)>& skipped) {
  std::vector<StreamRecord<Record>> records;
  const ClockReading now = Now().time_since_epoch().count();
  for (const StoreRecord& record : page->records) {
    auto decoded = DecodeMessage<Record>(record->value.value_or(""));
    if (decoded) {
      records.push_back({record->offset, now, std::move(decoded).value()});
    } else {
      skipped(record->offset);
    }
  }
  return records;
}

}  // namespace dn
