// Stand-ins for the platform, its workers and callers. They implement the same protocols and
// support fault injection. For tests, benchmarks and the demo only.
#pragma once

#include "standins/internal/caller_load.h"
#include "standins/internal/records.h"
#include "standins/internal/standin_main.h"
#include "standins/internal/store_standin.h"
#include "standins/internal/task_worker_standin.h"
#include "standins/internal/tcp_relay.h"
#include "standins/internal/worker_standin.h"
