// Backend servers of the stand-in.
#include "standins/internal/worker_standin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

namespace dn::standins {
namespace {

constexpr std::size_t kPiece = 8192;
constexpr Duration kSlowBy{300};
constexpr Duration kSilence{60'000};
constexpr Duration kRegisterAgain{200};

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::size_t SizeOf(const std::string& target) {
  const std::size_t at = target.find("size=");
  return at == std::string::npos ? 0 : std::strtoul(target.c_str() + at + 5, nullptr, 10);
}

}  // namespace

Result<void> WorkerStandin::Start() {
  for (const WorkerGroup& group : settings_->groups) {
    for (int index = 0; index < group->count; ++index) {
      BOOST_OUTCOME_TRY(StartMember(group, index));
    }
  }
  auto control = HttpServer::Start(
      pool_, settings_->control, [this](HttpCall call) { return HandleControl(std::move(call)); });
  if (!control) return control.error();
  control_ = std::move(control).value();
  for (const auto& member : members_) pool_.Spawn(Register(*member, false));
  return boost::outcome_v2::success();
}

Result<void> WorkerStandin::StartMember(const WorkerGroup& group, int index) {
  const WorkerId id{group->zone.value + "-" + std::to_string(index)};
  auto member = std::make_unique<Member>(id, group);
  Member& ref = *member;
  const Endpoint any{.host = settings_->host, .port = 0};
  auto backend = CallerServer::Start(
      pool_, any, {.header_limit_bytes = [] { return 64U * 1024U; }}, ref.metrics,
      [this, &ref](CallerExchange& caller) { return Serve(ref, caller); });
  if (!backend) return backend.error();
  ref.backend = std::move(backend).value();
  members_.push_back(std::move(member));
  return boost::outcome_v2::success();
}

Task<> WorkerStandin::Register(Member& member, bool draining) {
  const boost::json::object entry{
      {"Service", member.group->service.value},
      {"Address", member.backend->address().ToString()},
      {"Zone", member.group->zone.value},
      {"State", draining ? "draining" : "ready"},
      {"Capacity", {{"Cpu", 64'000}, {"MemMb", 250'000}, {"Gpu", 0}}},
      {"Labels", boost::json::array{"rack-" + member.group->zone.value}},
      {"born", 1}};
  const StorePut put{
      .topic = "keyed.servers", .key = member.id.value, .value = boost::json::serialize(entry)};
  const std::string body = EncodeText(put);
  while (true) {
    HttpCall call{.method = HttpMethod::kPost, .path = "/control/put", .query = {}, .body = body};
    const auto reply =
        co_await http_.Call(settings_->store, std::move(call), Duration(2000), TrafficKind::kStore);
    if (reply && reply.value().status == 200) co_return;
    co_await SleepFor(kRegisterAgain);
  }
}

Task<> WorkerStandin::Serve(Member& member, CallerExchange& caller) {
  const RequestHead& head = caller.head();
  const Execution execution{.worker = member.id.value,
                            .request = FindHeader(head.headers, kRequestIdHeader).value_or(""),
                            .token = FindHeader(head.headers, "X-Token").value_or(""),
                            .start_us = WallMicroseconds()};
  std::string other;
  const BackendFault fault = member.book.With([&](Book& book) {
    ++book.requests;
    book.max_requests = std::max(book.max_requests, book.requests);
    book.max_connections = std::max(book.max_connections, member.backend->open_connections());
    other = std::exchange(book.last_request, execution.request);
    return book.fault.backend;
  });
  const auto leave = [&] { member.book.With([](Book& book) { --book.requests; }); };
  std::vector<char> piece(kPiece);
  std::size_t received = 0;
  while (true) {
    const auto read = co_await caller.ReadBody(piece);
    if (!read) {
      leave();
      caller.Abort();
      co_return;
    }
    if (read.value() == 0) break;
    received += read.value();
  }
  // A request counts as run once it is complete.
  member.book.With([&](Book& book) { book.executions.push_back(execution); });
  co_await SleepFor(member.group->service_time);
  if (fault == BackendFault::kSlow || fault == BackendFault::kLate) co_await SleepFor(kSlowBy);
  if (fault == BackendFault::kSilent) co_await SleepFor(kSilence);
  leave();
  Execution answered = execution;
  if (fault == BackendFault::kOtherAnswer) answered.request = other + "x";
  co_await Answer(member, caller, answered, fault, SizeOf(head.target), received);
}

Task<> WorkerStandin::Answer(Member& member, CallerExchange& caller, const Execution& execution,
                             BackendFault fault, std::size_t size, std::size_t received) {
  if (fault == BackendFault::kCloseEarly) {
    caller.Abort();
    co_return;
  }
  std::string body = execution.token + "|" + std::to_string(received) + "|" + member.id.value +
                     "|" + std::string(size, 'x');
  ResponseHead head{.status = 200,
                    .headers = {{std::string(kRequestIdHeader), execution.request}},
                    .framing = BodyFraming::kLength,
                    .body_length = body.size()};
  if (!co_await caller.SendHead(head)) co_return;
  if (fault == BackendFault::kCutShort) {
    co_await caller.SendBody(std::span<const char>(body).first(body.size() / 2), false);
    caller.Abort();
    co_return;
  }
  co_await caller.SendBody(body, true);
}

WorkerRecordings WorkerStandin::Recordings() const {
  WorkerRecordings all;
  for (const auto& member : members_) {
    member->book.With([&](Book& book) {
      all.executions.insert(all.executions.end(), book.executions.begin(), book.executions.end());
      all.high_water.push_back({.worker = member->id.value,
                                .zone = member->group->zone.value,
                                .requests = book.max_requests,
                                .connections = book.max_connections});
    });
  }
  return all;
}

Task<HttpReply> WorkerStandin::HandleControl(HttpCall call) {
  if (call.path == "/control/recordings") co_return HttpReply{.body = EncodeText(Recordings())};
  if (call.path == "/control/leave") {
    for (const auto& member : members_) {
      if (member->id.value == call.query["id"]) co_await Register(*member, true);
    }
    co_return HttpReply{.body = "{}"};
  }
  const auto fault = DecodeMessage<WorkerFault>(call.body);
  if (!fault) co_return HttpReply{.status = 400, .body = "{}"};
  for (const auto& member : members_) {
    const std::string& wanted = fault.value().worker;
    if (!wanted.empty() && member->id.value != wanted) continue;
    member->book.With([&](Book& book) { book.fault = fault.value(); });
  }
  co_return HttpReply{.body = "{}"};
}

}  // namespace dn::standins
