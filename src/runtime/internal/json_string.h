// Strings of a JSON text, from bytes that need not be text.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace dn {

// Appends `text` to `out` as a JSON string in quotes. Control characters become spaces and
// bytes that are not UTF-8 become U+FFFD. At most `max_bytes` are written between the
// quotes; a longer text ends in "...".
void AppendJsonString(std::string& out, std::string_view text, std::size_t max_bytes);

}  // namespace dn
