// Blocking I/O of a test connection.
#include "tests/support/test_connection.h"

#include <poll.h>

#include <array>

namespace dn::testing {
namespace {

namespace asio = boost::asio;

// Fails a test whose peer neither sends, closes nor connects.
constexpr Duration kTimeout{5'000};

// Waits until `socket` is readable. Returns false after kTimeout.
bool WaitReadable(int socket) {
  pollfd readable{.fd = socket, .events = POLLIN, .revents = 0};
  return ::poll(&readable, 1, static_cast<int>(kTimeout.count())) == 1;
}

}  // namespace

void TestConnection::Send(const std::string& bytes) {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(bytes), ignored);
}

std::string TestConnection::ReadUntil(const std::string& end) {
  std::string text;
  std::array<char, 4096> buffer{};
  while (end.empty() || !text.ends_with(end)) {
    if (!WaitReadable(socket_.native_handle())) return text.append(kSilent);
    boost::system::error_code error;
    text.append(buffer.data(), socket_.read_some(asio::buffer(buffer), error));
    if (error) return text.append(error == asio::error::eof ? kClosed : kReset);
  }
  return text;
}

Endpoint TestServer::address() const {
  const auto bound = acceptor_.local_endpoint();
  return {.host = bound.address().to_string(), .port = bound.port()};
}

std::unique_ptr<TestConnection> TestServer::Accept() {
  auto connection = std::make_unique<TestConnection>();
  if (WaitReadable(acceptor_.native_handle())) acceptor_.accept(connection->socket_);
  return connection;
}

}  // namespace dn::testing
