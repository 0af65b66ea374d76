// Recorded progress that this owner cannot apply: the submission of its job was not read, or the
// record cannot be decoded. The first kind waits for its job; jobs of the second kind are held
// back. Neither job starts from nothing.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "scheduling/internal/orders.h"
#include "scheduling/internal/record_codec.h"

namespace dn {

// What is kept of a job.
struct HeldJobFields {
  std::optional<JobProgress> progress;
  std::optional<JobCrashes> crashes;

  friend auto operator<=>(const HeldJobFields&, const HeldJobFields&) = default;
};
using HeldJob = Immutable<HeldJobFields>;

// The end of a run of such a job. It is not acknowledged to the worker before its effect on the
// job is recorded, since a later owner may know the job.
struct HeldEndFields {
  WorkerId worker;
  ReportedEnd end;
  // The number of the end belongs to the incarnation of the worker that reports now.
  bool same_incarnation = true;

  friend auto operator<=>(const HeldEndFields&, const HeldEndFields&) = default;
};
using HeldEnd = Immutable<HeldEndFields>;

class HeldJobs {
 public:
  void Keep(const JobProgress& progress);
  void Keep(const JobCrashes& crashes);
  // Notes that the progress of `id` cannot be decoded: the job may have runs that go on, or be
  // done.
  void HoldBack(JobId id) { unreadable_.insert(id); }
  bool IsHeldBack(JobId id) const { return unreadable_.count(id) > 0; }
  // Returns what is kept of `id`, and forgets it except for its ends.
  HeldJob Take(JobId id);
  // Forgets all of a job that was deleted.
  void Forget(JobId id);

  // Returns whether this owner does not know the state of a job that exists: the job is held back,
  // or its progress is kept and open.
  bool IsOpen(JobId id) const;
  // Returns whether the run may be the current one of a task whose progress is kept or unreadable.
  bool Covers(const TaskKey& task, int run, const WorkerId& worker) const;

  void AddEnd(const WorkerId& worker, const ReportedEnd& end);
  // Returns the ends of the job, in the order in which they were reported.
  std::vector<HeldEnd> EndsOf(JobId id) const;
  // Forgets the ends of the job: their effect is recorded, or the job was deleted.
  void ForgetEnds(JobId id);
  // Returns the smallest number of an end that the worker must not forget; nothing if it may forget
  // all of them.
  std::optional<std::int64_t> FirstEndOf(const WorkerId& worker) const;
  // Notes that the worker has restarted and numbers its ends anew.
  void WorkerRestarted(const WorkerId& worker);

 private:
  std::map<JobId, HeldJobFields> jobs_;
  std::set<JobId> unreadable_;
  std::vector<HeldEndFields>
      ends_;  // Of jobs in `jobs_` or `unreadable_`, or taken and not recorded yet.
};

}  // namespace dn
