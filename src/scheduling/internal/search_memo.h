// Searches for a worker that found none, within one plan: whoever asks for as
// much or more of the same kind need not search again, since a plan only takes
// room away. Keeps a plan from growing with waiting steps x workers.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/internal/placement_policy.h"

namespace dn {

class SearchMemo {
 public:
  // Whether a search for `step` of a job of `service` must fail.
  bool Hopeless(const std::string& service, const StepSpec& step, ImageId image) const {
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

  // A search for one task of `step` found no worker. A step that is bound to
  // some workers says nothing about steps that are not.
  void Failed(const std::string& service, const StepSpec& step, ImageId image) {
    if (!step->required_label.empty() || step->max_per_worker > 0) return;
    failed_[KeyOf(service, step, image)].push_back(step->demand);
  }

 private:
  using Key = std::tuple<std::string, StepKind, ImageId>;

  // Images matter to fills alone.
  static Key KeyOf(const std::string& service, const StepSpec& step, ImageId image) {
    const StepKind kind = KindOf(step);
    return {service, kind, kind == StepKind::kFill ? image : 0};
  }

  std::map<Key, std::vector<Resources>> failed_;
};

}  // namespace dn
