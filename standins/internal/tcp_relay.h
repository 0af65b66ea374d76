// TCP relay that simulates the link between two regions. Delays, refuses, discards or holds up
// the traffic, and counts the forwarded bytes.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "runtime/runtime.h"

namespace dn::standins {

// kRefuse: closes connections. kBlackhole: accepts connections, but discards all bytes, so that
// both ends time out. kUnreachable: nothing listens; open connections are closed.
// kPartition: nothing passes, and neither end learns of what the other one does meanwhile. When the
// mode becomes kPass, open connections pass on what was sent on them, in order, even if the sender
// has closed its side since, as a sender's kernel does that repeats unacknowledged bytes. If the
// sender has reset the connection, its bytes are dropped and the other end is disconnected.
// Connections that were opened during the partition are closed and never carry anything.
enum class RelayMode { kPass, kRefuse, kBlackhole, kUnreachable, kPartition };

// Bytes that a partition has held up, as they were received in one piece.
struct HeldPiece {
  Time received{};  // By the relay, from the sender.
  std::size_t bytes = 0;
  std::optional<Time> passed_on;  // Nothing if they were dropped.

  friend auto operator<=>(const HeldPiece&, const HeldPiece&) = default;
};

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
  // Open connections carry nothing from now on, and neither end learns that: the target has lost
  // its power.
  void SilenceConnections();
  // Bytes forwarded in both directions.
  std::uint64_t bytes() const { return forwarded_bytes_.load(); }
  // Bytes received for the target, forwarded or not.
  std::uint64_t request_bytes() const { return request_bytes_.load(); }
  // What was sent to the target and held up by partitions, except what is still held up.
  std::vector<HeldPiece> HeldRequests() const;

 private:
  // Bytes that were received in one piece and are not sent yet.
  struct Piece {
    std::vector<char> bytes;
    Time received{};
    bool held = false;  // Whether a partition has held them up.
  };
  // One direction of a connection. Used on the executor of its sockets.
  struct Direction {
    std::shared_ptr<asio::ip::tcp::socket> from;
    std::shared_ptr<asio::ip::tcp::socket> to;
    bool responses = false;     // From the target.
    bool silenced = false;      // Its bytes are discarded.
    std::deque<Piece> pending;  // In the order of their arrival.
    bool sending = false;       // SendPending() is under way.
    bool ended = false;         // Nothing more is received.
  };

  TcpRelay(WorkerPool& pool, asio::ip::tcp::acceptor acceptor, Endpoint target, Duration delay);
  static Task<> Accept(std::shared_ptr<TcpRelay> self);
  static Task<> RelayConnection(std::shared_ptr<TcpRelay> self, asio::ip::tcp::socket client);
  // Receives the bytes of one direction until either connection is closed, and forwards them.
  static Task<> Forward(std::shared_ptr<TcpRelay> self, std::shared_ptr<Direction> direction);
  // Sends the received bytes, as far as the mode permits, and closes the connection after the last
  // ones. At most one call per direction sends at a time; others return at once.
  static Task<> SendPending(std::shared_ptr<TcpRelay> self, std::shared_ptr<Direction> direction);
  static void DropPending(TcpRelay& self, Direction& direction);
  // Closes the connection of the direction.
  static void Close(TcpRelay& self, Direction& direction);
  // Runs `use` for each direction of the open connections, on its executor.
  void Post(void (*use)(const std::shared_ptr<TcpRelay>&, const std::shared_ptr<Direction>&));
  void RecordHeld(const Direction& direction, const Piece& piece, std::optional<Time> passed_on);
  // Opens or closes the acceptor according to the mode. Closes the connections that were opened
  // during a partition, if it is over. Runs on the executor of the acceptor.
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
  std::atomic<std::uint64_t> request_bytes_{0};
  // Both directions of each open connection. Keeps what a partition holds up.
  Shared<std::vector<std::shared_ptr<Direction>>, LockRank::kAppends> directions_;
  // Connections that were opened during a partition. Used on the executor of the acceptor.
  std::vector<asio::ip::tcp::socket> unheard_;
  Shared<std::vector<HeldPiece>, LockRank::kEvents> held_requests_;
  Shared<std::function<void()>, LockRank::kRecords> before_break_;  // Set while a break is due.
};

}  // namespace dn::standins
