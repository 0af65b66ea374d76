// Table of the control calls and their handlers.
#include "operators/internal/control_routes.h"

#include <cstdlib>

namespace dn {

const std::array<ControlRoutes::Route, 6> ControlRoutes::kRoutes = {
    {{HttpMethod::kGet, "/health", &ControlRoutes::Health},
     {HttpMethod::kGet, "/status", &ControlRoutes::ShowStatus},
     {HttpMethod::kGet, "/events", &ControlRoutes::Events},
     {HttpMethod::kGet, "/metrics", &ControlRoutes::Prometheus},
     {HttpMethod::kPost, "/rpc", &ControlRoutes::Rpc},
     {HttpMethod::kPost, "/drain", &ControlRoutes::Drain}}};

Task<HttpReply> ControlRoutes::Handle(HttpCall call) {
  int status = 404;
  for (const Route& route : kRoutes) {
    if (route.path != call.path) continue;
    if (route.method == call.method) co_return (this->*route.handle)(call);
    status = 405;
  }
  co_return HttpReply{.status = status, .body = "{}"};
}

HttpReply ControlRoutes::Health(const HttpCall&) {
  const Status status = context_.status();
  const bool accepts_requests = status->serving && !status->draining && status->may_act;
  return {.status = accepts_requests ? 200 : 503,
          .body = accepts_requests ? R"({"serves":true})" : R"({"serves":false})"};
}

HttpReply ControlRoutes::ShowStatus(const HttpCall&) {
  return {.body = EncodeText(context_.status())};
}

HttpReply ControlRoutes::Events(const HttpCall& call) {
  const auto after = call.query.find("after");
  const std::int64_t logical =
      after == call.query.end() ? 0 : std::strtoll(after->second.c_str(), nullptr, 10);
  return {.body = EncodeText(context_.events.After(logical))};
}

HttpReply ControlRoutes::Prometheus(const HttpCall&) {
  return {.body = context_.metrics.Prometheus(), .content_type = "text/plain; version=0.0.4"};
}

HttpReply ControlRoutes::Rpc(const HttpCall& call) { return {.body = context_.rpc(call.body)}; }

HttpReply ControlRoutes::Drain(const HttpCall&) {
  context_.drain();
  return {.status = 202, .body = "{}"};
}

}  // namespace dn
