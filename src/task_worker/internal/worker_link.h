// The link to one worker: renews leases and sends orders.
#pragma once

#include <deque>
#include <memory>
#include <variant>

#include "task_worker/internal/worker_protocol.h"

namespace dn {

// Who decides what a link sends and hears what comes back.
class WorkerCare {
 public:
  virtual ~WorkerCare() = default;
  // Current entry of the worker; nothing: the link ends.
  virtual std::optional<WorkerEntry> EntryOf(const WorkerId& worker) = 0;
  virtual Renewal NextRenewal(const WorkerId& worker) = 0;
  virtual void Reported(const WorkerId& worker, const OrderResponse& answer, Time asked) = 0;
  virtual void StartAnswered(const StartOrder& order,
                             const std::optional<OrderResponse>& answer) = 0;
  virtual void StopAnswered(const StopOrder& order, const std::optional<OrderResponse>& answer) = 0;
  // A worker has seen a higher fencing token than ours.
  virtual void Fenced(const WorkerId& worker) = 0;
};

using Order = std::variant<StartOrder, StopOrder, ThrottleOrder>;

class WorkerLink : public std::enable_shared_from_this<WorkerLink> {
 public:
  WorkerLink(WorkerId worker, std::shared_ptr<WorkerCare> care, WorkerProtocol protocol,
             HttpClient& http, WorkerPool& pool, DecisionLog& log);

  // Renews until the worker is no longer in care.
  Task<> Run();
  // Queues an order; it is sent at once while a lane is free.
  void Send(Order order);

 private:
  struct Queue {
    std::deque<Order> waiting;
    int lanes = 0;  // Coroutines that send.
  };

  static Task<> RunLane(std::shared_ptr<WorkerLink> self);
  Task<> Carry(Order order);
  Task<std::optional<OrderResponse>> Call(HttpCall call, Duration timeout);

  const WorkerId worker_;
  const std::shared_ptr<WorkerCare> care_;
  const WorkerProtocol protocol_;
  HttpClient& http_;
  WorkerPool& pool_;
  DecisionLog& log_;
  bool reached_ = true;  // The last renewal was answered. Used by Run alone.
  Shared<Queue, LockRank::kOrders> queue_;
};

}  // namespace dn
