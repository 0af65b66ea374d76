// Log of decisions: one JSON line per decision on standard output, limited in
// rate. A slow reader loses lines and never delays the process.
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

  // Writes one line. `detail` is a list of name=value pairs. Lines above the rate
  // limit are dropped and counted; the next line that is written states the count
  // in its member `left_out`.
  void Write(std::string_view kind, std::string_view subject, std::string_view detail);
  // Number of lines dropped since the start of the process.
  std::uint64_t left_out() const;
  // Number of decisions by kind, including those whose lines were dropped, in
  // Prometheus text format.
  std::string Prometheus() const;

 private:
  struct Budget {
    Time window_start{};
    int lines = 0;                 // Lines in the current window, including dropped ones.
    std::uint64_t unreported = 0;  // Dropped lines that no written line has stated yet.
    std::uint64_t left_out = 0;    // Dropped lines in total.
    std::map<std::string, std::uint64_t, std::less<>> by_kind;
  };

  const std::string instance_;
  Shared<Budget, LockRank::kEvents> budget_;
};

}  // namespace dn
