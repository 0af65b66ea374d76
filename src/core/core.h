// Defines the value types that all packages share: identifiers, configuration,
// stream records, messages between instances, events, findings and errors. The
// package performs no I/O.
#pragma once

#include "core/internal/configuration.h"
#include "core/internal/error.h"
#include "core/internal/event.h"
#include "core/internal/fields.h"
#include "core/internal/finding.h"
#include "core/internal/immutable.h"
#include "core/internal/message_head.h"
#include "core/internal/messages.h"
#include "core/internal/names.h"
#include "core/internal/node_settings.h"
#include "core/internal/records.h"
#include "core/internal/request.h"
#include "core/internal/time.h"
#include "core/internal/worker.h"
