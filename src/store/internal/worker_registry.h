// Location of the worker registrations in the store and their decoder.
#pragma once

#include <string>
#include <string_view>

#include "store/internal/store_protocol.h"

namespace dn {

// The adapter of a platform supplies a WorkerRegistry.
struct WorkerRegistry {
  Partition records;  // Partition that workers register in; the key is the worker's id.
  // Decodes the record of one worker. kMalformed: the record does not describe a
  // usable worker.
  Result<WorkerEntry> (*decode)(const std::string& key, std::string_view text) = nullptr;
};

}  // namespace dn
