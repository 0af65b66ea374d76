// Selection of the jobs that become late, for each pool of cores and each priority.
#include "scheduling/internal/late_selection.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dn {
namespace {

// A group is delayed at most this multiple as often as the rest. A deployment fails if the largest
// tenth of a kind is served less than half as often as the kind.
constexpr double kMaxMultiple = 2;
// Delays of a group that are allowed beyond the multiple, so that the first one is possible.
constexpr double kFirstDelays = 1;
// Least share of the jobs of a group that is not delayed, relative to that of the rest: above the
// half at which a deployment fails, with a margin for those that are late without being chosen.
constexpr double kLeastOnTime = 0.6;
constexpr double kRankScale = 1'000;  // A rank of this value: a job of mean size.
// Time after which a noted job counts by 1/e: several bursts of 3 to 6 s.
constexpr double kMemoryMs = 20'000;
// A step ends with the longest of its tasks: with a spread of 0.3 the longest of ten takes
// about 1.5 times the estimate. This share of the remaining path is kept for it.
constexpr double kTail = 0.5;

bool IsWithinBounds(const DelayShareFields& group, const DelayShareFields& rest) {
  if (rest.seen < 1) return true;  // Nothing to compare with.
  const double rest_share = rest.delayed / rest.seen;
  const double delayed = group.delayed + 1;
  const double by_multiple = kFirstDelays + kMaxMultiple * rest_share * group.seen;
  const double by_rest_on_time = kFirstDelays + group.seen * (1 - kLeastOnTime * (1 - rest_share));
  return delayed <= std::min(by_multiple, by_rest_on_time);
}

DelayShareFields Difference(const DelayShareFields& whole, const DelayShareFields& part) {
  return {.seen = whole.seen - part.seen, .delayed = whole.delayed - part.delayed};
}

// Whether jobs may be delayed, by queue and size. It holds until the shares change.
class DelayBounds {
 public:
  bool MayDelay(const WaitingJob& job, const DelayShares& shares) {
    const auto [found, added] = known_.try_emplace({job->queue, job->size}, false);
    if (added) found->second = shares.MayDelay(job);
    return found->second;
  }
  void Reset() { known_.clear(); }

 private:
  std::map<std::pair<std::string, SizeClass>, bool> known_;
};

// Returns the job with the largest work per value among `chosen` that may be delayed, or the end.
std::vector<const WaitingJob*>::iterator LeastLoss(std::vector<const WaitingJob*>& chosen,
                                                   const DelayShares& shares, DelayBounds& bounds) {
  auto best = chosen.end();
  for (auto job = chosen.begin(); job != chosen.end(); ++job) {
    const auto work_per_value = [](const WaitingJob& of) { return of->work / of->value; };
    if (best != chosen.end() && work_per_value(**job) <= work_per_value(**best)) continue;
    if ((**job)->delayed || bounds.MayDelay(**job, shares)) best = job;
  }
  return best;
}

// Returns the time until the job's work must have been done.
double SafeLeftMs(const WaitingJob& job) {
  return static_cast<double>(job->left_ms) - kTail * static_cast<double>(job->path_ms);
}

// Moore-Hodgson for the jobs of one pool and priority: takes the jobs by deadline and, whenever the
// work by a deadline exceeds the capacity, delays the taken job with the largest work per value.
void SelectAmong(std::vector<const WaitingJob*> jobs, double work_before, double rate,
                 DelayShares& shares, std::set<JobId>& late) {
  std::sort(jobs.begin(), jobs.end(), [](const WaitingJob* a, const WaitingJob* b) {
    return std::tie((*a)->left_ms, (*a)->id) < std::tie((*b)->left_ms, (*b)->id);
  });
  std::vector<const WaitingJob*> chosen;
  DelayBounds bounds;
  double work = work_before;
  for (const WaitingJob* const job : jobs) {
    chosen.push_back(job);
    work += (*job)->work;
    while (work > rate * SafeLeftMs(*job)) {
      const auto victim = LeastLoss(chosen, shares, bounds);
      if (victim == chosen.end()) break;
      work -= (**victim)->work;
      late.insert((**victim)->id);
      if (!(**victim)->delayed) {
        shares.Delayed(**victim);
        bounds.Reset();
      }
      chosen.erase(victim);
    }
  }
}

}  // namespace

DelayShareFields DelayShares::QueueShares::Sum() const {
  DelayShareFields sum;
  for (const auto& [size, share] : by_size) {
    sum.seen += share.seen;
    sum.delayed += share.delayed;
  }
  return sum;
}

void DelayShares::Seen(const WaitingJob& job) {
  QueueShares& queue = queues_[job->queue];
  queue.priority = job->priority;
  queue.by_size[job->size].seen += 1;
}

void DelayShares::Delayed(const WaitingJob& job) {
  QueueShares& queue = queues_[job->queue];
  queue.priority = job->priority;
  queue.by_size[job->size].delayed += 1;
}

void DelayShares::Age(Duration elapsed) {
  const double factor = std::exp(-static_cast<double>(elapsed.count()) / kMemoryMs);
  for (auto& [name, queue] : queues_) {
    for (auto& [size, share] : queue.by_size) {
      share.seen *= factor;
      share.delayed *= factor;
    }
  }
}

bool DelayShares::MayDelay(const WaitingJob& job) const {
  const auto found = queues_.find(job->queue);
  if (found == queues_.end()) return true;
  const DelayShareFields own = found->second.Sum();
  const auto size = found->second.by_size.find(job->size);
  if (job->size != SizeClass::kUsual && size != found->second.by_size.end() &&
      !IsWithinBounds(size->second, Difference(own, size->second))) {
    return false;
  }
  DelayShareFields others;
  for (const auto& [name, queue] : queues_) {
    if (name == job->queue || queue.priority != job->priority) continue;
    const DelayShareFields sum = queue.Sum();
    others.seen += sum.seen;
    others.delayed += sum.delayed;
  }
  return IsWithinBounds(own, others);
}

std::int64_t RankOf(const WaitingJob& job) {
  return std::llround(kRankScale * job->relative_work / job->value);
}

std::map<JobId, std::int64_t> RanksOf(const Backlog& backlog, const std::set<JobId>& late) {
  std::set<std::pair<CorePool, int>> chosen;
  for (const WaitingJob& job : backlog->waiting) {
    if (late.count(job->id) > 0 || job->delayed) chosen.insert({job->pool, job->priority});
  }
  std::map<JobId, std::int64_t> ranks;
  for (const WaitingJob& job : backlog->waiting) {
    if (chosen.count({job->pool, job->priority}) > 0) ranks[job->id] = RankOf(job);
  }
  return ranks;
}

std::set<JobId> SelectLate(const Backlog& backlog, DelayShares shares) {
  std::map<std::pair<CorePool, int>, std::vector<const WaitingJob*>> groups;
  for (const WaitingJob& job : backlog->waiting) {
    if (CanBeOnTime(job) && backlog->ExceedsCapacity(job->pool))
      groups[{job->pool, job->priority}].push_back(&job);
  }
  std::set<JobId> late;
  for (auto& [group, jobs] : groups) {
    const auto [pool, priority] = group;
    SelectAmong(std::move(jobs), WorkBefore(backlog, pool, priority),
                backlog->CapacityOf(pool)->Rate(), shares, late);
  }
  return late;
}

}  // namespace dn
