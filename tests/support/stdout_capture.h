// Redirects standard output to a temporary file, for tests of the decision log.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace dn::testing {

class StdoutCapture {
 public:
  StdoutCapture() : file_(std::tmpfile()), saved_(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    if (file_ == nullptr || saved_ < 0 || ::dup2(::fileno(file_), STDOUT_FILENO) < 0) std::abort();
  }
  ~StdoutCapture() {
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    std::fclose(file_);
  }
  StdoutCapture(const StdoutCapture&) = delete;
  StdoutCapture& operator=(const StdoutCapture&) = delete;

  // Returns everything written since the construction.
  std::string Text() {
    std::string text;
    std::rewind(file_);
    for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
      text.push_back(static_cast<char>(c));
    }
    return text;
  }

 private:
  std::FILE* const file_;
  const int saved_;  // Duplicate of the original standard output.
};

}  // namespace dn::testing
