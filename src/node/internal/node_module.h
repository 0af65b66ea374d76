// Wires a node up and runs it.
#pragma once

#include "node/internal/node_adapter.h"

namespace dn {

// Command line of dn-node: --help, --version, --check-settings. Returns the exit
// status.
int RunNode(int argc, char** argv, const NodeAdapter& adapter);

}  // namespace dn
