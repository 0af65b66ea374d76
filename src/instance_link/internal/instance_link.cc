// Encoding and handling of the calls between instances.
#include "instance_link/internal/instance_link.h"

#include <charconv>
#include <limits>

namespace dn {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::int64_t kMaxPort = 65'535;
// Body of a response with status 503 whose reason is kOutdated.
constexpr const char* kOutdatedReason = "outdated";
constexpr std::string_view kJobsPath = "/jobs";
constexpr std::string_view kJobPrefix = "/jobs/";
constexpr std::string_view kQueuePrefix = "/queues/";
constexpr std::string_view kOwnerPrefix = "/owners/";
// Time limit of the called instance. It is below the timeout of the calling
// instance, so that a response can still arrive.
constexpr Duration kServeTimeout{800};
// Timeouts of a submission at the calling and at the called instance. A slow store
// needs two responses of 0.4 s; with a shorter timeout the calling instance would
// submit the job elsewhere and it would be stored twice.
constexpr Duration kSubmitTimeout{1'800};
constexpr Duration kSubmitServeTimeout{1'700};

constexpr std::array<std::pair<SubmitOutcome, int>, 3> kSubmitStatus = {
    {{SubmitOutcome::kAccepted, kOk},
     {SubmitOutcome::kRefused, kUnavailable},
     {SubmitOutcome::kUnknown, kGatewayTimeout}}};

HttpCall CallOf(HttpMethod method, std::string path, std::string body = {}) {
  return {.method = method, .path = std::move(path), .query = {}, .body = std::move(body)};
}

// Returns the part of `path` after `prefix`, or nullopt if `path` does not start
// with it.
std::optional<std::string> RemovePrefix(std::string_view prefix, const std::string& path) {
  if (path.substr(0, prefix.size()) != prefix) return std::nullopt;
  return path.substr(prefix.size());
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

HttpReply RefusalReply(std::error_code error) {
  return {.status = kUnavailable, .body = error == Errc::kOutdated ? kOutdatedReason : ""};
}

std::error_code RefusalOf(const HttpReply& reply) {
  return reply.body == kOutdatedReason ? Errc::kOutdated : Errc::kUnavailable;
}

JobState ParseJobState(std::string_view name) {
  for (const auto& entry : EnumNames<JobState>::kNames) {
    if (entry.name == name) return entry.value;
  }
  return JobState::kUnknown;
}

}  // namespace

Task<HttpReply> InstanceServer::Handle(HttpCall call) {
  if (call.method == HttpMethod::kPost && call.path == kJobsPath) {
    auto job = DecodeAcceptedJob(call.body);
    if (!job) co_return HttpReply{.status = kNotFound};
    const SubmitOutcome outcome = co_await local_.Submit(job.value(), Now() + kSubmitServeTimeout);
    for (const auto& [mapped, status] : kSubmitStatus) {
      if (mapped == outcome) co_return HttpReply{.status = status};
    }
  }
  const Time deadline = Now() + kServeTimeout;
  if (const auto text = RemovePrefix(kJobPrefix, call.path)) {
    const auto id = ParseJobId(*text);
    if (!id) co_return HttpReply{.status = kNotFound};
    if (call.method == HttpMethod::kDelete) {
      const auto cancelled = co_await local_.Cancel(id.value(), deadline);
      if (!cancelled) co_return RefusalReply(cancelled.error());
      co_return HttpReply{.status = cancelled.value() ? kOk : kGone};
    }
    const auto state = co_await local_.StateOf(id.value(), deadline);
    if (!state) co_return RefusalReply(state.error());
    co_return HttpReply{.status = kOk, .body = std::string(NameOf(state.value()))};
  }
  if (const auto queue = RemovePrefix(kQueuePrefix, call.path)) {
    const auto waiting = co_await local_.WaitingOf(*queue, deadline);
    if (!waiting) co_return RefusalReply(waiting.error());
    co_return HttpReply{.status = kOk, .body = std::to_string(waiting.value())};
  }
  if (const auto shard = RemovePrefix(kOwnerPrefix, call.path)) {
    const auto number = ParseNumber(*shard);
    if (!number || *number < 0 || *number > std::numeric_limits<int>::max()) {
      co_return HttpReply{.status = kNotFound};
    }
    const auto owner = owner_of_(static_cast<int>(*number));
    if (!owner) co_return HttpReply{.status = kUnavailable};
    co_return HttpReply{.status = kOk, .body = owner.value().ToString()};
  }
  co_return HttpReply{.status = kNotFound};
}

Task<Result<Endpoint>> RemoteInstance::OwnerOf(int shard, Time deadline) {
  HttpCall call = CallOf(HttpMethod::kGet, std::string(kOwnerPrefix) + std::to_string(shard));
  auto reply = co_await Call(std::move(call), deadline);
  if (!reply) co_return reply.error();
  const std::string& text = reply.value().body;
  const std::size_t colon = text.rfind(':');
  if (reply.value().status != kOk || colon == std::string::npos) co_return Errc::kUnavailable;
  const auto port = ParseNumber(std::string_view(text).substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort) co_return Errc::kMalformed;
  co_return Endpoint{.host = text.substr(0, colon), .port = static_cast<std::uint16_t>(*port)};
}

Task<Result<HttpReply>> RemoteInstance::Call(HttpCall call, Time deadline, Duration timeout) {
  const Duration remaining = std::min(timeout, deadline - Now());
  if (remaining <= Duration(0)) co_return Errc::kUnavailable;
  co_return co_await http_.Call(address_, std::move(call), remaining, TrafficKind::kSibling);
}

Task<SubmitOutcome> RemoteInstance::Submit(AcceptedJob job, Time deadline) {
  HttpCall call = CallOf(HttpMethod::kPost, std::string(kJobsPath), EncodeAcceptedJob(job));
  // A refusal shows that the job is not stored only if there was no other attempt.
  call.retry_on_broken_connection = false;
  auto reply = co_await Call(std::move(call), deadline, kSubmitTimeout);
  if (!reply) {
    const bool sent = reply.error() != Errc::kUnreachable && reply.error() != Errc::kUnavailable;
    co_return sent ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused;
  }
  for (const auto& [outcome, status] : kSubmitStatus) {
    if (status == reply.value().status) co_return outcome;
  }
  // The instance could not decode the job, so it did nothing.
  if (reply.value().status == kNotFound) co_return SubmitOutcome::kRefused;
  co_return SubmitOutcome::kUnknown;
}

Task<Result<JobState>> RemoteInstance::StateOf(JobId id, Time deadline) {
  HttpCall call = CallOf(HttpMethod::kGet, std::string(kJobPrefix) + FormatJobId(id));
  auto reply = co_await Call(std::move(call), deadline);
  if (!reply) co_return reply.error();
  if (reply.value().status != kOk) co_return RefusalOf(reply.value());
  co_return ParseJobState(reply.value().body);
}

Task<Result<bool>> RemoteInstance::Cancel(JobId id, Time deadline) {
  HttpCall call = CallOf(HttpMethod::kDelete, std::string(kJobPrefix) + FormatJobId(id));
  auto reply = co_await Call(std::move(call), deadline);
  if (!reply) co_return reply.error();
  if (reply.value().status == kOk) co_return true;
  if (reply.value().status == kGone) co_return false;
  co_return RefusalOf(reply.value());
}

Task<Result<std::int64_t>> RemoteInstance::WaitingOf(std::string queue, Time deadline) {
  HttpCall call = CallOf(HttpMethod::kGet, std::string(kQueuePrefix) + queue);
  auto reply = co_await Call(std::move(call), deadline);
  if (!reply) co_return reply.error();
  if (reply.value().status != kOk) co_return RefusalOf(reply.value());
  const auto waiting = ParseNumber(reply.value().body);
  if (!waiting) co_return Errc::kMalformed;
  co_return *waiting;
}

}  // namespace dn
