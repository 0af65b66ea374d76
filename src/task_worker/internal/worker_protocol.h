// Requests to workers and their responses, independent of their encoding. The
// adapter of a platform supplies the encoding as a WorkerProtocol.
#pragma once

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"

namespace dn {

// Encoders of requests and the decoder of their responses for one platform.
struct WorkerProtocol {
  HttpCall (*encode_start)(const StartOrder&) = nullptr;
  HttpCall (*encode_stop)(const StopOrder&) = nullptr;
  HttpCall (*encode_throttle)(const ThrottleOrder&) = nullptr;
  HttpCall (*encode_renewal)(const Renewal&) = nullptr;
  // Decodes the response to any of these requests. kMalformed: the response cannot
  // be decoded.
  Result<OrderResponse> (*decode_response)(const HttpReply&) = nullptr;
};

}  // namespace dn
