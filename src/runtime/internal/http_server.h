// HTTP/1.1 server for control messages: whole bodies, bounded in size.
#pragma once

#include <functional>
#include <memory>

#include "runtime/internal/http_types.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

// Largest header and body of a control message, in bytes.
inline constexpr std::size_t kMaxControlHeader = 16 * 1024;
inline constexpr std::size_t kMaxControlBody = 64 * 1024 * 1024;

// Bounds on one call, in bytes.
struct HttpLimits {
  std::size_t header = kMaxControlHeader;
  std::size_t body = kMaxControlBody;
};

class HttpServer {
 public:
  using Handler = std::function<Task<HttpReply>(HttpCall)>;

  // Listens at once; `port` 0 takes a free port. kUnreachable if the address
  // cannot be bound. The handler may be called on several threads at once.
  static Result<std::unique_ptr<HttpServer>> Start(WorkerPool& pool, const Endpoint& address,
                                                   Handler handler, HttpLimits limits = {});
  virtual ~HttpServer() = default;
  virtual Endpoint address() const = 0;
  // Goes on accepting, but every connection ends after its current reply.
  virtual void EndConnections() = 0;
  // Stops accepting; open connections end after their current reply.
  virtual void Close() = 0;
};

}  // namespace dn
