// Connections of callers, served with Boost.Beast.
#include "caller/internal/caller_server.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <set>

#include "http/http.h"

namespace dn {
namespace {

namespace beast = boost::beast;
using asio::ip::tcp;

// Time limit for the head of the next request, which includes the idle time before it.
constexpr Duration kHeadReadTimeout{60'000};
// Time limit for each read of a request body.
constexpr Duration kBodyReadTimeout{30'000};
// Time limit for each write of a response.
constexpr Duration kWriteTimeout{30'000};
// Unread bytes of a request that are read and discarded before its connection is closed.
constexpr std::uint64_t kMaxDiscardedBytes = 256 * 1024;

// Connection of one caller, which carries one request at a time.
class Session final : public CallerExchange {
 public:
  Session(tcp::socket socket, std::function<bool()> draining)
      : stream_(std::move(socket)), draining_(std::move(draining)) {}

  // Reads the head of the next request. Returns kNone for a valid head, the reason to refuse an
  // invalid one, or nothing if the connection was closed or the time limit exceeded.
  Task<std::optional<Reason>> ReadHead(std::uint32_t header_limit_bytes) {
    parser_.emplace();
    parser_->header_limit(header_limit_bytes);
    parser_->body_limit(boost::none);
    head_sent_ = false;
    aborted_ = false;
    idle_.store(true);
    stream_.expires_after(kHeadReadTimeout);
    boost::system::error_code error;
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
    idle_.store(false);
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
      co_await http::async_read_some(stream_, buffer_, *parser_,
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
    keep_alive_ = head_.keep_alive && !draining_() && parser_->is_done();
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

  // Responds to an invalid request head and closes the connection.
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
    co_await CloseGracefully();
  }

  // True if the connection can carry another request.
  bool CanReuseConnection() const { return head_sent_ && keep_alive_ && !aborted_; }

  // Shuts down the sending side and discards what the caller still sends, for at most 1 s, so that
  // the caller can read the response to its end. Closing at once would reset the connection if
  // unread bytes are left, and the caller could lose the response. An aborted response is reset
  // instead, so that it is not taken for a complete one.
  Task<> CloseGracefully() {
    if (aborted_) co_return Reset();
    boost::system::error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    std::array<char, 4096> buffer{};
    std::uint64_t discarded_bytes = 0;
    stream_.expires_after(Duration(1000));
    while (!error && discarded_bytes < kMaxDiscardedBytes) {
      discarded_bytes += co_await stream_.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    }
  }

  // Closes the connection if it carries no request. May be called on any thread.
  void CloseIfIdle() {
    asio::post(stream_.get_executor(), [self = weak_.lock()] {
      if (self && self->idle_.load()) self->stream_.cancel();
    });
  }
  void SetWeakSelf(const std::shared_ptr<Session>& self) { weak_ = self; }

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

  void Reset() {
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

  beast::tcp_stream stream_;
  const std::function<bool()> draining_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::optional<http::response<http::buffer_body>> response_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;  // Refers to response_.
  RequestHead head_;
  bool head_sent_ = false;
  bool keep_alive_ = true;
  bool aborted_ = false;
  std::atomic<bool> idle_{false};
  std::weak_ptr<Session> weak_;
};

// Accepts connections and owns their sessions. Sessions and the accept loop share it.
class Server final : public std::enable_shared_from_this<Server> {
 public:
  Server(WorkerPool& pool, tcp::acceptor acceptor, CallerServer::Limits limits, Metrics& metrics,
         CallerServer::Handler handler)
      : pool_(pool),
        acceptor_(std::move(acceptor)),
        limits_(std::move(limits)),
        metrics_(metrics),
        handler_(std::move(handler)) {}

  Task<> Accept() {
    const auto self = shared_from_this();
    while (!closing_) {
      boost::system::error_code error;
      tcp::socket socket(asio::make_strand(pool_.context()));
      co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        // Usually the process has no free file descriptor: waits for connections to close.
        co_await SleepFor(Duration(50));
        continue;
      }
      socket.set_option(tcp::no_delay(true), error);
      const auto executor = socket.get_executor();
      const auto session =
          std::make_shared<Session>(std::move(socket), [self] { return self->draining_.load(); });
      session->SetWeakSelf(session);
      sessions_.With([&](Sessions& sessions) { sessions.insert(session); });
      asio::co_spawn(executor, Serve(self, session), asio::detached);
    }
  }

  // Processes the requests of one connection, one after the other, until it is closed.
  static Task<> Serve(std::shared_ptr<Server> self, std::shared_ptr<Session> session) {
    while (!self->closing_) {
      const auto reason = co_await session->ReadHead(self->limits_.header_limit_bytes());
      if (!reason) break;
      if (*reason != Reason::kNone) {
        self->metrics_.Add(Counter::kRequestsMalformed);
        co_await session->SendRefusal(*reason);
        break;
      }
      co_await self->handler_(*session);
      if (session->CanReuseConnection()) continue;
      co_await session->CloseGracefully();
      break;
    }
    self->sessions_.With([&](Sessions& sessions) { sessions.erase(session); });
  }

  void BeginDrain() { draining_ = true; }

  void CloseIdle() {
    draining_ = true;
    closing_ = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
    });
    const Sessions open = sessions_.With([](const Sessions& sessions) { return sessions; });
    for (const auto& session : open) session->CloseIfIdle();
  }

  int open_connections() const {
    return sessions_.With([](const Sessions& s) { return static_cast<int>(s.size()); });
  }

  Endpoint address() const {
    const tcp::endpoint bound = acceptor_.local_endpoint();
    return {.host = bound.address().to_string(), .port = bound.port()};
  }

 private:
  using Sessions = std::set<std::shared_ptr<Session>>;

  WorkerPool& pool_;
  tcp::acceptor acceptor_;
  const CallerServer::Limits limits_;
  Metrics& metrics_;
  const CallerServer::Handler handler_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> closing_{false};
  Shared<Sessions, LockRank::kConnections> sessions_;
};

// Closes the server when its owner destroys it, while open sessions finish their requests.
class ServerHandle final : public CallerServer {
 public:
  explicit ServerHandle(std::shared_ptr<Server> server)
      : server_(std::move(server)), address_(server_->address()) {}
  ~ServerHandle() override { server_->CloseIdle(); }
  Endpoint address() const override { return address_; }
  void BeginDrain() override { server_->BeginDrain(); }
  void CloseIdle() override { server_->CloseIdle(); }
  int open_connections() const override { return server_->open_connections(); }

 private:
  const std::shared_ptr<Server> server_;
  const Endpoint address_;
};

}  // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::Start(WorkerPool& pool, const Endpoint& address,
                                                          Limits limits, Metrics& metrics,
                                                          Handler handler) {
  auto acceptor = Listen(pool, address);
  if (!acceptor) return acceptor.error();
  const auto executor = acceptor.value().get_executor();
  auto server = std::make_shared<Server>(pool, std::move(acceptor).value(), std::move(limits),
                                         metrics, std::move(handler));
  asio::co_spawn(executor, server->Accept(), asio::detached);
  return std::unique_ptr<CallerServer>(std::make_unique<ServerHandle>(std::move(server)));
}

}  // namespace dn
