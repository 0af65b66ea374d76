// Calls of the HTTP client to addresses that nobody can listen on.
#include <catch2/catch.hpp>

#include "runtime/runtime.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

Task<std::error_code> ErrorOfCall(HttpClient& client, Endpoint to) {
  HttpCall call{.method = HttpMethod::kGet, .path = "/", .query = {}, .body = {}};
  const auto reply =
      co_await client.Call(std::move(to), std::move(call), Duration(500), TrafficKind::kWorker);
  co_return reply ? std::error_code() : reply.error();
}

// Guards against exceptions that end the calling coroutine: a worker whose registration
// had a host of 64 KB was never called again.
TEST_CASE("calls to an unusable address are reported as unreachable", "[runtime][http]") {
  const auto host =
      GENERATE(values<std::string>({"", "worker.example", "127.0.0.256", "[::1]",
                                    std::string(70'000, 'h'), std::string(1'000'000, 'h')}));
  CAPTURE(host.size());
  testing::Runner runner;
  HttpClient client;
  const Endpoint to{.host = host, .port = 1};
  CHECK(runner.Wait(ErrorOfCall(client, to)) == Errc::kUnreachable);
}

}  // namespace
}  // namespace dn
