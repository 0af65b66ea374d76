// Connection of a caller, byte by byte, for tests of what a server does with incomplete requests.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <string>

#include "core/core.h"

namespace dn::testing {

class TestCaller {
 public:
  void Connect(const Endpoint& to);
  // Ignores errors: ReadUntil reports the end of the connection.
  void Send(const std::string& bytes);
  // Reads until `end` has been received, or to the end of the connection if `end` is empty. Appends
  // ", closed" or ", reset" if the connection ends, and ", silent" if nothing is received for 5 s.
  std::string ReadUntil(const std::string& end);

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
};

// Waits until connections to `address` are refused. Returns false after 5 s.
bool WaitUntilRefused(const Endpoint& address);

}  // namespace dn::testing
