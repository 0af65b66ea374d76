// Orders of a WorkerLink to a worker that does not respond in time.
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "platform/platform.h"
#include "task_worker/task_worker.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

// How many renewals failed.
struct DelegateCounts {
  int timeouts = 0;
  int broken = 0;
};

// Registers one worker and counts the responses to its starts.
class Delegate final : public WorkerLinkDelegate {
 public:
  explicit Delegate(Endpoint address) : address_(std::move(address)) {}

  std::optional<WorkerEntry> EntryOf(const WorkerId& worker) override {
    if (ended) return std::nullopt;
    if (drains_before_call) draining = true;
    return WorkerEntry({.id = worker, .service = "s", .address = address_, .draining = draining});
  }
  bool MayStart(const StartOrder& /*order*/) override { return !draining; }
  Renewal NextRenewal(const WorkerId& worker) override { return Renewal({.worker = worker}); }
  void OnRenewalResponse(const WorkerId& /*worker*/, const OrderResponse& /*response*/,
                         Time /*sent*/) override {}
  void OnRenewalFailure(const WorkerId& /*worker*/, bool timed_out) override {
    ++(timed_out ? timeouts : broken);
  }
  void OnStartResponse(const StartOrder& /*order*/,
                       const std::optional<OrderResponse>& response) override {
    if (!response) {
      ++unanswered;
    } else if ((*response)->refusal == OrderRefusal::kWithdrawn) {
      ++withdrawn;
    } else {
      ++answered;
    }
  }
  void OnStopResponse(const StopOrder& /*order*/,
                      const std::optional<OrderResponse>& /*response*/) override {
    ++stops;
  }
  void OnThrottleResponse(const ThrottleOrder& /*order*/,
                          const std::optional<OrderResponse>& /*response*/) override {}
  void OnFenced(const WorkerId& /*worker*/, FencingToken /*token*/) override {}

