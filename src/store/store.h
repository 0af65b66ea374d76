// The platform's metadata store: appends, reads, groups.
#pragma once

#include "store/internal/keyed_follower.h"
#include "store/internal/record_writer.h"
#include "store/internal/store_client.h"
#include "store/internal/store_protocol.h"
