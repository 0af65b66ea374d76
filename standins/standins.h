// Stand-ins for the platform, workers and callers, by their protocols. Faults
// are injected over control calls. For tests, benches and the demo only.
#pragma once

#include "standins/internal/caller_load.h"
#include "standins/internal/records.h"
#include "standins/internal/standin_main.h"
#include "standins/internal/store_standin.h"
#include "standins/internal/task_worker_standin.h"
#include "standins/internal/tcp_relay.h"
#include "standins/internal/worker_standin.h"
