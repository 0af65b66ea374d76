// Client of the platform's metadata store: appends, reads, groups and streams.
#pragma once

#include "store/internal/keyed_follower.h"
#include "store/internal/newest_cursor.h"
#include "store/internal/read_pacing.h"
#include "store/internal/record_writer.h"
#include "store/internal/registration_reader.h"
#include "store/internal/retry_backoff.h"
#include "store/internal/store_client.h"
#include "store/internal/store_protocol.h"
#include "store/internal/stream_appender.h"
#include "store/internal/stream_follower.h"
#include "store/internal/stream_page.h"
#include "store/internal/streams.h"
#include "store/internal/worker_registry.h"
