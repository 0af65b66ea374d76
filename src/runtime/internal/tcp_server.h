// Connections that a server accepts, from the listening socket to their orderly close. Independent
// of what the connections carry.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <set>

#include "runtime/internal/lock_order.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

// An accepted connection, which carries one request after the other. Used on its own strand, apart
// from CloseIfIdle.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  explicit ServerConnection(asio::ip::tcp::socket socket) : stream_(std::move(socket)) {}

  boost::beast::tcp_stream& stream() { return stream_; }
  // Bytes that were received and not parsed.
  boost::beast::flat_buffer& buffer() { return buffer_; }

  // Waits for the first bytes of the next request. Returns false if the peer has closed the
  // connection, after `timeout`, and if CloseIfIdle was called before any byte arrived.
  Task<bool> WaitForRequest(Duration timeout);
  // Ends the wait for the next request. Does nothing while the connection carries a request. May
  // be called on any thread.
  void CloseIfIdle();
  // Shuts down the sending side and discards what the peer still sends, for at most 1 s, so that
  // the peer can read the response to its end. Closing at once would reset the connection if
  // unread bytes are left, and the peer could lose the response.
  Task<> CloseGracefully();
  // Closes the connection so that the peer does not take a response in progress for complete.
  void Reset();

 private:
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  bool idle_ = false;  // Waits for the next request.
};

// Accepts connections and keeps them until they are closed.
class TcpServer : public std::enable_shared_from_this<TcpServer> {
 public:
  // Processes the requests of a connection until it can carry no other. The server closes the
  // connection then.
  using Serve = std::function<Task<>(ServerConnection&)>;

  // Listens on `address`; port 0 selects a free port. kMalformed if the host is no IP address,
  // kUnreachable if the address cannot be bound.
  static Result<std::shared_ptr<TcpServer>> Start(WorkerPool& pool, const Endpoint& address,
                                                  Serve serve);
  TcpServer(WorkerPool& pool, asio::ip::tcp::acceptor acceptor, Serve serve);

  // Bound address, with the selected port.
  Endpoint address() const { return address_; }
  // Accepts the connections that are established already and stops listening. Closes connections
  // that carry no request after 1 s, in which peers may use them once more.
  void Close();
  bool closing() const { return closing_; }
  // Whether the server has stopped listening and no connection is open.
  bool closed() const { return !listening_ && open_connections() == 0; }
  int open_connections() const;

 private:
  using Connections = std::set<std::shared_ptr<ServerConnection>>;

  Task<> Run();
  void AcceptEstablished();
  void Add(asio::ip::tcp::socket socket);
  void Remove(const std::shared_ptr<ServerConnection>& connection);

  WorkerPool& pool_;
  asio::ip::tcp::acceptor acceptor_;
  const Endpoint address_;
  const Serve serve_;
  std::atomic<bool> closing_{false};
  std::atomic<bool> listening_{true};
  Shared<Connections, LockRank::kConnections> connections_;
};

}  // namespace dn
