// Client and server of the calls between instances of one deployment.
#pragma once

#include "instance_link/internal/instance_link.h"
