// Renewals by long poll; orders on a few connections.
#include "task_worker/internal/worker_link.h"

namespace dn {
namespace {

// Connections for orders: a round trip between regions takes 40 ms, so one
// connection would carry 25 orders a second.
constexpr int kMaxLanes = 4;
// A worker answers within a round trip; longer than any usual one.
constexpr Duration kOrderTimeout{1'000};
// Pause after a renewal that failed.
constexpr Duration kRetryPause{200};
// Shortest time between two renewals, so that a run of ends is reported in one.
constexpr Duration kRenewalPause{25};

}  // namespace

WorkerLink::WorkerLink(WorkerId worker, std::shared_ptr<WorkerCare> care, WorkerProtocol protocol,
                       HttpClient& http, WorkerPool& pool, DecisionLog& log)
    : worker_(std::move(worker)),
      care_(std::move(care)),
      protocol_(protocol),
      http_(http),
      pool_(pool),
      log_(log) {}

Task<std::optional<OrderResponse>> WorkerLink::Call(HttpCall call, Duration timeout) {
  const auto entry = care_->EntryOf(worker_);
  if (!entry) co_return std::nullopt;
  auto reply =
      co_await http_.Call((*entry)->address, std::move(call), timeout, TrafficKind::kWorker);
  if (!reply) co_return std::nullopt;
  auto answer = protocol_.answer(reply.value());
  if (!answer) {
    log_.Write("answer-unreadable", worker_.value,
               "status=" + std::to_string(reply.value().status));
    co_return std::nullopt;
  }
  if (answer.value()->refusal == OrderRefusal::kFenced) care_->Fenced(worker_);
  co_return answer.value();
}

Task<> WorkerLink::Run() {
  while (care_->EntryOf(worker_)) {
    const Renewal renewal = care_->NextRenewal(worker_);
    const Time asked = Now();
    auto answer =
        co_await Call(protocol_.renew(renewal), Duration(renewal->wait_ms) + kOrderTimeout);
    if (answer.has_value() != reached_) {
      reached_ = answer.has_value();
      log_.Write(reached_ ? "worker-regained" : "worker-lost", worker_.value,
                 "waited_ms=" + std::to_string((Now() - asked).count()));
    }
    if (answer) {
      care_->Reported(worker_, *answer, asked);
      co_await SleepFor((*answer)->refusal == OrderRefusal::kNone ? kRenewalPause : kRetryPause);
    } else {
      co_await SleepFor(kRetryPause);
    }
  }
}

void WorkerLink::Send(Order order) {
  const bool start = queue_.With([&](Queue& queue) {
    queue.waiting.push_back(std::move(order));
    if (queue.lanes >= kMaxLanes) return false;
    ++queue.lanes;
    return true;
  });
  if (start) pool_.Spawn(RunLane(shared_from_this()));
}

Task<> WorkerLink::RunLane(std::shared_ptr<WorkerLink> self) {
  while (true) {
    auto next = self->queue_.With([](Queue& queue) -> std::optional<Order> {
      if (queue.waiting.empty()) {
        --queue.lanes;
        return std::nullopt;
      }
      Order order = std::move(queue.waiting.front());
      queue.waiting.pop_front();
      return order;
    });
    if (!next) co_return;
    co_await self->Carry(*std::move(next));
  }
}

Task<> WorkerLink::Carry(Order order) {
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    HttpCall call = protocol_.start(*start);
    auto answer = co_await Call(std::move(call), kOrderTimeout);
    care_->StartAnswered(*start, answer);
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    HttpCall call = protocol_.stop(*stop);
    auto answer = co_await Call(std::move(call), kOrderTimeout);
    care_->StopAnswered(*stop, answer);
  } else if (const auto* pace = std::get_if<ThrottleOrder>(&order)) {
    HttpCall call = protocol_.pace(*pace);
    co_await Call(std::move(call), kOrderTimeout);
  }
}

}  // namespace dn
