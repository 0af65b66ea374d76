// Callers: the server that accepts their requests, the processing of a request from its head to
// its response, and the slots and idempotency keys that requests share.
#pragma once

#include "caller/internal/caller_exchange.h"
#include "caller/internal/caller_server.h"
#include "caller/internal/key_claims.h"
#include "caller/internal/request_flow.h"
#include "caller/internal/slot_pool.h"
