// Connection to one worker: renews the leases of its tasks and sends orders.
#pragma once

#include <deque>
#include <memory>
#include <variant>

#include "task_worker/internal/exchange_budget.h"
#include "task_worker/internal/worker_protocol.h"

namespace dn {

// Supplies the renewals of a WorkerLink and receives the worker's responses. A
// response of nullopt means that the worker sent none that can be decoded within
// the timeout; the order may have taken effect.
class WorkerLinkDelegate {
 public:
  virtual ~WorkerLinkDelegate() = default;
  // Current registration of the worker; nullopt ends the link.
  virtual std::optional<WorkerEntry> EntryOf(const WorkerId& worker) = 0;
  // Whether the start may still be sent: conditions may have changed since it was decided.
  virtual bool MayStart(const StartOrder& order) = 0;
  // Renewal to send next.
  virtual Renewal NextRenewal(const WorkerId& worker) = 0;
  // The worker responded to the renewal that was sent at `sent`.
  virtual void OnRenewalResponse(const WorkerId& worker, const OrderResponse& response,
                                 Time sent) = 0;
  // A renewal got no response: the time for it is over, or else the connection broke or could not
  // be made.
  virtual void OnRenewalFailure(const WorkerId& worker, bool timed_out) = 0;
  virtual void OnStartResponse(const StartOrder& order,
                               const std::optional<OrderResponse>& response) = 0;
  virtual void OnStopResponse(const StopOrder& order,
                              const std::optional<OrderResponse>& response) = 0;
  virtual void OnThrottleResponse(const ThrottleOrder& order,
                                  const std::optional<OrderResponse>& response) = 0;
  // The worker rejected a request with `token` because it has seen a higher fencing token.
  virtual void OnFenced(const WorkerId& worker, FencingToken token) = 0;
};

using Order = std::variant<StartOrder, StopOrder, ThrottleOrder>;
using SharedExchangeBudget = Shared<ExchangeBudget, LockRank::kExchanges>;

class WorkerLink : public std::enable_shared_from_this<WorkerLink> {
 public:
  WorkerLink(WorkerId worker, std::shared_ptr<WorkerLinkDelegate> delegate, WorkerProtocol protocol,
             HttpClient& http, SharedExchangeBudget& budget, WorkerPool& pool, DecisionLog& log);

  // Sends renewals until the delegate has no registration for the worker.
  Task<> Run();
  // Queues an order. It is sent at once unless the maximum number of orders is in
  // flight; stops go before other orders. A start that has waited for kMaxStartAge, or that the
  // delegate does not permit any more, is not sent: the delegate learns that it is withdrawn. Both
  // are checked again when its connection is open.
  void Send(Order order);

 private:
  struct QueuedOrder {
    Order order;
    Time queued_at{};
  };
  struct Queue {
    std::deque<QueuedOrder> waiting;
    int senders = 0;  // Running RunSender coroutines.
  };

  // Sends queued orders one after the other until the queue is empty.
  static Task<> RunSender(std::shared_ptr<WorkerLink> self);
  // Sends `queued` and passes the response to the delegate.
  Task<> SendOne(QueuedOrder queued);
  // Sends an order, which is charged to the budget.
  Task<std::optional<OrderResponse>> SendOrder(std::string_view name, HttpCall call,
                                               FencingToken token, WriteCondition may_write = {});
  // Returns nullopt if there was no response or it cannot be decoded, and kWithdrawn if `may_write`
  // did not permit the call. Adds the size of the exchange to `*bytes`, if given. `name`: of the
  // kind of call, for the log.
  Task<std::optional<OrderResponse>> Call(std::string_view name, HttpCall call, FencingToken token,
                                          Duration timeout, std::size_t* bytes = nullptr,
                                          WriteCondition may_write = {});

  const WorkerId worker_;
  const std::shared_ptr<WorkerLinkDelegate> delegate_;
  const WorkerProtocol protocol_;
  HttpClient& http_;
  SharedExchangeBudget& budget_;
  WorkerPool& pool_;
  DecisionLog& log_;
  bool reachable_ = true;  // The last renewal got a response. Used only by Run.
  Shared<Queue, LockRank::kOrders> queue_;
};

}  // namespace dn
