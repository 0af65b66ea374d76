// Communication with other instances: heartbeats over JSON-RPC.
#pragma once

#include "sibling/internal/heartbeat_sender.h"
#include "sibling/internal/rpc_codec.h"
#include "sibling/internal/sibling_table.h"
