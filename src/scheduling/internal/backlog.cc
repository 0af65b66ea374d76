// Sums of a backlog, and the sizes of jobs by queue.
#include "scheduling/internal/backlog.h"

#include <algorithm>

namespace dn {
namespace {

constexpr double kMillicores = 1'000;
// Recent jobs of a queue that its sizes are taken from: at 10 jobs per second the last 20 s.
constexpr std::size_t kRecentJobs = 200;
// Below this number of jobs the largest tenth would be one job at most.
constexpr std::size_t kLeastJobs = 20;
// Jobs between two computations of the quantiles: they move by a tenth at most meanwhile.
constexpr std::size_t kSortPeriod = 20;
constexpr double kLargeQuantile = 0.7;
constexpr double kLargestQuantile = 0.9;
// Value of a job: see docs/SCHEDULING_UNDER_LOAD.md, "Two new deployments".
constexpr double kBaseValue = 0.3;
constexpr double kWorkValue = 0.7;
constexpr double kMaxValue = 4;

}  // namespace

double WorkBefore(const Backlog& backlog, CorePool pool, int priority) {
  double work = backlog->CapacityOf(pool)->running_work;
  for (const WaitingJob& job : backlog->waiting) {
    const bool takes_cores = job->pool == pool || job->pool == CorePool::kReserved;
    if (takes_cores && job->priority < priority && HasValue(job)) work += job->work;
  }
  return work;
}

void KindSizes::Observe(const std::string& queue, double work) {
  Kind& kind = kinds_[queue];
  kind.sum += work;
  if (kind.recent.size() < kRecentJobs) {
    kind.recent.push_back(work);
  } else {
    kind.sum -= std::exchange(kind.recent[kind.next], work);
    kind.next = (kind.next + 1) % kRecentJobs;
  }
  const bool first = !kind.sorted && kind.recent.size() >= kLeastJobs;
  if (!first && (!kind.sorted || ++kind.since_sorted < kSortPeriod)) return;
  std::vector<double> sorted = kind.recent;
  std::sort(sorted.begin(), sorted.end());
  const auto quantile = [&](double share) {
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size()))];
  };
  kind.large_from = quantile(kLargeQuantile);
  kind.largest_from = quantile(kLargestQuantile);
  kind.sorted = true;
  kind.since_sorted = 0;
}

double KindSizes::ValueOf(const std::string& queue, double work) const {
  return std::min(kMaxValue, kBaseValue + kWorkValue * work / MeanOf(queue, work));
}

double KindSizes::MeanOf(const std::string& queue, double work) const {
  const auto found = kinds_.find(queue);
  const bool known = found != kinds_.end() && found->second.sum > 0;
  if (known) return found->second.sum / static_cast<double>(found->second.recent.size());
  return std::max(1.0, work);
}

SizeClass KindSizes::ClassOf(const std::string& queue, double work) const {
  const auto found = kinds_.find(queue);
  if (found == kinds_.end() || !found->second.sorted) return SizeClass::kUsual;
  if (work >= found->second.largest_from) return SizeClass::kLargest;
  return work >= found->second.large_from ? SizeClass::kLarge : SizeClass::kUsual;
}

std::set<std::string> SharedServices(const QueueConfiguration& configuration) {
  std::map<std::string, int> first_priority;
  std::set<std::string> shared;
  for (const Queue& queue : configuration->queues) {
    const auto [found, added] = first_priority.try_emplace(queue->service, queue->priority);
    if (!added && found->second != queue->priority) shared.insert(queue->service);
  }
  return shared;
}

double WorkOf(const JobSpec& spec) {
  double work = 0;
  for (const StepSpec& step : spec->steps) {
    work += step->count * static_cast<double>(step->estimate_ms) *
            static_cast<double>(step->demand.millicores) / kMillicores;
  }
  return work;
}

}  // namespace dn
