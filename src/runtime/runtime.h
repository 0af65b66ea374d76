// Infrastructure that all processes share: a pool of worker threads, shared tables
// with a lock order, HTTP for control messages, JSON, settings, events, metrics and
// logs.
#pragma once

#include "runtime/internal/append_rate.h"
#include "runtime/internal/connection_pool.h"
#include "runtime/internal/decision_log.h"
#include "runtime/internal/event_log.h"
#include "runtime/internal/http_client.h"
#include "runtime/internal/http_server.h"
#include "runtime/internal/http_types.h"
#include "runtime/internal/json_codec.h"
#include "runtime/internal/listen.h"
#include "runtime/internal/lock_order.h"
#include "runtime/internal/metrics.h"
#include "runtime/internal/notifier.h"
#include "runtime/internal/process.h"
#include "runtime/internal/settings.h"
#include "runtime/internal/tcp_server.h"
#include "runtime/internal/upstream_connection.h"
#include "runtime/internal/worker_pool.h"
