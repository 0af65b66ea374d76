// Connection for forwarding requests with streamed bodies, to a backend server or,
// for a relayed request, to a sibling.
#pragma once

#include <memory>
#include <span>

#include "core/core.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

// Operations return kBroken if the connection fails and kTimeout at `deadline`.
// Destroying it closes the connection. Unless no request was begun, or the last one was sent and
// its response read, both completely, the connection is reset, so that what has not arrived at the
// peer by then does not arrive any more.
class UpstreamConnection {
 public:
  virtual ~UpstreamConnection() = default;

  // Opens a connection; kUnreachable if that fails or takes until `deadline`.
  static Task<Result<std::unique_ptr<UpstreamConnection>>> Connect(Endpoint to, Time deadline);

  // Whether the idle connection is open and the peer has sent no unsolicited bytes.
  virtual bool Usable() = 0;
  virtual Task<Result<void>> SendHead(const RequestHead& head, Time deadline) = 0;
  // Sends a piece of the body; `last` ends the body. An empty piece is ignored unless
  // it is the last.
  virtual Task<Result<void>> SendBody(std::span<const char> piece, bool last, Time deadline) = 0;
  // Waits until a response begins or the connection ends. Returns false at `deadline`
  // and leaves the connection open.
  virtual Task<bool> WaitForResponse(Time deadline) = 0;
  // Reads the response head. `head_request`: the request was HEAD, so that no body
  // follows.
  virtual Task<Result<ResponseHead>> ReadHead(bool head_request, Time deadline) = 0;
  // Reads a part of the body into `buffer` and returns its length; 0 once the
  // response is complete. kBroken if the connection ends before.
  virtual Task<Result<std::size_t>> ReadBody(std::span<char> buffer, Time deadline) = 0;
  // Whether the response is complete and the connection may carry another request.
  virtual bool MayReuse() const = 0;
  virtual std::size_t bytes() const = 0;  // Bytes sent and received so far.
};

}  // namespace dn
