// Process dn-entry: an instance that processes requests of callers.
#pragma once

#include "entry/internal/instance_module.h"
#include "entry/internal/instance_settings.h"

namespace dn {

// Runs an instance until it is drained. Returns the exit status of the process: 1 if it cannot
// listen for siblings, otherwise 0.
int RunEntry(const InstanceSettings& settings, const EntryAdapter& adapter);

}  // namespace dn
