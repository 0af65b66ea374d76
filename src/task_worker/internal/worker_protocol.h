// Orders to workers, free of their encoding. The adapter of a platform supplies
// a WorkerProtocol.
#pragma once

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"

namespace dn {

struct WorkerProtocol {
  HttpCall (*start)(const StartOrder&) = nullptr;
  HttpCall (*stop)(const StopOrder&) = nullptr;
  HttpCall (*pace)(const ThrottleOrder&) = nullptr;
  HttpCall (*renew)(const Renewal&) = nullptr;
  // kMalformed: not readable.
  Result<OrderResponse> (*answer)(const HttpReply&) = nullptr;
};

}  // namespace dn