  std::atomic<int> timeouts{0};
  std::atomic<int> broken{0};
  DelegateCounts counts() const { return {.timeouts = timeouts, .broken = broken}; }
  std::atomic<int> unanswered{0};
  std::atomic<int> withdrawn{0};
  std::atomic<int> answered{0};
  std::atomic<int> stops{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> drains_before_call{false};  // Set `draining` when a call begins.
  std::atomic<bool> ended{false};               // The worker has no registration any more.

 private:
  const Endpoint address_;
};

// Guards against starts that leave seconds after they were decided, when the permission for them
// may have run out. Stops are sent however old they are.
TEST_CASE("a start that has waited for too long is not sent", "[task_worker]") {
  struct Case {
    std::string name;
    Duration response_time;
    int starts;
    bool all_sent;
  };
  const auto c =
      GENERATE(values<Case>({{"the worker responds", Duration(1), 40, true},
                             {"the worker is slow", Duration(50), 40, true},
                             {"the worker does not respond", Duration(4'000), 40, false}}));
  CAPTURE(c.name);
  testing::Runner runner;
  std::atomic<int> received{0};
  auto server = HttpServer::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                  [&](HttpCall call) -> Task<HttpReply> {
                                    if (call.path == "/api/run-start") ++received;
                                    co_await SleepFor(c.response_time);
                                    co_return HttpReply{.body = R"({"ClockMs":1})"};
                                  });
  REQUIRE(server);
  HttpClient http;
  DecisionLog log("n");
  SharedExchangeBudget budget{ExchangeCapacity()};
  const auto delegate = std::make_shared<Delegate>(server.value()->address());
  const auto link = std::make_shared<WorkerLink>(
      WorkerId{"w"}, delegate, platform::MakeWorkerProtocol(), http, budget, runner.pool(), log);
  for (int i = 0; i < c.starts; ++i) {
    link->Send(StartOrder({.worker = {"w"}, .task = {.job = static_cast<JobId>(i)}, .run = 1}));
  }
  link->Send(StopOrder({.worker = {"w"}, .task = {.job = 1}, .run = 1}));
  const Time end = Now() + Duration(6'000);
  const auto accounted_for = [&] {
    return delegate->answered + delegate->unanswered + delegate->withdrawn;
  };
  while ((delegate->stops == 0 || accounted_for() < c.starts) && Now() < end) {
    std::this_thread::sleep_for(Duration(10));
  }
  CHECK(delegate->stops == 1);
  CHECK(accounted_for() == c.starts);
  CHECK((received == c.starts) == c.all_sent);
  CHECK((delegate->answered == c.starts) == c.all_sent);
  // Four connections carry one order in their time limit of 1 s, which is also the limit of age.
  if (!c.all_sent) CHECK(received <= 8);
}

// Guards against starts that reach a worker long after its notice since they waited in its queue.
TEST_CASE("a start is not sent to a worker that has given notice since", "[task_worker]") {
  constexpr int kStarts = 12;
  constexpr int kSenders = 4;
  testing::Runner runner;
  std::atomic<int> received{0};
  auto server = HttpServer::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                  [&](HttpCall call) -> Task<HttpReply> {
                                    if (call.path == "/api/run-start") ++received;
                                    co_await SleepFor(Duration(300));
                                    co_return HttpReply{.body = R"({"ClockMs":1})"};
                                  });
  REQUIRE(server);
  HttpClient http;
  DecisionLog log("n");
  SharedExchangeBudget budget{ExchangeCapacity()};
  const auto delegate = std::make_shared<Delegate>(server.value()->address());
  const auto link = std::make_shared<WorkerLink>(
      WorkerId{"w"}, delegate, platform::MakeWorkerProtocol(), http, budget, runner.pool(), log);
  for (int i = 0; i < kStarts; ++i) {
    link->Send(StartOrder({.worker = {"w"}, .task = {.job = static_cast<JobId>(i)}, .run = 1}));
  }
  while (received < kSenders) std::this_thread::sleep_for(Duration(5));
  delegate->draining = true;
  link->Send(StopOrder({.worker = {"w"}, .task = {.job = 1}, .run = 1}));
  const Time end = Now() + Duration(5'000);
  while (delegate->answered + delegate->withdrawn < kStarts && Now() < end) {
    std::this_thread::sleep_for(Duration(10));
  }
  CHECK(received == kSenders);
  CHECK(delegate->withdrawn == kStarts - kSenders);
  runner.Stop();
}

// Guards against starts that are written although the permission for them has run out since they
// left the queue: a connection takes up to a second to open, and a process may stand still longer.
TEST_CASE("a start is not sent if its permission runs out while its call begins", "[task_worker]") {
  const bool connected_before = GENERATE(false, true);
  CAPTURE(connected_before);
  testing::Runner runner;
  std::atomic<int> received{0};
  auto server = HttpServer::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                  [&](HttpCall call) -> Task<HttpReply> {
                                    if (call.path == "/api/run-start") ++received;
                                    co_return HttpReply{.body = R"({"ClockMs":1})"};
                                  });
  REQUIRE(server);
  HttpClient http;
  DecisionLog log("n");
  SharedExchangeBudget budget{ExchangeCapacity()};
  const auto delegate = std::make_shared<Delegate>(server.value()->address());
  const auto link = std::make_shared<WorkerLink>(
      WorkerId{"w"}, delegate, platform::MakeWorkerProtocol(), http, budget, runner.pool(), log);
  const auto await = [&](const std::atomic<int>& count, int expected) {
    const Time end = Now() + Duration(5'000);
    while (count < expected && Now() < end) std::this_thread::sleep_for(Duration(5));
  };
  const auto stop = [&] {
    const int expected = delegate->stops + 1;
    link->Send(StopOrder({.worker = {"w"}, .task = {.job = 2}, .run = 1}));
    await(delegate->stops, expected);
  };
  if (connected_before) stop();
  delegate->drains_before_call = true;
  link->Send(StartOrder({.worker = {"w"}, .task = {.job = 1}, .run = 1}));
  await(delegate->withdrawn, 1);
  CHECK(received == 0);
  CHECK(delegate->withdrawn == 1);
  CHECK(delegate->unanswered == 0);
  stop();
  CHECK(delegate->stops == (connected_before ? 2 : 1));
  runner.Stop();
}

// Guards against a worker that is only slow to respond and counts as one whose process has ended:
// only a connection that breaks or is refused tells when that was.
TEST_CASE("a renewal that times out is told from one whose connection fails", "[task_worker]") {
  struct Case {
    std::string name;
    bool listens;
    int DelegateCounts::*more;
    int DelegateCounts::*none;
  };
  const auto c = GENERATE(values<Case>(
      {{"no process listens", false, &DelegateCounts::broken, &DelegateCounts::timeouts},
       {"the worker does not respond", true, &DelegateCounts::timeouts, &DelegateCounts::broken}}));
  CAPTURE(c.name);
  testing::Runner runner;
  auto server = HttpServer::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                  [](HttpCall /*call*/) -> Task<HttpReply> {
                                    co_await SleepFor(Duration(4'000));
                                    co_return HttpReply{};
                                  });
  REQUIRE(server);
  // A port below the range of those that are given out, without a listener.
  const Endpoint nobody{.host = "127.0.0.1", .port = 9};
  HttpClient http;
  DecisionLog log("n");
  SharedExchangeBudget budget{ExchangeCapacity()};
  const auto delegate = std::make_shared<Delegate>(c.listens ? server.value()->address() : nobody);
  const auto link = std::make_shared<WorkerLink>(
      WorkerId{"w"}, delegate, platform::MakeWorkerProtocol(), http, budget, runner.pool(), log);
  runner.pool().Spawn(link->Run());
  const Time end = Now() + Duration(5'000);
  while (delegate->counts().*c.more == 0 && Now() < end) {
    std::this_thread::sleep_for(Duration(10));
  }
  CHECK(delegate->counts().*c.more > 0);
  CHECK(delegate->counts().*c.none == 0);
  delegate->ended = true;
  runner.Stop();
}

}  // namespace
}  // namespace dn
