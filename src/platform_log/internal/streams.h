// Names of the streams that the system keeps in the log.
#pragma once

namespace dn {

inline constexpr const char* kRosterStream = "roster";
inline constexpr const char* kConfigurationStream = "configuration";
inline constexpr const char* kKeyStream = "keys";

}  // namespace dn
