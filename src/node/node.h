// Module file of dn-node.
#pragma once

#include "node/internal/node_adapter.h"
#include "node/internal/node_module.h"
