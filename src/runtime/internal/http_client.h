// HTTP/1.1 client for control messages, with persistent connections.
#pragma once

#include <memory>

#include "runtime/internal/http_types.h"
#include "runtime/internal/metrics.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

class HttpClient {
 public:
  // `metrics` may be null; otherwise it counts sent and received bytes by kind.
  explicit HttpClient(Metrics* metrics = nullptr);
  ~HttpClient();

  // Sends `call` and waits for the complete response. kUnreachable: nothing was
  // sent, by any attempt. kBroken, kTimeout: the peer may have processed the request.
  // If the call permits a retry, the peer may also have processed it before the attempt
  // that the response belongs to.
  // Once a call is given up, by its timeout or because its coroutine is destroyed or the process
  // ends, what has not arrived at the peer by then does not arrive any more.
  // `trace`, if given, receives what is known of the last attempt that was written. It must outlive
  // the call.
  // `may_write`, if given, is asked immediately before the first byte of each attempt is written,
  // when its connection is open. kWithdrawn: it did not permit that, and nothing was sent, by any
  // attempt.
  Task<Result<HttpReply>> Call(Endpoint to, HttpCall call, Duration timeout, TrafficKind kind,
                               CallTrace* trace = nullptr, WriteCondition may_write = {}) {
    return Call(std::move(to), std::move(call), TotalLimit(timeout), kind, trace,
                std::move(may_write));
  }
  // The same with separate limits. A response that makes progress is not given up before
  // `limits->total`.
  Task<Result<HttpReply>> Call(Endpoint to, HttpCall call, CallLimits limits, TrafficKind kind,
                               CallTrace* trace = nullptr, WriteCondition may_write = {});

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dn
