// Max-min fairness between tasks that last and tasks that end.
#include "scheduling/internal/room_share.h"

#include <algorithm>

namespace dn {

void RoomShare::Add(const WorkerRow& worker) {
  lasting_millicores_ += worker.latency_critical_millicores;
  ending_millicores_ += worker.reserved.millicores - worker.latency_critical_millicores;
}

void RoomShare::AddWaiting(int priority) {
  most_urgent_ = std::min(most_urgent_.value_or(priority), priority);
}

bool RoomShare::TakePrecedence(int priority, std::int64_t millicores) {
  if (!most_urgent_ || priority > *most_urgent_) return false;
  if (refused_ && priority > *refused_) return false;
  if (ending_millicores_ + millicores > lasting_millicores_) {
    refused_ = refused_.value_or(priority);
    return false;
  }
  ending_millicores_ += millicores;
  return true;
}

}  // namespace dn
