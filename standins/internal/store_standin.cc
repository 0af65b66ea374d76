// In-memory metadata store: HTTP interface, logs and consumer groups.
#include "standins/internal/store_standin.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace dn::standins {
namespace {

namespace json = boost::json;
namespace endian = boost::endian;

constexpr int kPartitions = 16;
constexpr std::size_t kMaxCallBytes =
    2'097'152;  // Of the records of one call; the platform's limit.
constexpr std::size_t kCachedResponses = 5;
constexpr Duration kSilentPollInterval{50};

std::int64_t NumberParameter(const HttpCall& call, const std::string& name, std::int64_t fallback) {
  const auto found = call.query.find(name);
  return found == call.query.end() ? fallback : std::stoll(found->second);
}

std::pair<std::string, int> PartitionIdOf(const HttpCall& call) {
  const auto topic = call.query.find("Topic");
  return {topic == call.query.end() ? "" : topic->second,
          static_cast<int>(NumberParameter(call, "part", 0))};
}

HttpReply JsonReply(int status, const json::object& body) {
  return {.status = status, .body = json::serialize(body)};
}

void WriteNumber(std::string& out, std::int64_t value) {
  std::array<unsigned char, 8> bytes{};
  endian::store_big_s64(bytes.data(), value);
  out.append(bytes.begin(), bytes.end());
}

// What a RepeatMemory means for an append.
struct MemoryRule {
  RepeatMemory memory;
  bool keeps_responses;     // A higher epoch does not forget the responses to earlier appends.
  bool looks_before_epoch;  // Repeats are looked up before the epoch is checked or raised.
};
constexpr std::array<MemoryRule, 3> kMemoryRules = {{{RepeatMemory::kOfEpoch, false, false},
                                                     {RepeatMemory::kAcrossEpochs, true, false},
                                                     {RepeatMemory::kBeforeEpoch, true, true}}};

const MemoryRule& RuleOf(RepeatMemory memory) {
  return *std::find_if(kMemoryRules.begin(), kMemoryRules.end(),
                       [&](const MemoryRule& rule) { return rule.memory == memory; });
}

std::string Base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

}  // namespace

Result<> StoreStandin::Start() {
  auto server = HttpServer::Start(pool_, settings_->address,
                                  [this](HttpCall call) { return Handle(-1, std::move(call)); });
  if (!server) return server.error();
  server_ = std::move(server).value();
  return boost::outcome_v2::success();
}

Result<Endpoint> StoreStandin::AddEndpoint() {
  const int endpoint_index = static_cast<int>(endpoint_servers_.size());
  state_.With([](State& state) { state.endpoint_faults.emplace_back(); });
  auto server = HttpServer::Start(
      pool_, {.host = "127.0.0.1", .port = 0},
      [this, endpoint_index](HttpCall call) { return Handle(endpoint_index, std::move(call)); });
  if (!server) return server.error();
  endpoint_servers_.push_back(std::move(server).value());
  return endpoint_servers_.back()->address();
}

void StoreStandin::SetEndpointFault(int endpoint_index, const StoreFault& fault) {
  state_.With([&](State& state) {
    state.endpoint_faults[static_cast<std::size_t>(endpoint_index)] = fault;
  });
}

void StoreStandin::SetFault(const StoreFault& fault) {
  state_.With([&](State& state) {
    state.fault = fault;
    state.stale_ends.clear();
    if (!fault.stale) return;
    for (const auto& [id, log] : state.logs) {
      if (id.first.starts_with(fault.only)) state.stale_ends[id] = log.end();
    }
  });
}

void StoreStandin::DropHistory() {
  state_.With([](State& state) {
    for (auto& [id, log] : state.logs) {
      log.first = log.end();
      log.records.clear();
    }
  });
}

void StoreStandin::ReassignPartitions() {
  state_.With([](State& state) {
    for (auto& [name, group] : state.groups) {
      if (group.members.empty()) continue;
      for (auto& [partition, owner] : group.owners) {
        auto next = group.members.upper_bound(owner);
        if (next == group.members.end()) next = group.members.begin();
        owner = next->first;
      }
      group.assignment = group.owners;
      ++group.generation;
    }
  });
}

void StoreStandin::Put(const std::string& topic, const std::string& key,
                       std::optional<std::string> value) {
  state_.With([&](State& state) {
    AppendRecord(state.logs[{topic, 0}], Record{.key = key, .value = std::move(value)});
  });
  appended_.NotifyAll();
}

std::string StoreStandin::OwnerOf(const std::string& group, int partition) {
  return state_.With([&](State& state) { return state.groups[group].owners[partition]; });
}

