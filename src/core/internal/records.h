// Defines the records that the system appends to streams in the metadata store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/internal/configuration.h"
#include "core/internal/fields.h"
#include "core/internal/immutable.h"
#include "core/internal/names.h"

namespace dn {

// A record that was read from a stream.
template <class RecordT>
struct StreamRecord {
  Offset offset = kNoOffset;
  ClockReading time = 0;  // When the record was read, by the steady clock of the reader.
  RecordT record;

  auto operator<=>(const StreamRecord&) const = default;
};

// --- Stream "roster": the membership of instances.

// An instance and the addresses at which it can be reached.
struct InstanceFields {
  InstanceId id;
  RegionName region;
  ZoneName zone;
  Endpoint caller_address;   // Accepts callers' requests and relayed requests.
  Endpoint sibling_address;  // Accepts calls of other instances and operators.
  std::uint64_t incarnation = 0;

  auto operator<=>(const InstanceFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("id", &InstanceFields::id),
                           Required("region", &InstanceFields::region),
                           Required("zone", &InstanceFields::zone),
                           Required("caller_address", &InstanceFields::caller_address),
                           Required("sibling_address", &InstanceFields::sibling_address),
                           Required("incarnation", &InstanceFields::incarnation));
  }
};
using Instance = Immutable<InstanceFields>;

enum class MembershipChange { kJoin, kLeave, kEvict };
template <>
struct EnumNames<MembershipChange> {
  static constexpr std::array<EnumName<MembershipChange>, 3> kNames = {
      {{MembershipChange::kJoin, "join"},
       {MembershipChange::kLeave, "leave"},
       {MembershipChange::kEvict, "retire"}}};
};

// A member that was evicted, and therefore may not have released its slots.
struct EvictedFields {
  Instance instance;
  Duration age{0};  // Time since the snapshot's writer read the eviction.

  auto operator<=>(const EvictedFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("instance", &EvictedFields::instance),
                           Required("age_ms", &EvictedFields::age));
  }
};
using Evicted = Immutable<EvictedFields>;

// The membership up to and including offset `as_of`.
struct MembershipSnapshotFields {
  Offset as_of = kNoOffset;
  std::vector<Instance> members;
  std::vector<Evicted> evicted;

  auto operator<=>(const MembershipSnapshotFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("as_of", &MembershipSnapshotFields::as_of),
                           Required("members", &MembershipSnapshotFields::members),
                           Required("retired", &MembershipSnapshotFields::evicted));
  }
};
using MembershipSnapshot = Immutable<MembershipSnapshotFields>;

// Contains either a change together with its instance, or a snapshot.
struct MembershipRecordFields {
  std::optional<MembershipChange> change;
  std::optional<Instance> instance;
  std::optional<MembershipSnapshot> snapshot;

  auto operator<=>(const MembershipRecordFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Optional("change", &MembershipRecordFields::change),
                           Optional("instance", &MembershipRecordFields::instance),
                           Optional("snapshot", &MembershipRecordFields::snapshot));
  }
};
using MembershipRecord = Immutable<MembershipRecordFields>;

// --- Stream "configuration": applied configurations and snapshots.

// An operator's request to activate a configuration. It is accepted if `base` is
// the active revision.
struct ApplyFields {
  RecordId id;              // The same for all attempts of one apply.
  Offset base = kNoOffset;  // Revision from which the operator derived the configuration.
  Configuration configuration;

  auto operator<=>(const ApplyFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("id", &ApplyFields::id), Required("base", &ApplyFields::base),
                           Required("configuration", &ApplyFields::configuration));
  }
};
using Apply = Immutable<ApplyFields>;

// The active configuration up to and including offset `as_of`.
struct ConfigurationSnapshotFields {
  Offset as_of = kNoOffset;
  Offset revision = kNoOffset;
  RecordId id;  // Identifier of the accepted apply.
  Configuration configuration;

  auto operator<=>(const ConfigurationSnapshotFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("as_of", &ConfigurationSnapshotFields::as_of),
                           Required("revision", &ConfigurationSnapshotFields::revision),
                           Required("id", &ConfigurationSnapshotFields::id),
                           Required("configuration", &ConfigurationSnapshotFields::configuration));
  }
};
using ConfigurationSnapshot = Immutable<ConfigurationSnapshotFields>;

// Contains either an apply or a snapshot.
struct ConfigurationRecordFields {
  std::optional<Apply> apply;
  std::optional<ConfigurationSnapshot> snapshot;

  auto operator<=>(const ConfigurationRecordFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Optional("apply", &ConfigurationRecordFields::apply),
                           Optional("snapshot", &ConfigurationRecordFields::snapshot));
  }
};
using ConfigurationRecord = Immutable<ConfigurationRecordFields>;

// --- Stream "keys": claims of idempotency keys.

enum class RequestOutcome { kAnswered, kNotRun, kUnknown };
template <>
struct EnumNames<RequestOutcome> {
  static constexpr std::array<EnumName<RequestOutcome>, 3> kNames = {
      {{RequestOutcome::kAnswered, "answered"},
       {RequestOutcome::kNotRun, "not-run"},
       {RequestOutcome::kUnknown, "unknown"}}};
};

// A claim if `outcome` is empty, otherwise the end of that claim.
struct KeyRecordFields {
  IdempotencyKey key;
  RecordId claim;
  InstanceId claimant;
  std::optional<RequestOutcome> outcome;
  int status = 0;  // HTTP status of the response; only for kAnswered.

  auto operator<=>(const KeyRecordFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("key", &KeyRecordFields::key),
                           Required("claim", &KeyRecordFields::claim),
                           Required("claimant", &KeyRecordFields::claimant),
                           Optional("outcome", &KeyRecordFields::outcome),
                           Optional("status", &KeyRecordFields::status));
  }
};
using KeyRecord = Immutable<KeyRecordFields>;

}  // namespace dn
