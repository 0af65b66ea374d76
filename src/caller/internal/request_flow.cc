// Steps of a request, driven by its state machine.
#include "caller/internal/request_flow.h"

#include <charconv>
#include <random>

namespace dn {
namespace {

constexpr std::size_t kMaxIdlePerSibling = 16;
constexpr std::size_t kAnswerPiece = 32 * 1024;
constexpr Duration kLongestSilence{86'400'000};  // Until the worker is replaced, say.
constexpr Duration kLateAnswerTime{1000};        // To read a late answer to its end.

struct ReasonStatus {
  Reason reason;
  int status;
};
// HTTP status for each reason; 503 for those not listed.
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

// "Refill-Desk.example:8080" names the service "refill-desk".
ServiceName ServiceOf(const Headers& headers) {
  std::string host = FindHeader(headers, "Host").value_or("");
  host = host.substr(0, host.find(':'));
  host = host.substr(0, host.find('.'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return {host};
}

bool StartsWithPrefix(const std::string& name) {
  return name.size() >= kHeaderPrefix.size() &&
         SameHeaderName(name.substr(0, kHeaderPrefix.size()), kHeaderPrefix);
}

std::optional<Duration> MillisecondsOf(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  Duration::rep value = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
  if (parsed.ec != std::errc{} || value < 0) return std::nullopt;
  return Duration(value);
}

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

// How one try ended. The request's machine is already in the matching state.
struct RequestFlow::TryEnd {
  Reason reason = Reason::kNone;
  int status = 0;        // Of the answer that was passed on.
  bool replied = false;  // The caller has got an answer, or part of one.
  bool silent = false;   // No byte of an answer came; the connection is open.
  std::optional<RequestOutcome> first_outcome;
  int first_status = 0;
};

struct RequestFlow::Request {
  Request(CallerExchange& exchange, Service of, bool may_repeat)
      : caller(exchange),
        service(std::move(of)),
        machine(may_repeat),
        body(exchange, static_cast<std::uint64_t>(service->max_body_bytes)) {}

  CallerExchange& caller;
  Service service;
  std::string id;
  IdempotencyKey key;    // Empty for an idempotent request.
  bool relayed = false;  // It came from a sibling.
  Time received{};
  Time deadline{};
  RequestMachine machine;
  BodySource body;
  std::optional<RecordId> claim;
  std::set<WorkerId> failed_workers;
  int tries = 0;
};

RequestFlow::RequestFlow(RequestContext context)
    : context_(std::move(context)), sibling_connections_(kMaxIdlePerSibling) {}

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
  const auto& methods =
      service == nullptr ? kNoService->idempotent_methods : (*service)->idempotent_methods;
  const bool idempotent = std::find(methods.begin(), methods.end(), head.method) != methods.end();
  Request request(caller, service == nullptr ? kNoService : *service, idempotent);
  const auto given_id = FindHeader(head.headers, kRequestIdHeader);
  request.relayed = FindHeader(head.headers, kRelayedByHeader).has_value();
  request.id = request.relayed && given_id
                   ? *given_id
                   : context_.self->id.value + "-" + std::to_string(context_.self->incarnation) +
                         "-" + std::to_string(next_request_.fetch_add(1));
  request.received = Now();
  const auto remaining = MillisecondsOf(FindHeader(head.headers, kDeadlineHeader));
  request.deadline =
      request.received + std::min(remaining.value_or(Duration::max()), request.service->timeout);
  if (!idempotent) {
    request.key = {FindHeader(head.headers, kIdempotencyKeyHeader).value_or(request.id)};
  }
  if (service == nullptr) {
    request.machine.Process(RequestEvent::kRefused);
    const Reason reason = configuration ? Reason::kUnknownService : Reason::kNoConfiguration;
    co_await Refuse(request, {.reason = reason});
  } else {
    co_await Handle(request);
  }
  in_flight_.fetch_sub(1);
}

Task<> RequestFlow::Handle(Request& request) {
  const RequestHead& head = request.caller.head();
  TryEnd end;
  if (HeaderBytes(head) > static_cast<std::size_t>(request.service->max_header_bytes)) {
    end.reason = Reason::kHeaderTooLarge;
  } else if (head.framing == BodyFraming::kLength &&
             head.body_length > static_cast<std::uint64_t>(request.service->max_body_bytes)) {
    end.reason = Reason::kBodyTooLarge;
  }
  if (end.reason != Reason::kNone) {
    request.machine.Process(RequestEvent::kRefused);
    co_return co_await Refuse(request, end);
  }
  budget_.With([](RetryBudget& budget) { budget.RecordFirstAttempt(); });
  while (true) {
    ++request.tries;
    end = co_await Try(request);
    if (end.replied || !MayRetry(request) || end.reason == Reason::kDuplicate) break;
    if (!budget_.With([](RetryBudget& budget) { return budget.ConsumeRetry(); })) break;
    if (!request.body.Rewind()) break;
    context_.metrics.Add(Counter::kRequestsRetried);
    co_await SleepFor(Backoff(request.tries, ThreadRandom()));
    if (Now() >= request.deadline) break;
    request.machine.Process(RequestEvent::kRetry);
  }
  Finish(request, end);
  if (!end.replied) co_await Refuse(request, end);
}

bool RequestFlow::MayRetry(const Request& request) const {
  return request.machine.AllowsRetry() && request.tries < kMaxRequestAttempts &&
         Now() < request.deadline;
}

Task<RequestFlow::TryEnd> RequestFlow::Try(Request& request) {
  const auto refused = [&](Reason reason) {
    request.machine.Process(RequestEvent::kRefused);
    return TryEnd{.reason = reason};
  };
  if (!context_.may_dispatch(Now())) co_return refused(Reason::kIsolated);
  std::set<WorkerId> excluded = context_.servers.Ejected(Now());
  excluded.insert(request.failed_workers.begin(), request.failed_workers.end());
  auto slot = context_.slots.TryAcquire(request.service->name, excluded);
  if (!slot && !request.relayed) {
    if (const auto sibling = SiblingWithRoom(request)) {
      co_return co_await TryRelay(request, *sibling);
    }
  }
  if (!slot) slot = co_await WaitForSlot(request);
  if (!slot) co_return refused(Reason::kNoCapacity);
  co_return co_await TryOwnSlot(request, *slot);
}

Task<std::optional<Slot>> RequestFlow::WaitForSlot(Request& request) {
  const Time until = std::min(request.deadline, Now() + request.service->queue_time);
  co_return co_await context_.slots.Acquire(request.service->name, context_.servers.Ejected(Now()),
                                            until);
}

std::optional<Instance> RequestFlow::SiblingWithRoom(const Request& request) {
  const auto id = context_.siblings.With([&](SiblingTable& siblings) {
    return siblings.ChooseRelayTarget(request.service->name, Now());
  });
  if (!id) return std::nullopt;
  return context_.member(*id);
}

Task<RequestFlow::TryEnd> RequestFlow::TryOwnSlot(Request& request, Slot slot) {
  request.machine.Process(RequestEvent::kSlotGranted);
  if (const auto lost = co_await ClaimKey(request)) {
    context_.slots.Release(slot, 0);
    co_return *lost;
  }
  const auto address = context_.slots.AddressOf(slot);
  const Time started = Now();
  Result<UpstreamPtr> upstream = Errc::kUnreachable;
  if (address) upstream = co_await context_.servers.Take(slot, *address, request.deadline);
  // The last look before the first byte: a pause may have passed since.
  const bool isolated = !context_.may_dispatch(Now());
  if (!upstream || isolated) {
    request.machine.Process(RequestEvent::kFailed);
    if (!isolated) context_.servers.Failed(slot->worker, Now());
    request.failed_workers.insert(slot->worker);
    context_.slots.Release(slot, 0);
    co_return TryEnd{.reason = isolated ? Reason::kIsolated : Reason::kNoConnection};
  }
  context_.servers.Dispatched(slot->worker);
  context_.metrics.Add(Counter::kDispatches);
  context_.events.Emit(EventKind::kRequestDispatched, request.id, slot->worker.value);
  UpstreamPtr connection = std::move(upstream).value();
  TryEnd end = co_await Exchange(request, *connection, false);
  if (request.machine.state() == RequestState::kAnswered) {
    context_.servers.Succeeded(slot->worker);
    context_.servers.Put(slot, std::move(connection));
    context_.slots.Release(slot,
                           std::chrono::duration<double, std::micro>(Now() - started).count());
    co_return end;
  }
  if (end.reason != Reason::kCallerGone) context_.servers.Failed(slot->worker, Now());
  request.failed_workers.insert(slot->worker);
  context_.pool.Spawn(HoldUntilFinished(slot, std::move(connection), end.silent,
                                        started + 2 * request.service->timeout));
  co_return end;
}

Task<> RequestFlow::HoldUntilFinished(Slot slot, UpstreamPtr upstream, bool silent, Time until) {
  std::vector<char> discarded(kAnswerPiece);
  // A server that says nothing on an open connection still holds the request.
  if (silent) co_await upstream->WaitForResponse(Now() + kLongestSilence);
  until = std::max(until, Now() + kLateAnswerTime);
  auto head = co_await upstream->ReadHead(false, until);
  Result<std::size_t> read = std::size_t{1};
  while (head && read && read.value() > 0) read = co_await upstream->ReadBody(discarded, until);
  const bool finished = head && read;
  upstream.reset();
  const bool closed = silent && head.has_error() && head.error() == Errc::kBroken;
  if (!finished && !closed && Now() < until) co_await SleepFor(until - Now());
  context_.slots.Release(slot, 0);
}

Task<std::optional<RequestFlow::TryEnd>> RequestFlow::ClaimKey(Request& request) {
  if (request.key.empty()) co_return std::nullopt;
  if (!request.claim) {
    const ClaimResult result = co_await context_.keys.Claim(request.key, request.deadline);
    if (result.kind != ClaimResult::Kind::kWon) {
      request.machine.Process(RequestEvent::kRefused);
      const bool duplicate = result.kind == ClaimResult::Kind::kDuplicate;
      co_return TryEnd{.reason = duplicate ? Reason::kDuplicate : Reason::kClaimNotConfirmed,
                       .first_outcome = result.first_outcome,
                       .first_status = result.first_status};
    }
    request.claim = result.claim;
  }
  request.machine.Process(RequestEvent::kKeyClaimed);
  co_return std::nullopt;
}

Task<RequestFlow::TryEnd> RequestFlow::TryRelay(Request& request, Instance sibling) {
  auto upstream =
      co_await sibling_connections_.Take(sibling->id, sibling->caller_address, request.deadline);
  if (!upstream) {
    request.machine.Process(RequestEvent::kRefused);
    co_return TryEnd{.reason = Reason::kNoConnection};
  }
  // The sibling admits and claims; here the request counts as dispatched.
  request.machine.Process(RequestEvent::kSlotGranted);
  request.machine.Process(RequestEvent::kKeyClaimed);
  context_.metrics.Add(Counter::kRequestsRelayed);
  context_.events.Emit(EventKind::kRequestRelayed, request.id, sibling->id.value);
  UpstreamPtr connection = std::move(upstream).value();
  TryEnd end = co_await Exchange(request, *connection, true);
  context_.metrics.CountBytes(TrafficKind::kRelay, connection->bytes());
  context_.siblings.With([&](SiblingTable& siblings) {
    siblings.RecordRelayEnd(sibling->id);
    if (end.reason == Reason::kNoCapacity) siblings.MarkFull(sibling->id, request.service->name);
  });
  sibling_connections_.Put(sibling->id, std::move(connection));
  co_return end;
}

RequestHead RequestFlow::HeadFor(const Request& request, bool relayed) const {
  const RequestHead& original = request.caller.head();
  RequestHead head = original;
  head.headers.clear();
  for (const Header& header : original.headers) {
    if (!StartsWithPrefix(header.name)) head.headers.push_back(header);
  }
  head.headers.push_back({.name = std::string(kRequestIdHeader), .value = request.id});
  if (!relayed) return head;
  const Duration left = std::max(Duration(1), request.deadline - Now());
  head.headers.push_back({.name = std::string(kRelayedByHeader), .value = context_.self->id.value});
  head.headers.push_back(
      {.name = std::string(kDeadlineHeader), .value = std::to_string(left.count())});
  return head;
}

Task<std::optional<RequestFlow::TryEnd>> RequestFlow::SendRequest(Request& request,
                                                                  UpstreamConnection& upstream,
                                                                  bool relayed) {
  const RequestHead head = HeadFor(request, relayed);
  // From here on the request may run.
  request.machine.Process(RequestEvent::kBytesSent);
  Result<void> sent = co_await upstream.SendHead(head, request.deadline);
  bool last = head.framing == BodyFraming::kNone;
  while (sent && !last) {
    const auto piece = co_await request.body.Next();
    if (!piece) {
      request.machine.Process(RequestEvent::kFailed);
      const bool large = piece.error() == Errc::kTooLarge;
      co_return TryEnd{.reason = large ? Reason::kBodyTooLarge : Reason::kCallerGone};
    }
    last = piece.value().empty();
    sent = co_await upstream.SendBody(piece.value(), last, request.deadline);
  }
  if (sent) co_return std::nullopt;
  request.machine.Process(RequestEvent::kFailed);
  co_return TryEnd{.reason = ReasonOf(sent.error())};
}

Task<RequestFlow::TryEnd> RequestFlow::Exchange(Request& request, UpstreamConnection& upstream,
                                                bool relayed) {
  if (const auto failed = co_await SendRequest(request, upstream, relayed)) co_return *failed;
  const bool head_request = request.caller.head().method == "HEAD";
  if (!co_await upstream.WaitForResponse(request.deadline)) {
    request.machine.Process(RequestEvent::kFailed);
    co_return TryEnd{.reason = Reason::kDeadline, .silent = true};
  }
  auto head = co_await upstream.ReadHead(head_request, request.deadline);
  if (!head) {
    request.machine.Process(RequestEvent::kFailed);
    co_return TryEnd{.reason = ReasonOf(head.error())};
  }
  const auto outcome = FindHeader(head.value().headers, kOutcomeHeader);
  if (relayed && outcome == NameOf(RequestOutcome::kNotRun)) {
    request.machine.Process(RequestEvent::kRefused);
    const auto reason = FindHeader(head.value().headers, kReasonHeader);
    for (const auto& entry : EnumNames<Reason>::kNames) {
      if (reason == entry.name) co_return TryEnd{.reason = entry.value};
    }
    co_return TryEnd{.reason = Reason::kNoCapacity};
  }
  // An answer to another request, or one whose end cannot be recognised, is
  // not passed on.
  const auto echoed = FindHeader(head.value().headers, kRequestIdHeader);
  const bool other = echoed && *echoed != request.id;
  if (other || head.value().framing == BodyFraming::kUntilClose) {
    request.machine.Process(RequestEvent::kFailed);
    co_return TryEnd{.reason = Reason::kResponseInvalid};
  }
  co_return co_await PassAnswer(request, upstream, relayed, std::move(head).value());
}

Task<RequestFlow::TryEnd> RequestFlow::PassAnswer(Request& request, UpstreamConnection& upstream,
                                                  bool relayed, ResponseHead head) {
  request.machine.Process(RequestEvent::kHeadReceived);
  TryEnd end{.status = head.status, .replied = true};
  if (!relayed) {
    std::erase_if(head.headers, [](const Header& h) { return StartsWithPrefix(h.name); });
    head.headers.push_back({.name = std::string(kOutcomeHeader),
                            .value = std::string(NameOf(RequestOutcome::kAnswered))});
    head.headers.push_back({.name = std::string(kRequestIdHeader), .value = request.id});
  }
  bool caller_there = static_cast<bool>(co_await request.caller.SendHead(head));
  std::vector<char> piece(kAnswerPiece);
  while (true) {
    const auto read = co_await upstream.ReadBody(piece, request.deadline);
    if (!read) {
      request.machine.Process(RequestEvent::kFailed);
      request.caller.Abort();
      end.reason = ReasonOf(read.error());
      co_return end;
    }
    const bool last = read.value() == 0;
    if (caller_there) {
      const std::span<const char> part(piece.data(), read.value());
      caller_there = static_cast<bool>(co_await request.caller.SendBody(part, last));
    }
    if (last) break;
  }
  request.machine.Process(RequestEvent::kResponseComplete);
  if (!caller_there) end.reason = Reason::kCallerGone;
  co_return end;
}

void RequestFlow::Finish(Request& request, const TryEnd& end) {
  const RequestState state = request.machine.state();
  const bool answered = state == RequestState::kAnswered;
  const bool not_run = state == RequestState::kNotRun;
  if (request.claim) {
    const RequestOutcome outcome = answered  ? RequestOutcome::kAnswered
                                   : not_run ? RequestOutcome::kNotRun
                                             : RequestOutcome::kUnknown;
    context_.keys.End(request.key, *request.claim, outcome, end.status);
  }
  if (request.relayed) return;  // The sibling that received it counts it.
  if (end.reason == Reason::kDuplicate) {
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
                       std::string(NameOf(state)) + " " + std::string(NameOf(end.reason)));
}

Task<> RequestFlow::Refuse(Request& request, const TryEnd& end) {
  ResponseHead head{.status = StatusOf(end.reason), .framing = BodyFraming::kLength};
  const auto add = [&](std::string_view name, std::string_view value) {
    head.headers.push_back({.name = std::string(name), .value = std::string(value)});
  };
  const bool not_run = request.machine.state() == RequestState::kNotRun;
  const bool duplicate = end.reason == Reason::kDuplicate;
  add(kOutcomeHeader, duplicate ? kOutcomeDuplicate
                      : not_run ? NameOf(RequestOutcome::kNotRun)
                                : NameOf(RequestOutcome::kUnknown));
  add(kReasonHeader, NameOf(end.reason));
  add(kRequestIdHeader, request.id);
  if (duplicate) {
    const RequestOutcome first = end.first_outcome.value_or(RequestOutcome::kUnknown);
    std::string text(NameOf(first));
    if (first == RequestOutcome::kAnswered) text += "; status=" + std::to_string(end.first_status);
    add(kFirstOutcomeHeader, text);
  }
  if (head.status == 503) add("Retry-After", "1");
  if (co_await request.caller.SendHead(head)) co_await request.caller.SendBody({}, true);
}

}  // namespace dn
