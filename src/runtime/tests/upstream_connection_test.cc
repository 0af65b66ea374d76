// What a server sees when a connection for forwarding requests is given up.
#include <array>
#include <catch2/catch.hpp>
#include <future>

#include "runtime/runtime.h"
#include "tests/support/runner.h"
#include "tests/support/test_connection.h"

namespace dn {
namespace {

constexpr const char* kEndOfHead = "\r\n\r\n";
constexpr const char* kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr const char* kPartOfResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{";
constexpr std::string_view kBody = "work";
// Time limit for connecting, sending, and responses that come.
constexpr Duration kLongTimeout{5'000};
// Longer than a busy machine delays a thread.
constexpr Duration kShortTimeout{1'000};

// A connection to a test server. The member functions without parameters are the steps of a
// request, and the ways in which it ends; the latter close the connection.
class UpstreamToTestServer {
 public:
  UpstreamToTestServer()
      : upstream_(runner_->Wait(Connect(server_.address()))), connection_(server_.Accept()) {}

  void SendNothing() {}
  void SendHead() {
    const RequestHead head{.method = "POST",
                           .target = "/",
                           .headers = {},
                           .framing = BodyFraming::kLength,
                           .body_length = kBody.size()};
    CHECK(runner_->Wait(Succeeds(upstream_->SendHead(head, Now() + kLongTimeout))));
    connection_->ReadUntil(kEndOfHead);
  }
  void SendPart() {
    SendHead();
    SendPiece(kBody.substr(0, 1), false);
  }
  void SendAll() {
    SendPart();
    SendPiece(kBody.substr(1), true);
  }

  void Drop() { upstream_.reset(); }
  void DropAfterWait() {
    CHECK_FALSE(runner_->Wait(upstream_->WaitForResponse(Now() + kShortTimeout)));
    Drop();
  }
  void DropAfterRead() {
    runner_->Wait(ReadResponse(*upstream_, kShortTimeout));
    Drop();
  }
  void EvictFromPool() { PutInPoolOf(1); }
  void PutInFullPool() { PutInPoolOf(0); }
  // Stops the threads and destroys the coroutines, as at the end of a process.
  void EndProcess() {
    auto reading = runner_->Begin(ReadAndDrop(std::move(upstream_)));
    CHECK(reading.wait_for(kShortTimeout) == std::future_status::timeout);
    runner_->Stop();
    runner_.reset();
  }

  testing::TestConnection& connection() { return *connection_; }

 private:
  void SendPiece(std::string_view piece, bool last) {
    CHECK(runner_->Wait(Succeeds(upstream_->SendBody(piece, last, Now() + kLongTimeout))));
    connection_->ReadUntil(std::string(piece));
  }
  void PutInPoolOf(std::size_t max_idle) {
    runner_->Wait(ReadResponse(*upstream_, kLongTimeout));
    ConnectionPool<int> pool(max_idle);
    pool.Put(0, std::move(upstream_));
    pool.Drop(0);
  }
  static Task<UpstreamPtr> Connect(Endpoint to) {
    co_return (co_await UpstreamConnection::Connect(to, Now() + kLongTimeout)).value();
  }
  static Task<bool> Succeeds(Task<Result<void>> step) {
    co_return static_cast<bool>(co_await std::move(step));
  }
  // Returns whether a complete response was read.
  static Task<bool> ReadResponse(UpstreamConnection& upstream, Duration timeout) {
    const Time deadline = Now() + timeout;
    std::array<char, 64> buffer{};
    if (!co_await upstream.ReadHead(false, deadline)) co_return false;
    Result<std::size_t> read = std::size_t{1};
    while (read && read.value() > 0) read = co_await upstream.ReadBody(buffer, deadline);
    co_return static_cast<bool>(read);
  }
  static Task<bool> ReadAndDrop(UpstreamPtr upstream) {
    co_return co_await ReadResponse(*upstream, kLongTimeout);
  }

  testing::TestServer server_;
  std::unique_ptr<testing::Runner> runner_ = std::make_unique<testing::Runner>();
  UpstreamPtr upstream_;
  std::unique_ptr<testing::TestConnection> connection_;  // Its end at the server.
};

// Guards against requests that are carried out long after their callers were told that they failed:
// a plain close leaves their bytes to the kernel, which sends them until a partition is over.
TEST_CASE("a request that is given up resets its upstream connection", "[runtime][http]") {
  using Upstream = UpstreamToTestServer;
  struct Case {
    std::string name;
    void (Upstream::*send)();
    std::string response;
    void (Upstream::*end)();
    std::string_view seen;
  };
  const auto c = GENERATE(values<Case>({
      {"no request", &Upstream::SendNothing, "", &Upstream::Drop, testing::kClosed},
      {"head alone", &Upstream::SendHead, "", &Upstream::Drop, testing::kReset},
      {"part of the body", &Upstream::SendPart, "", &Upstream::Drop, testing::kReset},
      {"not waited for", &Upstream::SendAll, "", &Upstream::Drop, testing::kReset},
      {"no response in time", &Upstream::SendAll, "", &Upstream::DropAfterWait, testing::kReset},
      {"no head in time", &Upstream::SendAll, "", &Upstream::DropAfterRead, testing::kReset},
      {"part of the response", &Upstream::SendAll, kPartOfResponse, &Upstream::DropAfterRead,
       testing::kReset},
      {"response to a part of the request", &Upstream::SendPart, kResponse,
       &Upstream::DropAfterRead, testing::kReset},
      {"process ends", &Upstream::SendAll, "", &Upstream::EndProcess, testing::kReset},
      {"answered", &Upstream::SendAll, kResponse, &Upstream::DropAfterRead, testing::kClosed},
      {"evicted from a pool", &Upstream::SendAll, kResponse, &Upstream::EvictFromPool,
       testing::kClosed},
      {"put in a full pool", &Upstream::SendAll, kResponse, &Upstream::PutInFullPool,
       testing::kClosed},
  }));
  CAPTURE(c.name);
  Upstream upstream;
  (upstream.*c.send)();
  upstream.connection().Send(c.response);
  (upstream.*c.end)();
  CHECK(upstream.connection().ReadUntil("") == c.seen);
}

}  // namespace
}  // namespace dn
