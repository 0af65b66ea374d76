// Lease renewals by long poll, and orders over several connections.
#include "task_worker/internal/worker_link.h"

namespace dn {
namespace {

// Connections for orders: a round trip between regions takes 40 ms, so a single
// connection would carry only 25 orders per second.
constexpr int kMaxSenders = 4;
// Pause after a renewal that failed or was rejected.
constexpr Duration kRetryPause{200};
// Approximate size of the heads of a request and its response.
constexpr std::size_t kHeadBytes = 350;

}  // namespace

WorkerLink::WorkerLink(WorkerId worker, std::shared_ptr<WorkerLinkDelegate> delegate,
                       WorkerProtocol protocol, HttpClient& http, SharedExchangeBudget& budget,
                       WorkerPool& pool, DecisionLog& log)
    : worker_(std::move(worker)),
      delegate_(std::move(delegate)),
      protocol_(protocol),
      http_(http),
      budget_(budget),
      pool_(pool),
      log_(log) {}

Task<std::optional<OrderResponse>> WorkerLink::SendOrder(std::string_view name, HttpCall call,
                                                         FencingToken token,
                                                         WriteCondition may_write) {
  const std::size_t bytes = call.body.size() + kHeadBytes;
  budget_.With([&](ExchangeBudget& budget) { budget.Charge(Now(), bytes); });
  co_return co_await Call(name, std::move(call), token, kOrderTimeout, nullptr,
                          std::move(may_write));
}

Task<std::optional<OrderResponse>> WorkerLink::Call(std::string_view name, HttpCall call,
                                                    FencingToken token, Duration timeout,
                                                    std::size_t* bytes, WriteCondition may_write) {
  const auto entry = delegate_->EntryOf(worker_);
  if (!entry) co_return std::nullopt;
  const std::size_t size = call.body.size();
  const Time sent = Now();
  CallTrace trace;
  auto reply = co_await http_.Call((*entry)->address, std::move(call), timeout,
                                   TrafficKind::kWorker, &trace, std::move(may_write));
  if (!reply) {
    log_.Write("worker-call-failed", worker_.value,
               "call=" + std::string(name) + " token=" + std::to_string(token) +
                   " written=" + (trace.written ? "1" : "0") +
                   " connection_age_ms=" + std::to_string(trace.connection_age.count()) +
                   " waited_ms=" + std::to_string((Now() - sent).count()) +
                   " error=" + reply.error().message());
    if (reply.error() != Errc::kWithdrawn) co_return std::nullopt;
    co_return OrderResponse({.refusal = OrderRefusal::kWithdrawn});
  }
  if (bytes != nullptr) *bytes += size + reply.value().body.size() + kHeadBytes;
  auto response = protocol_.decode_response(reply.value());
  if (!response) {
    log_.Write("answer-unreadable", worker_.value,
               "status=" + std::to_string(reply.value().status));
    co_return std::nullopt;
  }
  if (response.value()->refusal == OrderRefusal::kFenced) delegate_->OnFenced(worker_, token);
  co_return response.value();
}

Task<> WorkerLink::Run() {
  while (delegate_->EntryOf(worker_)) {
    const Renewal renewal = delegate_->NextRenewal(worker_);
    const Time sent = Now();
    std::size_t bytes = 0;
    const Duration timeout = Duration(renewal->wait_ms) + kOrderTimeout;
    auto response = co_await Call("renewal", protocol_.encode_renewal(renewal), renewal->token,
                                  timeout, &bytes);
    if (response.has_value() != reachable_) {
      reachable_ = response.has_value();
      log_.Write(reachable_ ? "worker-regained" : "worker-lost", worker_.value,
                 "waited_ms=" + std::to_string((Now() - sent).count()));
    }
    if (response) {
      delegate_->OnRenewalResponse(worker_, *response, sent);
      const bool renewed = (*response)->refusal == OrderRefusal::kNone;
      // The next response is about as long as this one.
      const Duration pause =
          budget_.With([&](ExchangeBudget& budget) { return budget.ReserveRenewal(Now(), bytes); });
      co_await SleepFor(renewed ? pause : std::max(pause, kRetryPause));
    } else {
      delegate_->OnRenewalFailure(worker_, Now() - sent >= timeout);
      co_await SleepFor(kRetryPause);
    }
  }
}

void WorkerLink::Send(Order order) {
  const bool start = queue_.With([&](Queue& queue) {
    QueuedOrder queued{.order = std::move(order), .queued_at = Now()};
    // A worker refuses the start of a run that was stopped before, so a stop may overtake it.
    if (std::holds_alternative<StopOrder>(queued.order)) {
      queue.waiting.push_front(std::move(queued));
    } else {
      queue.waiting.push_back(std::move(queued));
    }
    if (queue.senders >= kMaxSenders) return false;
    ++queue.senders;
    return true;
  });
  if (start) pool_.Spawn(RunSender(shared_from_this()));
}

Task<> WorkerLink::RunSender(std::shared_ptr<WorkerLink> self) {
  while (true) {
    auto next = self->queue_.With([](Queue& queue) -> std::optional<QueuedOrder> {
      if (queue.waiting.empty()) {
        --queue.senders;
        return std::nullopt;
      }
      QueuedOrder queued = std::move(queue.waiting.front());
      queue.waiting.pop_front();
      return queued;
    });
    if (!next) co_return;
    co_await self->SendOne(*std::move(next));
  }
}

Task<> WorkerLink::SendOne(QueuedOrder queued) {
  const Order& order = queued.order;
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    const auto may_write = [this, start, queued_at = queued.queued_at] {
      return Now() - queued_at < kMaxStartAge && delegate_->MayStart(*start);
    };
    if (!may_write()) {
      delegate_->OnStartResponse(*start, OrderResponse({.refusal = OrderRefusal::kWithdrawn}));
      co_return;
    }
    // Asked again before the bytes are written: the connection takes time to open, and the process
    // may stand still meanwhile.
    HttpCall call = protocol_.encode_start(*start);
    auto response = co_await SendOrder("start", std::move(call), (*start)->token, may_write);
    delegate_->OnStartResponse(*start, response);
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    HttpCall call = protocol_.encode_stop(*stop);
    auto response = co_await SendOrder("stop", std::move(call), (*stop)->token);
    delegate_->OnStopResponse(*stop, response);
  } else if (const auto* throttle = std::get_if<ThrottleOrder>(&order)) {
    HttpCall call = protocol_.encode_throttle(*throttle);
    auto response = co_await SendOrder("pace", std::move(call), (*throttle)->token);
    delegate_->OnThrottleResponse(*throttle, response);
  }
}

}  // namespace dn
