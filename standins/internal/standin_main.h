// Main function of the stand-in processes.
#pragma once

#include <iostream>
#include <string>

#include "runtime/runtime.h"

namespace dn::standins {

// Runs a stand-in until SIGTERM, with the settings given on the command line. Returns the
// exit status of the process.
template <class Standin, class Settings>
int StandinMain(int argc, char** argv, const std::string& purpose) {
  const auto check = [](const Settings&) { return Findings(); };
  const auto run = [](const Settings& settings) {
    constexpr int kThreads = 3;
    WorkerPool pool(kThreads);
    Standin standin(pool, settings);
    const auto started = standin.Start();
    if (!started) {
      std::cerr << "stand-in failed to start: " << started.error().message() << '\n';
      return 1;
    }
    // A stand-in exits without draining.
    DrainOnSignal(pool, []() -> Task<> { co_return; });
    pool.Run();
    return 0;
  };
  return RunWithSettings<Settings>(argc, argv, purpose, check, run);
}

}  // namespace dn::standins
