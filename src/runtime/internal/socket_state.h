// State of an idle connection, as far as the operating system knows it.
#pragma once

namespace dn {

// Returns whether the connected `socket` is open and has received nothing that was not read: the
// peer has neither closed the connection nor sent anything beyond its last response.
bool IsQuiet(int socket);

}  // namespace dn
