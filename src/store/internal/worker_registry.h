// Where workers register themselves, and how their entries are read.
#pragma once

#include <string>
#include <string_view>

#include "store/internal/store_protocol.h"

namespace dn {

struct WorkerRegistry {
  Partition records;
  // kMalformed: the record names no worker to use.
  Result<WorkerEntry> (*decode)(const std::string& key, std::string_view text) = nullptr;
};

}  // namespace dn
