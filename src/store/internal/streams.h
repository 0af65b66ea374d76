// Streams of the request path: topics whose records are folded in order.
#pragma once

#include <string>

#include "store/internal/store_protocol.h"

namespace dn {

inline constexpr const char* kRosterStream = "dn-roster";
inline constexpr const char* kConfigurationStream = "dn-configuration";
inline constexpr const char* kKeyStream = "dn-keys";

// A stream has one partition, since its order matters.
inline Partition PartitionOf(const std::string& stream) {
  return Partition({.topic = stream, .number = 0});
}

}  // namespace dn
