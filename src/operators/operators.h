// Operators: the control calls that an instance serves, and the commands of dn-ctl and
// dn-timeline.
#pragma once

#include "operators/internal/commands.h"
#include "operators/internal/control_routes.h"
#include "operators/internal/operator_client.h"
#include "operators/internal/status.h"
#include "operators/internal/timeline.h"
