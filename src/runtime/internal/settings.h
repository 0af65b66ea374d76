// Loading of settings and configuration files. All problems of a file are reported
// as findings.
#pragma once

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "runtime/internal/json_codec.h"

namespace dn {

// Exit status for invalid input.
inline constexpr int kExitInvalid = 2;

// Returns the content of a file. If the file cannot be read, adds a finding and
// returns nothing.
inline std::optional<std::string> ReadFile(const std::string& path, Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    findings.push_back({.file = path, .pointer = {}, .line = 0, .message = "cannot be read"});
    return std::nullopt;
  }
  return std::move(text).str();
}

// Decodes a JSON file into a described type. Adds all problems to `findings` and
// returns nothing if there are any.
template <class T>
std::optional<T> LoadFile(const std::string& path, Findings& findings) {
  const auto text = ReadFile(path, findings);
  if (!text) return std::nullopt;
  return DecodeText<T>(path, *text, UnknownMembers::kReject, findings);
}

// Prints one finding per line.
inline void PrintFindings(const Findings& findings, std::ostream& out) {
  for (const Finding& finding : findings) out << finding.ToString() << '\n';
}

}  // namespace dn
