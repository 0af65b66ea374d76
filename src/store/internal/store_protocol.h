// What the metadata store is asked and answers, free of its encoding. The
// adapter of a platform supplies a StoreProtocol.
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

// A record. Topics that keep the newest record of each key have keys; in others
// the key is empty.
struct StoreRecordFields {
  std::string key;
  std::optional<std::string> value;  // Nothing: the key is dropped.
  std::int64_t offset = -1;          // Of records that were read.

  friend auto operator<=>(const StoreRecordFields&, const StoreRecordFields&) = default;
};
using StoreRecord = Immutable<StoreRecordFields>;

// Who appends. The store refuses a lower epoch than it has seen for `name`, and
// answers a repeat of a recent sequence number as it did the first time.
struct ProducerFields {
  std::string name;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;

  friend auto operator<=>(const ProducerFields&, const ProducerFields&) = default;
};
using Producer = Immutable<ProducerFields>;

enum class AppendOutcome {
  kStored,
  kFenced,         // A later epoch has been seen.
  kWrongSequence,  // `expected_sequence` is the next one.
  kNotStored,      // Nothing was done; may be tried again.
};

struct AppendAnswerFields {
  AppendOutcome outcome = AppendOutcome::kNotStored;
  std::int64_t first = 0;  // Offset of the first record of a stored append.
  std::int64_t end = 0;    // End of the partition after a stored append.
  std::int64_t expected_sequence = 0;

  friend auto operator<=>(const AppendAnswerFields&, const AppendAnswerFields&) = default;
};
using AppendAnswer = Immutable<AppendAnswerFields>;

struct ReadPageFields {
  bool expired = false;     // Records asked for are gone.
  std::int64_t oldest = 0;  // First offset that is kept.
  std::int64_t end = 0;
  std::int64_t next = 0;  // Offset after the last record of this page.
  std::vector<StoreRecord> records;
  std::int64_t skipped = 0;  // Records that could not be decoded.

  friend auto operator<=>(const ReadPageFields&, const ReadPageFields&) = default;
};
using ReadPage = Immutable<ReadPageFields>;

struct NewestPageFields {
  std::vector<StoreRecord> records;
  std::optional<std::string> continue_after;  // Key; nothing on the last page.
  std::int64_t end = 0;

  friend auto operator<=>(const NewestPageFields&, const NewestPageFields&) = default;
};
using NewestPage = Immutable<NewestPageFields>;

struct JoinFields {
  std::string group;
  std::string member;
  std::string topic;
  Duration time_to_live{0};
  std::int64_t generation = 0;  // The last one received.

  friend auto operator<=>(const JoinFields&, const JoinFields&) = default;
};
using Join = Immutable<JoinFields>;

struct MembershipFields {
  std::int64_t generation = 0;  // Rises with every change of the group.
  std::vector<int> partitions;  // Held by this member, ascending.

  friend auto operator<=>(const MembershipFields&, const MembershipFields&) = default;
};
using Membership = Immutable<MembershipFields>;

struct PartitionOwnerFields {
  int partition = 0;
  std::string member;

  friend auto operator<=>(const PartitionOwnerFields&, const PartitionOwnerFields&) = default;
};
using PartitionOwner = Immutable<PartitionOwnerFields>;

// Encoders and decoders of one platform. Decoders return kUnavailable when the
// store said that nothing was done, kMalformed when the answer is not readable.
struct StoreProtocol {
  // Without a producer, a repeated append is stored again.
  HttpCall (*append)(const Partition&, const std::optional<Producer>&,
                     const std::vector<StoreRecord>&) = nullptr;
  Result<AppendAnswer> (*appended)(const HttpReply&) = nullptr;
  HttpCall (*read)(const Partition&, std::int64_t from, Duration wait) = nullptr;
  Result<ReadPage> (*records)(const HttpReply&, const Partition&, std::int64_t from) = nullptr;
  HttpCall (*newest)(const Partition&, const std::optional<std::string>& after) = nullptr;
  Result<NewestPage> (*newest_records)(const HttpReply&) = nullptr;
  HttpCall (*join)(const Join&) = nullptr;
  Result<Membership> (*joined)(const HttpReply&, const std::string& topic) = nullptr;
  HttpCall (*leave)(const Join&) = nullptr;
  HttpCall (*owners)(const std::string& group) = nullptr;
  Result<std::vector<PartitionOwner>> (*owner_list)(const HttpReply&,
                                                    const std::string& topic) = nullptr;
};

}  // namespace dn
