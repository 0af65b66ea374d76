// Workers that run tasks: orders and renewals.
#pragma once

#include "task_worker/internal/worker_link.h"
#include "task_worker/internal/worker_protocol.h"
