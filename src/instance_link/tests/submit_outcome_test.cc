// What the instance that forwards a job concludes from the response of another instance.
#include <catch2/catch.hpp>

#include "instance_link/instance_link.h"
#include "standins/standins.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

Task<SubmitOutcome> Submit(Endpoint to, HttpClient& http) {
  RemoteInstance instance(std::move(to), http);
  const AcceptedJob job({.id = 1, .spec = JobSpec({.steps = {StepSpec()}})});
  co_return co_await instance.Submit(job, Now() + Duration(1'000));
}

// Guards against a refusal of a job that the other instance has stored or may have stored.
TEST_CASE("a job counts as refused only if the other instance did nothing", "[instance_link]") {
  using standins::RelayMode;
  struct Case {
    std::string name;
    int status;                       // Response of the other instance.
    std::optional<RelayMode> broken;  // The response is lost, and then the link has this mode.
    SubmitOutcome outcome;
  };
  const auto c = GENERATE(values<Case>({
      {"accepted", 200, {}, SubmitOutcome::kAccepted},
      {"refused", 503, {}, SubmitOutcome::kRefused},
      {"not decoded", 404, {}, SubmitOutcome::kRefused},
      {"unknown", 504, {}, SubmitOutcome::kUnknown},
      {"unexpected status", 500, {}, SubmitOutcome::kUnknown},
      {"response lost", 200, RelayMode::kPass, SubmitOutcome::kUnknown},
      {"response lost, then not listening", 200, RelayMode::kUnreachable, SubmitOutcome::kUnknown},
      {"response lost, then closes connections", 200, RelayMode::kRefuse, SubmitOutcome::kUnknown},
  }));
  const bool connected_before = GENERATE(false, true);
  CAPTURE(c.name, connected_before);
  testing::Runner runner;
  std::atomic<int> status = 200;
  const auto server = HttpServer::Start(
      runner.pool(), {.host = "127.0.0.1", .port = 0},
      [&](HttpCall) -> Task<HttpReply> { co_return HttpReply{.status = status}; });
  REQUIRE(server);
  const auto relay = standins::TcpRelay::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                               server.value()->address(), Duration(0));
  REQUIRE(relay);
  HttpClient http;
  const Endpoint to = relay.value()->address();
  if (connected_before) REQUIRE(runner.Wait(Submit(to, http)) == SubmitOutcome::kAccepted);
  status = c.status;
  if (c.broken)
    relay.value()->BreakAtNextResponse([&] {
      status = 503;
      relay.value()->SetMode(*c.broken);
    });
  CHECK(runner.Wait(Submit(to, http)) == c.outcome);
  runner.Stop();
}

}  // namespace
}  // namespace dn
