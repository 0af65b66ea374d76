// TCP relay that simulates the link between two regions. Delays, refuses or discards the
// traffic, and counts the forwarded bytes.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "runtime/runtime.h"

namespace dn::standins {

// kRefuse: closes connections. kBlackhole: accepts connections, but discards all bytes, so that
// both ends time out. kUnreachable: nothing listens; open connections are closed.
enum class RelayMode { kPass, kRefuse, kBlackhole, kUnreachable };

// Relay of one listening address to one target. Thread-safe.
class TcpRelay : public std::enable_shared_from_this<TcpRelay> {
 public:
  // Starts to accept connections. `one_way_delay` (in ms) is added in each direction.
  // Error: the address is not available.
  static Result<std::shared_ptr<TcpRelay>> Start(WorkerPool& pool, const Endpoint& listen,
                                                 const Endpoint& target, Duration one_way_delay);
  Endpoint address() const { return address_; }
  // Applies to new and to open connections. Has taken effect for new ones when it returns. Must not
  // be called by the only thread of the pool.
  void SetMode(RelayMode mode);
  // Closes a connection in place of the next response that the target sends on it, once. Calls
  // `before` just before that, when the target has processed the request.
  void BreakAtNextResponse(std::function<void()> before);
  // Closes the open connections.
  void CloseConnections();
  // Bytes forwarded in both directions.
  std::uint64_t bytes() const { return forwarded_bytes_.load(); }

 private:
  TcpRelay(WorkerPool& pool, asio::ip::tcp::acceptor acceptor, Endpoint target, Duration delay);
  static Task<> Accept(std::shared_ptr<TcpRelay> self);
  static Task<> RelayConnection(std::shared_ptr<TcpRelay> self, asio::ip::tcp::socket client);
  // Forwards the bytes of one direction until either connection is closed.
  static Task<> Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<asio::ip::tcp::socket> from,
                        std::shared_ptr<asio::ip::tcp::socket> to, bool responses);
  // Opens or closes the acceptor according to the mode. Runs on the executor of the acceptor.
  void UpdateAcceptor();
  // Returns whether the connection is to be closed in place of the response that has arrived.
  bool BreaksNow();

  WorkerPool& pool_;
  asio::ip::tcp::acceptor acceptor_;
  const Endpoint target_;
  const Duration delay_;
  const Endpoint address_;
  std::atomic<RelayMode> mode_{RelayMode::kPass};
  std::atomic<std::uint64_t> forwarded_bytes_{0};
  // Sockets of the open connections; may contain closed ones.
  Shared<std::vector<std::weak_ptr<asio::ip::tcp::socket>>, LockRank::kAppends> sockets_;
  Shared<std::function<void()>, LockRank::kRecords> before_break_;  // Set while a break is due.
};

}  // namespace dn::standins
