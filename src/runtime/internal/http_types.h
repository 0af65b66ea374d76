// HTTP requests and responses of control messages, independent of the HTTP library.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/core.h"

namespace dn {

enum class HttpMethod { kGet, kPost, kDelete, kOther };

// A request, received or sent.
struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
  std::string cached_tag = {};  // Entity tag of the response that the caller has cached.
  // Received requests: all headers, by lower-case name. Sent requests: additional
  // headers.
  std::map<std::string, std::string> headers = {};
  // Sent requests: whether to retry once on a new connection if a reused connection
  // is broken. Must be false if a refusal is to prove that the peer did nothing: the
  // refused attempt may have been the second.
  bool retry_on_broken_connection = true;

  auto operator<=>(const HttpCall&) const = default;
};

// A response, received or sent.
struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::string tag = {};                             // Entity tag of this response.
  std::map<std::string, std::string> headers = {};  // Sent responses: additional headers.

  auto operator<=>(const HttpReply&) const = default;
};

// When an outgoing call is given up. `first_byte` and `total` count from its start.
struct CallLimitsFields {
  Duration first_byte{};     // Until the first byte of the response has arrived.
  Duration between_bytes{};  // From then on, without any further byte.
  Duration total{};          // Until the response is complete.

  friend auto operator<=>(const CallLimitsFields&, const CallLimitsFields&) = default;
};
using CallLimits = Immutable<CallLimitsFields>;

// Returns the limits of a call whose total time alone is limited.
inline CallLimits TotalLimit(Duration total) {
  return CallLimits({.first_byte = total, .between_bytes = total, .total = total});
}

// Returns whether an outgoing call may be written now. Empty: it may.
using WriteCondition = std::function<bool()>;

// What is known of an outgoing call, whatever became of it.
struct CallTrace {
  // A connection was open and the call was sent on it, so that the peer may have received bytes of
  // it. Set before the first byte is written.
  bool written = false;
  // Age of that connection when the call began; 0 for a new one.
  Duration connection_age{};
  // From the end of the request to the first byte of the response, and from there to the last
  // byte that was received. 0: no byte was received.
  Duration first_byte{};
  Duration transfer{};

  friend auto operator<=>(const CallTrace&, const CallTrace&) = default;
};

inline constexpr int kStatusNotModified = 304;  // The caller's cached response is current.

// Purpose of a message. Transferred bytes are counted by kind.
enum class TrafficKind { kSibling, kRelay, kOperator, kStore, kWorker };
template <>
struct EnumNames<TrafficKind> {
  static constexpr std::array<EnumName<TrafficKind>, 5> kNames = {
      {{TrafficKind::kSibling, "sibling"},
       {TrafficKind::kRelay, "relay"},
       {TrafficKind::kOperator, "operator"},
       {TrafficKind::kStore, "store"},
       {TrafficKind::kWorker, "worker"}}};
};

}  // namespace dn
