// Scheduling decisions: where and when each task runs, which changes must be durable before an
// order is sent, and how far best-effort tasks are throttled. The package does no I/O; the caller
// passes the time in.
#pragma once

#include "scheduling/internal/backlog.h"
#include "scheduling/internal/candidacy.h"
#include "scheduling/internal/crash_blame.h"
#include "scheduling/internal/evacuations.h"
#include "scheduling/internal/held_jobs.h"
#include "scheduling/internal/idle_jobs.h"
#include "scheduling/internal/interference.h"
#include "scheduling/internal/job_spec.h"
#include "scheduling/internal/job_table.h"
#include "scheduling/internal/late_selection.h"
#include "scheduling/internal/open_losses.h"
#include "scheduling/internal/orders.h"
#include "scheduling/internal/owner_view.h"
#include "scheduling/internal/pace_control.h"
#include "scheduling/internal/placement_policy.h"
#include "scheduling/internal/policy.h"
#include "scheduling/internal/record_codec.h"
#include "scheduling/internal/room_share.h"
#include "scheduling/internal/run_gaps.h"
#include "scheduling/internal/run_history.h"
#include "scheduling/internal/shard.h"
#include "scheduling/internal/start_counts.h"
#include "scheduling/internal/urgency.h"
#include "scheduling/internal/worker_table.h"
