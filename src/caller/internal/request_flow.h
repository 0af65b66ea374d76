// Processing of one request: admission, claim of its idempotency key, dispatch to a backend server
// or relay to a sibling, response, retry.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backend_server/backend_server.h"
#include "caller/internal/body_source.h"
#include "caller/internal/caller_exchange.h"
#include "caller/internal/key_claims.h"
#include "caller/internal/slot_pool.h"
#include "decisions/decisions.h"
#include "sibling/sibling.h"

namespace dn {

// Parts of the instance that process requests. All of them may be used on any thread.
struct RequestContext {
  Instance self;
  WorkerPool& pool;
  SlotPool& slots;
  BackendServers& servers;
  KeyClaims& key_claims;
  SharedSiblings& siblings;
  EventLog& events;
  Metrics& metrics;
  // Active configuration; null until the first one has been read.
  std::function<std::shared_ptr<const Configuration>()> configuration;
  // Returns the member with this id, or nothing if there is none.
  std::function<std::optional<Instance>(const InstanceId&)> find_member;
  // False while this instance may have been evicted without knowing it, because it has lost contact
  // with the store and its siblings.
  std::function<bool(Time)> may_dispatch;
};

class RequestFlow {
 public:
  explicit RequestFlow(RequestContext context);

  // Processes one request and sends its response. May be called on many threads at once.
  Task<> Run(CallerExchange& caller);
  // Number of requests whose Run has not returned.
  int in_flight() const { return in_flight_.load(); }

 private:
  struct Request;
  struct AttemptResult;

  // Checks the size limits, then attempts the request until it has a response or may not be
  // retried.
  Task<> Handle(Request& request);
  // Uses a free slot of this instance; failing that, relays the request to a sibling with a free
  // slot; failing that, waits for a slot. A relayed request is not relayed again.
  Task<AttemptResult> Attempt(Request& request);
  Task<AttemptResult> DispatchToBackendServer(Request& request, Slot slot);
  Task<AttemptResult> RelayToSibling(Request& request, Instance sibling);
  // Waits for at most the service's queue time, and not beyond the deadline of the request.
  Task<std::optional<Slot>> WaitForSlot(Request& request);
  // Returns the member of this region that has reported the most free slots, if any has one.
  std::optional<Instance> FindSiblingWithCapacity(const Request& request);
  // Claims the key of the request unless it needs none or has a claim. Returns nothing if the
  // request may be sent, otherwise the reason against it.
  Task<std::optional<AttemptResult>> ClaimKey(Request& request);
  // Sends the request over `upstream` and forwards the response to the caller. `relayed`: the peer
  // is a sibling, not a backend server.
  Task<AttemptResult> Exchange(Request& request, UpstreamConnection& upstream, bool relayed);
  // Returns nothing if the whole request was sent, otherwise how the attempt failed.
  Task<std::optional<AttemptResult>> SendRequest(Request& request, UpstreamConnection& upstream,
                                                 bool relayed);
  // Forwards the response to the caller. If the caller disconnects, reads the rest of it all the
  // same, so that the slot is free and `upstream` can be reused.
  Task<AttemptResult> ForwardResponse(Request& request, UpstreamConnection& upstream, bool relayed,
                                      ResponseHead head);
  RequestHead MakeUpstreamHead(const Request& request, bool relayed) const;
  // Releases the slot of a failed request once the backend server no longer works on the request:
  // when the response is complete, otherwise at `until`. `no_response`: the response had not begun
  // and the connection was open. Then the response may also begin after `until`, and a closed
  // connection releases the slot at once.
  Task<> ReleaseWhenFinished(Slot slot, UpstreamPtr upstream, bool no_response, Time until);
  // Sends an error response with the reason and the outcome of the request.
  Task<> SendRefusal(Request& request, const AttemptResult& result);
  // Ends the claim of the key and records the outcome in metrics and events.
  void RecordEnd(Request& request, const AttemptResult& result);
  bool MayRetry(const Request& request) const;

  RequestContext context_;
  Shared<RetryBudget, LockRank::kSlots> retry_budget_;
  ConnectionPool<InstanceId> sibling_connections_;
  std::atomic<int> in_flight_{0};
  std::atomic<std::uint64_t> next_request_{0};
};

}  // namespace dn
