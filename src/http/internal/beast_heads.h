// Conversion between the heads of HTTP messages in src/core and Boost.Beast messages. For sources
// that include Beast themselves.
#pragma once

#include <boost/beast/http.hpp>

#include "core/core.h"

namespace dn {

namespace http = boost::beast::http;

// True for headers that apply to one connection only or frame the body, so that they must not be
// forwarded. `name` is compared without regard to case.
bool IsHopByHop(std::string_view name);

// Returns the headers that may be forwarded.
template <class Fields>
Headers EndToEndHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    const std::string name(field.name_string());
    if (!IsHopByHop(name)) headers.push_back({.name = name, .value = std::string(field.value())});
  }
  return headers;
}

// Sets the headers and the framing of an outgoing message. `length`: length of the body in bytes,
// used for kLength only.
template <class Message>
void SetHeadersAndFraming(const Headers& headers, BodyFraming framing, std::uint64_t length,
                          Message& message) {
  for (const Header& header : headers) message.insert(header.name, header.value);
  if (framing == BodyFraming::kChunked) message.chunked(true);
  if (framing == BodyFraming::kLength) message.content_length(length);
}

// Returns the framing of the body of a message whose head `parser` has read.
template <class Parser>
BodyFraming FramingOf(const Parser& parser) {
  if (parser.chunked()) return BodyFraming::kChunked;
  if (parser.content_length()) return BodyFraming::kLength;
  return parser.need_eof() ? BodyFraming::kUntilClose : BodyFraming::kNone;
}

}  // namespace dn
