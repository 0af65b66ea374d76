// Metadata store in memory.
#include "standins/internal/store_standin.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace dn::standins {
namespace {

namespace json = boost::json;
namespace endian = boost::endian;

constexpr int kPartitions = 16;
constexpr std::size_t kRememberedAnswers = 5;
constexpr Duration kSilentPoll{50};

std::int64_t NumberOf(const HttpCall& call, const std::string& name, std::int64_t fallback) {
  const auto found = call.query.find(name);
  return found == call.query.end() ? fallback : std::stoll(found->second);
}

std::pair<std::string, int> PartOf(const HttpCall& call) {
  const auto topic = call.query.find("Topic");
  return {topic == call.query.end() ? "" : topic->second,
          static_cast<int>(NumberOf(call, "part", 0))};
}

HttpReply Json(int status, const json::object& body) {
  return {.status = status, .body = json::serialize(body)};
}

void WriteNumber(std::string& out, std::int64_t value) {
  std::array<unsigned char, 8> bytes{};
  endian::store_big_s64(bytes.data(), value);
  out.append(bytes.begin(), bytes.end());
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

Result<Endpoint> StoreStandin::OpenDoor() {
  const int door = static_cast<int>(doors_.size());
  book_.With([](Book& book) { book.door_faults.emplace_back(); });
  auto server =
      HttpServer::Start(pool_, {.host = "127.0.0.1", .port = 0},
                        [this, door](HttpCall call) { return Handle(door, std::move(call)); });
  if (!server) return server.error();
  doors_.push_back(std::move(server).value());
  return doors_.back()->address();
}

void StoreStandin::SetDoorFault(int door, const StoreFault& fault) {
  book_.With([&](Book& book) { book.door_faults[static_cast<std::size_t>(door)] = fault; });
}

void StoreStandin::SetFault(const StoreFault& fault) {
  book_.With([&](Book& book) {
    book.fault = fault;
    book.stale_ends.clear();
    if (!fault.stale) return;
    for (const auto& [id, part] : book.parts) {
      if (id.first.starts_with(fault.only)) book.stale_ends[id] = part.end();
    }
  });
}

void StoreStandin::DropHistory() {
  book_.With([](Book& book) {
    for (auto& [id, part] : book.parts) {
      part.first = part.end();
      part.records.clear();
    }
  });
}

void StoreStandin::Redeal() {
  book_.With([](Book& book) {
    for (auto& [name, group] : book.groups) {
      // Every partition moves on to the next member.
      if (group.members.empty()) continue;
      for (auto& [partition, holder] : group.holders) {
        auto next = group.members.upper_bound(holder);
        if (next == group.members.end()) next = group.members.begin();
        holder = next->first;
      }
      group.dealt = group.holders;
      ++group.generation;
    }
  });
}

void StoreStandin::Put(const std::string& topic, const std::string& key,
                       std::optional<std::string> value) {
  book_.With([&](Book& book) {
    Add(book.parts[{topic, 0}], Record{.key = key, .value = std::move(value)});
  });
  appended_.NotifyAll();
}

std::string StoreStandin::OwnerOf(const std::string& group, int partition) {
  return book_.With([&](Book& book) { return book.groups[group].holders[partition]; });
}

void StoreStandin::Add(Part& part, Record record) {
  record.stored = Now();
  if (record.key.empty()) {
    // No key to keep the newest record of.
  } else if (record.value) {
    part.newest[record.key] = {part.end(), *record.value};
  } else {
    part.newest.erase(record.key);
  }
  part.records.push_back(std::move(record));
}

void StoreStandin::DropOld(Part& part) const {
  while (!part.records.empty() && Now() - part.records.front().stored > settings_->retention) {
    part.records.pop_front();
    ++part.first;
  }
}

bool StoreStandin::WithinRate(Book& book) const {
  const std::int64_t second = Now().time_since_epoch().count() / 1'000;
  if (book.second != second) book.in_second = 0;
  book.second = second;
  if (book.in_second >= static_cast<std::uint64_t>(settings_->max_appends_per_second)) {
    ++book.stats.refused;
    return false;
  }
  ++book.in_second;
  ++book.stats.appends;
  book.stats.max_appends_per_second = std::max(book.stats.max_appends_per_second, book.in_second);
  return true;
}

HttpReply StoreStandin::Control(const HttpCall& call) {
  if (call.path == "/control/stats") {
    return {.body = EncodeText(book_.With([](const Book& book) { return book.stats; }))};
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

Task<HttpReply> StoreStandin::Handle(int door, HttpCall call) {
  if (call.path.starts_with("/control/")) co_return Control(call);
  using Serve = HttpReply (StoreStandin::*)(Book&, const HttpCall&);
  static const std::map<std::string, Serve> kRoutes = {{"/api/log-append", &StoreStandin::Append},
                                                       {"/api/log-newest", &StoreStandin::Newest},
                                                       {"/api/log-join", &StoreStandin::Join},
                                                       {"/api/log-leave", &StoreStandin::Leave},
                                                       {"/api/log-owners", &StoreStandin::Owners}};
  const std::string topic = PartOf(call).first;
  const auto fault = [&] {
    return book_.With([&](Book& book) {
      StoreFault all;
      if (topic.starts_with(book.fault.only)) all = book.fault;
      if (door < 0) return all;
      const StoreFault& own = book.door_faults[static_cast<std::size_t>(door)];
      all.busy = all.busy || own.busy;
      all.silent = all.silent || own.silent;
      all.delay = std::max(all.delay, own.delay);
      return all;
    });
  };
  while (fault().silent) co_await SleepFor(kSilentPoll);
  const StoreFault now = fault();
  if (now.busy) co_return HttpReply{.status = 503};
  if (now.delay > Duration(0)) co_await SleepFor(now.delay);
  if (call.path == "/api/log-read") co_return co_await Read(std::move(call));
  const auto route = kRoutes.find(call.path);
  if (route == kRoutes.end()) co_return HttpReply{.status = 404};
  const auto [reply, lost] = book_.With([&](Book& book) {
    HttpReply answer = (this->*route->second)(book, call);
    const bool append = call.path == "/api/log-append" && answer.status == 200;
    const bool drop =
        append && static_cast<int>(book.stats.appends * 37 % 100) < now.lost_answers_percent;
    return std::make_pair(answer, drop);
  });
  appended_.NotifyAll();
  // Longer than any caller waits.
  if (lost) co_await SleepFor(Duration(2'500));
  co_return lost ? HttpReply{.status = 500} : reply;
}

HttpReply StoreStandin::Append(Book& book, const HttpCall& call) {
  if (!WithinRate(book)) return Json(429, {});
  const bool keyed = PartOf(call).first.starts_with("keyed.");
  Part& part = book.parts[PartOf(call)];
  DropOld(part);
  Producer* producer = nullptr;
  const std::int64_t sequence = NumberOf(call, "Sequence", -1);
  const auto name = call.query.find("Producer");
  if (name != call.query.end()) {
    producer = &part.producers[name->second];
    const std::int64_t epoch = NumberOf(call, "epoch", 0);
    if (epoch < producer->epoch) return Json(409, {{"Reason", "fenced"}});
    if (epoch > producer->epoch)
      *producer = Producer{.epoch = epoch, .sequence = -1, .answers = {}};
    for (const auto& [number, answer] : producer->answers) {
      if (number == sequence && sequence >= 0) return answer;
    }
    if (!call.body.empty() && producer->sequence >= 0 && sequence != producer->sequence + 1) {
      return Json(409, {{"Reason", "seq"}, {"Sequence", producer->sequence + 1}});
    }
  }
  const std::int64_t offset = part.end();
  std::string_view rest = call.body;
  while (rest.size() >= 4) {
    const std::size_t length =
        endian::load_big_u32(reinterpret_cast<const unsigned char*>(rest.data()));
    const std::string_view content = rest.substr(4, length);
    Record record{.key = {}, .value = std::string(content)};
    if (keyed) {
      const auto key_size = static_cast<unsigned char>(content[0]);
      record = {.key = std::string(content.substr(1, key_size)), .value = {}};
      if (content.size() > 1U + key_size) record.value = std::string(content.substr(1 + key_size));
    }
    Add(part, std::move(record));
    rest.remove_prefix(4 + length);
  }
  HttpReply reply = Json(200, {{"Offset", offset}, {"End", part.end()}});
  if (producer != nullptr && !call.body.empty()) {
    producer->sequence = sequence;
    producer->answers.emplace_back(sequence, reply);
    if (producer->answers.size() > kRememberedAnswers) producer->answers.pop_front();
  }
  return reply;
}

Task<HttpReply> StoreStandin::Read(HttpCall call) {
  const Time deadline = Now() + Duration(NumberOf(call, "WaitMs", 0));
  const std::int64_t from = NumberOf(call, "From", 0);
  while (true) {
    const std::uint64_t ticket = appended_.Ticket();
    auto reply = book_.With([&](Book& book) -> std::optional<HttpReply> {
      const auto id = PartOf(call);
      const bool keyed = id.first.starts_with("keyed.");
      Part& part = book.parts[id];
      DropOld(part);
      const auto stale = book.stale_ends.find(id);
      const std::int64_t end = stale == book.stale_ends.end() ? part.end() : stale->second;
      if (from < part.first) return Json(410, {{"First", part.first}});
      if (from >= end && Now() < deadline) return std::nullopt;
      HttpReply page{.status = 200, .body = {}, .content_type = "application/octet-stream"};
      WriteNumber(page.body, end);
      WriteNumber(page.body, part.first);
      for (std::int64_t offset = from; offset < end; ++offset) {
        const Record& record = part.records[static_cast<std::size_t>(offset - part.first)];
        std::string content = record.value.value_or("");
        if (keyed) content = static_cast<char>(record.key.size()) + record.key + content;
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

HttpReply StoreStandin::Newest(Book& book, const HttpCall& call) {
  constexpr std::size_t kPage = 40;  // Small, so that several pages are used.
  const Part& part = book.parts[PartOf(call)];
  const auto after = call.query.find("After");
  auto next =
      after == call.query.end() ? part.newest.begin() : part.newest.upper_bound(after->second);
  json::array items;
  for (; next != part.newest.end() && items.size() < kPage; ++next) {
    items.emplace_back(json::object{{"Key", next->first},
                                    {"Value", Base64(next->second.second)},
                                    {"Offset", next->second.first}});
  }
  return Json(
      200,
      {{"items", std::move(items)}, {"HasMore", next != part.newest.end()}, {"End", part.end()}});
}

void StoreStandin::Expire(Group& group) {
  const Time now = Now();
  std::erase_if(group.members, [&](const auto& entry) {
    return now - entry.second.heard > entry.second.time_to_live;
  });
  for (auto& [partition, holder] : group.holders) {
    if (group.members.count(holder) == 0) holder.clear();
  }
}

void StoreStandin::Deal(Group& group) {
  std::map<std::string, int> load;
  for (const auto& [name, member] : group.members) load[name] = 0;
  const int most = (kPartitions + static_cast<int>(load.size()) - 1) /
                   std::max<int>(1, static_cast<int>(load.size()));
  std::map<int, std::string> before = std::move(group.dealt);
  group.dealt.clear();
  std::vector<int> open;
  for (int partition = 0; partition < kPartitions; ++partition) {
    const auto held = load.find(before[partition]);
    if (held != load.end() && held->second < most) {
      ++held->second;
      group.dealt[partition] = held->first;
    } else {
      open.push_back(partition);
    }
  }
  for (const int partition : open) {
    auto least = std::min_element(load.begin(), load.end(),
                                  [](const auto& a, const auto& b) { return a.second < b.second; });
    if (least == load.end()) return;
    ++least->second;
    group.dealt[partition] = least->first;
  }
}

HttpReply StoreStandin::Join(Book& book, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  Group& group = book.groups[std::string(body.at("group").as_string())];
  group.topic = std::string(body.at("Topics").as_array()[0].as_string());
  const std::string name(body.at("Member").as_string());
  const std::size_t before = group.members.size();
  const bool known = group.members.count(name) > 0;
  Expire(group);
  Member& member = group.members[name];
  member.heard = Now();
  member.time_to_live = Duration(body.at("TtlMs").to_number<std::int64_t>());
  member.generation = body.at("Generation").to_number<std::int64_t>();
  if (!known || group.members.size() != before) {
    ++group.generation;
    Deal(group);
  }
  // Partitions that move are released once their holder has seen this deal.
  json::array parts;
  for (auto& [partition, to] : group.dealt) {
    std::string& holder = group.holders[partition];
    const auto holding = group.members.find(holder);
    if (holder != to &&
        (holding == group.members.end() || holding->second.generation >= group.generation)) {
      holder = to;
    }
    if (holder == name && to == name) {
      parts.emplace_back(json::array{body.at("Topics").as_array()[0], partition, 0});
    }
  }
  return Json(200, {{"Generation", group.generation}, {"parts", std::move(parts)}});
}

HttpReply StoreStandin::Leave(Book& book, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  Group& group = book.groups[std::string(body.at("group").as_string())];
  group.members.erase(std::string(body.at("Member").as_string()));
  ++group.generation;
  Expire(group);
  Deal(group);
  return Json(200, {});
}

HttpReply StoreStandin::Owners(Book& book, const HttpCall& call) {
  json::array rows;
  const auto name = call.query.find("group");
  if (name != call.query.end()) {
    Group& group = book.groups[name->second];
    Expire(group);
    for (const auto& [partition, holder] : group.holders) {
      if (!holder.empty()) rows.emplace_back(json::array{group.topic, partition, holder, 0});
    }
  }
  return Json(200, {{"parts", std::move(rows)}});
}

}  // namespace dn::standins
