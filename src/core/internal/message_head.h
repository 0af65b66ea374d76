// Defines the heads of proxied HTTP requests and responses, independent of any
// HTTP library.
#pragma once

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dn {

// One HTTP header field.
struct Header {
  std::string name;
  std::string value;

  auto operator<=>(const Header&) const = default;
};

// Compares two header names case-insensitively.
inline bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

using Headers = std::vector<Header>;

// Returns the value of the first header called `name`, or nothing if there is none.
inline std::optional<std::string> FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }
  return std::nullopt;
}

// How the end of a message body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Request line and headers of a request.
struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;  // Excludes framing and hop-by-hop headers.
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_length = 0;  // In bytes; only for kLength.
  bool keep_alive = true;

  auto operator<=>(const RequestHead&) const = default;
};

// Status and headers of a response.
struct ResponseHead {
  int status = 0;
  Headers headers;  // Excludes framing and hop-by-hop headers.
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_length = 0;  // In bytes; only for kLength.

  auto operator<=>(const ResponseHead&) const = default;
};

}  // namespace dn
