// HTTP/1.1 server for control messages. Reads complete bodies of limited size.
#pragma once

#include <functional>
#include <memory>

#include "runtime/internal/http_types.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

// Default limits of the header and the body of a control message, in bytes.
inline constexpr std::size_t kMaxControlHeader = 16 * 1024;
inline constexpr std::size_t kMaxControlBody = 64 * 1024 * 1024;

// Limits of one request, in bytes.
struct HttpLimits {
  std::size_t header = kMaxControlHeader;
  std::size_t body = kMaxControlBody;
};

class HttpServer {
 public:
  using Handler = std::function<Task<HttpReply>(HttpCall)>;

  // Listens on `address`; port 0 selects a free port. kMalformed if the host is no
  // IP address, kUnreachable if the address cannot be bound. The handler may be
  // called on several threads concurrently.
  static Result<std::unique_ptr<HttpServer>> Start(WorkerPool& pool, const Endpoint& address,
                                                   Handler handler, HttpLimits limits = {});
  virtual ~HttpServer() = default;
  // Bound address, with the selected port.
  virtual Endpoint address() const = 0;
  // Closes each connection after the response to its current or next request. New
  // connections are still accepted.
  virtual void DisableKeepAlive() = 0;
  // Stops listening. Each connection, also one that was not accepted yet, is closed
  // after one more response, or if no request arrives on it within 1 s.
  virtual void Close() = 0;
  // Whether the server has stopped listening and no connection is open.
  virtual bool closed() const = 0;
};

}  // namespace dn
