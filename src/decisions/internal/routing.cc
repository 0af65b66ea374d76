// Implements the routing strategies and the table from which they are selected.
#include "decisions/internal/routing.h"

#include <array>

namespace dn {
namespace {

// Estimates the latency of a request in microseconds: the measured latency, increased
// for a busy worker and for a worker in another availability zone.
double Cost(const WorkerLoad& load) {
  constexpr double kUnknownLatencyUs = 1000;
  constexpr double kOtherZonePenaltyUs = 2000;
  const double latency = load.latency_us > 0 ? load.latency_us : kUnknownLatencyUs;
  const double queued = latency * (1 + load.busy);
  return load.same_zone ? queued : queued + kOtherZonePenaltyUs;
}

std::size_t Draw(std::size_t size, Random& random) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

class RandomRouting final : public RoutingStrategy {
 public:
  std::size_t Choose(const std::vector<WorkerLoad>& candidates, Random& random) const override {
    return Draw(candidates.size(), random);
  }
};

class LeastLoadedRouting final : public RoutingStrategy {
 public:
  std::size_t Choose(const std::vector<WorkerLoad>& candidates, Random&) const override {
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      if (candidates[i].busy < candidates[best].busy) best = i;
    }
    return best;
  }
};

class TwoChoicesRouting final : public RoutingStrategy {
 public:
  std::size_t Choose(const std::vector<WorkerLoad>& candidates, Random& random) const override {
    const std::size_t first = Draw(candidates.size(), random);
    const std::size_t second = Draw(candidates.size(), random);
    return Cost(candidates[second]) < Cost(candidates[first]) ? second : first;
  }
};

template <class Strategy>
std::unique_ptr<RoutingStrategy> Make() {
  return std::make_unique<Strategy>();
}

// Maps the name of a strategy to its factory.
struct Entry {
  std::string_view name;
  std::unique_ptr<RoutingStrategy> (*make)();
};

constexpr std::array<Entry, 3> kStrategies = {{{"random", &Make<RandomRouting>},
                                               {"least-loaded", &Make<LeastLoadedRouting>},
                                               {"two-choices", &Make<TwoChoicesRouting>}}};

}  // namespace

std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name) {
  for (const Entry& entry : kStrategies) {
    if (entry.name == name) return entry.make();
  }
  return nullptr;
}

}  // namespace dn
