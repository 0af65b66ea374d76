// Accepting of connections and forwarding of their bytes.
#include "standins/internal/tcp_relay.h"

#include <boost/asio.hpp>

namespace dn::standins {

using asio::ip::tcp;

TcpRelay::TcpRelay(WorkerPool& pool, tcp::acceptor acceptor, Endpoint target, Duration delay)
    : pool_(pool),
      acceptor_(std::move(acceptor)),
      target_(std::move(target)),
      delay_(delay),
      address_{.host = acceptor_.local_endpoint().address().to_string(),
               .port = acceptor_.local_endpoint().port()} {}

Result<std::shared_ptr<TcpRelay>> TcpRelay::Start(WorkerPool& pool, const Endpoint& listen,
                                                  const Endpoint& target, Duration one_way_delay) {
  auto acceptor = Listen(pool, listen);
  if (!acceptor) return acceptor.error();
  const auto executor = acceptor.value().get_executor();
  std::shared_ptr<TcpRelay> relay(
      new TcpRelay(pool, std::move(acceptor).value(), target, one_way_delay));
  asio::co_spawn(executor, Accept(relay), asio::detached);
  return relay;
}

Task<> TcpRelay::Accept(std::shared_ptr<TcpRelay> self) {
  while (true) {
    tcp::socket socket(asio::make_strand(self->pool_.context()));
    boost::system::error_code error;
    co_await self->acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error || self->mode_ == RelayMode::kRefuse) continue;
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, RelayConnection(self, std::move(socket)), asio::detached);
  }
}

Task<> TcpRelay::RelayConnection(std::shared_ptr<TcpRelay> self, tcp::socket client) {
  const auto executor = co_await asio::this_coro::executor;
  const auto client_socket = std::make_shared<tcp::socket>(std::move(client));
  const auto target_socket = std::make_shared<tcp::socket>(executor);
  boost::system::error_code error;
  const tcp::endpoint target(asio::ip::make_address(self->target_.host), self->target_.port);
  co_await target_socket->async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  client_socket->set_option(tcp::no_delay(true), error);
  target_socket->set_option(tcp::no_delay(true), error);
  asio::co_spawn(executor, Forward(self, target_socket, client_socket), asio::detached);
  co_await Forward(self, client_socket, target_socket);
}

Task<> TcpRelay::Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<tcp::socket> from,
                         std::shared_ptr<tcp::socket> to) {
  std::vector<char> buffer(64 * 1024);
  boost::system::error_code error;
  while (!error) {
    const std::size_t received = co_await from->async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    if (self->delay_ > Duration(0)) co_await SleepFor(self->delay_);
    if (self->mode_ == RelayMode::kRefuse) break;
    if (self->mode_ == RelayMode::kBlackhole) continue;
    self->forwarded_bytes_.fetch_add(received);
    co_await asio::async_write(*to, asio::buffer(buffer.data(), received),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  from->close(error);
  to->close(error);
}

}  // namespace dn::standins
