// Connecting of a test caller.
#include "tests/support/test_caller.h"

#include <thread>

namespace dn::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Fails a test whose server does not stop listening.
constexpr Duration kTimeout{5'000};
// Pause between attempts to connect.
constexpr Duration kConnectPause{5};

tcp::endpoint AddressOf(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

}  // namespace

void TestCaller::Connect(const Endpoint& to) { socket_.connect(AddressOf(to)); }

bool WaitUntilRefused(const Endpoint& address) {
  const Time deadline = Now() + kTimeout;
  boost::system::error_code error;
  while (error != asio::error::connection_refused && Now() < deadline) {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(AddressOf(address), error);
    if (!error) std::this_thread::sleep_for(kConnectPause);
  }
  return error == asio::error::connection_refused;
}

}  // namespace dn::testing
