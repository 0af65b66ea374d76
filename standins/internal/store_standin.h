// Stand-in for the platform's metadata store: partitions, newest records and
// groups, with faults that tests switch on, in the process or by control calls.
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

struct StoreStandinSettingsFields {
  Endpoint address{.host = "127.0.0.1", .port = 0};  // Port 0: any free one.
  Duration retention{3'600'000};  // Records are kept this long, the newest of a key for good.
  int max_appends_per_second = 100'000;

  auto operator<=>(const StoreStandinSettingsFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(
        Required("address", &StoreStandinSettingsFields::address),
        Optional("retention_ms", &StoreStandinSettingsFields::retention, 100),
        Optional("max_appends_per_second", &StoreStandinSettingsFields::max_appends_per_second, 1));
  }
};
using StoreStandinSettings = Immutable<StoreStandinSettingsFields>;

class StoreStandin {
 public:
  explicit StoreStandin(WorkerPool& pool, StoreStandinSettings settings = {})
      : pool_(pool), settings_(std::move(settings)) {}

  Result<> Start();
  Endpoint address() const { return server_->address(); }
  // One more address, with a fault of its own beside that of the store.
  Result<Endpoint> OpenDoor();

  void SetFault(const StoreFault& fault);
  // Doors are numbered from 0 in the order in which they were opened.
  void SetDoorFault(int door, const StoreFault& fault);
  // Deletes all records of all partitions but the newest of each key.
  void DropHistory();
  // Deals all partitions of all groups anew.
  void Redeal();
  // Appends one keyed record, as the operator and the workers do. Nothing for
  // `value` drops the key.
  void Put(const std::string& topic, const std::string& key, std::optional<std::string> value);
  // Member that holds a partition; empty: none.
  std::string OwnerOf(const std::string& group, int partition);

 private:
  struct Record {
    std::string key;  // Empty in topics without keys.
    std::optional<std::string> value;
    Time stored{};
  };
  struct Producer {
    std::int64_t epoch = 0;
    std::int64_t sequence = -1;  // Of the last append; -1: none in this epoch.
    std::deque<std::pair<std::int64_t, HttpReply>> answers;  // Of the last five.
  };
  struct Part {
    std::int64_t first = 0;  // Oldest offset kept.
    std::deque<Record> records;
    std::map<std::string, std::pair<std::int64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
    std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
  };
  struct Member {
    Time heard{};
    Duration time_to_live{0};
    std::int64_t generation = 0;  // The last one that it joined with.
  };
  struct Group {
    std::int64_t generation = 0;
    std::string topic;
    std::map<std::string, Member> members;
    std::map<int, std::string> holders;  // Who may act now.
    std::map<int, std::string> dealt;    // Who will, once released.
  };
  struct Book {
    std::map<std::pair<std::string, int>, Part> parts;
    std::map<std::string, Group> groups;
    StoreFault fault;
    std::vector<StoreFault> door_faults;
    StoreStats stats;
    std::int64_t second = 0;  // In which `in_second` appends were made.
    std::uint64_t in_second = 0;
    // Ends of partitions when they became stale.
    std::map<std::pair<std::string, int>, std::int64_t> stale_ends;
  };

  // `door`: -1 for the main address.
  Task<HttpReply> Handle(int door, HttpCall call);
  HttpReply Control(const HttpCall& call);
  Task<HttpReply> Read(HttpCall call);
  // Whether one more append fits into this second.
  bool WithinRate(Book& book) const;
  HttpReply Append(Book& book, const HttpCall& call);
  HttpReply Newest(Book& book, const HttpCall& call);
  HttpReply Join(Book& book, const HttpCall& call);
  HttpReply Leave(Book& book, const HttpCall& call);
  HttpReply Owners(Book& book, const HttpCall& call);
  static void Expire(Group& group);
  static void Deal(Group& group);
  static void Add(Part& part, Record record);
  void DropOld(Part& part) const;

  WorkerPool& pool_;
  const StoreStandinSettings settings_;
  Shared<Book, LockRank::kMembers> book_;
  Notifier appended_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::unique_ptr<HttpServer>> doors_;
};

}  // namespace dn::standins
