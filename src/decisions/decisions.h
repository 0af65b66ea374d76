// Defines the decision rules of the system: pure functions, folds of log streams
// and state machines over value types. Callers pass in time and randomness. The
// package performs no I/O, encodes no messages and takes no locks; its callers
// guard shared tables in the order that runtime/lock_order.h states.
#pragma once

#include "decisions/internal/backend_health.h"
#include "decisions/internal/claim_decision.h"
#include "decisions/internal/configuration_check.h"
#include "decisions/internal/configuration_fold.h"
#include "decisions/internal/isolation.h"
#include "decisions/internal/key_fold.h"
#include "decisions/internal/membership_rules.h"
#include "decisions/internal/ownership.h"
#include "decisions/internal/request_machine.h"
#include "decisions/internal/retry.h"
#include "decisions/internal/roster_fold.h"
#include "decisions/internal/routing.h"
#include "decisions/internal/slot_table.h"
#include "decisions/internal/stream_fold.h"
