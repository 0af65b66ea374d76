// Commands of dn-ctl.
#pragma once

#include "store/store.h"

namespace dn {

// Runs the command line of dn-ctl against a store that speaks `protocol`. Exit status: 0 done, 1
// refused or unreachable, 2 invalid input.
int RunControlCommand(int argc, char** argv, const StoreProtocol& protocol);

// Runs the command line of dn-timeline.
int RunTimelineCommand(int argc, char** argv, const StoreProtocol& protocol);

}  // namespace dn
