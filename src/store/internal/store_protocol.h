// Requests to the metadata store and its responses, independent of their encoding.
// The adapter of a platform supplies the encoding as a StoreProtocol.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/runtime.h"

namespace dn {

struct PartitionFields {
  std::string topic;
  int number = 0;

  friend auto operator<=>(const PartitionFields&, const PartitionFields&) = default;
};
using Partition = Immutable<PartitionFields>;

// A record of a partition. Records of a compacted topic, which keeps the newest
// record of each key, have a key; in other topics the key is empty.
struct StoreRecordFields {
  std::string key;
  std::optional<std::string> value;  // nullopt deletes the key.
  std::int64_t offset = -1;          // Set in records that were read; -1 otherwise.

  friend auto operator<=>(const StoreRecordFields&, const StoreRecordFields&) = default;
};
using StoreRecord = Immutable<StoreRecordFields>;

// Identity of the appending producer. The store rejects an epoch lower than the
// highest that it has seen for `name`, and repeats its first response to a
// duplicate of a recent sequence number.
struct ProducerFields {
  std::string name;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;

  friend auto operator<=>(const ProducerFields&, const ProducerFields&) = default;
};
using Producer = Immutable<ProducerFields>;

enum class AppendOutcome {
  kStored,
  kFenced,         // The store has seen a higher epoch of this producer.
  kWrongSequence,  // `expected_sequence` is the next valid sequence number.
  kNotStored,      // The store appended nothing; the caller may retry.
};

// Response to an append.
struct AppendResponseFields {
  AppendOutcome outcome = AppendOutcome::kNotStored;
  std::int64_t first = 0;              // kStored: offset of the first record.
  std::int64_t end = 0;                // kStored: end offset of the partition.
  std::int64_t expected_sequence = 0;  // kWrongSequence: next sequence number.

  friend auto operator<=>(const AppendResponseFields&, const AppendResponseFields&) = default;
};
using AppendResponse = Immutable<AppendResponseFields>;

// Response to a read.
struct ReadPageFields {
  bool expired = false;     // The requested offset is no longer retained.
  std::int64_t oldest = 0;  // Lowest offset that is retained.
  std::int64_t end = 0;     // End offset of the partition.
  std::int64_t next = 0;    // Offset after the last record of this page.
  std::vector<StoreRecord> records;
  std::int64_t skipped = 0;  // Records that could not be decoded.

  friend auto operator<=>(const ReadPageFields&, const ReadPageFields&) = default;
};
using ReadPage = Immutable<ReadPageFields>;

// One page of the newest records of a compacted partition.
struct NewestPageFields {
  std::vector<StoreRecord> records;
  std::optional<std::string> continue_after;  // Last key; nullopt on the last page.
  std::int64_t end = 0;                       // End offset of the partition.

  friend auto operator<=>(const NewestPageFields&, const NewestPageFields&) = default;
};
using NewestPage = Immutable<NewestPageFields>;

// Request to join a group or to renew the membership.
struct JoinFields {
  std::string group;
  std::string member;
  std::string topic;            // The group assigns the partitions of this topic.
  Duration time_to_live{0};     // The membership expires without another join.
  std::int64_t generation = 0;  // Last generation received; 0 on the first join.

  friend auto operator<=>(const JoinFields&, const JoinFields&) = default;
};
using Join = Immutable<JoinFields>;

// Response to a join.
struct MembershipFields {
  std::int64_t generation = 0;  // Increases with every change of the group.
  std::vector<int> partitions;  // Assigned to this member, in ascending order.

  friend auto operator<=>(const MembershipFields&, const MembershipFields&) = default;
};
using Membership = Immutable<MembershipFields>;

// Member that a partition is assigned to.
struct PartitionOwnerFields {
  int partition = 0;
  std::string member;

  friend auto operator<=>(const PartitionOwnerFields&, const PartitionOwnerFields&) = default;
};
using PartitionOwner = Immutable<PartitionOwnerFields>;

// Encoders and decoders of one platform. Decoders return kUnavailable if the store
// reports that it did nothing, and kMalformed if the response cannot be decoded.
struct StoreProtocol {
  // Without a producer, the store does not detect duplicates: a retried append may
  // be stored twice.
  HttpCall (*encode_append)(const Partition&, const std::optional<Producer>&,
                            const std::vector<StoreRecord>&) = nullptr;
  Result<AppendResponse> (*decode_append)(const HttpReply&) = nullptr;
  // `page_kb`: maximum size of the page in kB; nothing: the store's default. A single record may be
  // larger than the page.
  HttpCall (*encode_read)(const Partition&, std::int64_t from, Duration wait,
                          std::optional<int> page_kb) = nullptr;
  Result<ReadPage> (*decode_read)(const HttpReply&, const Partition&, std::int64_t from) = nullptr;
  HttpCall (*encode_newest)(const Partition&, const std::optional<std::string>& after) = nullptr;
  Result<NewestPage> (*decode_newest)(const HttpReply&) = nullptr;
  HttpCall (*encode_join)(const Join&) = nullptr;
  Result<Membership> (*decode_join)(const HttpReply&, const std::string& topic) = nullptr;
  HttpCall (*encode_leave)(const Join&) = nullptr;
  HttpCall (*encode_owners)(const std::string& group) = nullptr;
  Result<std::vector<PartitionOwner>> (*decode_owners)(const HttpReply&,
                                                       const std::string& topic) = nullptr;
};

}  // namespace dn
