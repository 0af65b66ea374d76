// Module files that wire the packages up into an entry instance.
#pragma once

#include "modules/internal/entry_module.h"
#include "modules/internal/instance_settings.h"
