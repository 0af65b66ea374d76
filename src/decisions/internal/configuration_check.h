// Checks a configuration beyond the types and ranges of its fields.
#pragma once

#include "core/core.h"

namespace dn {

// Returns all violations in `configuration`, each with its JSON pointer: empty or
// duplicate names, zones declared twice, and fewer connections than slots. `file`
// and `line` of the findings are not set.
Findings CheckConfiguration(const Configuration& configuration);

}  // namespace dn
