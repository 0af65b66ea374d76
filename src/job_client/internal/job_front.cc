// Calls of callers: routing, decoding, answers.
#include "job_client/internal/job_front.h"

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
// Callers come back after this long: a take-over takes about two seconds.
constexpr const char* kRetryAfterSeconds = "1";
// An answer must reach the caller before its patience ends: a slow processor
// and the way back.
constexpr Duration kAnswerMargin{250};

std::string HostOf(const HttpCall& call) {
  const auto found = call.headers.find("host");
  if (found == call.headers.end()) return {};
  std::string host = found->second.substr(0, found->second.find(':'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return host;
}

}  // namespace

const std::array<JobFront::Method, 4> JobFront::kMethods = {
    {{HttpMethod::kPost, true, &JobFront::Submit},
     {HttpMethod::kGet, true, &JobFront::ShowState},
     {HttpMethod::kDelete, true, &JobFront::Cancel},
     {HttpMethod::kGet, false, &JobFront::ShowWaiting}}};

HttpReply JobFront::Problem(int status, const std::string& reason, const Findings& findings) const {
  return {.status = status, .body = protocol_.problem(reason, findings)};
}

HttpReply JobFront::TryLater(const std::string& reason) const {
  HttpReply reply = Problem(kUnavailable, reason);
  reply.headers["Retry-After"] = kRetryAfterSeconds;
  return reply;
}

Task<HttpReply> JobFront::AnswerReadiness(HttpCall call) {
  if (call.path != protocol_.ready_path()) co_return Problem(kNotFound, "unknown-path");
  if (!service_.Ready()) co_return TryLater("not-ready");
  co_return HttpReply{.status = kOk, .body = "{}"};
}

Task<HttpReply> JobFront::Answer(HttpCall call) {
  const std::shared_ptr<const CatalogueView> view = service_.View();
  if (!(*view)->known) co_return TryLater("no-configuration");
  const Queue* queue = FindQueue((*view)->catalogue, HostOf(call), call.path);
  if (queue == nullptr) {
    const std::string version = std::to_string((*view)->catalogue->version);
    if (!(*view)->fresh) {
      log_.Write("queue-not-denied", call.path, "configuration-may-be-old version=" + version);
      co_return TryLater("configuration-may-be-old");
    }
    log_.Write("queue-unknown", call.path, "version=" + version);
    co_return Problem(kNotFound, "unknown-queue");
  }
  if (call.body.size() > static_cast<std::size_t>((*view)->catalogue->max_body_bytes)) {
    co_return Problem(kTooLarge, "body-too-large");
  }
  const Duration patience = protocol_.patience(call);
  Request request{.queue = *queue,
                  .job_text = call.path.substr((*queue)->path_prefix.size()),
                  .body = std::move(call.body),
                  .deadline = Now() + std::max(patience - kAnswerMargin, patience / 2)};
  const bool names_job = !request.job_text.empty();
  for (const Method& method : kMethods) {
    if (method.method != call.method || method.names_job != names_job) continue;
    co_return co_await (this->*method.serve)(std::move(request));
  }
  co_return Problem(kNotAllowed, "unknown-method");
}

Task<HttpReply> JobFront::Submit(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return Problem(kBadRequest, "malformed-job-id");
  Findings findings;
  auto spec = protocol_.job(request.body, findings);
  if (!spec) {
    log_.Write("job-malformed", request.job_text,
               "queue=" + request.queue->name + " findings=" + std::to_string(findings.size()));
    co_return Problem(kBadRequest, "malformed-job", findings);
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
  if (outcome == SubmitOutcome::kRefused) co_return TryLater("store-unavailable");
  co_return Problem(kGatewayTimeout, "outcome-unknown");
}

Task<HttpReply> JobFront::ShowState(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return Problem(kGone, "unknown-job");
  const auto state = co_await service_.StateOf(id.value(), request.deadline);
  if (!state) {
    log_.Write("state-not-told", request.job_text, state.error().message());
    co_return TryLater("owner-unavailable");
  }
  if (state.value() == JobState::kUnknown) co_return Problem(kGone, "unknown-job");
  co_return HttpReply{.status = kOk, .body = protocol_.state(state.value())};
}

Task<HttpReply> JobFront::Cancel(Request request) {
  const auto id = ParseJobId(request.job_text);
  if (!id) co_return Problem(kGone, "unknown-job");
  const auto cancelled = co_await service_.Cancel(id.value(), request.deadline);
  if (!cancelled) {
    log_.Write("cancel-not-done", request.job_text, cancelled.error().message());
    co_return TryLater("owner-unavailable");
  }
  if (!cancelled.value()) co_return Problem(kGone, "unknown-job");
  co_return HttpReply{.status = kOk, .body = "{}"};
}

Task<HttpReply> JobFront::ShowWaiting(Request request) {
  const auto waiting = co_await service_.WaitingOf(request.queue->name, request.deadline);
  if (!waiting) co_return TryLater("owner-unavailable");
  co_return HttpReply{.status = kOk, .body = protocol_.waiting(waiting.value())};
}

}  // namespace dn
