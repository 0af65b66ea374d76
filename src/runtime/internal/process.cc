// Command line, logging and signals.
#include "runtime/internal/process.h"

#include <glog/logging.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace dn {
namespace {

Task<> WaitAndDrain(WorkerPool& pool, std::function<Task<>()> drain) {
  asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
  boost::system::error_code error;
  co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  co_await drain();
  pool.Stop();
}

}  // namespace

ProcessOptions ParseCommandLine(int argc, char** argv, const std::string& purpose) {
  ProcessOptions out;
  cxxopts::Options options(argv[0], purpose);
  options.add_options()("h,help", "show this help")("version", "show the version")(
      "settings", "JSON file with the settings (required)", cxxopts::value<std::string>())(
      "check-settings", "check the settings and exit without starting");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      out.exit_status = 0;
    } else if (parsed.count("version") > 0) {
      std::cout << kVersion << '\n';
      out.exit_status = 0;
    } else if (parsed.count("settings") == 0) {
      std::cerr << "--settings is missing\n";
      out.exit_status = kExitInvalid;
    } else {
      out.settings_path = parsed["settings"].as<std::string>();
      out.check_settings = parsed.count("check-settings") > 0;
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    out.exit_status = kExitInvalid;
  }
  return out;
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  std::signal(SIGPIPE, SIG_IGN);
}

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

void DrainOnSignal(WorkerPool& pool, std::function<Task<>()> drain) {
  pool.Spawn(WaitAndDrain(pool, std::move(drain)));
}

}  // namespace dn
