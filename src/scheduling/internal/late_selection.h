// Chooses which waiting jobs become late when the work exceeds the capacity, so that their callers
// lose least (Moore-Hodgson). Without the choice each job waits until its slack is used up, and all
// of them are slightly late. Jobs that remain are placed by work per value: an order by slack meets
// the deadlines only as long as all durations are as estimated.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "scheduling/internal/backlog.h"

namespace dn {

// Jobs of one group that competed for capacity, and those of them that were delayed. Recent jobs
// count most.
struct DelayShareFields {
  double seen = 0;
  double delayed = 0;

  friend auto operator<=>(const DelayShareFields&, const DelayShareFields&) = default;
};
using DelayShare = Immutable<DelayShareFields>;

// Bounds how often jobs are delayed by their size within a queue, and by their queue within a
// priority, so that neither large jobs nor the jobs of one customer are always the ones.
class DelayShares {
 public:
  // Notes that a job competes for capacity, and that it was delayed; each once for a job.
  void Seen(const WaitingJob& job);
  void Delayed(const WaitingJob& job);
  // Lowers the weight of what was noted so far.
  void Age(Duration elapsed);
  // Whether one more job of that queue and size may be delayed.
  bool MayDelay(const WaitingJob& job) const;

 private:
  struct QueueShares {
    int priority = 0;
    std::map<SizeClass, DelayShareFields> by_size;

    DelayShareFields Sum() const;
  };

  std::map<std::string, QueueShares> queues_;
};

// Returns the order of the jobs that are on time, and of those that are late, while some must
// become late: least work per value first. It is relative to the mean job of the queue, so that a
// queue with larger jobs does not come last.
std::int64_t RankOf(const WaitingJob& job);

// Returns the ranks of the waiting jobs of those pools and priorities of which a job is in `late`
// or was chosen before and still waits.
// The others keep the order by slack: while all jobs can be on time, it is the better one.
std::map<JobId, std::int64_t> RanksOf(const Backlog& backlog, const std::set<JobId>& late);

// Returns the jobs of `backlog` that should become late. Nothing if all can be on time. `shares`:
// the jobs that compete and those that were delayed before.
std::set<JobId> SelectLate(const Backlog& backlog, DelayShares shares);

}  // namespace dn