void StoreStandin::AppendRecord(PartitionLog& log, Record record) {
  record.stored_at = Now();
  if (record.key.empty()) {
    // Records of topics without keys are readable by offset only.
  } else if (record.value) {
    log.newest[record.key] = {log.end(), *record.value};
  } else {
    log.newest.erase(record.key);
  }
  log.records.push_back(std::move(record));
}

void StoreStandin::DropExpiredRecords(PartitionLog& log) const {
  while (!log.records.empty() && Now() - log.records.front().stored_at > settings_->retention) {
    log.records.pop_front();
    ++log.first;
  }
}

bool StoreStandin::AdmitAppend(State& state) const {
  const std::int64_t second = Now().time_since_epoch().count() / 1'000;
  if (state.current_second != second) state.appends_this_second = 0;
  state.current_second = second;
  if (state.appends_this_second >= static_cast<std::uint64_t>(settings_->max_appends_per_second)) {
    ++state.stats.refused;
    return false;
  }
  ++state.appends_this_second;
  ++state.stats.appends;
  state.stats.max_appends_per_second =
      std::max(state.stats.max_appends_per_second, state.appends_this_second);
  return true;
}

HttpReply StoreStandin::HandleControl(const HttpCall& call) {
  if (call.path == "/control/stats") {
    return {.body = EncodeText(state_.With([](const State& state) { return state.stats; }))};
  }
  if (call.path == "/control/put") {
    const auto put = DecodeMessage<StorePut>(call.body);
    if (!put) return {.status = 400, .body = "{}"};
    Put(put.value().topic, put.value().key, put.value().value);
    return {.body = "{}"};
  }
  const auto fault = DecodeMessage<StoreFault>(call.body);
  if (!fault) return {.status = 400, .body = "{}"};
  SetFault(fault.value());
  return {.body = "{}"};
}

