// Keeps recorded progress until its job arrives, and the jobs that are held back.
#include "scheduling/internal/held_jobs.h"

#include <algorithm>

namespace dn {

void HeldJobs::Keep(const JobProgress& progress) { jobs_[progress->id].progress = progress; }

void HeldJobs::Keep(const JobCrashes& crashes) { jobs_[crashes->id].crashes = crashes; }

HeldJob HeldJobs::Take(JobId id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return HeldJob();
  HeldJob job(std::move(found->second));
  jobs_.erase(found);
  return job;
}

void HeldJobs::Forget(JobId id) {
  jobs_.erase(id);
  unreadable_.erase(id);
  ForgetEnds(id);
}

bool HeldJobs::IsOpen(JobId id) const {
  if (IsHeldBack(id)) return true;
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !found->second.progress) return false;
  return (*found->second.progress)->phase == JobPhase::kOpen;
}

bool HeldJobs::Covers(const TaskKey& task, int run, const WorkerId& worker) const {
  if (IsHeldBack(task.job)) return true;
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end() || !found->second.progress) return false;
  // The position of a task follows from the submission, so any task of the job may be meant.
  const auto& tasks = (*found->second.progress)->tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const TaskProgress& recorded) {
    return recorded->phase == TaskPhase::kPlaced && recorded->run == run &&
           recorded->worker == worker.value;
  });
}

void HeldJobs::AddEnd(const WorkerId& worker, const ReportedEnd& end) {
  ends_.push_back({.worker = worker, .end = end});
}

std::vector<HeldEnd> HeldJobs::EndsOf(JobId id) const {
  std::vector<HeldEnd> out;
  for (const HeldEndFields& held : ends_) {
    if (held.end->task.job == id) out.emplace_back(held);
  }
  return out;
}

void HeldJobs::ForgetEnds(JobId id) {
  std::erase_if(ends_, [&](const HeldEndFields& held) { return held.end->task.job == id; });
}

std::optional<std::int64_t> HeldJobs::FirstEndOf(const WorkerId& worker) const {
  std::optional<std::int64_t> first;
  for (const HeldEndFields& held : ends_) {
    if (held.worker != worker || !held.same_incarnation) continue;
    if (!first || held.end->number < *first) first = held.end->number;
  }
  return first;
}

void HeldJobs::WorkerRestarted(const WorkerId& worker) {
  for (HeldEndFields& held : ends_) {
    if (held.worker == worker) held.same_incarnation = false;
  }
}

}  // namespace dn
