// Steps of a request. Each step reports its event to the request's state machine, whose state
// determines whether the request is retried and which outcome is reported to the caller.
#include "caller/internal/request_flow.h"

#include <charconv>
#include <random>

namespace dn {
namespace {

constexpr std::size_t kMaxIdleConnectionsPerSibling = 16;
constexpr std::size_t kResponseBufferBytes = 32 * 1024;
// One day: a backend server that neither responds nor closes its connection keeps the slot until
// its worker is replaced.
constexpr Duration kMaxLateResponseWait{86'400'000};
// Minimum time for reading a late response to its end.
constexpr Duration kLateResponseReadTime{1000};

struct ReasonStatus {
  Reason reason;
  int status;
};
// HTTP status of the response for each reason; 503 for reasons that are not listed.
constexpr std::array<ReasonStatus, 9> kStatuses = {{{Reason::kMalformed, 400},
                                                    {Reason::kUnknownService, 404},
                                                    {Reason::kHeaderTooLarge, 431},
                                                    {Reason::kBodyTooLarge, 413},
                                                    {Reason::kDuplicate, 409},
                                                    {Reason::kCallerGone, 400},
                                                    {Reason::kDeadline, 504},
                                                    {Reason::kConnectionBroken, 502},
                                                    {Reason::kResponseInvalid, 502}}};

int StatusOf(Reason reason) {
  for (const ReasonStatus& entry : kStatuses) {
    if (entry.reason == reason) return entry.status;
  }
  return 503;
}

// Returns the first label of the host name, in lower case: "refill-desk" for
// "Refill-Desk.example:8080".
ServiceName ServiceOf(const Headers& headers) {
  std::string host = FindHeader(headers, "Host").value_or("");
  host = host.substr(0, host.find(':'));
  host = host.substr(0, host.find('.'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return {host};
}

// True for the headers of the caller protocol. These are not forwarded: each instance sets its own.
bool HasProtocolPrefix(const std::string& name) {
  return name.size() >= kHeaderPrefix.size() &&
         SameHeaderName(name.substr(0, kHeaderPrefix.size()), kHeaderPrefix);
}

// Returns nothing if there is no text, or if it does not begin with a number >= 0.
std::optional<Duration> ParseMilliseconds(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  Duration::rep value = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
  if (parsed.ec != std::errc{} || value < 0) return std::nullopt;
  return Duration(value);
}

// Approximate size of the head as sent; ": " and the line break of each header count as 4 bytes.
std::size_t HeaderBytes(const RequestHead& head) {
  std::size_t bytes = head.method.size() + head.target.size();
  for (const Header& header : head.headers) bytes += header.name.size() + header.value.size() + 4;
  return bytes;
}

Reason ReasonOf(const std::error_code& error) {
  return error == Errc::kTimeout ? Reason::kDeadline : Reason::kConnectionBroken;
}

Random& ThreadRandom() {
  thread_local Random random{std::random_device{}()};
  return random;
}

}  // namespace

// How one attempt ended. The state machine of the request is in the corresponding state.
struct RequestFlow::AttemptResult {
  Reason reason = Reason::kNone;
  int status = 0;                 // HTTP status of the forwarded response.
  bool response_started = false;  // At least the head of the response was sent to the caller.
  bool no_response = false;  // The response had not begun at the deadline; the connection was open.
  // Set if another request has claimed the key and its outcome is known.
  std::optional<RequestOutcome> first_outcome;
  int first_status = 0;  // HTTP status of that request if it was answered.
};

struct RequestFlow::Request {
  Request(CallerExchange& exchange, Service requested_service, bool idempotent)
      : caller(exchange),
        service(std::move(requested_service)),
        machine(idempotent),
        body(exchange, static_cast<std::uint64_t>(service->max_body_bytes)) {}

  CallerExchange& caller;
  Service service;
  std::string id;
  IdempotencyKey key;    // Empty for an idempotent request, which needs no claim.
  bool relayed = false;  // A sibling has relayed it to this instance.
  Time received{};
  Time deadline{};
  RequestMachine machine;
  BodySource body;
  std::optional<RecordId> claim;      // Set once the claim of `key` has won.
  std::set<WorkerId> failed_workers;  // Later attempts avoid their free slots.
  int attempts = 0;
};

RequestFlow::RequestFlow(RequestContext context)
    : context_(std::move(context)), sibling_connections_(kMaxIdleConnectionsPerSibling) {}

Task<> RequestFlow::Run(CallerExchange& caller) {
  in_flight_.fetch_add(1);
  const RequestHead& head = caller.head();
  const auto configuration = context_.configuration();
  const ServiceName name = ServiceOf(head.headers);
  const Service* service = nullptr;
  if (configuration) {
    for (const Service& candidate : (*configuration)->services) {
      if (candidate->name == name) service = &candidate;
    }
  }
  static const Service kNoService;
  const auto& idempotent_methods =
      service == nullptr ? kNoService->idempotent_methods : (*service)->idempotent_methods;
  const bool idempotent = std::find(idempotent_methods.begin(), idempotent_methods.end(),
                                    head.method) != idempotent_methods.end();
  Request request(caller, service == nullptr ? kNoService : *service, idempotent);
  const auto given_id = FindHeader(head.headers, kRequestIdHeader);
  request.relayed = FindHeader(head.headers, kRelayedByHeader).has_value();
  request.id = request.relayed && given_id
                   ? *given_id
                   : context_.self->id.value + "-" + std::to_string(context_.self->incarnation) +
                         "-" + std::to_string(next_request_.fetch_add(1));
  request.received = Now();
  const auto remaining = ParseMilliseconds(FindHeader(head.headers, kDeadlineHeader));
  request.deadline =
      request.received + std::min(remaining.value_or(Duration::max()), request.service->timeout);
  if (!idempotent) {
    request.key = {FindHeader(head.headers, kIdempotencyKeyHeader).value_or(request.id)};
  }
  if (service == nullptr) {
    request.machine.Process(RequestEvent::kRefused);
    const Reason reason = configuration ? Reason::kUnknownService : Reason::kNoConfiguration;
    co_await SendRefusal(request, {.reason = reason});
  } else {
    co_await Handle(request);
  }
  in_flight_.fetch_sub(1);
}

Task<> RequestFlow::Handle(Request& request) {
  const RequestHead& head = request.caller.head();
  AttemptResult result;
  if (HeaderBytes(head) > static_cast<std::size_t>(request.service->max_header_bytes)) {
    result.reason = Reason::kHeaderTooLarge;
  } else if (head.framing == BodyFraming::kLength &&
             head.body_length > static_cast<std::uint64_t>(request.service->max_body_bytes)) {
    result.reason = Reason::kBodyTooLarge;
  }
  if (result.reason != Reason::kNone) {
    request.machine.Process(RequestEvent::kRefused);
    co_return co_await SendRefusal(request, result);
  }
  retry_budget_.With([](RetryBudget& budget) { budget.RecordFirstAttempt(); });
  while (true) {
    ++request.attempts;
    result = co_await Attempt(request);
    if (result.response_started || !MayRetry(request) || result.reason == Reason::kDuplicate) break;
    if (!retry_budget_.With([](RetryBudget& budget) { return budget.ConsumeRetry(); })) break;
    if (!request.body.Rewind()) break;
    context_.metrics.Add(Counter::kRequestsRetried);
    co_await SleepFor(Backoff(request.attempts, ThreadRandom()));
    if (Now() >= request.deadline) break;
    request.machine.Process(RequestEvent::kRetry);
  }
  RecordEnd(request, result);
  if (!result.response_started) co_await SendRefusal(request, result);
}

bool RequestFlow::MayRetry(const Request& request) const {
  return request.machine.AllowsRetry() && request.attempts < kMaxRequestAttempts &&
         Now() < request.deadline;
}

Task<RequestFlow::AttemptResult> RequestFlow::Attempt(Request& request) {
  const auto refuse = [&](Reason reason) {
    request.machine.Process(RequestEvent::kRefused);
    return AttemptResult{.reason = reason};
  };
  if (!context_.may_dispatch(Now())) co_return refuse(Reason::kIsolated);
  std::set<WorkerId> excluded = context_.servers.Ejected(Now());
  excluded.insert(request.failed_workers.begin(), request.failed_workers.end());
  auto slot = context_.slots.TryAcquire(request.service->name, excluded);
  if (!slot && !request.relayed) {
    if (const auto sibling = FindSiblingWithCapacity(request)) {
      co_return co_await RelayToSibling(request, *sibling);
    }
  }
  if (!slot) slot = co_await WaitForSlot(request);
  if (!slot) co_return refuse(Reason::kNoCapacity);
  co_return co_await DispatchToBackendServer(request, *slot);
}

Task<std::optional<Slot>> RequestFlow::WaitForSlot(Request& request) {
  const Time until = std::min(request.deadline, Now() + request.service->queue_time);
  co_return co_await context_.slots.Acquire(request.service->name, context_.servers.Ejected(Now()),
                                            until);
}

std::optional<Instance> RequestFlow::FindSiblingWithCapacity(const Request& request) {
  const auto id = context_.siblings.With([&](SiblingTable& siblings) {
    return siblings.ChooseRelayTarget(request.service->name, Now());
  });
  if (!id) return std::nullopt;
  return context_.find_member(*id);
}

Task<RequestFlow::AttemptResult> RequestFlow::DispatchToBackendServer(Request& request, Slot slot) {
  request.machine.Process(RequestEvent::kSlotGranted);
  if (const auto claim_failure = co_await ClaimKey(request)) {
    context_.slots.Release(slot, 0);
    co_return *claim_failure;
  }
  const auto address = context_.slots.AddressOf(slot);
  const Time started = Now();
  Result<UpstreamPtr> upstream = Errc::kUnreachable;
  if (address)
    upstream = co_await context_.servers.TakeConnection(slot, *address, request.deadline);
  // Checked again immediately before the first byte: the process may have been paused since the
  // check in Attempt, long enough for this instance to be evicted.
  const bool isolated = !context_.may_dispatch(Now());
  if (!upstream || isolated) {
    request.machine.Process(RequestEvent::kFailed);
    if (!isolated) context_.servers.RecordFailure(slot->worker, Now());
    request.failed_workers.insert(slot->worker);
    context_.slots.Release(slot, 0);
    co_return AttemptResult{.reason = isolated ? Reason::kIsolated : Reason::kNoConnection};
  }
  context_.servers.RecordDispatch(slot->worker);
  context_.metrics.Add(Counter::kDispatches);
  context_.events.Emit(EventKind::kRequestDispatched, request.id, slot->worker.value);
  UpstreamPtr connection = std::move(upstream).value();
  AttemptResult result = co_await Exchange(request, *connection, false);
  if (request.machine.state() == RequestState::kAnswered) {
    context_.servers.RecordSuccess(slot->worker);
    context_.servers.ReturnConnection(slot, std::move(connection));
    context_.slots.Release(slot,
                           std::chrono::duration<double, std::micro>(Now() - started).count());
    co_return result;
  }
  if (result.reason != Reason::kCallerGone) context_.servers.RecordFailure(slot->worker, Now());
  request.failed_workers.insert(slot->worker);
  context_.pool.Spawn(ReleaseWhenFinished(slot, std::move(connection), result.no_response,
                                          started + 2 * request.service->timeout));
  co_return result;
}

Task<> RequestFlow::ReleaseWhenFinished(Slot slot, UpstreamPtr upstream, bool no_response,
                                        Time until) {
  std::vector<char> buffer(kResponseBufferBytes);
  // A backend server that has not responded on an open connection may still run the request.
  if (no_response) co_await upstream->WaitForResponse(Now() + kMaxLateResponseWait);
  until = std::max(until, Now() + kLateResponseReadTime);
  auto head = co_await upstream->ReadHead(false, until);
  Result<std::size_t> read = std::size_t{1};
  while (head && read && read.value() > 0) read = co_await upstream->ReadBody(buffer, until);
  const bool finished = head && read;
  upstream.reset();
  const bool closed = no_response && head.has_error() && head.error() == Errc::kBroken;
  if (!finished && !closed && Now() < until) co_await SleepFor(until - Now());
  context_.slots.Release(slot, 0);
}

Task<std::optional<RequestFlow::AttemptResult>> RequestFlow::ClaimKey(Request& request) {
  if (request.key.empty()) co_return std::nullopt;
  if (!request.claim) {
    const ClaimResult claim_result =
        co_await context_.key_claims.Claim(request.key, request.deadline);
    if (claim_result.kind != ClaimResult::Kind::kWon) {
      request.machine.Process(RequestEvent::kRefused);
      const bool duplicate = claim_result.kind == ClaimResult::Kind::kDuplicate;
      co_return AttemptResult{.reason = duplicate ? Reason::kDuplicate : Reason::kClaimNotConfirmed,
                              .first_outcome = claim_result.first_outcome,
                              .first_status = claim_result.first_status};
    }
    request.claim = claim_result.claim;
  }
  request.machine.Process(RequestEvent::kKeyClaimed);
  co_return std::nullopt;
}

Task<RequestFlow::AttemptResult> RequestFlow::RelayToSibling(Request& request, Instance sibling) {
  auto upstream =
      co_await sibling_connections_.Take(sibling->id, sibling->caller_address, request.deadline);
  if (!upstream) {
    request.machine.Process(RequestEvent::kRefused);
    co_return AttemptResult{.reason = Reason::kNoConnection};
  }
  // The sibling acquires the slot and claims the key. For the state machine of this instance, both
  // are done, since the sibling may run the request from now on.
  request.machine.Process(RequestEvent::kSlotGranted);
  request.machine.Process(RequestEvent::kKeyClaimed);
  context_.metrics.Add(Counter::kRequestsRelayed);
  context_.events.Emit(EventKind::kRequestRelayed, request.id, sibling->id.value);
  UpstreamPtr connection = std::move(upstream).value();
  AttemptResult result = co_await Exchange(request, *connection, true);
  context_.metrics.CountBytes(TrafficKind::kRelay, connection->bytes());
  context_.siblings.With([&](SiblingTable& siblings) {
    siblings.RecordRelayEnd(sibling->id);
    if (result.reason == Reason::kNoCapacity) siblings.MarkFull(sibling->id, request.service->name);
  });
  sibling_connections_.Put(sibling->id, std::move(connection));
  co_return result;
}

RequestHead RequestFlow::MakeUpstreamHead(const Request& request, bool relayed) const {
  const RequestHead& original = request.caller.head();
  RequestHead head = original;
  head.headers.clear();
  for (const Header& header : original.headers) {
    if (!HasProtocolPrefix(header.name)) head.headers.push_back(header);
  }
  head.headers.push_back({.name = std::string(kRequestIdHeader), .value = request.id});
  if (!relayed) return head;
  const Duration time_left = std::max(Duration(1), request.deadline - Now());
  head.headers.push_back({.name = std::string(kRelayedByHeader), .value = context_.self->id.value});
  head.headers.push_back(
      {.name = std::string(kDeadlineHeader), .value = std::to_string(time_left.count())});
  return head;
}

Task<std::optional<RequestFlow::AttemptResult>> RequestFlow::SendRequest(
    Request& request, UpstreamConnection& upstream, bool relayed) {
  const RequestHead head = MakeUpstreamHead(request, relayed);
  // From now on the request may run.
  request.machine.Process(RequestEvent::kBytesSent);
  Result<void> sent = co_await upstream.SendHead(head, request.deadline);
  bool last = head.framing == BodyFraming::kNone;
  while (sent && !last) {
    const auto part = co_await request.body.Next();
    if (!part) {
      request.machine.Process(RequestEvent::kFailed);
      const bool too_large = part.error() == Errc::kTooLarge;
      co_return AttemptResult{.reason = too_large ? Reason::kBodyTooLarge : Reason::kCallerGone};
    }
    last = part.value().empty();
    sent = co_await upstream.SendBody(part.value(), last, request.deadline);
  }
  if (sent) co_return std::nullopt;
  request.machine.Process(RequestEvent::kFailed);
  co_return AttemptResult{.reason = ReasonOf(sent.error())};
}

Task<RequestFlow::AttemptResult> RequestFlow::Exchange(Request& request,
                                                       UpstreamConnection& upstream, bool relayed) {
  if (const auto failed = co_await SendRequest(request, upstream, relayed)) co_return *failed;
  const bool head_request = request.caller.head().method == "HEAD";
  if (!co_await upstream.WaitForResponse(request.deadline)) {
    request.machine.Process(RequestEvent::kFailed);
    co_return AttemptResult{.reason = Reason::kDeadline, .no_response = true};
  }
  auto head = co_await upstream.ReadHead(head_request, request.deadline);
  if (!head) {
    request.machine.Process(RequestEvent::kFailed);
    co_return AttemptResult{.reason = ReasonOf(head.error())};
  }
  const auto outcome = FindHeader(head.value().headers, kOutcomeHeader);
  if (relayed && outcome == NameOf(RequestOutcome::kNotRun)) {
    request.machine.Process(RequestEvent::kRefused);
    const auto reason = FindHeader(head.value().headers, kReasonHeader);
    for (const auto& entry : EnumNames<Reason>::kNames) {
      if (reason == entry.name) co_return AttemptResult{.reason = entry.value};
    }
    co_return AttemptResult{.reason = Reason::kNoCapacity};
  }
  // A response to another request is not forwarded. Neither is a response that ends with its
  // connection, since a truncated response could not be distinguished from a complete one.
  const auto response_id = FindHeader(head.value().headers, kRequestIdHeader);
  const bool id_differs = response_id && *response_id != request.id;
  if (id_differs || head.value().framing == BodyFraming::kUntilClose) {
    request.machine.Process(RequestEvent::kFailed);
    co_return AttemptResult{.reason = Reason::kResponseInvalid};
  }
  co_return co_await ForwardResponse(request, upstream, relayed, std::move(head).value());
}

Task<RequestFlow::AttemptResult> RequestFlow::ForwardResponse(Request& request,
                                                              UpstreamConnection& upstream,
                                                              bool relayed, ResponseHead head) {
  request.machine.Process(RequestEvent::kHeadReceived);
  AttemptResult result{.status = head.status, .response_started = true};
  if (!relayed) {
    std::erase_if(head.headers, [](const Header& h) { return HasProtocolPrefix(h.name); });
    head.headers.push_back({.name = std::string(kOutcomeHeader),
                            .value = std::string(NameOf(RequestOutcome::kAnswered))});
    head.headers.push_back({.name = std::string(kRequestIdHeader), .value = request.id});
  }
  bool caller_connected = static_cast<bool>(co_await request.caller.SendHead(head));
  std::vector<char> buffer(kResponseBufferBytes);
  while (true) {
    const auto read = co_await upstream.ReadBody(buffer, request.deadline);
    if (!read) {
      request.machine.Process(RequestEvent::kFailed);
      request.caller.Abort();
      result.reason = ReasonOf(read.error());
      co_return result;
    }
    const bool last = read.value() == 0;
    if (caller_connected) {
      const std::span<const char> part(buffer.data(), read.value());
      caller_connected = static_cast<bool>(co_await request.caller.SendBody(part, last));
    }
    if (last) break;
  }
  request.machine.Process(RequestEvent::kResponseComplete);
  if (!caller_connected) result.reason = Reason::kCallerGone;
  co_return result;
}

void RequestFlow::RecordEnd(Request& request, const AttemptResult& result) {
  const RequestState state = request.machine.state();
  const bool answered = state == RequestState::kAnswered;
  const bool not_run = state == RequestState::kNotRun;
  if (request.claim) {
    const RequestOutcome outcome = answered  ? RequestOutcome::kAnswered
                                   : not_run ? RequestOutcome::kNotRun
                                             : RequestOutcome::kUnknown;
    context_.key_claims.EndClaim(request.key, *request.claim, outcome, result.status);
  }
  if (request.relayed) return;  // The instance that received it from the caller counts it.
  if (result.reason == Reason::kDuplicate) {
    context_.metrics.Add(Counter::kRequestsDuplicate);
  } else {
    context_.metrics.Add(answered                           ? Counter::kRequestsAnswered
                         : not_run                          ? Counter::kRequestsNotRun
                         : state == RequestState::kCutShort ? Counter::kRequestsCutShort
                                                            : Counter::kRequestsUnknown);
  }
  if (answered) {
    context_.metrics.RecordRequestTime(
        std::chrono::duration<double, std::micro>(Now() - request.received).count());
  }
  context_.events.Emit(EventKind::kRequestEnded, request.id,
                       std::string(NameOf(state)) + " " + std::string(NameOf(result.reason)));
}

Task<> RequestFlow::SendRefusal(Request& request, const AttemptResult& result) {
  ResponseHead head{.status = StatusOf(result.reason), .framing = BodyFraming::kLength};
  const auto add = [&](std::string_view name, std::string_view value) {
    head.headers.push_back({.name = std::string(name), .value = std::string(value)});
  };
  const bool not_run = request.machine.state() == RequestState::kNotRun;
  const bool duplicate = result.reason == Reason::kDuplicate;
  add(kOutcomeHeader, duplicate ? kOutcomeDuplicate
                      : not_run ? NameOf(RequestOutcome::kNotRun)
                                : NameOf(RequestOutcome::kUnknown));
  add(kReasonHeader, NameOf(result.reason));
  add(kRequestIdHeader, request.id);
  if (duplicate) {
    const RequestOutcome first = result.first_outcome.value_or(RequestOutcome::kUnknown);
    std::string text(NameOf(first));
    if (first == RequestOutcome::kAnswered)
      text += "; status=" + std::to_string(result.first_status);
    add(kFirstOutcomeHeader, text);
  }
  if (head.status == 503) add("Retry-After", "1");
  if (co_await request.caller.SendHead(head)) co_await request.caller.SendBody({}, true);
}

}  // namespace dn
