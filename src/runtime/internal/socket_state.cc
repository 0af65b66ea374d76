// Looks at a socket without reading from it.
#include "runtime/internal/socket_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace dn {

bool IsQuiet(int socket) {
  char byte = 0;
  const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace dn
