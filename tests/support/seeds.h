// Seeds of randomised tests.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace dn::testing {

// Returns consecutive seeds. The environment variable DN_SEEDS sets their number in place
// of `default_count`, and DN_FIRST_SEED the first one in place of 1.
inline std::vector<std::uint64_t> Seeds(std::size_t default_count) {
  const char* const count = std::getenv("DN_SEEDS");
  const char* const first = std::getenv("DN_FIRST_SEED");
  const std::size_t number = count != nullptr ? std::strtoull(count, nullptr, 10) : default_count;
  const std::uint64_t begin = first != nullptr ? std::strtoull(first, nullptr, 10) : 1;
  std::vector<std::uint64_t> seeds;
  for (std::size_t i = 0; i < number; ++i) seeds.push_back(begin + i);
  return seeds;
}

}  // namespace dn::testing
