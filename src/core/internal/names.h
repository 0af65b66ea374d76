// Defines strongly typed identifiers. The type of an identifier prevents its use
// in place of an identifier of another kind.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace dn {

// An identifier whose kind is given by `Tag`.
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
using RecordId = Name<struct RecordIdTag>;  // Unique among all records.

// Position of a record in a stream; the first record has offset 0.
using Offset = std::int64_t;
inline constexpr Offset kNoOffset = -1;  // Precedes the first record.

// Network address of a listening process; `host` is a numeric IP address.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace dn
