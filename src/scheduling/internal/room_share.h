// Order of steps that last and steps that end where both wait for the cores of one service.
//
// Latency-critical steps come before all others, and their tasks keep their cores for as long as
// the job lasts. Once they need more cores than there are, tasks that end would get none. Therefore
// the steps that end come first while their tasks reserve less than those that last (max-min
// fairness): they need the cores for seconds only, and the others get what they leave.
#pragma once

#include <cstdint>
#include <optional>

#include "scheduling/internal/worker_table.h"

namespace dn {

class RoomShare {
 public:
  // Counts what is reserved on a worker of the service.
  void Add(const WorkerRow& worker);
  // Notes that a latency-critical step of a queue of `priority` waits.
  void AddWaiting(int priority);
  // Returns whether a waiting step that ends comes before the latency-critical ones, and counts the
  // cores that it asks for if so. Neither a step of a less urgent queue than those does, nor one of
  // a less urgent queue than a step that was refused for want of a share.
  bool TakePrecedence(int priority, std::int64_t millicores);

 private:
  std::int64_t lasting_millicores_ = 0;
  std::int64_t ending_millicores_ = 0;  // Includes those of the steps that have got precedence.
  std::optional<int> most_urgent_;      // Priority among the waiting latency-critical steps.
  std::optional<int> refused_;          // Priority of the first step that was refused.
};

}  // namespace dn
