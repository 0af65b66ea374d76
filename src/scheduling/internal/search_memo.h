// Remembers, within one plan, the searches that found no worker. A step of the same kind that needs
// at least as much need not be searched for again, since a plan only uses up free resources.
// Without the memo the cost of a plan would grow with the number of waiting steps x workers.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/internal/placement_policy.h"

namespace dn {

class SearchMemo {
 public:
  // Returns whether a search for `step` of a job of `service` is certain to fail.
  bool WillFail(const std::string& service, const StepSpec& step, ImageId image) const {
    const auto found = failed_.find(KeyOf(service, step, image));
    if (found == failed_.end()) return false;
    for (const Resources& demand : found->second) {
      if (step->demand.millicores >= demand.millicores &&
          step->demand.memory_mb >= demand.memory_mb &&
          step->demand.accelerators >= demand.accelerators) {
        return true;
      }
    }
    return false;
  }

  // Records that a search for one task of `step` found no worker. A step that is restricted to some
  // workers is ignored, since its failure says nothing about unrestricted steps.
  void RecordFailure(const std::string& service, const StepSpec& step, ImageId image) {
    if (!step->required_label.empty() || step->max_per_worker > 0) return;
    failed_[KeyOf(service, step, image)].push_back(step->demand);
  }

 private:
  using Key = std::tuple<std::string, StepKind, ImageId>;

  // The image affects the placement of best-effort tasks only.
  static Key KeyOf(const std::string& service, const StepSpec& step, ImageId image) {
    const StepKind kind = KindOf(step);
    return {service, kind, kind == StepKind::kBestEffort ? image : 0};
  }

  std::map<Key, std::vector<Resources>> failed_;
};

}  // namespace dn
