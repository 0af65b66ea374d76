// Loopback addresses for fleets of processes.
#pragma once

#include <string>

namespace dn::testing {

// "127.x.y.": a network that no other fleet of this or another test process
// uses, so that fixed ports are free there. Ports that were drawn, closed and
// handed to a process may be drawn again before it listens: 3 in 1,000 fleets of
// three nodes got one port twice.
std::string NextNet();

}  // namespace dn::testing
