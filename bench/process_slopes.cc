// Measures the processor time, memory and traffic by kind that an idle dn-entry
// process spends on control, at three numbers of workers. docs/CAPACITY.md is based on
// these figures and on those of slopes.cc.
#include <unistd.h>

#include <boost/asio.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "tests/support/scenario.h"

namespace {

using dn::Duration;
using dn::Task;
using dn::testing::Fleet;

constexpr Duration kSettlingTime{3000};
constexpr Duration kMeasuringTime{10'000};
constexpr Duration kStartLimit{30'000};

struct Usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
  std::map<std::string, std::uint64_t> bytes;
};

// Reads the usage of process `name` from /proc/<pid>/stat, /proc/<pid>/statm and its status.
Task<Usage> ReadUsage(Fleet& fleet, std::string name) {
  Usage usage;
  const std::string folder = "/proc/" + std::to_string(fleet.pid(name));
  std::ifstream stat(folder + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kUserTime = 11;  // Number of fields between the program's name and utime.
  std::string field;
  for (int i = 0; i < kUserTime; ++i) fields >> field;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpu_seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  double total = 0;
  double resident = 0;
  std::ifstream(folder + "/statm") >> total >> resident;
  usage.resident_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  const auto status = co_await fleet.StatusOf(name);
  if (status) usage.bytes = (*status)->bytes;
  co_return usage;
}

Task<> Measure(Fleet& fleet, dn::Configuration configuration, int workers, bool& served) {
  if (!co_await fleet.Apply(configuration)) co_return;
  if (!co_await fleet.WaitServing(kStartLimit)) co_return;
  served = true;
  co_await dn::SleepFor(kSettlingTime);
  const std::vector<std::string> names = {"entry-n1-0"};
  for (const std::string& name : names) {
    const Usage before = co_await ReadUsage(fleet, name);
    co_await dn::SleepFor(kMeasuringTime);
    const Usage after = co_await ReadUsage(fleet, name);
    const double seconds = std::chrono::duration<double>(kMeasuringTime).count();
    std::cout << std::left << std::setw(12) << name << std::right << std::setw(8) << workers
              << std::fixed << std::setprecision(2) << std::setw(9)
              << 100 * (after.cpu_seconds - before.cpu_seconds) / seconds << " % core"
              << std::setw(9) << after.resident_mb << " MB";
    for (const auto& [kind, bytes] : after.bytes) {
      const auto spent = bytes - before.bytes.at(kind);
      if (spent > 0)
        std::cout << "  " << kind << ' ' << static_cast<double>(spent) / seconds << " B/s";
    }
    std::cout << '\n';
  }
}

}  // namespace

int main() {
  for (const int workers : {10, 30, 90}) {
    dn::testing::RunningPool running;
    dn::testing::FleetPlan plan = dn::testing::ScenarioPlan({});
    plan.zones = {{{"near"}, {"n1"}, 3, workers, false}};
    Fleet fleet(running.pool(), plan);
    fleet.StartAll();
    bool served = false;
    running.RunToEnd(Measure(fleet, dn::testing::ScenarioConfiguration(), workers, served));
    if (!served) return 1;
  }
  return 0;
}
