// dn-standin-store: process that stands in for the platform's metadata store.
#include "standins/standins.h"

int main(int argc, char** argv) {
  using dn::standins::StoreStandin;
  using dn::standins::StoreStandinSettings;
  return dn::standins::StandinMain<StoreStandin, StoreStandinSettings>(
      argc, argv, "Stand-in for the metadata store of the platform.");
}
