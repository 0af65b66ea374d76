// What the HTTP client reports of calls that fail.
#include <catch2/catch.hpp>
#include <deque>

#include "runtime/runtime.h"
#include "standins/standins.h"
#include "tests/support/runner.h"
#include "tests/support/test_connection.h"

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

// A server behind a relay that can break connections. Counts the calls that it has processed.
class RelayedServer {
 public:
  RelayedServer() {
    server_ =
        HttpServer::Start(runner.pool(), {.host = "127.0.0.1", .port = 0}, [this](HttpCall call) {
          return Handle(std::move(call));
        }).value();
    relay = standins::TcpRelay::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                      server_->address(), Duration(0))
                .value();
  }
  ~RelayedServer() { runner.Stop(); }
  RelayedServer(const RelayedServer&) = delete;
  RelayedServer& operator=(const RelayedServer&) = delete;

  // Returns the status of the response to a call, or the error.
  std::pair<int, std::error_code> Call(bool retry) { return Begin(retry).get(); }
  std::future<std::pair<int, std::error_code>> Begin(bool retry) {
    HttpCall call{.method = HttpMethod::kPost, .path = "/", .query = {}, .body = {}};
    call.retry_on_broken_connection = retry;
    return runner.Begin(OutcomeOf(std::move(call)));
  }
  // `may_write` of the calls that begin from now on.
  void Permit(std::function<bool()> may_write) { may_write_ = std::move(may_write); }

  testing::Runner runner;
  HttpClient client;
  std::shared_ptr<standins::TcpRelay> relay;
  std::atomic<int> processed{0};
  Duration response_time{0};
  CallTrace* trace = nullptr;  // Of the calls that begin from now on; set it for one at a time.

 private:
  Task<std::pair<int, std::error_code>> OutcomeOf(HttpCall call) {
    const auto reply = co_await client.Call(relay->address(), std::move(call), Duration(2'000),
                                            TrafficKind::kStore, trace, may_write_);
    if (!reply) co_return std::pair(0, reply.error());
    co_return std::pair(reply.value().status, std::error_code());
  }
  Task<HttpReply> Handle(HttpCall /*call*/) {
    ++processed;
    if (response_time > Duration(0)) co_await SleepFor(response_time);
    co_return HttpReply{};
  }

  WriteCondition may_write_;
  std::unique_ptr<HttpServer> server_;
};

// Guards against "nothing was sent" for a call that was sent and may have been processed: the
// connection broke, and the repetition found nobody listening.
TEST_CASE("a call that was sent is never reported as unreachable", "[runtime][http]") {
  const bool retry = GENERATE(false, true);
  const bool listens = GENERATE(false, true);
  CAPTURE(retry, listens);
  RelayedServer server;
  REQUIRE(server.Call(retry).first == 200);
  server.relay->BreakAtNextResponse([&] {
    if (!listens) server.relay->SetMode(standins::RelayMode::kUnreachable);
  });
  const auto [status, error] = server.Call(retry);
  const bool answered = retry && listens;
  CHECK(status == (answered ? 200 : 0));
  if (!answered) CHECK(error == Errc::kBroken);
  CHECK(server.processed == (answered ? 3 : 2));
  if (listens) return;
  CHECK(server.Call(retry).second == Errc::kUnreachable);
  CHECK(server.processed == 2);
}

// Guards against a log that cannot tell a call that may still arrive from one that was never sent.
TEST_CASE("the trace of a call tells whether it was written, and to which connection",
          "[runtime][http]") {
  struct Case {
    std::string name;
    bool connected_before;
    standins::RelayMode mode;
    bool written;
  };
  using Mode = standins::RelayMode;
  const auto c =
      GENERATE(values<Case>({{"open connection, no response", true, Mode::kBlackhole, true},
                             {"new connection, no response", false, Mode::kBlackhole, true},
                             {"nobody listens", false, Mode::kUnreachable, false}}));
  CAPTURE(c.name);
  constexpr Duration kAge{100};
  RelayedServer server;
  if (c.connected_before) REQUIRE(server.Call(false).first == 200);
  std::this_thread::sleep_for(kAge);
  server.relay->SetMode(c.mode);
  CallTrace trace;
  server.trace = &trace;
  CHECK(server.Call(false).second != std::error_code());
  CHECK(trace.written == c.written);
  CHECK((trace.connection_age >= kAge) == c.connected_before);
}

