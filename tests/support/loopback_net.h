// Loopback addresses for fleets of processes.
#pragma once

#include <string>

namespace dn::testing {

// Returns a prefix "127.x.y." that no other fleet of this or another test process uses,
// so that fixed ports are free there. Ephemeral ports that are bound, closed and passed
// to a process can be allocated again before it listens: 3 in 1,000 fleets of three
// nodes got one port twice.
std::string NextNetworkPrefix();

}  // namespace dn::testing
