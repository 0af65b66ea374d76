// Runs that were lost with workers that may live: not listed, with leases that have expired. A
// later registration of the worker, or of another one at its address, tells whether it had crashed.
#pragma once

#include <map>
#include <vector>

#include "scheduling/internal/job_table.h"

namespace dn {

struct OpenLossFields {
  TaskRef task;
  int run = 0;
  std::int64_t worker_start_time_ms = 0;  // Incarnation in which the run was placed.
  LossKind if_crashed = LossKind::kCrashed;

  friend auto operator<=>(const OpenLossFields&, const OpenLossFields&) = default;
};
using OpenLoss = Immutable<OpenLossFields>;

// What a registration tells of a loss.
struct ExplainedLossFields {
  OpenLoss loss;
  bool crashed = false;  // False: the worker lived.

  friend auto operator<=>(const ExplainedLossFields&, const ExplainedLossFields&) = default;
};
using ExplainedLoss = Immutable<ExplainedLossFields>;

class OpenLosses {
 public:
  // Keeps losses of a worker that is given up, beside those that are kept already.
  void Add(const WorkerEntry& worker, std::vector<OpenLoss> losses, Time now);
  // Returns the losses that the registration explains, and forgets them.
  std::vector<ExplainedLoss> Take(const WorkerEntry& entry);
  // Forgets the losses with workers that have not come back for kOpenLossPeriod.
  void Expire(Time now);

 private:
  struct Lost {
    Endpoint address;
    std::vector<OpenLoss> losses;  // Not empty.
    Time since{};
  };

  std::map<WorkerId, Lost> lost_;
  std::map<Endpoint, WorkerId> by_address_;  // The worker in `lost_` that was lost there last.
};

}  // namespace dn
