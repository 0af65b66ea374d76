// Closing of sockets by SO_LINGER.
#include "runtime/internal/closing.h"

#include <sys/socket.h>

#include <boost/asio.hpp>

namespace dn {
namespace {

using boost::asio::ip::tcp;

void SetResetWhenClosed(tcp::socket& socket, bool reset) {
  const ::linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  // Not by set_option(), since the socket's destructor would turn the option off again.
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

}  // namespace

void ResetWhenClosed(tcp::socket& socket) { SetResetWhenClosed(socket, true); }

void CloseInOrder(tcp::socket& socket) {
  SetResetWhenClosed(socket, false);
  boost::system::error_code ignored;
  socket.close(ignored);
}

}  // namespace dn
