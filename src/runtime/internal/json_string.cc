// Validation of UTF-8 and escapes of JSON.
#include "runtime/internal/json_string.h"

#include <algorithm>
#include <array>

namespace dn {
namespace {

constexpr std::string_view kReplacement = "\xef\xbf\xbd";  // U+FFFD.
constexpr std::string_view kEllipsis = "...";

// First bytes of the UTF-8 sequences of one length, and the range of their second byte
// (Unicode, table 3-7). All further bytes are from 0x80 to 0xbf.
struct SequenceKind {
  unsigned char first_min;
  unsigned char first_max;
  std::size_t length;
  unsigned char second_min = 0x80;
  unsigned char second_max = 0xbf;
};
constexpr std::array<SequenceKind, 9> kSequences = {{{0x00, 0x7f, 1},
                                                     {0xc2, 0xdf, 2},
                                                     {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                                     {0xe1, 0xec, 3},
                                                     {0xed, 0xed, 3, 0x80, 0x9f},
                                                     {0xee, 0xef, 3},
                                                     {0xf0, 0xf0, 4, 0x90, 0xbf},
                                                     {0xf1, 0xf3, 4},
                                                     {0xf4, 0xf4, 4, 0x80, 0x8f}}};

bool IsBetween(char byte, unsigned char min, unsigned char max) {
  const auto value = static_cast<unsigned char>(byte);
  return value >= min && value <= max;
}

// Length of the UTF-8 sequence at the start of `text`; 0 if there is none.
std::size_t SequenceLength(std::string_view text) {
  for (const SequenceKind& kind : kSequences) {
    if (!IsBetween(text[0], kind.first_min, kind.first_max)) continue;
    if (text.size() < kind.length) return 0;
    if (kind.length > 1 && !IsBetween(text[1], kind.second_min, kind.second_max)) return 0;
    for (std::size_t i = 2; i < kind.length; ++i) {
      if (!IsBetween(text[i], 0x80, 0xbf)) return 0;
    }
    return kind.length;
  }
  return 0;
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text, std::size_t max_bytes) {
  constexpr char kFirstPrintable = 0x20;
  out.push_back('"');
  const std::size_t end = out.size() + max_bytes;
  // Where the text is cut if it turns out to be too long.
  std::size_t cut = out.size();
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    std::string piece(length == 0 ? kReplacement : text.substr(0, length));
    if (piece == "\"" || piece == "\\") piece.insert(0, 1, '\\');
    if (length == 1 && piece[0] >= 0 && piece[0] < kFirstPrintable) piece = " ";
    if (out.size() + piece.size() > end) {
      out.resize(cut);
      out += kEllipsis;
      break;
    }
    out += piece;
    if (out.size() + kEllipsis.size() <= end) cut = out.size();
    text.remove_prefix(std::max<std::size_t>(1, length));
  }
  out.push_back('"');
}

}  // namespace dn
