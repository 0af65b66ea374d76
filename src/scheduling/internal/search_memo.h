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
    const std::string& label = step->required_label;
    return Covers(KeyOf(service, step, image, {}), step) ||
           (!label.empty() && Covers(KeyOf(service, step, image, label), step));
  }

  // Records that a search for one task of `step` found no worker. The failure of a step that
  // requires a label holds for steps that require the same one. The failure of a step with a limit
  // per worker says nothing about other steps if the limit was the reason (`limit_reached`).
  void RecordFailure(const std::string& service, const StepSpec& step, ImageId image,
                     bool limit_reached = true) {
    if (step->max_per_worker > 0 && limit_reached) return;
    failed_[KeyOf(service, step, image, step->required_label)].push_back(step->demand);
  }

 private:
  using Key = std::tuple<std::string, StepKind, ImageId, std::string>;

  bool Covers(const Key& key, const StepSpec& step) const {
    const auto found = failed_.find(key);
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

  // The image affects the placement of best-effort tasks only.
  static Key KeyOf(const std::string& service, const StepSpec& step, ImageId image,
                   const std::string& label) {
    const StepKind kind = KindOf(step);
    return {service, kind, kind == StepKind::kBestEffort ? image : 0, label};
  }

  std::map<Key, std::vector<Resources>> failed_;
};

}  // namespace dn
