// The other instances of this deployment.
#pragma once

#include "instance_link/internal/instance_link.h"
