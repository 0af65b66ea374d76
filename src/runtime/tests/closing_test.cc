// What the peer of a socket sees when that is closed.
#include "runtime/internal/closing.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "tests/support/test_connection.h"

namespace dn {
namespace {

using boost::asio::ip::tcp;
using SocketPtr = std::unique_ptr<tcp::socket>;

// Guards against calls that are carried out long after they were given up: the destructor of a
// socket on which the option was set through asio turns it off again and closes plainly.
TEST_CASE("a socket that is not closed in order is reset", "[runtime][http]") {
  struct Case {
    std::string name;
    void (*close)(SocketPtr& socket);
    std::string_view end;
  };
  const auto c = GENERATE(values<Case>(
      {{"closed", [](SocketPtr& socket) { socket->close(); }, testing::kReset},
       {"destroyed", [](SocketPtr& socket) { socket.reset(); }, testing::kReset},
       {"closed in order", [](SocketPtr& socket) { CloseInOrder(*socket); }, testing::kClosed}}));
  CAPTURE(c.name);
  testing::TestServer server;
  boost::asio::io_context context;
  auto socket = std::make_unique<tcp::socket>(context);
  const Endpoint to = server.address();
  socket->connect(tcp::endpoint(boost::asio::ip::make_address(to.host), to.port));
  ResetWhenClosed(*socket);
  boost::asio::write(*socket, boost::asio::buffer("call", 4));
  const auto connection = server.Accept();
  REQUIRE(connection->ReadUntil("call") == "call");
  c.close(socket);
  CHECK(connection->ReadUntil("") == c.end);
}

}  // namespace
}  // namespace dn
