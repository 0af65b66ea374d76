// Structured lines on standard output: one a decision, bounded in number and
// never waiting for the reader.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/core.h"
#include "runtime/internal/lock_order.h"

namespace dn {

class DecisionLog {
 public:
  explicit DecisionLog(std::string instance);

  // `detail` is a list of name=value. Lines over the budget are counted, and the
  // count is written with the next line that fits.
  void Write(std::string_view kind, std::string_view subject, std::string_view detail);
  // Lines that were left out so far.
  std::uint64_t left_out() const;
  // Number of decisions by kind, also of those left out, in Prometheus text
  // format.
  std::string Prometheus() const;

 private:
  struct Budget {
    Time window{};
    int lines = 0;               // In this window.
    std::uint64_t pending = 0;   // Left out and not reported.
    std::uint64_t left_out = 0;  // In total.
    std::map<std::string, std::uint64_t, std::less<>> by_kind;
  };

  const std::string instance_;
  Shared<Budget, LockRank::kEvents> budget_;
};

}  // namespace dn
