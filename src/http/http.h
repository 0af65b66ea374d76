// Conversion between message heads and Boost.Beast messages. For sources that include Beast
// themselves.
#pragma once

#include "http/internal/beast_heads.h"
