// Selects a loopback network for each process and fleet.
#include "tests/support/loopback_net.h"

#include <unistd.h>

#include <atomic>

namespace dn::testing {

std::string NextNetworkPrefix() {
  static std::atomic<int> next{0};
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(1 + pid / 250 % 250) + "." +
         std::to_string((pid + 37 * next.fetch_add(1)) % 250) + ".";
}

}  // namespace dn::testing
