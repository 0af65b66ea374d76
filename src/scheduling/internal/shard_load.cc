// Sums the load of a shard over its tables of workers and jobs.
#include "scheduling/internal/shard_load.h"

#include "scheduling/internal/shard.h"

namespace dn {
namespace {

constexpr std::int64_t kMillicores = 1'000;
constexpr int kFullSpeed = 100;

struct Figure {
  std::string_view name;
  std::int64_t ShardLoadFields::*member;
};
constexpr std::array<Figure, 7> kFigures = {
    {{"paced", &ShardLoadFields::throttled},
     {"over_target", &ShardLoadFields::over_target},
     {"workers", &ShardLoadFields::workers},
     {"avoided", &ShardLoadFields::avoided},
     {"cores", &ShardLoadFields::capacity},
     {"cores_reserved", &ShardLoadFields::reserved},
     {"cores_of_fills", &ShardLoadFields::used_by_best_effort}}};

}  // namespace

std::string ToText(const ShardLoad& load) {
  std::string text;
  for (const auto& kind_name : EnumNames<StepKind>::kNames) {
    const auto kind = static_cast<std::size_t>(kind_name.value);
    const std::string name(kind_name.name);
    text += "waiting_" + name + "=" + std::to_string(load->waiting.at(kind)) + " placed_" + name +
            "=" + std::to_string(load->placed.at(kind)) + " ";
  }
  for (const Figure& figure : kFigures) {
    text += std::string(figure.name) + "=" + std::to_string((*load).*figure.member) + " ";
  }
  text.pop_back();
  return text;
}

ShardLoad Shard::Load(Time now) const {
  ShardLoadFields load;
  for (const auto& [id, worker] : workers_.workers()) {
    if (!worker.listed) continue;
    ++load.workers;
    if (now < worker.avoid_until) ++load.avoided;
    load.capacity += worker.entry->capacity.millicores / kMillicores;
    load.reserved += worker.reserved.millicores / kMillicores;
  }
  std::int64_t best_effort_millicores = 0;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job.phase != JobPhase::kOpen) continue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      const TaskRow& task = job.tasks[i];
      const StepSpec& step = job.StepOf(i);
      const auto kind = static_cast<std::size_t>(KindOf(step));
      if (task.phase == TaskPhase::kPlaced) {
        ++load.placed.at(kind);
        if (step->best_effort && task.speed_percent < kFullSpeed) ++load.throttled;
        if (step->best_effort) best_effort_millicores += task.observed;
        if (task.over_target_since) ++load.over_target;
      } else if (task.phase == TaskPhase::kWaiting &&
                 job.StepReady(i / job.tasks_per_occurrence, job.StepIndexOf(i))) {
        ++load.waiting.at(kind);
      }
    }
  }
  load.used_by_best_effort = best_effort_millicores / kMillicores;
  return ShardLoad(load);
}

}  // namespace dn
