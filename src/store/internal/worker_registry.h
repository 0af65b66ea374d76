// Location of the worker registrations in the store and their decoder.
#pragma once

#include <string>
#include <string_view>

#include "store/internal/store_protocol.h"

namespace dn {

// The adapter of a platform supplies a WorkerRegistry.
struct WorkerRegistry {
  Partition records;  // Partition that workers register in; the key is the worker's id.
  // Decodes the record of one worker. Returns nothing and adds findings if the record
  // does not describe a usable worker.
  std::optional<WorkerEntry> (*decode)(const std::string& key, std::string_view text,
                                       Findings& findings) = nullptr;
};

}  // namespace dn
