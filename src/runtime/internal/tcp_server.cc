// Accepting and closing of connections.
#include "runtime/internal/tcp_server.h"

#include <glog/logging.h>

#include <array>
#include <boost/asio.hpp>
#include <exception>

#include "runtime/internal/closing.h"
#include "runtime/internal/listen.h"

namespace dn {
namespace {

using asio::ip::tcp;

// Size of the first read of a request, and of the reads that discard bytes.
constexpr std::size_t kReadBytes = 4096;
// Unread bytes of a request that are read and discarded before its connection is closed.
constexpr std::uint64_t kMaxDiscardedBytes = 256 * 1024;
// Time for the peer to close its side of a connection.
constexpr Duration kLingerTime{1'000};
// Pause after a failure to accept, usually for want of file descriptors.
constexpr Duration kAcceptRetryPause{50};
// Time for which connections stay open once the server has stopped listening. A peer that reuses
// its connections sends its next requests on them and learns from the responses that they are
// closed; a peer that has just connected sends its first request.
constexpr Duration kLastRequestTime{1'000};
// Pause between checks for connections that have become idle.
constexpr Duration kClosePollInterval{20};

Endpoint EndpointOf(const tcp::endpoint& bound) {
  return {.host = bound.address().to_string(), .port = bound.port()};
}

void LogFailure(const std::exception_ptr& failure) {
  if (!failure) return;
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    LOG(ERROR) << R"({"kind":"connection-failed","detail":")" << error.what() << "\"}";
  }
}

}  // namespace

Task<bool> ServerConnection::WaitForRequest(Duration timeout) {
  if (buffer_.size() > 0) co_return true;
  stream_.expires_after(timeout);
  while (true) {
    boost::system::error_code error;
    idle_ = true;
    const std::size_t received = co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    idle_ = false;
    buffer_.commit(received);
    // Bytes may have arrived when CloseIfIdle ended the read.
    boost::system::error_code ignored;
    const bool ended_by_close = error == asio::error::operation_aborted;
    if (!ended_by_close || stream_.socket().available(ignored) == 0) co_return received > 0;
  }
}

void ServerConnection::CloseIfIdle() {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (self->idle_) self->stream_.cancel();
  });
}

Task<> ServerConnection::CloseGracefully() {
  boost::system::error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  std::array<char, kReadBytes> buffer{};
  std::uint64_t discarded_bytes = 0;
  stream_.expires_after(kLingerTime);
  while (!error && discarded_bytes < kMaxDiscardedBytes) {
    discarded_bytes += co_await stream_.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
  }
}

void ServerConnection::Reset() {
  ResetWhenClosed(stream_.socket());
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

Result<std::shared_ptr<TcpServer>> TcpServer::Start(WorkerPool& pool, const Endpoint& address,
                                                    Serve serve) {
  auto acceptor = Listen(pool, address);
  if (!acceptor) return acceptor.error();
  const auto executor = acceptor.value().get_executor();
  auto server = std::make_shared<TcpServer>(pool, std::move(acceptor).value(), std::move(serve));
  asio::co_spawn(executor, server->Run(),
                 [server](const std::exception_ptr& failure) { LogFailure(failure); });
  return server;
}

TcpServer::TcpServer(WorkerPool& pool, tcp::acceptor acceptor, Serve serve)
    : pool_(pool),
      acceptor_(std::move(acceptor)),
      address_(EndpointOf(acceptor_.local_endpoint())),
      serve_(std::move(serve)) {}

void TcpServer::Close() {
  if (closing_.exchange(true)) return;
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.cancel(ignored);
  });
}

int TcpServer::open_connections() const {
  return connections_.With([](const Connections& open) { return static_cast<int>(open.size()); });
}

Task<> TcpServer::Run() {
  while (!closing_) {
    boost::system::error_code error;
    tcp::socket socket(asio::make_strand(pool_.context()));
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      Add(std::move(socket));
    } else if (error != asio::error::operation_aborted) {
      co_await SleepFor(kAcceptRetryPause);
    }
  }
  AcceptEstablished();
  listening_ = false;
  const Time idle_end = Now() + kLastRequestTime;
  while (open_connections() > 0 && Now() < idle_end) co_await SleepFor(kClosePollInterval);
  while (open_connections() > 0) {
    const Connections open = connections_.With([](const Connections& all) { return all; });
    for (const auto& connection : open) connection->CloseIfIdle();
    co_await SleepFor(kClosePollInterval);
  }
}

// Closing the listening socket resets the connections that were established and not accepted.
void TcpServer::AcceptEstablished() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(pool_.context()));
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  acceptor_.close(error);
}

void TcpServer::Add(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto executor = socket.get_executor();
  const auto connection = std::make_shared<ServerConnection>(std::move(socket));
  connections_.With([&](Connections& open) { open.insert(connection); });
  const auto serve = [](std::shared_ptr<TcpServer> self,
                        std::shared_ptr<ServerConnection> served) -> Task<> {
    co_await self->serve_(*served);
    co_await served->CloseGracefully();
  };
  asio::co_spawn(executor, serve(shared_from_this(), connection),
                 [self = shared_from_this(), connection](const std::exception_ptr& failure) {
                   LogFailure(failure);
                   self->Remove(connection);
                 });
}

void TcpServer::Remove(const std::shared_ptr<ServerConnection>& connection) {
  connections_.With([&](Connections& open) { open.erase(connection); });
}

}  // namespace dn
