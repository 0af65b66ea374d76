// Shutdown of the servers, seen from a connection on loopback.
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "caller/caller.h"
#include "tests/support/test_caller.h"

namespace dn::testing {
namespace {

constexpr const char* kRequest = "GET /work HTTP/1.1\r\nHost: desk\r\n\r\n";

// A running server of one kind.
class Server {
 public:
  virtual ~Server() = default;
  virtual Endpoint address() const = 0;
  virtual void Close() = 0;
};

class ServerForCallers final : public Server {
 public:
  explicit ServerForCallers(WorkerPool& pool)
      : server_(CallerServer::Start(pool, {.host = "127.0.0.1", .port = 0},
                                    {.header_limit_bytes = [] { return 16U * 1024U; }}, metrics_,
                                    [](CallerExchange& caller) { return Respond(caller); })
                    .value()) {}
  Endpoint address() const override { return server_->address(); }
  void Close() override { server_->CloseIdle(); }

 private:
  static Task<> Respond(CallerExchange& caller) {
    const std::string body = "done";
    const ResponseHead head{
        .status = 200, .framing = BodyFraming::kLength, .body_length = body.size()};
    if (co_await caller.SendHead(head)) co_await caller.SendBody(body, true);
  }

  Metrics metrics_;
  std::unique_ptr<CallerServer> server_;
};

class ServerForControlMessages final : public Server {
 public:
  explicit ServerForControlMessages(WorkerPool& pool)
      : server_(HttpServer::Start(pool, {.host = "127.0.0.1", .port = 0}, [](HttpCall) {
                  return Respond();
                }).value()) {}
  Endpoint address() const override { return server_->address(); }
  void Close() override { server_->Close(); }

 private:
  static Task<HttpReply> Respond() { co_return HttpReply{.body = "done"}; }

  std::unique_ptr<HttpServer> server_;
};

template <class Kind>
std::unique_ptr<Server> Make(WorkerPool& pool) {
  return std::make_unique<Kind>(pool);
}

struct ServerKind {
  std::string name;
  std::unique_ptr<Server> (*start)(WorkerPool&);
};

std::vector<ServerKind> ServerKinds() {
  return {{"callers", &Make<ServerForCallers>},
          {"control messages", &Make<ServerForControlMessages>}};
}

// A server that responds to each request with "done". Its only thread can be held, so that what
// happens in the meantime reaches the server at once.
class TestServer {
 public:
  explicit TestServer(const ServerKind& kind)
      : pool_(1), server_(kind.start(pool_)), thread_([this] { pool_.Run(); }) {}
  ~TestServer() {
    pool_.Stop();
    thread_.join();
  }

  void Close() { server_->Close(); }
  Endpoint address() const { return server_->address(); }
  // Returns once the thread is held.
  void HoldThread() {
    std::promise<void> held;
    asio::post(pool_.context(), [&held, released = released_.get_future()] {
      held.set_value();
      released.wait();
    });
    held.get_future().wait();
  }
  void ReleaseThread() { released_.set_value(); }

 private:
  WorkerPool pool_;
  std::promise<void> released_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

// Sends a request on `caller` and reads its response.
void ExchangeOne(TestCaller& caller) {
  caller.Send(kRequest);
  REQUIRE_THAT(caller.ReadUntil("done"), Catch::EndsWith("done"));
}

void CheckLastResponse(const std::string& received) {
  CHECK_THAT(received, Catch::StartsWith("HTTP/1.1 200 OK"));
  CHECK_THAT(received, Catch::Contains("Connection: close"));
  CHECK_THAT(received, Catch::EndsWith("done, closed"));
}

// Guards against a reset of connections whose request the kernel has received and the server has
// not read yet.
TEST_CASE("a stopping server responds to requests that it has not read", "[shutdown]") {
  const auto kind = GENERATE(from_range(ServerKinds()));
  const std::string request = kRequest;
  struct Case {
    std::string name;
    bool accepted;             // Whether the connection has carried a request before.
    std::size_t bytes_read;    // Bytes of the request that the server has read.
    std::size_t bytes_unread;  // Bytes that arrive while the server's thread is held.
    std::size_t bytes_after;   // Bytes that are sent after the server has stopped to listen.
  };
  const std::size_t half = request.size() / 2;
  const std::size_t rest = request.size() - half;
  const auto c = GENERATE_COPY(values<Case>({
      {"request received", true, 0, request.size(), 0},
      {"head read in part, the rest received", true, half, rest, 0},
      {"head read in part, the rest not sent", true, half, 0, rest},
      {"head received in part", true, 0, half, rest},
      {"connection not accepted, request received", false, 0, request.size(), 0},
      {"connection not accepted, head received in part", false, 0, half, rest},
  }));
  CAPTURE(kind.name, c.name);
  TestServer test(kind);
  TestCaller caller;
  if (c.accepted) {
    caller.Connect(test.address());
    ExchangeOne(caller);
    caller.Send(request.substr(0, c.bytes_read));
  }
  // The server reads what arrived earlier before it reads this request.
  TestCaller other;
  other.Connect(test.address());
  ExchangeOne(other);

  test.HoldThread();
  if (!c.accepted) caller.Connect(test.address());
  caller.Send(request.substr(c.bytes_read, c.bytes_unread));
  test.Close();
  test.ReleaseThread();
  REQUIRE(WaitUntilRefused(test.address()));
  caller.Send(request.substr(c.bytes_read + c.bytes_unread));
  CheckLastResponse(caller.ReadUntil(""));
}

// Guards against callers that read "connection broken" because the server closed an open connection
// just before they sent a request on it.
TEST_CASE("a stopping server waits for a request on each open connection", "[shutdown]") {
  const auto kind = GENERATE(from_range(ServerKinds()));
  struct Case {
    std::string name;
    bool accepted;  // Whether the server has accepted the connection.
    bool reused;    // Whether the connection has carried a request before.
    bool sends;     // Whether the caller sends a request after the server has stopped to listen.
  };
  const auto c = GENERATE(values<Case>({
      {"new connection", true, false, true},
      {"connection not accepted", false, false, true},
      {"connection with an earlier request", true, true, true},
      {"new connection without a request", true, false, false},
      {"connection not accepted, without a request", false, false, false},
      {"connection without a further request", true, true, false},
  }));
  CAPTURE(kind.name, c.name);
  TestServer test(kind);
  TestCaller caller;
  if (c.accepted) caller.Connect(test.address());
  if (c.reused) ExchangeOne(caller);
  // The server accepts connections in their order.
  TestCaller other;
  other.Connect(test.address());
  ExchangeOne(other);

  test.HoldThread();
  if (!c.accepted) caller.Connect(test.address());
  test.Close();
  test.ReleaseThread();
  REQUIRE(WaitUntilRefused(test.address()));
  if (c.sends) {
    caller.Send(kRequest);
    CheckLastResponse(caller.ReadUntil(""));
  } else {
    CHECK(caller.ReadUntil("") == ", closed");
  }
}

}  // namespace
}  // namespace dn::testing
