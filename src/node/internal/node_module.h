// The dn-node process.
#pragma once

#include "node/internal/node_adapter.h"

namespace dn {

// Parses the command line (--help, --version, --settings, --check-settings), starts
// the node and runs it until a signal ends it. Returns the exit status of the
// process.
int RunNode(int argc, char** argv, const NodeAdapter& adapter);

}  // namespace dn
