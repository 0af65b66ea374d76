// One request of a caller and its response, independent of the protocol by which the caller sent
// the request.
#pragma once

#include <span>

#include "core/core.h"
#include "runtime/runtime.h"

namespace dn {

class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const RequestHead& head() const = 0;
  // Reads the next bytes of the request body into the front of `buffer` and returns their number,
  // which is 0 once the body is complete. kBroken if the caller has disconnected or the body is
  // malformed.
  virtual Task<Result<std::size_t>> ReadBody(std::span<char> buffer) = 0;
  // Both return kBroken if the caller has disconnected. `last`: `bytes` end the body.
  virtual Task<Result<void>> SendHead(const ResponseHead& head) = 0;
  virtual Task<Result<void>> SendBody(std::span<const char> bytes, bool last) = 0;
  // The response cannot be completed: resets the connection, so that the caller does not take the
  // truncated response for a complete one.
  virtual void Abort() = 0;
};

}  // namespace dn
