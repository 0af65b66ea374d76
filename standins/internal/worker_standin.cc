// Backend servers, registration of their workers, and control calls.
#include "standins/internal/worker_standin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

namespace dn::standins {
namespace {

constexpr std::size_t kReadBufferBytes = 8192;
constexpr Duration kSlowDelay{300};
constexpr Duration kSilentDelay{60'000};
constexpr Duration kRegisterRetryInterval{200};

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::size_t RequestedResponseSize(const std::string& target) {
  const std::size_t position = target.find("size=");
  return position == std::string::npos ? 0
                                       : std::strtoul(target.c_str() + position + 5, nullptr, 10);
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
  Member& new_member = *member;
  const Endpoint listen_address{.host = settings_->host, .port = 0};
  auto backend = CallerServer::Start(
      pool_, listen_address, {.header_limit_bytes = [] { return 64U * 1024U; }}, new_member.metrics,
      [this, &new_member](CallerExchange& caller) { return Serve(new_member, caller); });
  if (!backend) return backend.error();
  new_member.backend = std::move(backend).value();
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
    co_await SleepFor(kRegisterRetryInterval);
  }
}

Task<> WorkerStandin::Serve(Member& member, CallerExchange& caller) {
  const RequestHead& head = caller.head();
  const Execution execution{.worker = member.id.value,
                            .request = FindHeader(head.headers, kRequestIdHeader).value_or(""),
                            .token = FindHeader(head.headers, "X-Token").value_or(""),
                            .start_us = WallMicroseconds()};
  std::string previous_request;
  const BackendFault fault = member.state.With([&](State& state) {
    ++state.requests;
    state.max_requests = std::max(state.max_requests, state.requests);
    state.max_connections = std::max(state.max_connections, member.backend->open_connections());
    previous_request = std::exchange(state.last_request, execution.request);
    return state.fault.backend;
  });
  const auto request_ended = [&] { member.state.With([](State& state) { --state.requests; }); };
  std::vector<char> buffer(kReadBufferBytes);
  std::size_t received = 0;
  while (true) {
    const auto read = co_await caller.ReadBody(buffer);
    if (!read) {
      request_ended();
      caller.Abort();
      co_return;
    }
    if (read.value() == 0) break;
    received += read.value();
  }
  // A request counts as executed once its body has been received completely.
  member.state.With([&](State& state) { state.executions.push_back(execution); });
  co_await SleepFor(member.group->service_time);
  if (fault == BackendFault::kSlow || fault == BackendFault::kLate) co_await SleepFor(kSlowDelay);
  if (fault == BackendFault::kSilent) co_await SleepFor(kSilentDelay);
  request_ended();
  Execution reported = execution;
  if (fault == BackendFault::kOtherAnswer) reported.request = previous_request + "x";
  co_await SendResponse(member, caller, reported, fault, RequestedResponseSize(head.target),
                        received);
}

Task<> WorkerStandin::SendResponse(Member& member, CallerExchange& caller,
                                   const Execution& execution, BackendFault fault, std::size_t size,
                                   std::size_t received) {
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
  WorkerRecordings recordings;
  for (const auto& member : members_) {
    member->state.With([&](State& state) {
      recordings.executions.insert(recordings.executions.end(), state.executions.begin(),
                                   state.executions.end());
      recordings.high_water.push_back({.worker = member->id.value,
                                       .zone = member->group->zone.value,
                                       .requests = state.max_requests,
                                       .connections = state.max_connections});
    });
  }
  return recordings;
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
    const std::string& faulty_worker = fault.value().worker;
    if (!faulty_worker.empty() && member->id.value != faulty_worker) continue;
    member->state.With([&](State& state) { state.fault = fault.value(); });
  }
  co_return HttpReply{.body = "{}"};
}

}  // namespace dn::standins
