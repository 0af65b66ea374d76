// Calls between instances that no instance of this project sends.
#include <catch2/catch.hpp>

#include "sibling/sibling.h"

namespace dn {
namespace {

// Guards against an instance that ends because of one response: the library's client calls
// std::terminate for text that is nested more than 1,000 deep.
TEST_CASE("odd calls get an error response", "[sibling][rpc]") {
  const auto call = GENERATE(
      values<std::string>({"", "?", "\x80\xff", "null", "[]", "7", std::string(100'000, '['),
                           R"({"jsonrpc":"2.0","id":1,"method":"none","params":{}})",
                           R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
                           R"({"jsonrpc":"2.0","id":1,"method":"m","params":7})",
                           R"({"jsonrpc":"2.0","id":1e999,"method":"m","params":{}})",
                           R"({"jsonrpc":"2.0","id":1,"method":"m","params":{"a":)" +
                               std::string(400'000, '9') + "}}"}));
  CAPTURE(call.substr(0, 60));
  RpcDispatcher dispatcher;
  dispatcher.Bind("m", [](const std::string&) { return "{}"; });
  std::string response;
  CHECK_NOTHROW(response = dispatcher.Dispatch(call));
  CHECK(response.find("error") != std::string::npos);
  CHECK_NOTHROW(DecodeRpcResponse(call));
}

}  // namespace
}  // namespace dn
