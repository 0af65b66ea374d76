// Commands of dn-ctl and dn-timeline.
#pragma once

#include "store/store.h"

namespace dn {

// Runs the command line of dn-ctl against a store that uses `protocol`. Returns the exit status:
// 0 success, 1 refused, unreachable or timed out, 2 invalid arguments or configuration.
int RunControlCommand(int argc, char** argv, const StoreProtocol& protocol);

// Runs the command line of dn-timeline, with the same exit status.
int RunTimelineCommand(int argc, char** argv, const StoreProtocol& protocol);

}  // namespace dn
