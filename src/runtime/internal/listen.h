// Listening sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

// Opens an acceptor on a strand of its own. kMalformed if the host is no IP address,
// kUnreachable if the address cannot be bound.
Result<asio::ip::tcp::acceptor> Listen(WorkerPool& pool, const Endpoint& address);

}  // namespace dn
