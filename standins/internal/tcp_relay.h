// TCP relay that simulates the link between two regions. Delays, refuses or discards the
// traffic, and counts the forwarded bytes.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "runtime/runtime.h"

namespace dn::standins {

// kRefuse: closes connections. kBlackhole: accepts connections, but discards all bytes, so that
// both ends time out.
enum class RelayMode { kPass, kRefuse, kBlackhole };

// Relay of one listening address to one target. Thread-safe.
class TcpRelay {
 public:
  // Starts to accept connections. `one_way_delay` (in ms) is added in each direction.
  // Error: the address is not available.
  static Result<std::shared_ptr<TcpRelay>> Start(WorkerPool& pool, const Endpoint& listen,
                                                 const Endpoint& target, Duration one_way_delay);
  Endpoint address() const { return address_; }
  // Applies to new and to open connections.
  void SetMode(RelayMode mode) { mode_ = mode; }
  // Bytes forwarded in both directions.
  std::uint64_t bytes() const { return forwarded_bytes_.load(); }

 private:
  TcpRelay(WorkerPool& pool, asio::ip::tcp::acceptor acceptor, Endpoint target, Duration delay);
  static Task<> Accept(std::shared_ptr<TcpRelay> self);
  static Task<> RelayConnection(std::shared_ptr<TcpRelay> self, asio::ip::tcp::socket client);
  // Forwards the bytes of one direction until either connection is closed.
  static Task<> Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<asio::ip::tcp::socket> from,
                        std::shared_ptr<asio::ip::tcp::socket> to);

  WorkerPool& pool_;
  asio::ip::tcp::acceptor acceptor_;
  const Endpoint target_;
  const Duration delay_;
  const Endpoint address_;
  std::atomic<RelayMode> mode_{RelayMode::kPass};
  std::atomic<std::uint64_t> forwarded_bytes_{0};
};

}  // namespace dn::standins
