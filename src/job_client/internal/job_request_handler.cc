// Requests of callers: routing to a queue, decoding, and responses.
#include "job_client/internal/job_request_handler.h"

#include <algorithm>

namespace dn {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Value of the Retry-After header, in seconds. A take-over of a shard takes about
// two seconds.
constexpr const char* kRetryAfterSeconds = "1";
// Reserved out of the caller's timeout for the response: processing delays and the
// transmission to the caller.
constexpr Duration kResponseMargin{250};
// Characters of a request's identifier that are logged; four times those of a UUID.
constexpr std::size_t kMaxLoggedId = 144;

std::string HostOf(const HttpCall& call) {
  const auto found = call.headers.find("host");
  if (found == call.headers.end()) return {};
  std::string host = found->second.substr(0, found->second.find(':'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return host;
}

}  // namespace

const std::array<JobRequestHandler::Operation, 4> JobRequestHandler::kOperations = {
    {{HttpMethod::kPost, true, &JobRequestHandler::Submit},
     {HttpMethod::kGet, true, &JobRequestHandler::ShowState},
     {HttpMethod::kDelete, true, &JobRequestHandler::Cancel},
     {HttpMethod::kGet, false, &JobRequestHandler::ShowWaiting}}};

HttpReply JobRequestHandler::ErrorReply(int status, const std::string& reason,
                                        const Findings& findings) const {
  return {.status = status, .body = protocol_.encode_problem(reason, findings)};
}

HttpReply JobRequestHandler::UnavailableReply(const std::string& reason) const {
  HttpReply reply = ErrorReply(kUnavailable, reason);
  reply.headers["Retry-After"] = kRetryAfterSeconds;
  return reply;
}

Task<HttpReply> JobRequestHandler::HandleReadiness(HttpCall call) {
  if (call.path != protocol_.readiness_path()) co_return ErrorReply(kNotFound, "unknown-path");
  if (!service_.Ready()) co_return UnavailableReply("not-ready");
  co_return HttpReply{.status = kOk, .body = "{}"};
}

Task<HttpReply> JobRequestHandler::Handle(HttpCall call) {
  const std::shared_ptr<const QueueConfigurationView> view = service_.CurrentConfiguration();
  if (!(*view)->known) co_return UnavailableReply("no-configuration");
  const Queue* queue = FindQueue((*view)->configuration, HostOf(call), call.path);
  if (queue == nullptr) {
    const std::string version = std::to_string((*view)->configuration->version);
    if (!(*view)->fresh) {
      log_.Write("queue-not-denied", call.path, "configuration-may-be-old version=" + version);
      co_return UnavailableReply("configuration-may-be-old");
    }
    log_.Write("queue-unknown", call.path, "version=" + version);
    co_return ErrorReply(kNotFound, "unknown-queue");
  }
  if (call.body.size() > static_cast<std::size_t>((*view)->configuration->max_body_bytes)) {
    co_return ErrorReply(kTooLarge, "body-too-large");
  }
  const Time latest_answer{Duration(latest_answer_ms_.load())};
  if (Now() >= latest_answer) co_return UnavailableReply("instance-ends");
  const Duration timeout = protocol_.caller_timeout(call);
  Request request{.queue = *queue,
                  .job_text = call.path.substr((*queue)->path_prefix.size()),
                  .body = std::move(call.body),
                  .id = protocol_.request_id(call).substr(0, kMaxLoggedId),
                  .deadline = std::min(latest_answer,
                                       Now() + std::max(timeout - kResponseMargin, timeout / 2))};
  const bool has_job_id = !request.job_text.empty();
  for (const Operation& operation : kOperations) {
    if (operation.method != call.method || operation.has_job_id != has_job_id) continue;
    co_return co_await (this->*operation.handler)(std::move(request));
  }
  co_return ErrorReply(kNotAllowed, "unknown-method");
}

Task<HttpReply> JobRequestHandler::Submit(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return ErrorReply(kBadRequest, "malformed-job-id");
  Findings findings;
  auto spec = protocol_.decode_job(request.body, findings);
  if (!spec) {
    log_.Write("job-malformed", request.job_text,
               "queue=" + request.queue->name + " findings=" + std::to_string(findings.size()));
    co_return ErrorReply(kBadRequest, "malformed-job", findings);
  }
  AcceptedJob job({.id = id.value(),
                   .queue = request.queue,
                   .accepted_ms = WallMs(),
                   .spec = *std::move(spec)});
  const SubmitOutcome outcome = co_await service_.Submit(std::move(job), request.deadline);
  if (outcome == SubmitOutcome::kAccepted) co_return HttpReply{.status = kOk, .body = "{}"};
  log_.Write("job-not-accepted", request.job_text,
             "queue=" + request.queue->name +
                 (outcome == SubmitOutcome::kRefused ? " outcome=refused" : " outcome=unknown"));
  if (outcome == SubmitOutcome::kRefused) co_return UnavailableReply("store-unavailable");
  co_return ErrorReply(kGatewayTimeout, "outcome-unknown");
}

Task<HttpReply> JobRequestHandler::ShowState(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return ErrorReply(kGone, "unknown-job");
  const auto state = co_await service_.StateOf(id.value(), request.deadline);
  if (!state) {
    log_.Write("state-not-told", request.job_text, state.error().message());
    co_return UnavailableReply("owner-unavailable");
  }
  if (state.value() == JobState::kUnknown) co_return ErrorReply(kGone, "unknown-job");
  co_return HttpReply{.status = kOk, .body = protocol_.encode_state(state.value())};
}

Task<HttpReply> JobRequestHandler::Cancel(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return ErrorReply(kGone, "unknown-job");
  const auto cancelled = co_await service_.Cancel(id.value(), request.deadline);
  if (!cancelled) {
    log_.Write("cancel-not-done", request.job_text, cancelled.error().message());
    co_return UnavailableReply("owner-unavailable");
  }
  if (!cancelled.value()) co_return ErrorReply(kGone, "unknown-job");
  co_return HttpReply{.status = kOk, .body = "{}"};
}

Task<HttpReply> JobRequestHandler::ShowWaiting(Request request) {
  const Time asked = Now();
  const auto waiting = co_await service_.WaitingOf(request.queue->name, request.deadline);
  const std::string call =
      "request=" + request.id + " took_ms=" + std::to_string((Now() - asked).count());
  if (!waiting) {
    log_.Write("waiting-not-told", request.queue->name,
               call + " cause=" + waiting.error().message());
    co_return UnavailableReply("owner-unavailable");
  }
  log_.Write("waiting-told", request.queue->name,
             call + " count=" + std::to_string(waiting.value()));
  co_return HttpReply{.status = kOk, .body = protocol_.encode_waiting(waiting.value())};
}

}  // namespace dn
