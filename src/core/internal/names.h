// Typed names: a string that cannot be mistaken for a name of another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace dn {

template <class Tag>
struct Name {
  std::string value;

  bool empty() const { return value.empty(); }
  friend bool operator==(const Name&, const Name&) = default;
  friend auto operator<=>(const Name&, const Name&) = default;
};

using InstanceId = Name<struct InstanceTag>;
using WorkerId = Name<struct WorkerTag>;
using RegionName = Name<struct RegionTag>;
using ZoneName = Name<struct ZoneTag>;
using ServiceName = Name<struct ServiceTag>;
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
using RecordId = Name<struct RecordIdTag>;  // Unique for each record.

// Position of a record in a stream. -1: before the first.
using Offset = std::int64_t;
inline constexpr Offset kNoOffset = -1;

// Host and port of a listening process; host is an IP number.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace dn
