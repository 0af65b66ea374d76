// Simulates the load patterns and prints the scores of each, with the elapsed time of the
// shard's decisions relative to the virtual time (column `cores`).
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

#include "bench/load_model/load_model.h"

int main(int argc, char** argv) {
  using namespace dn;
  cxxopts::Options options(argv[0], "Simulates load patterns on a shard in virtual time.");
  options.add_options()("h,help", "show this help")(
      "pattern", "simulate only this pattern", cxxopts::value<std::string>()->default_value(""))(
      "seeds", "number of seeds to simulate for each pattern",
      cxxopts::value<int>()->default_value("3"));
  std::string only;
  int seeds = 0;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    only = parsed["pattern"].as<std::string>();
    seeds = parsed["seeds"].as<int>();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  std::printf("%-28s %4s %6s %6s %7s %7s %8s %7s %6s %6s %5s %6s\n", "pattern", "seed", "urgent",
              "fill", "serving", "waste", "harmed_s", "long_ms", "p50", "p95", "open", "cores");
  for (const bench::LoadPattern& pattern : bench::LoadPatterns()) {
    if (!only.empty() && pattern->name != only) continue;
    for (int seed = 1; seed <= seeds; ++seed) {
      double seconds = 0;
      const auto result =
          bench::SimulateLoad(pattern, Policy(), static_cast<std::uint64_t>(seed), &seconds);
      constexpr double kMillisecond = 1e-3;
      std::printf("%-28s %4d %6.3f %6.3f %7.3f %7.0f %8.1f %7.0f %6.0f %6.0f %5d %6.3f\n",
                  pattern->name.c_str(), seed, result->urgent_score, result->best_effort_score,
                  result->latency_critical_score, result->wasted_core_seconds,
                  result->over_target_seconds, result->longest_over_target_ms,
                  result->first_start_p50_ms, result->first_start_p95_ms, result->unfinished_jobs,
                  seconds / (static_cast<double>(pattern->length.count()) * kMillisecond));
      std::fflush(stdout);
    }
  }
  return 0;
}
