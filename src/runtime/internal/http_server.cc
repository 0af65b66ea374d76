// HTTP server based on Boost.Beast.
#include "runtime/internal/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/url/parse.hpp>

#include "runtime/internal/listen.h"

namespace dn {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Time limit for receiving the next request of a connection, and for sending a
// response.
constexpr Duration kTransferTimeout{60'000};

constexpr std::array<std::pair<http::verb, HttpMethod>, 3> kMethods = {
    {{http::verb::get, HttpMethod::kGet},
     {http::verb::post, HttpMethod::kPost},
     {http::verb::delete_, HttpMethod::kDelete}}};

HttpMethod MethodOf(http::verb verb) {
  for (const auto& [from, to] : kMethods) {
    if (from == verb) return to;
  }
  return HttpMethod::kOther;
}

HttpCall DecodeCall(http::request<http::string_body>&& request) {
  HttpCall call;
  call.method = MethodOf(request.method());
  const auto url = boost::urls::parse_origin_form(
      boost::core::string_view(request.target().data(), request.target().size()));
  if (url) {
    call.path = url->path();
    for (const auto& parameter : url->params()) call.query[parameter.key] = parameter.value;
  }
  call.cached_tag = std::string(request[http::field::if_none_match]);
  for (const auto& field : request) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    call.headers.emplace(std::move(name), std::string(field.value()));
  }
  call.body = std::move(request.body());
  return call;
}

class Server final : public HttpServer, public std::enable_shared_from_this<Server> {
 public:
  Server(WorkerPool& pool, tcp::acceptor acceptor, Handler handler, HttpLimits limits)
      : pool_(pool),
        acceptor_(std::move(acceptor)),
        handler_(std::move(handler)),
        limits_(limits) {}

  Endpoint address() const override {
    const tcp::endpoint bound = acceptor_.local_endpoint();
    return {.host = bound.address().to_string(), .port = bound.port()};
  }

  void DisableKeepAlive() override { keep_alive_disabled_ = true; }

  void Close() override {
    keep_alive_disabled_ = true;
    closing_ = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
    });
  }

  Task<> Accept() {
    const auto self = shared_from_this();
    while (!closing_) {
      boost::system::error_code error;
      tcp::socket socket(asio::make_strand(pool_.context()));
      co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        co_await SleepFor(Duration(50));  // Usually out of file descriptors.
        continue;
      }
      const auto executor = socket.get_executor();
      asio::co_spawn(executor, Serve(self, beast::tcp_stream(std::move(socket))), asio::detached);
    }
  }

 private:
  static Task<> Serve(std::shared_ptr<Server> self, beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    stream.socket().set_option(tcp::no_delay(true));
    while (!self->closing_) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(static_cast<std::uint32_t>(self->limits_.header));
      parser.body_limit(self->limits_.body);
      stream.expires_after(kTransferTimeout);
      boost::system::error_code error;
      co_await http::async_read(stream, buffer, parser,
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_await RejectMalformed(stream, error);
        co_return;
      }
      const bool keep_alive_requested = parser.get().keep_alive();
      HttpReply reply = co_await self->handler_(DecodeCall(parser.release()));
      const bool keep_alive = keep_alive_requested && !self->keep_alive_disabled_;
      co_await Write(stream, std::move(reply), keep_alive, error);
      if (error || !keep_alive) co_return;
    }
  }

  // Responds to a request that violates the protocol or a limit. Other errors close
  // the connection without a response.
  static Task<> RejectMalformed(beast::tcp_stream& stream, boost::system::error_code error) {
    const auto& http_errors = http::make_error_code(http::error::end_of_stream).category();
    if (error == http::error::end_of_stream || error.category() != http_errors) co_return;
    const bool too_large = error == http::error::header_limit || error == http::error::body_limit;
    boost::system::error_code ignored;
    HttpReply reply{.status = too_large ? 413 : 400, .body = "{}"};
    co_await Write(stream, std::move(reply), false, ignored);
  }

  static Task<> Write(beast::tcp_stream& stream, HttpReply reply, bool keep_alive,
                      boost::system::error_code& error) {
    http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
    response.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.headers) response.set(name, value);
    if (!reply.tag.empty()) response.set(http::field::etag, reply.tag);
    response.body() = std::move(reply.body);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    stream.expires_after(kTransferTimeout);
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
  }

  WorkerPool& pool_;
  tcp::acceptor acceptor_;
  const Handler handler_;
  const HttpLimits limits_;
  std::atomic<bool> keep_alive_disabled_{false};  // Each connection is closed after a response.
  std::atomic<bool> closing_{false};  // No further connections or requests are accepted.
};

// Owner's handle of a server, which open connections share: closes the server on
// destruction.
class Handle final : public HttpServer {
 public:
  explicit Handle(std::shared_ptr<Server> server)
      : server_(std::move(server)), address_(server_->address()) {}
  ~Handle() override { server_->Close(); }
  Endpoint address() const override { return address_; }
  void DisableKeepAlive() override { server_->DisableKeepAlive(); }
  void Close() override { server_->Close(); }

 private:
  const std::shared_ptr<Server> server_;
  const Endpoint address_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Start(WorkerPool& pool, const Endpoint& address,
                                                      Handler handler, HttpLimits limits) {
  auto acceptor = Listen(pool, address);
  if (!acceptor) return acceptor.error();
  const auto executor = acceptor.value().get_executor();
  auto server =
      std::make_shared<Server>(pool, std::move(acceptor).value(), std::move(handler), limits);
  asio::co_spawn(executor, server->Accept(), asio::detached);
  return std::unique_ptr<HttpServer>(std::make_unique<Handle>(std::move(server)));
}

}  // namespace dn
