// In-memory stand-in for the platform's metadata store: partitioned logs, the newest record
// of each key and consumer groups. Tests inject faults by member functions, or over HTTP
// with control calls.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "standins/internal/records.h"

namespace dn::standins {

// Which appends of a producer the store takes for repeats of an earlier one with the same number.
enum class RepeatMemory {
  kOfEpoch,       // Those of the same epoch.
  kAcrossEpochs,  // Also those of a higher epoch. The epoch is raised all the same.
  kBeforeEpoch,   // Those of any epoch; a repeat does not raise the epoch.
};
}  // namespace dn::standins

namespace dn {
template <>
struct EnumNames<standins::RepeatMemory> {
  using Memory = standins::RepeatMemory;
  static constexpr std::array<EnumName<Memory>, 3> kNames = {
      {{Memory::kOfEpoch, "of_epoch"},
       {Memory::kAcrossEpochs, "across_epochs"},
       {Memory::kBeforeEpoch, "before_epoch"}}};
};
}  // namespace dn

namespace dn::standins {

// Settings of the store.
struct StoreStandinSettingsFields {
  Endpoint address{.host = "127.0.0.1", .port = 0};  // Port 0: any free port.
  // How long records stay readable, in ms. The newest record of each key does not expire.
  Duration retention{3'600'000};
  int max_appends_per_second = 100'000;  // Further appends are rejected with status 429.
  RepeatMemory repeat_memory = RepeatMemory::kOfEpoch;

  auto operator<=>(const StoreStandinSettingsFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("address", &StoreStandinSettingsFields::address),
        Optional("retention_ms", &StoreStandinSettingsFields::retention, 100),
        Optional("max_appends_per_second", &StoreStandinSettingsFields::max_appends_per_second, 1),
        Optional("repeat_memory", &StoreStandinSettingsFields::repeat_memory));
  }
};
using StoreStandinSettings = Immutable<StoreStandinSettingsFields>;

// Store with an HTTP interface. Thread-safe, except that AddEndpoint must be called by one thread.
class StoreStandin {
 public:
  explicit StoreStandin(WorkerPool& pool, StoreStandinSettings settings = {})
      : pool_(pool), settings_(std::move(settings)) {}

  // Listens on the configured address. Error: the address is not available.
  Result<> Start();
  Endpoint address() const { return server_->address(); }
  // Listens on an additional address, whose fault applies together with that of the store.
  // A test uses it to disconnect one instance from the store.
  Result<Endpoint> AddEndpoint();

  // Replaces the fault of the store.
  void SetFault(const StoreFault& fault);
  // Replaces the fault of an additional address. Additional addresses are numbered from 0 in
  // the order of their creation. Only `busy`, `silent`, `delay` and `only` have an effect.
  void SetEndpointFault(int endpoint_index, const StoreFault& fault);
  // Deletes all log records. The newest record of each key stays available by key.
  void DropHistory();
  // Reassigns each partition of each group to the next member of the group.
  void ReassignPartitions();
  // Appends a keyed record, as the operator and the workers do. A record without a
  // `value` deletes the key.
  void Put(const std::string& topic, const std::string& key, std::optional<std::string> value);
  // Member that owns a partition; empty: none.
  std::string OwnerOf(const std::string& group, int partition);

 private:
  struct Record {
    std::string key;                   // Empty in topics without keys.
    std::optional<std::string> value;  // No value: the key was deleted.
    Time stored_at{};
  };
  struct Producer {
    std::int64_t epoch = 0;
    std::int64_t sequence = -1;  // Number of the last append; -1: none in this epoch.
    // Responses to the last appends, by sequence number; repeated when an append is retried.
    std::deque<std::pair<std::int64_t, HttpReply>> responses;

    // Response to the append `sequence_number`; null if it is not remembered.
    const HttpReply* ResponseTo(std::int64_t sequence_number) const;
  };
  struct PartitionLog {
    std::int64_t first = 0;  // Oldest readable offset.
    std::deque<Record> records;
    // Offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::int64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
    std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
  };
  struct Member {
    Time last_join{};
    Duration time_to_live{0};
    std::int64_t generation = 0;  // Group generation sent with the last join.
  };
  struct Group {
    std::int64_t generation = 0;  // Incremented with each new assignment.
    std::string topic;
    std::map<std::string, Member> members;
    std::map<int, std::string> owners;      // Current owner of each partition; empty: none.
    std::map<int, std::string> assignment;  // Owners after the current ones have released.
  };
  struct State {
    std::map<std::pair<std::string, int>, PartitionLog> logs;
    std::map<std::string, Group> groups;
    StoreFault fault;
    std::vector<StoreFault> endpoint_faults;
    StoreStats stats;
    std::int64_t current_second = 0;  // Second that `appends_this_second` refers to.
    std::uint64_t appends_this_second = 0;
    // End offsets that reads of stale partitions return.
    std::map<std::pair<std::string, int>, std::int64_t> stale_ends;
  };

  // `endpoint_index`: number of the additional address that received the call, or -1 for
  // the main address.
  Task<HttpReply> Handle(int endpoint_index, HttpCall call);
  HttpReply HandleControl(const HttpCall& call);
  Task<HttpReply> Read(HttpCall call);
  // Counts an append. Returns false if the rate limit of the current second is reached.
  bool AdmitAppend(State& state) const;
  HttpReply Append(State& state, const HttpCall& call);
  // Checks the epoch and the sequence number of an append. Returns the response if the append is
  // rejected or repeated; nullopt: it is to be stored.
  std::optional<HttpReply> CheckProducer(Producer& producer, const HttpCall& call) const;
  HttpReply Newest(State& state, const HttpCall& call);
  HttpReply Join(State& state, const HttpCall& call);
  HttpReply Leave(State& state, const HttpCall& call);
  HttpReply Owners(State& state, const HttpCall& call);
  // Removes members whose time to live has elapsed, and their ownership.
  static void ExpireMembers(Group& group);
  // Computes a balanced assignment. A partition stays with its previous owner unless that
  // member has left or already owns its maximum.
  static void AssignPartitions(Group& group);
  // Appends a record and updates the newest record of its key.
  static void AppendRecord(PartitionLog& log, Record record);
  // Removes the records that are older than the retention period.
  void DropExpiredRecords(PartitionLog& log) const;

  WorkerPool& pool_;
  const StoreStandinSettings settings_;
  Shared<State, LockRank::kMembers> state_;
  Notifier appended_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::unique_ptr<HttpServer>> endpoint_servers_;
};

}  // namespace dn::standins
