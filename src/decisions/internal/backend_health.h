// Implements outlier ejection: a backend server that fails several consecutive
// requests receives no requests for some time and then a single probe request.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "core/core.h"

namespace dn {

// Tracks consecutive failures of backend servers and ejects failing ones.
class BackendHealth {
 public:
  static constexpr int kFailuresToEject = 3;
  static constexpr Duration kFirstEjection{1000};
  static constexpr Duration kMaxEjection{30'000};
  // Maximum share of the known servers that are ejected at the same time.
  static constexpr double kMaxEjectedShare = 0.5;

  // Records a successful request, which ends an ejection.
  void RecordSuccess(const WorkerId& worker) { entries_.erase(worker); }

  // Records a failed request. Returns true if this failure ejects the server. Each
  // further failure doubles the ejection time, up to kMaxEjection.
  bool RecordFailure(const WorkerId& worker, Time now, std::size_t known_workers) {
    Entry& entry = entries_[worker];
    ++entry.failures;
    entry.probing = false;
    if (entry.failures < kFailuresToEject) return false;
    const auto limit = static_cast<double>(known_workers) * kMaxEjectedShare;
    if (static_cast<double>(Ejected(now).size()) >= limit) return false;
    const int doublings = std::min(entry.failures - kFailuresToEject, 8);
    entry.until = now + std::min(kMaxEjection, kFirstEjection * (1 << doublings));
    return true;
  }

  // Returns the servers that must not receive a request at `now`. A server whose
  // ejection time has elapsed is omitted until `RecordProbe` records a request to it, so
  // that only a single request probes the server.
  std::set<WorkerId> Ejected(Time now) const {
    std::set<WorkerId> ejected;
    for (const auto& [worker, entry] : entries_) {
      if (entry.failures >= kFailuresToEject && (now < entry.until || entry.probing)) {
        ejected.insert(worker);
      }
    }
    return ejected;
  }

  // Records that a request is sent to `worker`. If the server was ejected, this
  // request is its probe.
  void RecordProbe(const WorkerId& worker) {
    const auto found = entries_.find(worker);
    if (found != entries_.end() && found->second.failures >= kFailuresToEject) {
      found->second.probing = true;
    }
  }

 private:
  struct Entry {
    int failures = 0;      // Consecutive failures.
    bool probing = false;  // A probe is in progress.
    Time until{};          // End of the ejection.
  };
  std::map<WorkerId, Entry> entries_;
};

}  // namespace dn
