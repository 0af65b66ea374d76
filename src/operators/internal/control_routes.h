// Control calls that an instance answers: to operators, to the platform's
// balancer and to siblings.
#pragma once

#include <functional>
#include <string>

#include "operators/internal/status.h"
#include "runtime/runtime.h"

namespace dn {

// What the routes need from the instance.
struct ControlContext {
  EventLog& events;
  Metrics& metrics;
  std::function<Status()> status;
  std::function<std::string(const std::string& call)> rpc;
  std::function<void()> drain;
};

class ControlRoutes {
 public:
  explicit ControlRoutes(ControlContext context) : context_(std::move(context)) {}

  // 404 for an unknown path, 405 for a wrong method.
  Task<HttpReply> Handle(HttpCall call);

 private:
  HttpReply Health(const HttpCall& call);
  HttpReply ShowStatus(const HttpCall& call);
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
