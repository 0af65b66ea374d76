// Control messages over HTTP, free of any library's types.
#pragma once

#include <map>
#include <string>

#include "core/core.h"

namespace dn {

enum class HttpMethod { kGet, kPost, kDelete, kOther };

struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
  std::string known_tag = {};  // Tag of the answer that the caller has.
  // Received calls: all headers, by lower-case name. Sent calls: extra headers.
  std::map<std::string, std::string> headers = {};
  // Sent calls: repeated once when a kept connection turns out to be broken.
  bool repeatable = true;

  auto operator<=>(const HttpCall&) const = default;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::string tag = {};                             // Names this version of the answer.
  std::map<std::string, std::string> headers = {};  // Sent replies: extra headers.

  auto operator<=>(const HttpReply&) const = default;
};

inline constexpr int kStatusNotModified = 304;  // The caller has this version.

// What a message is for; bytes are counted by kind.
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