// Guards against calls that are written although their condition does not hold any more, also by a
// second attempt; and against "nothing was sent" for a call whose first attempt was written.
TEST_CASE("a call is written only while its condition holds", "[runtime][http]") {
  struct Case {
    std::string name;
    bool connected_before;
    bool breaks;  // The connection, before the response to the call.
    bool holds;   // When the call begins.
    bool holds_after_break;
    std::error_code error;
    int processed;  // With the second call after it, which has no condition.
  };
  const auto c = GENERATE(values<Case>({
      {"new connection, holds", false, false, true, true, {}, 2},
      {"open connection, holds", true, false, true, true, {}, 2},
      {"new connection, does not hold", false, false, false, false, Errc::kWithdrawn, 1},
      {"open connection, does not hold", true, false, false, false, Errc::kWithdrawn, 1},
      {"second attempt, holds", true, true, true, true, {}, 3},
      {"second attempt, does not hold", true, true, true, false, Errc::kBroken, 2},
  }));
  CAPTURE(c.name);
  RelayedServer server;
  if (c.connected_before) REQUIRE(server.Call(true).first == 200);
  const int before = server.processed;
  std::atomic<bool> holds{c.holds};
  if (c.breaks) server.relay->BreakAtNextResponse([&] { holds = c.holds_after_break; });
  server.Permit([&] { return holds.load(); });
  CallTrace trace;
  server.trace = &trace;
  CHECK(server.Call(true).second == c.error);
  CHECK(trace.written == (c.error != Errc::kWithdrawn));
  server.trace = nullptr;
  server.Permit({});
  CHECK(server.Call(true).first == 200);
  CHECK(server.processed - before == c.processed);
}

// Guards against one failed call for each idle connection to a peer that has closed all of them.
TEST_CASE("idle connections are not used after one of them was broken", "[runtime][http]") {
  constexpr int kIdle = 4;
  RelayedServer server;
  server.response_time = Duration(50);
  std::vector<std::future<std::pair<int, std::error_code>>> calls;
  calls.reserve(kIdle);
  for (int i = 0; i < kIdle; ++i) calls.push_back(server.Begin(false));
  for (auto& call : calls) REQUIRE(call.get().first == 200);
  server.relay->CloseConnections();
  std::this_thread::sleep_for(Duration(50));
  CHECK(server.Call(false).second == Errc::kBroken);
  for (int i = 0; i < kIdle; ++i) CHECK(server.Call(false).first == 200);
}

