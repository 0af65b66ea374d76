// Streams of the request path: topics whose records are applied in order to
// build up a state.
#pragma once

#include <string>

#include "store/internal/store_protocol.h"

namespace dn {

inline constexpr const char* kMembershipStream = "dn-roster";
inline constexpr const char* kConfigurationStream = "dn-configuration";
inline constexpr const char* kKeyStream = "dn-keys";

// A stream has a single partition, since only the records of one partition are
// ordered.
inline Partition PartitionOf(const std::string& stream) {
  return Partition({.topic = stream, .number = 0});
}

}  // namespace dn
