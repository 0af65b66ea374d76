// Accepting of connections and forwarding of their bytes.
#include "standins/internal/tcp_relay.h"

#include <boost/asio.hpp>
#include <future>

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

void TcpRelay::SetMode(RelayMode mode) {
  mode_ = mode;
  std::promise<void> done;
  asio::dispatch(acceptor_.get_executor(), [&] {
    UpdateAcceptor();
    done.set_value();
  });
  done.get_future().wait();
}

void TcpRelay::UpdateAcceptor() {
  const bool listens = mode_ != RelayMode::kUnreachable;
  if (listens == acceptor_.is_open()) return;
  boost::system::error_code error;
  if (!listens) {
    acceptor_.close(error);
    return;
  }
  const tcp::endpoint endpoint(asio::ip::make_address(address_.host), address_.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  asio::co_spawn(acceptor_.get_executor(), Accept(shared_from_this()), asio::detached);
}

void TcpRelay::BreakAtNextResponse(std::function<void()> before) {
  before_break_.With([&](std::function<void()>& due) { due = std::move(before); });
}

void TcpRelay::CloseConnections() {
  const auto sockets = sockets_.With([](auto& list) { return std::exchange(list, {}); });
  for (const auto& entry : sockets) {
    const auto socket = entry.lock();
    if (socket == nullptr) continue;
    asio::post(socket->get_executor(), [socket] {
      boost::system::error_code error;
      socket->close(error);
    });
  }
}

bool TcpRelay::BreaksNow() {
  const std::function<void()> before =
      before_break_.With([](std::function<void()>& due) { return std::exchange(due, nullptr); });
  if (!before) return false;
  before();
  return true;
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
  self->sockets_.With([&](auto& list) {
    list.push_back(client_socket);
    list.push_back(target_socket);
  });
  client_socket->set_option(tcp::no_delay(true), error);
  target_socket->set_option(tcp::no_delay(true), error);
  asio::co_spawn(executor, Forward(self, target_socket, client_socket, true), asio::detached);
  co_await Forward(self, client_socket, target_socket, false);
}

Task<> TcpRelay::Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<tcp::socket> from,
                         std::shared_ptr<tcp::socket> to, bool responses) {
  std::vector<char> buffer(64 * 1024);
  boost::system::error_code error;
  while (!error) {
    const std::size_t received = co_await from->async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    if (self->delay_ > Duration(0)) co_await SleepFor(self->delay_);
    if (responses && self->BreaksNow()) break;
    if (self->mode_ == RelayMode::kRefuse || self->mode_ == RelayMode::kUnreachable) break;
    if (self->mode_ == RelayMode::kBlackhole) continue;
    self->forwarded_bytes_.fetch_add(received);
    co_await asio::async_write(*to, asio::buffer(buffer.data(), received),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  from->close(error);
  to->close(error);
}

}  // namespace dn::standins
