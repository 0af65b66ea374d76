// dn-standin-worker: process that stands in for workers of the platform.
#include "standins/standins.h"

int main(int argc, char** argv) {
  using dn::standins::WorkerStandin;
  using dn::standins::WorkerStandinSettings;
  return dn::standins::StandinMain<WorkerStandin, WorkerStandinSettings>(
      argc, argv, "Stand-in for workers of the platform and their backend servers.");
}
