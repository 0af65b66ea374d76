// What a relay carries when a partition ends.
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "standins/standins.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

using asio::ip::tcp;
using standins::RelayMode;

constexpr Duration kCut{100};
// Longer than the bytes take on a busy machine.
constexpr Duration kArrivalLimit{2'000};

// A relay between a client and a target, with one open connection.
class Link {
 public:
  Link() {
    const Endpoint target{.host = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
    relay = standins::TcpRelay::Start(runner_.pool(), {.host = "127.0.0.1", .port = 0}, target,
                                      Duration(0))
                .value();
    client.connect(AddressOfRelay());
    acceptor_.accept(server);
  }
  tcp::endpoint AddressOfRelay() const {
    return {asio::ip::make_address(relay->address().host), relay->address().port};
  }
  // Returns what arrives at a socket until `limit` has passed or the connection ends.
  static std::string Receive(tcp::socket& socket, Duration limit, bool* ended) {
    socket.non_blocking(true);
    std::string received;
    std::array<char, 100> buffer{};
    const Time deadline = Now() + limit;
    while (!*ended && Now() < deadline) {
      boost::system::error_code error;
      received.append(buffer.data(), socket.read_some(asio::buffer(buffer), error));
      *ended = error && error != asio::error::would_block;
      if (error) std::this_thread::sleep_for(Duration(1));
    }
    return received;
  }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  Runner runner_;

 public:
  tcp::socket client{context_};
  tcp::socket server{context_};
  std::shared_ptr<standins::TcpRelay> relay;
};

void KeepOpen(tcp::socket& /*socket*/) {}
void ClosePlainly(tcp::socket& socket) { socket.close(); }
void CloseWithReset(tcp::socket& socket) {
  socket.set_option(tcp::socket::linger(true, 0));
  socket.close();
}

// Guards against a stand-in for a partition that loses what a real one delivers, or the reverse.
TEST_CASE("a relay passes on what a partition held up, unless the sender has reset the connection",
          "[standins]") {
  struct Case {
    std::string name;
    void (*end)(tcp::socket&);  // What the sender does during the partition.
    std::string arrives;
    bool ends;  // Whether the receiver sees an end of the connection after the partition.
  };
  const auto c = GENERATE(values<Case>({{"open", KeepOpen, "first second", false},
                                        {"closed", ClosePlainly, "first second", true},
                                        {"reset", CloseWithReset, "", true}}));
  const bool to_target = GENERATE(true, false);
  CAPTURE(c.name, to_target);
  Link link;
  tcp::socket& sender = to_target ? link.client : link.server;
  tcp::socket& receiver = to_target ? link.server : link.client;
  link.relay->SetMode(RelayMode::kPartition);
  asio::write(sender, asio::buffer(std::string("first ")));
  std::this_thread::sleep_for(kCut);
  asio::write(sender, asio::buffer(std::string("second")));
  std::this_thread::sleep_for(kCut);
  c.end(sender);
  bool ended = false;
  CHECK(Link::Receive(receiver, kCut, &ended).empty());
  CHECK(!ended);
  CHECK(link.relay->HeldRequests().size() ==
        (to_target && c.arrives.empty() ? std::size_t{2} : std::size_t{0}));
  link.relay->SetMode(RelayMode::kPass);
  CHECK(Link::Receive(receiver, c.ends ? kArrivalLimit : kCut * 2, &ended) == c.arrives);
  CHECK(ended == c.ends);
  const auto held = link.relay->HeldRequests();
  CHECK(held.size() == (to_target ? std::size_t{2} : std::size_t{0}));
  for (const standins::HeldPiece& piece : held) {
    CHECK(piece.passed_on.has_value() == !c.arrives.empty());
  }
}

// Guards against calls that arrive although their connection was never established.
TEST_CASE("a connection that is opened during a partition carries nothing", "[standins]") {
  Link link;
  link.relay->SetMode(RelayMode::kPartition);
  tcp::socket late(link.client.get_executor());
  late.connect(link.AddressOfRelay());
  asio::write(late, asio::buffer(std::string("never")));
  bool ended = false;
  CHECK(Link::Receive(late, kCut, &ended).empty());
  CHECK(!ended);
  link.relay->SetMode(RelayMode::kPass);
  CHECK(Link::Receive(late, kArrivalLimit, &ended).empty());
  CHECK(ended);
  bool server_ended = false;
  CHECK(Link::Receive(link.server, kCut, &server_ended).empty());
  CHECK(!server_ended);
  CHECK(link.relay->HeldRequests().empty());
}

}  // namespace
}  // namespace dn::testing
