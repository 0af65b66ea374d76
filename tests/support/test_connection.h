// A connection of a test, byte by byte, and a server that accepts such connections: for tests of
// what a peer does with incomplete messages, and of how it closes connections.
#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "core/core.h"

namespace dn::testing {

// Ends of a connection, as TestConnection::ReadUntil appends them.
inline constexpr std::string_view kClosed = ", closed";
inline constexpr std::string_view kReset = ", reset";
inline constexpr std::string_view kSilent = ", silent";

class TestConnection {
 public:
  // Ignores errors: ReadUntil reports the end of the connection.
  void Send(const std::string& bytes);
  // Reads until `end` has been received, or to the end of the connection if `end` is empty. Appends
  // kClosed or kReset if the connection ends, and kSilent if nothing is received for 5 s.
  std::string ReadUntil(const std::string& end);

 protected:
  friend class TestServer;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
};

// Listens on a free port of 127.0.0.1.
class TestServer {
 public:
  Endpoint address() const;
  // From now on, a connection opens only while no other one waits for Accept.
  void OpenOneAtATime() { acceptor_.listen(0); }
  // Waits for the next connection. If none comes within 5 s, returns one that stays silent.
  std::unique_ptr<TestConnection> Accept();

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_{context_, {boost::asio::ip::address_v4::loopback(), 0}};
};

}  // namespace dn::testing