constexpr const char* kEndOfHead = "\r\n\r\n";
constexpr const char* kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr const char* kPartOfResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{";
constexpr const char* kLastResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
// Of calls that the test gives up itself.
constexpr Duration kLongTimeout{60'000};
// Longer than a busy machine delays a thread.
constexpr Duration kShortTimeout{1'000};

// A client, and a server that answers its calls when the test says so.
class CallsToTestServer {
 public:
  // Begins a call on a new connection, which it returns once the request has arrived.
  std::unique_ptr<testing::TestConnection> Connect(Duration timeout) {
    Begin(timeout);
    auto connection = server_.Accept();
    connection->ReadUntil(kEndOfHead);
    return connection;
  }
  // Begins a call on an idle connection.
  void Begin(Duration timeout) { under_way_.push_back(runner_->Begin(Call(timeout))); }
  // Waits until the oldest call has ended.
  void AwaitEnd() {
    under_way_.front().wait();
    under_way_.pop_front();
  }

  // What may happen after that.
  void Nothing() {}
  void CallInVain() {
    Begin(kShortTimeout);
    AwaitEnd();
  }
  void DestroyClient() { client_.reset(); }
  // Stops the threads and destroys the coroutines, in the order in which a process ends.
  void EndProcess() {
    runner_->Stop();
    client_.reset();
    runner_.reset();
  }

 private:
  Task<bool> Call(Duration timeout) {
    HttpCall call{.method = HttpMethod::kPost, .path = "/", .query = {}, .body = {}};
    const auto reply =
        co_await client_->Call(server_.address(), std::move(call), timeout, TrafficKind::kWorker);
    co_return static_cast<bool>(reply);
  }

  testing::TestServer server_;
  std::unique_ptr<testing::Runner> runner_ = std::make_unique<testing::Runner>();
  std::unique_ptr<HttpClient> client_ = std::make_unique<HttpClient>();
  std::deque<std::future<bool>> under_way_;  // Calls whose end was not awaited yet.
};

// Guards against calls that are carried out long after they were given up: a plain close leaves
// their bytes to the kernel, which sends them until a partition is over.
TEST_CASE("a call that is given up resets its connection", "[runtime][http]") {
  struct Case {
    std::string name;
    bool connected_before;  // An earlier call was answered on the connection.
    std::string response;   // To the last call.
    Duration timeout;       // Of that call.
    void (CallsToTestServer::*give_up)();
    std::string_view end;
  };
  using Calls = CallsToTestServer;
  const auto c = GENERATE(values<Case>({
      {"timeout", false, "", kShortTimeout, &Calls::AwaitEnd, testing::kReset},
      {"timeout on an open connection", true, "", kShortTimeout, &Calls::AwaitEnd, testing::kReset},
      {"timeout within the response", false, kPartOfResponse, kShortTimeout, &Calls::AwaitEnd,
       testing::kReset},
      {"process ends", false, "", kLongTimeout, &Calls::EndProcess, testing::kReset},
      {"process ends, open connection", true, "", kLongTimeout, &Calls::EndProcess,
       testing::kReset},
      {"answered, not to be reused", false, kLastResponse, kLongTimeout, &Calls::AwaitEnd,
       testing::kClosed},
  }));
  CAPTURE(c.name);
  CallsToTestServer calls;
  const auto connection = calls.Connect(c.timeout);
  if (c.connected_before) {
    connection->Send(kResponse);
    calls.AwaitEnd();
    calls.Begin(c.timeout);
    connection->ReadUntil(kEndOfHead);
  }
  connection->Send(c.response);
  (calls.*c.give_up)();
  CHECK(connection->ReadUntil("") == c.end);
}

// Guards against errors that a peer sees although nothing went wrong, and against undelivered bytes
// of answered calls that are lost.
TEST_CASE("idle connections are closed in order", "[runtime][http]") {
  struct Case {
    std::string name;
    void (CallsToTestServer::*then)();
    std::vector<std::string_view> ends;  // By connection; empty: not asked.
  };
  using Calls = CallsToTestServer;
  const auto c = GENERATE(values<Case>({
      {"more than six of a peer", &Calls::Nothing, {"", "", "", "", "", "", testing::kClosed}},
      {"timeout on another one",
       &Calls::CallInVain,
       {testing::kClosed, testing::kClosed, testing::kReset}},
      {"client destroyed", &Calls::DestroyClient, {testing::kClosed, testing::kClosed}},
      {"process ends", &Calls::EndProcess, {testing::kClosed, testing::kClosed}},
  }));
  CAPTURE(c.name);
  CallsToTestServer calls;
  std::vector<std::unique_ptr<testing::TestConnection>> connections;
  for (std::size_t i = 0; i < c.ends.size(); ++i)
    connections.push_back(calls.Connect(kLongTimeout));
  for (const auto& connection : connections) {
    connection->Send(kResponse);
    calls.AwaitEnd();
  }
  (calls.*c.then)();
  for (std::size_t i = 0; i < c.ends.size(); ++i) {
    CAPTURE(i);
    if (c.ends[i].empty()) continue;
    CHECK_THAT(connections[i]->ReadUntil(""), Catch::EndsWith(std::string(c.ends[i])));
  }
}

Task<std::error_code> ErrorWhile(HttpClient& client, Endpoint to, const std::atomic<bool>& holds) {
  HttpCall call{.method = HttpMethod::kPost, .path = "/late", .query = {}, .body = {}};
  const auto reply =
      co_await client.Call(std::move(to), std::move(call), kLongTimeout, TrafficKind::kWorker,
                           nullptr, [&holds] { return holds.load(); });
  co_return reply ? std::error_code() : reply.error();
}

// Guards against calls that are written by a condition that held before their connection opened,
// which may take as long as the call.
TEST_CASE("the condition of a call is asked when its connection is open", "[runtime][http]") {
  const bool holds_later = GENERATE(true, false);
  CAPTURE(holds_later);
  testing::TestServer server;
  server.OpenOneAtATime();
  asio::io_context context;
  asio::ip::tcp::socket first(context);
  first.connect({asio::ip::make_address(server.address().host), server.address().port});
  testing::Runner runner;
  auto client = std::make_unique<HttpClient>();
  std::atomic<bool> holds{true};
  auto error = runner.Begin(ErrorWhile(*client, server.address(), holds));
  REQUIRE(error.wait_for(Duration(300)) == std::future_status::timeout);
  holds = holds_later;
  server.Accept();
  const auto connection = server.Accept();
  if (holds_later) {
    CHECK_THAT(connection->ReadUntil(kEndOfHead), Catch::StartsWith("POST /late "));
    connection->Send(kResponse);
  }
  CHECK(error.get() == (holds_later ? std::error_code() : Errc::kWithdrawn));
  client.reset();
  if (!holds_later) CHECK(connection->ReadUntil("") == testing::kClosed);
}

// What a server sends, and when.
struct Piece {
  Duration pause;  // Before it.
  std::string bytes;
};

Task<std::error_code> ErrorWithin(HttpClient& client, Endpoint to, CallLimits limits) {
  HttpCall call{.method = HttpMethod::kGet, .path = "/", .query = {}, .body = {}};
  const auto reply =
      co_await client.Call(std::move(to), std::move(call), limits, TrafficKind::kStore);
  co_return reply ? std::error_code() : reply.error();
}

// Guards against reads over a slow link that are given up although they make progress, and against
// reads that wait for the whole time of a slow one when nothing arrives.
TEST_CASE("a call is given up for lack of progress", "[runtime][http]") {
  struct Case {
    std::string name;
    std::vector<Piece> pieces;
    std::error_code error;
    Duration at_least;  // Time until the call ends.
    Duration at_most;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
  const CallLimits limits(
      {.first_byte = Duration(600), .between_bytes = Duration(800), .total = Duration(2'500)});
  const Duration step{300};
  const auto with_head = [&](std::vector<Piece> pieces) {
    pieces.insert(pieces.begin(), {Duration(0), head});
    return pieces;
  };
  const auto c = GENERATE_COPY(values<Case>({
      {"slow and steady",
       with_head({{step, "x"}, {step, "x"}, {step, "x"}, {step, "xxxxx"}}),
       {},
       4 * step,
       Duration(2'400)},
      {"nothing arrives", {}, Errc::kTimeout, Duration(590), Duration(1'500)},
      {"nothing arrives after a part", with_head({{step, "x"}}), Errc::kTimeout,
       step + Duration(790), Duration(2'300)},
      {"too slow in all",
       with_head({{step, "x"},
                  {step, "x"},
                  {step, "x"},
                  {step, "x"},
                  {step, "x"},
                  {step, "x"},
                  {step, "x"},
                  {Duration(700), "x"}}),
       Errc::kTimeout, Duration(2'490), Duration(4'000)},
  }));
  CAPTURE(c.name);
  testing::TestServer server;
  testing::Runner runner;
  HttpClient client;
  const Time started = Now();
  auto error = runner.Begin(ErrorWithin(client, server.address(), limits));
  const auto connection = server.Accept();
  connection->ReadUntil(kEndOfHead);
  for (const Piece& piece : c.pieces) {
    std::this_thread::sleep_for(piece.pause);
    connection->Send(piece.bytes);
  }
  CHECK(error.get() == c.error);
  // The call may have ended while the test slept before a piece.
  const Duration took = Now() - started;
  CHECK(took >= c.at_least);
  CHECK(took <= c.at_most);
}

// Guards against a call that goes on after its total limit, since each read of a steady stream ends
// within the time that is left for it.
TEST_CASE("a steady stream does not extend the total limit of a call", "[runtime][http]") {
  const auto limit = GENERATE(values({Duration(100), Duration(300)}));
  constexpr Duration kStreamed{1'500};
  testing::TestServer server;
  testing::Runner runner;
  HttpClient client;
  const Time started = Now();
  auto error = runner.Begin(ErrorWithin(client, server.address(), TotalLimit(limit)));
  const auto connection = server.Accept();
  connection->ReadUntil(kEndOfHead);
  connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
  while (error.wait_for(Duration(0)) != std::future_status::ready && Now() - started < kStreamed) {
    connection->Send("x");
  }
  const Duration took = Now() - started;
  CHECK(error.get() == Errc::kTimeout);
  CHECK(took >= limit);
  CHECK(took < kStreamed);
}

}  // namespace
}  // namespace dn
