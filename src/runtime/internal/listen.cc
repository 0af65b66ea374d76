// Listening sockets.
#include "runtime/internal/listen.h"

#include <boost/asio.hpp>

namespace dn {

Result<asio::ip::tcp::acceptor> Listen(WorkerPool& pool, const Endpoint& address) {
  using asio::ip::tcp;
  boost::system::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (error) return Errc::kMalformed;
  tcp::acceptor acceptor(asio::make_strand(pool.context()));
  const tcp::endpoint endpoint(host, address.port);
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return Errc::kUnreachable;
  return acceptor;
}

}  // namespace dn
