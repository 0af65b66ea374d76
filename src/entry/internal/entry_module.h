// The request path: dn-entry.
#pragma once

#include "entry/internal/instance_module.h"
#include "entry/internal/instance_settings.h"

namespace dn {

// Runs until drained. Returns the exit status.
int RunEntry(const InstanceSettings& settings, const EntryAdapter& adapter);

}  // namespace dn
