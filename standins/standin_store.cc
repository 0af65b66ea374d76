// dn-standin-store: stand-in process for tests, benches and the demo.
#include "standins/standins.h"

int main(int argc, char** argv) {
  using dn::standins::StoreStandin;
  using dn::standins::StoreStandinSettings;
  return dn::standins::StandinMain<StoreStandin, StoreStandinSettings>(
      argc, argv, "Stand-in for the platform (metadata store).");
}
