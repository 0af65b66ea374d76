// Connections to backend servers, and the servers' health.
#pragma once

#include "backend_server/internal/backend_servers.h"