Task<HttpReply> StoreStandin::Handle(int endpoint_index, HttpCall call) {
  if (call.path.starts_with("/control/")) co_return HandleControl(call);
  using Handler = HttpReply (StoreStandin::*)(State&, const HttpCall&);
  static const std::map<std::string, Handler> kRoutes = {
      {"/api/log-append", &StoreStandin::Append},
      {"/api/log-newest", &StoreStandin::Newest},
      {"/api/log-join", &StoreStandin::Join},
      {"/api/log-leave", &StoreStandin::Leave},
      {"/api/log-owners", &StoreStandin::Owners}};
  const std::string topic = PartitionIdOf(call).first;
  const auto fault = [&] {
    return state_.With([&](State& state) {
      StoreFault active;
      if (topic.starts_with(state.fault.only)) active = state.fault;
      if (endpoint_index < 0) return active;
      const StoreFault& endpoint_fault =
          state.endpoint_faults[static_cast<std::size_t>(endpoint_index)];
      if (!topic.starts_with(endpoint_fault.only)) return active;
      active.busy = active.busy || endpoint_fault.busy;
      active.silent = active.silent || endpoint_fault.silent;
      active.delay = std::max(active.delay, endpoint_fault.delay);
      return active;
    });
  };
  while (fault().silent) co_await SleepFor(kSilentPollInterval);
  const StoreFault active_fault = fault();
  if (active_fault.busy) co_return HttpReply{.status = 503};
  if (active_fault.delay > Duration(0)) co_await SleepFor(active_fault.delay);
  if (call.path == "/api/log-read") co_return co_await Read(std::move(call));
  const auto route = kRoutes.find(call.path);
  if (route == kRoutes.end()) co_return HttpReply{.status = 404};
  const auto [reply, response_lost] = state_.With([&](State& state) {
    HttpReply response = (this->*route->second)(state, call);
    const bool append = call.path == "/api/log-append" && response.status == 200;
    // The multiplier spreads the lost responses over the appends, reproducibly.
    const bool lose_response = append && static_cast<int>(state.stats.appends * 37 % 100) <
                                             active_fault.lost_answers_percent;
    return std::make_pair(response, lose_response);
  });
  appended_.NotifyAll();
  // Responds after the client's timeout, so the client does not learn the outcome.
  if (response_lost) co_await SleepFor(Duration(2'500));
  co_return response_lost ? HttpReply{.status = 500} : reply;
}

const HttpReply* StoreStandin::Producer::ResponseTo(std::int64_t sequence_number) const {
  for (const auto& [number, response] : responses) {
    if (number == sequence_number && number >= 0) return &response;
  }
  return nullptr;
}

std::optional<HttpReply> StoreStandin::CheckProducer(Producer& producer,
                                                     const HttpCall& call) const {
  const MemoryRule& rule = RuleOf(settings_->repeat_memory);
  const std::int64_t epoch = NumberParameter(call, "epoch", 0);
  const std::int64_t sequence = NumberParameter(call, "Sequence", -1);
  const HttpReply* known = producer.ResponseTo(sequence);
  if (rule.looks_before_epoch && known != nullptr) return *known;
  if (epoch < producer.epoch) return JsonReply(409, {{"Reason", "fenced"}});
  if (epoch > producer.epoch) {
    producer.epoch = epoch;
    producer.sequence = -1;
    if (!rule.keeps_responses) producer.responses.clear();
  }
  known = producer.ResponseTo(sequence);
  if (known != nullptr) return *known;
  if (!call.body.empty() && producer.sequence >= 0 && sequence != producer.sequence + 1) {
    return JsonReply(409, {{"Reason", "seq"}, {"Sequence", producer.sequence + 1}});
  }
  return std::nullopt;
}

HttpReply StoreStandin::Append(State& state, const HttpCall& call) {
  if (!AdmitAppend(state)) return JsonReply(429, {});
  const bool has_keys = PartitionIdOf(call).first.starts_with("keyed.");
  PartitionLog& log = state.logs[PartitionIdOf(call)];
  DropExpiredRecords(log);
  Producer* producer = nullptr;
  const std::int64_t sequence = NumberParameter(call, "Sequence", -1);
  const auto name = call.query.find("Producer");
  if (name != call.query.end()) {
    producer = &log.producers[name->second];
    if (auto response = CheckProducer(*producer, call)) return *std::move(response);
  }
  if (call.body.size() > kMaxCallBytes) return JsonReply(413, {});
  const std::int64_t offset = log.end();
  std::string_view remaining = call.body;
  while (remaining.size() >= 4) {
    const std::size_t length =
        endian::load_big_u32(reinterpret_cast<const unsigned char*>(remaining.data()));
    const std::string_view content = remaining.substr(4, length);
    Record record{.key = {}, .value = std::string(content)};
    if (has_keys) {
      const auto key_size = static_cast<unsigned char>(content[0]);
      record = {.key = std::string(content.substr(1, key_size)), .value = {}};
      if (content.size() > 1U + key_size) record.value = std::string(content.substr(1 + key_size));
    }
    AppendRecord(log, std::move(record));
    remaining.remove_prefix(4 + length);
  }
  HttpReply reply = JsonReply(200, {{"Offset", offset}, {"End", log.end()}});
  if (producer != nullptr && !call.body.empty()) {
    producer->sequence = sequence;
    producer->responses.emplace_back(sequence, reply);
    if (producer->responses.size() > kCachedResponses) producer->responses.pop_front();
  }
  return reply;
}

Task<HttpReply> StoreStandin::Read(HttpCall call) {
  const Time deadline = Now() + Duration(NumberParameter(call, "WaitMs", 0));
  const std::int64_t from = NumberParameter(call, "From", 0);
  const auto page_bytes = static_cast<std::size_t>(NumberParameter(call, "MaxKb", 1'024)) * 1'024;
  while (true) {
    const std::uint64_t ticket = appended_.Ticket();
    auto reply = state_.With([&](State& state) -> std::optional<HttpReply> {
      const auto id = PartitionIdOf(call);
      const bool has_keys = id.first.starts_with("keyed.");
      PartitionLog& log = state.logs[id];
      DropExpiredRecords(log);
      const auto stale = state.stale_ends.find(id);
      const std::int64_t end = stale == state.stale_ends.end() ? log.end() : stale->second;
      if (from < log.first) return JsonReply(410, {{"First", log.first}});
      if (from >= end && Now() < deadline) return std::nullopt;
      HttpReply page{.status = 200, .body = {}, .content_type = "application/octet-stream"};
      WriteNumber(page.body, end);
      WriteNumber(page.body, log.first);
      for (std::int64_t offset = from; offset < end; ++offset) {
        const Record& record = log.records[static_cast<std::size_t>(offset - log.first)];
        std::string content = record.value.value_or("");
        if (has_keys) content = static_cast<char>(record.key.size()) + record.key + content;
        // A page has one record at least.
        if (offset > from && page.body.size() + 4 + content.size() > page_bytes) break;
        std::array<unsigned char, 4> length{};
        endian::store_big_u32(length.data(), static_cast<std::uint32_t>(content.size()));
        page.body.append(length.begin(), length.end());
        page.body.append(content);
      }
      return page;
    });
    if (reply) co_return *reply;
    co_await appended_.Wait(ticket, deadline);
  }
}

HttpReply StoreStandin::Newest(State& state, const HttpCall& call) {
  constexpr std::size_t kPageItems = 40;  // Small, so that tests exercise paging.
  const PartitionLog& log = state.logs[PartitionIdOf(call)];
  const auto after = call.query.find("After");
  auto next =
      after == call.query.end() ? log.newest.begin() : log.newest.upper_bound(after->second);
  json::array items;
  for (; next != log.newest.end() && items.size() < kPageItems; ++next) {
    items.emplace_back(json::object{{"Key", next->first},
                                    {"Value", Base64(next->second.second)},
                                    {"Offset", next->second.first}});
  }
  return JsonReply(
      200,
      {{"items", std::move(items)}, {"HasMore", next != log.newest.end()}, {"End", log.end()}});
}

void StoreStandin::AssignPartitions(Group& group) {
  std::map<std::string, int> partition_counts;
  for (const auto& [name, member] : group.members) partition_counts[name] = 0;
  const int max_per_member = (kPartitions + static_cast<int>(partition_counts.size()) - 1) /
                             std::max<int>(1, static_cast<int>(partition_counts.size()));
  std::map<int, std::string> previous = std::move(group.assignment);
  group.assignment.clear();
  std::vector<int> unassigned;
  for (int partition = 0; partition < kPartitions; ++partition) {
    const auto previous_owner = partition_counts.find(previous[partition]);
    if (previous_owner != partition_counts.end() && previous_owner->second < max_per_member) {
      ++previous_owner->second;
      group.assignment[partition] = previous_owner->first;
    } else {
      unassigned.push_back(partition);
    }
  }
  for (const int partition : unassigned) {
    auto least_loaded =
        std::min_element(partition_counts.begin(), partition_counts.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    if (least_loaded == partition_counts.end()) return;
    ++least_loaded->second;
    group.assignment[partition] = least_loaded->first;
  }
}

void StoreStandin::ExpireMembers(Group& group) {
  const Time now = Now();
  const std::size_t expired = std::erase_if(group.members, [&](const auto& entry) {
    return now - entry.second.last_join > entry.second.time_to_live;
  });
  for (auto& [partition, owner] : group.owners) {
    if (group.members.count(owner) == 0) owner.clear();
  }
  if (expired == 0) return;
  ++group.generation;
  AssignPartitions(group);
}

HttpReply StoreStandin::Join(State& state, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  Group& group = state.groups[std::string(body.at("group").as_string())];
  group.topic = std::string(body.at("Topics").as_array()[0].as_string());
  const std::string name(body.at("Member").as_string());
  ExpireMembers(group);
  const bool known = group.members.count(name) > 0;
  Member& member = group.members[name];
  member.last_join = Now();
  member.time_to_live = Duration(body.at("TtlMs").to_number<std::int64_t>());
  member.generation = body.at("Generation").to_number<std::int64_t>();
  if (!known) {
    ++group.generation;
    AssignPartitions(group);
  }
  // A partition moves only after its current owner has joined with the new generation, and
  // thus released it. Otherwise, two members could own the partition at the same time.
  json::array assigned;
  for (auto& [partition, assignee] : group.assignment) {
    std::string& owner = group.owners[partition];
    const auto owner_member = group.members.find(owner);
    if (owner != assignee && (owner_member == group.members.end() ||
                              owner_member->second.generation >= group.generation)) {
      owner = assignee;
    }
    if (owner == name && assignee == name) {
      assigned.emplace_back(json::array{body.at("Topics").as_array()[0], partition, 0});
    }
  }
  return JsonReply(200, {{"Generation", group.generation}, {"parts", std::move(assigned)}});
}

HttpReply StoreStandin::Leave(State& state, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  Group& group = state.groups[std::string(body.at("group").as_string())];
  group.members.erase(std::string(body.at("Member").as_string()));
  ++group.generation;
  ExpireMembers(group);
  AssignPartitions(group);
  return JsonReply(200, {});
}

HttpReply StoreStandin::Owners(State& state, const HttpCall& call) {
  json::array rows;
  const auto name = call.query.find("group");
  if (name != call.query.end()) {
    Group& group = state.groups[name->second];
    ExpireMembers(group);
    for (const auto& [partition, owner] : group.owners) {
      if (!owner.empty()) rows.emplace_back(json::array{group.topic, partition, owner, 0});
    }
  }
  return JsonReply(200, {{"parts", std::move(rows)}});
}

}  // namespace dn::standins
