// Client of the workers that run tasks: orders and lease renewals.
#pragma once

#include "task_worker/internal/worker_link.h"
#include "task_worker/internal/worker_protocol.h"
