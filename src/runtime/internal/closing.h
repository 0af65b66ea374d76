// How the connections of clients are closed.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace dn {

// Sets a connected socket to be reset when it is closed, be it by its owner, by its destructor or
// because the process ends or is killed. After a plain close the kernel goes on sending what the
// peer has not acknowledged, for as long as a partition lasts, and the peer then carries out a call
// that was given up long before. With a reset the kernel discards these bytes, whether or not the
// reset itself arrives. Errors are ignored: only a socket that is closed already has one.
void ResetWhenClosed(boost::asio::ip::tcp::socket& socket);

// Closes a socket so that all that was written to it is still sent and the peer then reads the end
// of the connection. Only for a connection on which no call is under way. Errors are ignored.
void CloseInOrder(boost::asio::ip::tcp::socket& socket);

}  // namespace dn
