// Control calls that an instance serves over HTTP: for operators, for the platform's balancer and
// for siblings.
#pragma once

#include <functional>
#include <string>

#include "operators/internal/status.h"
#include "runtime/runtime.h"

namespace dn {

// Parts of the instance that the handlers use. The functions are called on any thread.
struct ControlContext {
  EventLog& events;
  Metrics& metrics;
  std::function<Status()> status;
  // Executes a JSON-RPC call of a sibling and returns the response, both as text.
  std::function<std::string(const std::string& call)> rpc;
  // Starts the drain of the instance and returns at once.
  std::function<void()> drain;
};

class ControlRoutes {
 public:
  explicit ControlRoutes(ControlContext context) : context_(std::move(context)) {}

  // Responds with 404 to an unknown path, and with 405 to a known path with another method.
  Task<HttpReply> Handle(HttpCall call);

 private:
  // 200 while the instance accepts requests of callers, is not draining and not isolated; otherwise
  // 503.
  HttpReply Health(const HttpCall& call);
  HttpReply ShowStatus(const HttpCall& call);
  // Events with a logical time after the query parameter "after", or all that are kept.
  HttpReply Events(const HttpCall& call);
  HttpReply Prometheus(const HttpCall& call);
  HttpReply Rpc(const HttpCall& call);
  HttpReply Drain(const HttpCall& call);

  struct Route {
    HttpMethod method;
    std::string_view path;
    HttpReply (ControlRoutes::*handle)(const HttpCall&);
  };
  static const std::array<Route, 6> kRoutes;

  const ControlContext context_;
};

}  // namespace dn
