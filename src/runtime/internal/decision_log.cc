// Rate limit and JSON format of the decision log.
#include "runtime/internal/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include "runtime/internal/json_string.h"

namespace dn {
namespace {

// Maximum lines per window of one second. Writing a line takes about 10 us, so the
// log uses at most 0.2 % of a core.
constexpr int kLinesPerWindow = 200;
constexpr Duration kWindow{1'000};
// Maximum sizes of the texts of a line, in bytes. A pipe takes a line of up to 4,096 bytes
// (PIPE_BUF) whole or not at all.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxSubjectBytes = 800;
constexpr std::size_t kMaxDetailBytes = 2'400;

}  // namespace

DecisionLog::DecisionLog(std::string instance) : instance_(std::move(instance)) {
  // A blocking write would delay the process whenever the reader is slow.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

std::uint64_t DecisionLog::left_out() const {
  return budget_.With([](const Budget& budget) { return budget.left_out; });
}

std::string DecisionLog::Prometheus() const {
  return budget_.With([](const Budget& budget) {
    std::string out = "# TYPE dn_decisions_total counter\n";
    for (const auto& [kind, count] : budget.by_kind) {
      out += "dn_decisions_total{kind=\"" + kind + "\"} " + std::to_string(count) + '\n';
    }
    return out + "# TYPE dn_log_lines_left_out_total counter\ndn_log_lines_left_out_total " +
           std::to_string(budget.left_out) + '\n';
  });
}

void DecisionLog::Write(std::string_view kind, std::string_view subject, std::string_view detail) {
  const Time now = Now();
  const auto unreported = budget_.With([&](Budget& budget) -> std::optional<std::uint64_t> {
    const auto counted = budget.by_kind.find(kind);
    if (counted == budget.by_kind.end()) {
      budget.by_kind.emplace(kind, 1);
    } else {
      ++counted->second;
    }
    if (now - budget.window_start >= kWindow) {
      budget.window_start = now;
      budget.lines = 0;
    }
    if (++budget.lines > kLinesPerWindow) {
      ++budget.unreported;
      ++budget.left_out;
      return std::nullopt;
    }
    return std::exchange(budget.unreported, 0);
  });
  if (!unreported) return;
  std::string line = R"({"at_ms":)" + std::to_string(WallMs()) + R"(,"instance":)";
  AppendJsonString(line, instance_, kMaxNameBytes);
  line += R"(,"kind":)";
  AppendJsonString(line, kind, kMaxNameBytes);
  line += R"(,"subject":)";
  AppendJsonString(line, subject, kMaxSubjectBytes);
  line += R"(,"detail":)";
  AppendJsonString(line, detail, kMaxDetailBytes);
  if (*unreported > 0) line += R"(,"left_out":)" + std::to_string(*unreported);
  line += "}\n";
  // The reader does not keep up: the line is lost or incomplete, and is counted.
  const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
  if (written == static_cast<ssize_t>(line.size())) return;
  budget_.With([](Budget& budget) {
    ++budget.unreported;
    ++budget.left_out;
  });
}

}  // namespace dn
