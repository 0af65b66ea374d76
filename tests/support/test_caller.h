// Connection of a caller, byte by byte, for tests of what a server does with incomplete requests.
#pragma once

#include "tests/support/test_connection.h"

namespace dn::testing {

class TestCaller : public TestConnection {
 public:
  void Connect(const Endpoint& to);
};

// Waits until connections to `address` are refused. Returns false after 5 s.
bool WaitUntilRefused(const Endpoint& address);

}  // namespace dn::testing
