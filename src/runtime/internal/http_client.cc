// HTTP client based on Boost.Beast.
#include "runtime/internal/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/url/url.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <vector>

#include "runtime/internal/closing.h"
#include "runtime/internal/lock_order.h"

namespace dn {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Maximum idle connections per peer. A worker receives orders over four
// connections and lease renewals over a fifth.
constexpr std::size_t kMaxIdlePerPeer = 6;
// Idle connections are closed after this time.
constexpr Duration kMaxIdleTime{20'000};

// Closed in order while it is idle, otherwise reset.
struct Connection {
  explicit Connection(asio::any_io_executor executor) : stream(std::move(executor)) {}
  ~Connection() {
    if (!call_under_way) CloseInOrder(stream.socket());
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Time opened_at{};
  Time idle_since{};
  // Set before the first byte of a call is written, and reset once its response has been read
  // completely. The connection is idle while it is false.
  bool call_under_way = false;
};
using ConnectionPtr = std::unique_ptr<Connection>;
using Idle = std::map<Endpoint, std::vector<ConnectionPtr>>;

// Throws std::length_error if a header is longer than 64 KB.
http::request<http::string_body> MakeRequest(const Endpoint& to, HttpCall&& call) {
  boost::urls::url target;
  target.set_path(call.path);
  for (const auto& [key, value] : call.query) target.params().append({key, value});
  const http::verb verb = call.method == HttpMethod::kGet      ? http::verb::get
                          : call.method == HttpMethod::kDelete ? http::verb::delete_
                                                               : http::verb::post;
  http::request<http::string_body> request(verb, std::string(target.buffer()), 11);
  request.set(http::field::host, to.ToString());
  for (const auto& [name, value] : call.headers) request.set(name, value);
  if (!call.cached_tag.empty()) request.set(http::field::if_none_match, call.cached_tag);
  request.body() = std::move(call.body);
  request.prepare_payload();
  return request;
}

// Points in time by which a call must have made progress.
struct CallDeadlines {
  Time first_byte;
  Duration between_bytes;
  Time total;
};

// What holds for all attempts of a call.
struct CallTerms {
  CallDeadlines deadlines;
  TrafficKind kind;
  CallTrace* trace;  // May be null.
  WriteCondition may_write;
};

// Lets the operations on `stream` fail after `deadline`. A call that has run out gets 1 ms, so that
// what has arrived already is read.
void ExpireAt(beast::tcp_stream& stream, Time deadline) {
  stream.expires_after(std::max(Duration(1), deadline - Now()));
}

// Only the timer of a connection cancels its operations. It closes the socket before it notes the
// timeout, so that an operation that ends on another thread in between reports the cancellation.
Errc ErrorOf(boost::system::error_code error) {
  const bool timed_out = error == beast::error::timeout || error == asio::error::operation_aborted;
  return timed_out ? Errc::kTimeout : Errc::kBroken;
}

}  // namespace

struct HttpClient::Impl {
  Metrics* metrics;
  Shared<Idle, LockRank::kConnections> idle;

  ConnectionPtr TakeIdle(const Endpoint& to) {
    const Time now = Now();
    return idle.With([&](Idle& connections) -> ConnectionPtr {
      std::vector<ConnectionPtr>& list = connections[to];
      std::erase_if(list, [&](const auto& c) { return now - c->idle_since > kMaxIdleTime; });
      if (list.empty()) return nullptr;
      ConnectionPtr taken = std::move(list.back());
      list.pop_back();
      return taken;
    });
  }

  void PutIdle(const Endpoint& to, ConnectionPtr connection) {
    connection->idle_since = Now();
    connection->stream.expires_never();
    idle.With([&](Idle& connections) {
      std::vector<ConnectionPtr>& list = connections[to];
      if (list.size() < kMaxIdlePerPeer) list.push_back(std::move(connection));
    });
  }

  // Closes the idle connections to a peer after a timeout on one connection, or after one was
  // broken. That does not prove that the peer is down, but its other idle connections may have
  // stopped responding or be broken as well.
  void DropIdle(const Endpoint& to) {
    idle.With([&](Idle& connections) { connections.erase(to); });
  }

  static Task<Result<ConnectionPtr>> Connect(const Endpoint& to, Duration timeout) {
    boost::system::error_code error;
    const auto host = asio::ip::make_address(to.host, error);
    if (error) co_return Errc::kUnreachable;
    auto connection =
        std::make_unique<Connection>(asio::make_strand((co_await asio::this_coro::executor)));
    connection->stream.expires_after(timeout);
    co_await connection->stream.async_connect(tcp::endpoint(host, to.port),
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Errc::kUnreachable;
    ResetWhenClosed(connection->stream.socket());
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    connection->opened_at = Now();
    co_return connection;
  }

  // Reads the response into `parser`. Each byte extends the time limit, up to that of the call.
  // Returns the number of bytes.
  static Task<std::size_t> ReadResponse(Connection& connection,
                                        http::response_parser<http::string_body>& parser,
                                        const CallDeadlines& deadlines, CallTrace& trace,
                                        boost::system::error_code& error) {
    const Time started = Now();
    std::size_t received = 0;
    std::optional<Time> first_byte;
    while (!parser.is_done()) {
      const std::size_t count =
          co_await http::async_read_some(connection.stream, connection.buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      received += count;
      const Time now = Now();
      if (!first_byte) {
        first_byte = now;
        trace.first_byte = now - started;
      }
      trace.transfer = now - *first_byte;
      // Otherwise each further read gets 1 ms, so that a steady stream never ends.
      if (now >= deadlines.total && !parser.is_done()) {
        error = beast::error::timeout;
        break;
      }
      ExpireAt(connection.stream, std::min(now + deadlines.between_bytes, deadlines.total));
    }
    co_return received;
  }

  // Sends `request` on an open connection, if its terms permit that now, and reads the complete
  // response. Sets `*keep_alive` to whether the connection may be reused.
  Task<Result<HttpReply>> Exchange(Connection& connection,
                                   http::request<http::string_body>& request,
                                   const CallTerms& terms, bool* keep_alive) const {
    const CallDeadlines& deadlines = terms.deadlines;
    if (terms.may_write && !terms.may_write()) {
      *keep_alive = true;
      co_return Errc::kWithdrawn;
    }
    CallTrace unused;
    CallTrace& trace = terms.trace != nullptr ? *terms.trace : unused;
    trace = {.written = true, .connection_age = Now() - connection.opened_at};
    boost::system::error_code error;
    connection.call_under_way = true;
    ExpireAt(connection.stream, std::min(deadlines.first_byte, deadlines.total));
    const std::size_t sent = co_await http::async_write(
        connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (metrics != nullptr) metrics->CountBytes(terms.kind, sent);
    if (error) co_return ErrorOf(error);
    http::response_parser<http::string_body> parser;
    parser.body_limit(1ULL << 30U);  // 1 GiB.
    parser.eager(true);
    const std::size_t received = co_await ReadResponse(connection, parser, deadlines, trace, error);
    if (metrics != nullptr) metrics->CountBytes(terms.kind, received);
    if (error) co_return ErrorOf(error);
    connection.call_under_way = false;
    *keep_alive = parser.get().keep_alive();
    auto response = parser.release();
    co_return HttpReply{.status = static_cast<int>(response.result_int()),
                        .body = std::move(response.body()),
                        .content_type = std::string(response[http::field::content_type]),
                        .tag = std::string(response[http::field::etag])};
  }
};

HttpClient::HttpClient(Metrics* metrics)
    : impl_(new Impl{.metrics = metrics, .idle = Shared<Idle, LockRank::kConnections>()}) {}
HttpClient::~HttpClient() = default;

Task<Result<HttpReply>> HttpClient::Call(Endpoint to, HttpCall call, CallLimits limits,
                                         TrafficKind kind, CallTrace* trace,
                                         WriteCondition may_write) {
  const Time started = Now();
  const CallTerms terms{.deadlines = {.first_byte = started + limits->first_byte,
                                      .between_bytes = limits->between_bytes,
                                      .total = started + limits->total},
                        .kind = kind,
                        .trace = trace,
                        .may_write = std::move(may_write)};
  const bool retry_on_broken_connection = call.retry_on_broken_connection;
  http::request<http::string_body> request;
  try {
    request = MakeRequest(to, std::move(call));
  } catch (const std::length_error&) {
    co_return Errc::kUnreachable;
  }
  ConnectionPtr connection = impl_->TakeIdle(to);
  bool keep_alive = false;
  if (connection) {
    auto reply = co_await impl_->Exchange(*connection, request, terms, &keep_alive);
    if (keep_alive) impl_->PutIdle(to, std::move(connection));
    if (!reply && reply.error() != Errc::kWithdrawn) impl_->DropIdle(to);
    // The peer may close an idle connection at any time. If the connection was broken
    // and the request permits a retry, it is sent again on a new connection.
    if (reply || reply.error() != Errc::kBroken || !retry_on_broken_connection) co_return reply;
  }
  // The first attempt may have been processed, whatever becomes of the second.
  const bool sent_before = connection != nullptr;
  auto fresh = co_await Impl::Connect(to, terms.deadlines.first_byte - Now());
  if (!fresh) co_return sent_before ? Errc::kBroken : fresh.error();
  connection = std::move(fresh).value();
  auto reply = co_await impl_->Exchange(*connection, request, terms, &keep_alive);
  if (keep_alive) impl_->PutIdle(to, std::move(connection));
  if (sent_before && !reply && reply.error() == Errc::kWithdrawn) co_return Errc::kBroken;
  co_return reply;
}

}  // namespace dn
