// Composition of the packages into an entry instance, the process dn-entry.
#pragma once

#include "entry/internal/entry_module.h"
#include "entry/internal/instance_settings.h"
