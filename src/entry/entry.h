// Module files that wire the packages up into an entry instance.
#pragma once

#include "entry/internal/entry_module.h"
#include "entry/internal/instance_settings.h"
