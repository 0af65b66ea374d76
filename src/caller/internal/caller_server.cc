// Connections of callers, served with Boost.Beast.
#include "caller/internal/caller_server.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "http/http.h"

namespace dn {
namespace {

namespace beast = boost::beast;

// Time limit for the first bytes of the next request.
constexpr Duration kIdleTimeout{60'000};
// Time limit for the rest of a request head: a caller that stops within a head delays a drain for
// as long.
constexpr Duration kHeadReadTimeout{5'000};
// Time limit for each read of a request body.
constexpr Duration kBodyReadTimeout{30'000};
// Time limit for each write of a response.
constexpr Duration kWriteTimeout{30'000};

// Connection of one caller, which carries one request at a time.
class Session final : public CallerExchange {
 public:
  Session(ServerConnection& connection, const std::atomic<bool>& draining)
      : connection_(connection), stream_(connection.stream()), draining_(draining) {}

  // Reads the head of the next request. Returns kNone for a valid head, the reason to refuse an
  // invalid one, or nothing if the connection was closed or the time limit exceeded.
  Task<std::optional<Reason>> ReadHead(std::uint32_t header_limit_bytes) {
    parser_.emplace();
    parser_->header_limit(header_limit_bytes);
    parser_->body_limit(boost::none);
    head_sent_ = false;
    aborted_ = false;
    if (!co_await connection_.WaitForRequest(kIdleTimeout)) co_return std::nullopt;
    stream_.expires_after(kHeadReadTimeout);
    boost::system::error_code error;
    co_await http::async_read_header(stream_, connection_.buffer(), *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::header_limit) co_return Reason::kHeaderTooLarge;
    const bool closed =
        error == http::error::end_of_stream || error == http::error::partial_message;
    if (error && (closed || error.category() != http::make_error_code(AnyHttpError()).category())) {
      co_return std::nullopt;
    }
    if (error) co_return Reason::kMalformed;
    StoreHead();
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) co_await Continue();
    co_return Reason::kNone;
  }

  const RequestHead& head() const override { return head_; }

  Task<Result<std::size_t>> ReadBody(std::span<char> buffer) override {
    while (!parser_->is_done()) {
      auto& body = parser_->get().body();
      body.data = buffer.data();
      body.size = buffer.size();
      stream_.expires_after(kBodyReadTimeout);
      boost::system::error_code error;
      co_await http::async_read_some(stream_, connection_.buffer(), *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
      if (error && error != http::error::need_buffer) {
        aborted_ = true;
        co_return Errc::kBroken;
      }
      const std::size_t filled = buffer.size() - body.size;
      if (filled > 0) co_return filled;
    }
    co_return std::size_t{0};
  }

  Task<Result<void>> SendHead(const ResponseHead& head) override {
    response_.emplace();
    response_->result(static_cast<unsigned>(head.status));
    response_->version(11);
    SetHeadersAndFraming(head.headers, head.framing, head.body_length, *response_);
    // Closes the connection if the body was not read to its end: the rest of the body would be
    // parsed as the next request.
    keep_alive_ = head_.keep_alive && !draining_ && parser_->is_done();
    response_->keep_alive(keep_alive_);
    response_->body().data = nullptr;
    response_->body().more = head.framing != BodyFraming::kNone;
    serializer_.emplace(*response_);
    serializer_->split(true);
    head_sent_ = true;
    stream_.expires_after(kWriteTimeout);
    boost::system::error_code error;
    co_await http::async_write_header(stream_, *serializer_,
                                      asio::redirect_error(asio::use_awaitable, error));
    co_return ResultOf(error);
  }

  Task<Result<void>> SendBody(std::span<const char> bytes, bool last) override {
    const bool has_no_body = head_.method == "HEAD" || !response_->body().more;
    if (has_no_body || (bytes.empty() && !last)) co_return boost::outcome_v2::success();
    auto& body = response_->body();
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = !last;
    stream_.expires_after(kWriteTimeout);
    boost::system::error_code error;
    co_await http::async_write(stream_, *serializer_,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    co_return ResultOf(error);
  }

  void Abort() override { aborted_ = true; }

  // Responds to an invalid request head.
  Task<> SendRefusal(Reason reason) {
    head_ = {};
    ResponseHead head{
        .status = reason == Reason::kHeaderTooLarge ? 431 : 400,
        .headers = {{std::string(kOutcomeHeader), std::string(NameOf(RequestOutcome::kNotRun))},
                    {std::string(kReasonHeader), std::string(NameOf(reason))}},
        .framing = BodyFraming::kLength};
    head_.keep_alive = false;
    co_await SendHead(head);
    co_await SendBody({}, true);
  }

  // True if the connection can carry another request.
  bool CanReuseConnection() const { return head_sent_ && keep_alive_ && !aborted_; }

  // Resets the connection if the response cannot be completed, so that the caller does not take it
  // for a complete one.
  void ResetIfAborted() {
    if (aborted_) connection_.Reset();
  }

 private:
  // Some error of the category of HTTP errors, to compare the category of an error with it.
  static http::error AnyHttpError() { return http::error::end_of_stream; }

  static Result<void> ResultOf(boost::system::error_code error) {
    if (error) return Errc::kBroken;
    return boost::outcome_v2::success();
  }

  void StoreHead() {
    const auto& message = parser_->get();
    head_ = {.method = std::string(message.method_string()),
             .target = std::string(message.target()),
             .headers = EndToEndHeaders(message),
             .framing = FramingOf(*parser_),
             .body_length = parser_->content_length() ? *parser_->content_length() : 0,
             .keep_alive = parser_->keep_alive()};
    if (head_.framing == BodyFraming::kUntilClose) head_.framing = BodyFraming::kNone;
  }

  // Sends the interim response "100 Continue".
  Task<> Continue() {
    http::response<http::empty_body> response(http::status::continue_, 11);
    boost::system::error_code ignored;
    co_await http::async_write(stream_, response,
                               asio::redirect_error(asio::use_awaitable, ignored));
  }

  ServerConnection& connection_;
  beast::tcp_stream& stream_;  // Of connection_.
  const std::atomic<bool>& draining_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::optional<http::response<http::buffer_body>> response_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;  // Refers to response_.
  RequestHead head_;
  bool head_sent_ = false;
  bool keep_alive_ = true;
  bool aborted_ = false;
};

// What the connections of a server share.
struct Sessions {
  const CallerServer::Limits limits;
  Metrics& metrics;
  const CallerServer::Handler handler;
  std::atomic<bool> draining{false};
};

// Processes the requests of one connection, one after the other.
Task<> Serve(std::shared_ptr<Sessions> sessions, ServerConnection& connection) {
  Session session(connection, sessions->draining);
  do {
    const auto reason = co_await session.ReadHead(sessions->limits.header_limit_bytes());
    if (!reason) co_return;
    if (*reason != Reason::kNone) {
      sessions->metrics.Add(Counter::kRequestsMalformed);
      co_return co_await session.SendRefusal(*reason);
    }
    co_await sessions->handler(session);
  } while (session.CanReuseConnection());
  session.ResetIfAborted();
}

// Closes the server when its owner destroys it, while open connections finish their requests.
class ServerHandle final : public CallerServer {
 public:
  ServerHandle(std::shared_ptr<Sessions> sessions, std::shared_ptr<TcpServer> server)
      : sessions_(std::move(sessions)), server_(std::move(server)) {}
  ~ServerHandle() override { CloseIdle(); }
  Endpoint address() const override { return server_->address(); }
  void BeginDrain() override { sessions_->draining = true; }
  void CloseIdle() override {
    BeginDrain();
    server_->Close();
  }
  bool closed() const override { return server_->closed(); }
  int open_connections() const override { return server_->open_connections(); }

 private:
  const std::shared_ptr<Sessions> sessions_;
  const std::shared_ptr<TcpServer> server_;
};

}  // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::Start(WorkerPool& pool, const Endpoint& address,
                                                          Limits limits, Metrics& metrics,
                                                          Handler handler) {
  const std::shared_ptr<Sessions> sessions(
      new Sessions{.limits = std::move(limits), .metrics = metrics, .handler = std::move(handler)});
  auto server = TcpServer::Start(pool, address, [sessions](ServerConnection& connection) {
    return Serve(sessions, connection);
  });
  if (!server) return server.error();
  return std::unique_ptr<CallerServer>(
      std::make_unique<ServerHandle>(sessions, std::move(server).value()));
}

}  // namespace dn
