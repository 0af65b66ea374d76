// Start and shutdown of a process: command line, logging, signals.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "runtime/internal/settings.h"
#include "runtime/internal/worker_pool.h"

namespace dn {

inline constexpr const char* kVersion = "0.1.0";

struct ProcessOptions {
  std::string settings_path;
  bool check_settings = false;
  std::optional<int> exit_status;  // Set if the process must exit at once.
};

// Handles --help, --version, --settings FILE and --check-settings. `purpose` is the
// description in the help text.
ProcessOptions ParseCommandLine(int argc, char** argv, const std::string& purpose);

// Directs the log to standard error, one event per line, and ignores SIGPIPE.
void StartLogging(const char* program);

// Returns a new incarnation, in microseconds since the epoch. Among processes that
// follow each other on one address, incarnations are unique and increase.
std::uint64_t NewIncarnation();

// Runs `drain` at the first SIGTERM or SIGINT and stops the pool when it has
// finished.
void DrainOnSignal(WorkerPool& pool, std::function<Task<>()> drain);

// Loads and checks settings of type T and runs the process with them, unless
// --check-settings is given. Returns the exit status.
template <class T>
int RunWithSettings(int argc, char** argv, const std::string& purpose,
                    const std::function<Findings(const T&)>& check,
                    const std::function<int(const T&)>& run) {
  const ProcessOptions options = ParseCommandLine(argc, argv, purpose);
  if (options.exit_status) return *options.exit_status;
  Findings findings;
  const auto settings = LoadFile<T>(options.settings_path, findings);
  if (settings) {
    for (Finding finding : check(*settings)) {
      finding.file = options.settings_path;
      findings.push_back(std::move(finding));
    }
  }
  if (!findings.empty()) {
    PrintFindings(findings, std::cerr);
    return kExitInvalid;
  }
  if (options.check_settings) return 0;
  StartLogging(argv[0]);
  return run(*settings);
}

}  // namespace dn
