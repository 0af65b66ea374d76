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
  const RelayMode former = mode_.exchange(mode);
  std::promise<void> done;
  asio::dispatch(acceptor_.get_executor(), [&] {
    UpdateAcceptor();
    done.set_value();
  });
  done.get_future().wait();
  if (former != RelayMode::kPartition || mode == former) return;
  Post([](const auto& self, const auto& direction) {
    asio::co_spawn(direction->from->get_executor(), SendPending(self, direction), asio::detached);
  });
}

void TcpRelay::Post(void (*use)(const std::shared_ptr<TcpRelay>&,
                                const std::shared_ptr<Direction>&)) {
  const auto directions = directions_.With([](const auto& list) { return list; });
  for (const auto& direction : directions) {
    asio::post(direction->from->get_executor(),
               [self = shared_from_this(), direction, use] { use(self, direction); });
  }
}

std::vector<HeldPiece> TcpRelay::HeldRequests() const {
  return held_requests_.With([](const auto& list) { return list; });
}

void TcpRelay::UpdateAcceptor() {
  if (mode_ != RelayMode::kPartition) unheard_.clear();
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
  Post([](const auto& /*self*/, const auto& direction) {
    boost::system::error_code error;
    direction->from->close(error);
  });
}

void TcpRelay::SilenceConnections() {
  Post([](const auto& /*self*/, const auto& direction) { direction->silenced = true; });
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
    if (self->mode_ == RelayMode::kPartition) {
      self->unheard_.push_back(std::move(socket));
      continue;
    }
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
  const auto requests = std::make_shared<Direction>();
  requests->from = client_socket;
  requests->to = target_socket;
  const auto responses = std::make_shared<Direction>();
  responses->from = target_socket;
  responses->to = client_socket;
  responses->responses = true;
  self->directions_.With([&](auto& list) {
    list.push_back(requests);
    list.push_back(responses);
  });
  asio::co_spawn(executor, Forward(self, responses), asio::detached);
  co_await Forward(self, requests);
}

Task<> TcpRelay::Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<Direction> direction) {
  std::vector<char> buffer(64 * 1024);
  boost::system::error_code error;
  while (!error) {
    const std::size_t received = co_await direction->from->async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    const Time received_at = Now();
    if (!direction->responses) self->request_bytes_.fetch_add(received);
    if (self->delay_ > Duration(0)) co_await SleepFor(self->delay_);
    if (direction->responses && self->BreaksNow()) break;
    direction->pending.push_back(
        {.bytes = std::vector<char>(buffer.data(), buffer.data() + received),
         .received = received_at,
         .held = self->mode_ == RelayMode::kPartition});
    co_await SendPending(self, direction);
  }
  // A sender that has reset the connection repeats no bytes; one that has closed it does.
  if (error == asio::error::connection_reset) DropPending(*self, *direction);
  direction->ended = true;
  co_await SendPending(self, direction);
}

Task<> TcpRelay::SendPending(std::shared_ptr<TcpRelay> self, std::shared_ptr<Direction> direction) {
  if (direction->sending) co_return;
  direction->sending = true;
  boost::system::error_code error;
  while (!error && !direction->pending.empty() && self->mode_ != RelayMode::kPartition) {
    const RelayMode mode = self->mode_;
    if (mode == RelayMode::kRefuse || mode == RelayMode::kUnreachable) {
      error = asio::error::connection_refused;
      break;
    }
    const Piece piece = std::move(direction->pending.front());
    direction->pending.pop_front();
    if (mode == RelayMode::kBlackhole || direction->silenced) {
      self->RecordHeld(*direction, piece, std::nullopt);
      continue;
    }
    self->forwarded_bytes_.fetch_add(piece.bytes.size());
    co_await asio::async_write(*direction->to, asio::buffer(piece.bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    self->RecordHeld(*direction, piece, error ? std::nullopt : std::optional<Time>(Now()));
  }
  direction->sending = false;
  if (!error && (!direction->ended || self->mode_ == RelayMode::kPartition)) co_return;
  if (direction->silenced && direction->responses) co_return;
  DropPending(*self, *direction);
  Close(*self, *direction);
}

void TcpRelay::Close(TcpRelay& self, Direction& direction) {
  boost::system::error_code error;
  direction.from->close(error);
  direction.to->close(error);
  self.directions_.With([&](auto& list) {
    std::erase_if(list, [&](const auto& other) {
      return other->from == direction.from || other->from == direction.to;
    });
  });
}

void TcpRelay::DropPending(TcpRelay& self, Direction& direction) {
  for (const Piece& piece : std::exchange(direction.pending, {})) {
    self.RecordHeld(direction, piece, std::nullopt);
  }
}

void TcpRelay::RecordHeld(const Direction& direction, const Piece& piece,
                          std::optional<Time> passed_on) {
  if (!piece.held || direction.responses) return;
  held_requests_.With([&](auto& list) {
    list.push_back(
        {.received = piece.received, .bytes = piece.bytes.size(), .passed_on = passed_on});
  });
}

}  // namespace dn::standins
