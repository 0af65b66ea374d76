// Table of the headers that are not forwarded.
#include "http/internal/beast_heads.h"

#include <array>

namespace dn {

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection",     "keep-alive",        "proxy-connection", "te",    "trailer",
      "content-length", "transfer-encoding", "upgrade",          "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view known) { return SameHeaderName(known, name); });
}

}  // namespace dn
