// Entry point of the dn-node process and the adapter that it needs.
#pragma once

#include "node/internal/node_adapter.h"
#include "node/internal/node_module.h"
