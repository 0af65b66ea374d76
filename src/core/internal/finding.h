// Defines findings: problems found in an input, each with its location. All
// findings of an input are reported together.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace dn {

// One problem found in an input.
struct Finding {
  std::string file;
  std::string pointer;  // JSON pointer to the value; empty for the whole document.
  int line = 0;         // 1-based; 0 if unknown.
  std::string message;

  // Formats the finding as "file:line: pointer: message".
  std::string ToString() const {
    return file + ":" + std::to_string(line) + ": " + (pointer.empty() ? "/" : pointer) + ": " +
           message;
  }
  friend bool operator==(const Finding&, const Finding&) = default;
  friend auto operator<=>(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

}  // namespace dn
