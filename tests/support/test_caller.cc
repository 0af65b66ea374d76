// Blocking I/O of a test caller.
#include "tests/support/test_caller.h"

#include <poll.h>

#include <thread>

namespace dn::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Fails a test whose server neither responds nor closes.
constexpr Duration kTimeout{5'000};
// Pause between attempts to connect.
constexpr Duration kConnectPause{5};

tcp::endpoint AddressOf(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

}  // namespace

void TestCaller::Connect(const Endpoint& to) { socket_.connect(AddressOf(to)); }

void TestCaller::Send(const std::string& bytes) {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(bytes), ignored);
}

std::string TestCaller::ReadUntil(const std::string& end) {
  std::string text;
  std::array<char, 4096> buffer{};
  while (end.empty() || !text.ends_with(end)) {
    pollfd readable{.fd = socket_.native_handle(), .events = POLLIN, .revents = 0};
    if (::poll(&readable, 1, static_cast<int>(kTimeout.count())) != 1) return text + ", silent";
    boost::system::error_code error;
    text.append(buffer.data(), socket_.read_some(asio::buffer(buffer), error));
    if (error) return text + (error == asio::error::eof ? ", closed" : ", reset");
  }
  return text;
}

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
