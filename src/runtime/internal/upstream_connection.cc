// Upstream connection based on Boost.Beast.
#include "runtime/internal/upstream_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/beast.hpp>

#include "http/http.h"
#include "runtime/internal/closing.h"

namespace dn {
namespace {

namespace beast = boost::beast;
using asio::ip::tcp;

constexpr std::uint32_t kMaxResponseHeader = 64 * 1024;  // Bytes.
// A peer whose machine has failed is detected after 10 s + 3 * 5 s = 25 s.
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

std::error_code ErrorOf(boost::system::error_code error) {
  return error == beast::error::timeout ? Errc::kTimeout : Errc::kBroken;
}

class Connection final : public UpstreamConnection {
 public:
  explicit Connection(asio::any_io_executor executor) : stream_(std::move(executor)) {}
  ~Connection() override {
    if (IsIdle()) CloseInOrder(stream_.socket());
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  Task<Result<void>> Open(Endpoint to, Time deadline) {
    boost::system::error_code error;
    const auto host = asio::ip::make_address(to.host, error);
    if (error) co_return Errc::kUnreachable;
    stream_.expires_at(TimerExpiry(deadline));
    co_await stream_.async_connect(tcp::endpoint(host, to.port),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Errc::kUnreachable;
    ResetWhenClosed(stream_.socket());
    stream_.socket().set_option(tcp::no_delay(true), error);
    stream_.socket().set_option(asio::socket_base::keep_alive(true), error);
    SetOption(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    SetOption(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    SetOption(TCP_KEEPCNT, kKeepAliveProbes);
    co_return boost::outcome_v2::success();
  }

  bool Usable() override {
    char byte = 0;
    const auto got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer_.size() == 0;
  }

  Task<Result<void>> SendHead(const RequestHead& head, Time deadline) override {
    request_.emplace();
    request_sent_ = false;
    request_->method_string(head.method);
    request_->target(head.target);
    request_->version(11);
    SetHeadersAndFraming(head.headers, head.framing, head.body_length, *request_);
    request_->body().data = nullptr;
    request_->body().more = head.framing != BodyFraming::kNone;
    serializer_.emplace(*request_);
    parser_.reset();
    stream_.expires_at(TimerExpiry(deadline));
    boost::system::error_code error;
    bytes_ += co_await http::async_write_header(stream_, *serializer_,
                                                asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return ErrorOf(error);
    request_sent_ = head.framing == BodyFraming::kNone;
    co_return boost::outcome_v2::success();
  }

  Task<Result<void>> SendBody(std::span<const char> piece, bool last, Time deadline) override {
    if (piece.empty() && !last) co_return boost::outcome_v2::success();
    auto& body = request_->body();
    body.data = piece.empty() ? nullptr : const_cast<char*>(piece.data());
    body.size = piece.size();
    body.more = !last;
    stream_.expires_at(TimerExpiry(deadline));
    boost::system::error_code error;
    bytes_ += co_await http::async_write(stream_, *serializer_,
                                         asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) co_return ErrorOf(error);
    request_sent_ = last;
    co_return boost::outcome_v2::success();
  }

  Task<bool> WaitForResponse(Time deadline) override {
    if (buffer_.size() > 0) co_return true;
    stream_.expires_never();
    asio::steady_timer timer(stream_.get_executor(), TimerExpiry(deadline));
    auto first = co_await asio::experimental::make_parallel_group(
                     stream_.socket().async_wait(tcp::socket::wait_read, asio::deferred),
                     timer.async_wait(asio::deferred))
                     .async_wait(asio::experimental::wait_for_one(), asio::use_awaitable);
    co_return std::get<0>(first)[0] == 0;
  }

  Task<Result<ResponseHead>> ReadHead(bool head_request, Time deadline) override {
    parser_.emplace();
    parser_->header_limit(kMaxResponseHeader);
    parser_->body_limit(boost::none);
    if (head_request) parser_->skip(true);
    stream_.expires_at(TimerExpiry(deadline));
    boost::system::error_code error;
    bytes_ += co_await http::async_read_header(stream_, buffer_, *parser_,
                                               asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return ErrorOf(error);
    const auto& message = parser_->get();
    const auto length = parser_->content_length();
    co_return ResponseHead{.status = static_cast<int>(message.result_int()),
                           .headers = EndToEndHeaders(message),
                           .framing = FramingOf(*parser_),
                           .body_length = length ? *length : 0};
  }

  Task<Result<std::size_t>> ReadBody(std::span<char> buffer, Time deadline) override {
    while (!parser_->is_done()) {
      auto& body = parser_->get().body();
      body.data = buffer.data();
      body.size = buffer.size();
      stream_.expires_at(TimerExpiry(deadline));
      boost::system::error_code error;
      bytes_ += co_await http::async_read_some(stream_, buffer_, *parser_,
                                               asio::redirect_error(asio::use_awaitable, error));
      if (error && error != http::error::need_buffer) co_return ErrorOf(error);
      const std::size_t filled = buffer.size() - body.size;
      if (filled > 0) co_return filled;
    }
    co_return std::size_t{0};
  }

  // Bytes after a complete response belong to no request of this connection, so the
  // connection is not reused.
  bool MayReuse() const override {
    return parser_ && parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
  }
  std::size_t bytes() const override { return bytes_; }

 private:
  // Whether no request is under way. Otherwise the connection is reset when it is closed.
  bool IsIdle() const { return !request_ || (request_sent_ && parser_ && parser_->is_done()); }

  void SetOption(int name, int value) {
    ::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, name, &value, sizeof value);
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  // The connection is idle before its first request, and from when a request was sent and its
  // response read, both completely, until the next one begins.
  std::optional<http::request<http::buffer_body>> request_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;  // Refers to request_.
  bool request_sent_ = false;  // The last byte of request_ was written.
  std::optional<http::response_parser<http::buffer_body>> parser_;  // Of the response to request_.
  std::size_t bytes_ = 0;
};

}  // namespace

Task<Result<std::unique_ptr<UpstreamConnection>>> UpstreamConnection::Connect(Endpoint to,
                                                                              Time deadline) {
  // Coroutines on different strands may use the connection one after another, so its
  // timer runs on a strand of its own.
  auto connection =
      std::make_unique<Connection>(asio::make_strand((co_await asio::this_coro::executor)));
  const auto opened = co_await connection->Open(to, deadline);
  if (!opened) co_return opened.error();
  co_return std::unique_ptr<UpstreamConnection>(std::move(connection));
}

}  // namespace dn
