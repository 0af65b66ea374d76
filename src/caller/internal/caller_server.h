// HTTP/1.1 server for callers. Bodies of requests and responses are streamed.
#pragma once

#include <functional>
#include <memory>

#include "caller/internal/caller_exchange.h"
#include "runtime/runtime.h"

namespace dn {

class CallerServer {
 public:
  // Processes one request and sends its response. Called on any thread, for many requests at once.
  using Handler = std::function<Task<>(CallerExchange&)>;
  struct Limits {
    // Maximum size of a request head, in bytes. Called before each request.
    std::function<std::uint32_t()> header_limit_bytes;
  };

  // Starts to accept connections on `address`. Fails if it cannot listen there. The destructor
  // stops listening and closes idle connections.
  static Result<std::unique_ptr<CallerServer>> Start(WorkerPool& pool, const Endpoint& address,
                                                     Limits limits, Metrics& metrics,
                                                     Handler handler);
  virtual ~CallerServer() = default;
  // Address on which the server listens, with the actual port if port 0 was asked for.
  virtual Endpoint address() const = 0;
  // Keeps accepting requests, but sends "Connection: close" with each response from now on.
  virtual void BeginDrain() = 0;
  // Stops listening. Each connection, also one that was not accepted yet, is closed after one more
  // response, or if no request arrives on it within 1 s.
  virtual void CloseIdle() = 0;
  // Whether the server has stopped listening and no connection is open.
  virtual bool closed() const = 0;
  virtual int open_connections() const = 0;
};

}  // namespace dn
