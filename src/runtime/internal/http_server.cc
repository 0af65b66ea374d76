// HTTP server based on Boost.Beast.
#include "runtime/internal/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/url/parse.hpp>

#include "runtime/internal/tcp_server.h"

namespace dn {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// Time limit for the first bytes of the next request of a connection, for the rest of it, and for
// sending a response.
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

// What the connections of a server share.
struct Connections {
  const HttpServer::Handler handler;
  const HttpLimits limits;
  std::atomic<bool> keep_alive_disabled{false};  // Each connection is closed after a response.
};

Task<> Write(beast::tcp_stream& stream, HttpReply reply, bool keep_alive,
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

// Responds to a request that violates the protocol or a limit. Other errors close
// the connection without a response.
Task<> RejectMalformed(beast::tcp_stream& stream, boost::system::error_code error) {
  const auto& http_errors = http::make_error_code(http::error::end_of_stream).category();
  if (error == http::error::end_of_stream || error.category() != http_errors) co_return;
  const bool too_large = error == http::error::header_limit || error == http::error::body_limit;
  boost::system::error_code ignored;
  HttpReply reply{.status = too_large ? 413 : 400, .body = "{}"};
  co_await Write(stream, std::move(reply), false, ignored);
}

// Processes the requests of one connection, one after the other.
Task<> Serve(std::shared_ptr<Connections> connections, ServerConnection& connection) {
  beast::tcp_stream& stream = connection.stream();
  bool keep_alive = true;
  while (keep_alive && co_await connection.WaitForRequest(kTransferTimeout)) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(connections->limits.header));
    parser.body_limit(connections->limits.body);
    stream.expires_after(kTransferTimeout);
    boost::system::error_code error;
    co_await http::async_read(stream, connection.buffer(), parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return co_await RejectMalformed(stream, error);
    keep_alive = parser.get().keep_alive();
    HttpReply reply = co_await connections->handler(DecodeCall(parser.release()));
    keep_alive = keep_alive && !connections->keep_alive_disabled;
    co_await Write(stream, std::move(reply), keep_alive, error);
    if (error) co_return;
  }
}

// Closes the server when its owner destroys it, while open connections finish their requests.
class Handle final : public HttpServer {
 public:
  Handle(std::shared_ptr<Connections> connections, std::shared_ptr<TcpServer> server)
      : connections_(std::move(connections)), server_(std::move(server)) {}
  ~Handle() override { Close(); }
  Endpoint address() const override { return server_->address(); }
  void DisableKeepAlive() override { connections_->keep_alive_disabled = true; }
  void Close() override {
    DisableKeepAlive();
    server_->Close();
  }
  bool closed() const override { return server_->closed(); }

 private:
  const std::shared_ptr<Connections> connections_;
  const std::shared_ptr<TcpServer> server_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Start(WorkerPool& pool, const Endpoint& address,
                                                      Handler handler, HttpLimits limits) {
  const std::shared_ptr<Connections> connections(
      new Connections{.handler = std::move(handler), .limits = limits});
  auto server = TcpServer::Start(pool, address, [connections](ServerConnection& connection) {
    return Serve(connections, connection);
  });
  if (!server) return server.error();
  return std::unique_ptr<HttpServer>(
      std::make_unique<Handle>(connections, std::move(server).value()));
}

}  // namespace dn
