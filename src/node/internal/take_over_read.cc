// Decodes and counts what a take-over reads.
#include "node/internal/take_over_read.h"

#include <algorithm>

namespace dn {

RecordedProgress DecodeProgress(const std::vector<StoreRecord>& records) {
  RecordedProgressFields out;
  for (const StoreRecord& record : records) {
    const auto ownership = OwnershipIn(record);
    if (ownership) out.settled_end = std::max(out.settled_end, (*ownership)->settled_end);
  }
  for (const StoreRecord& record : records) {
    if (!record->value) continue;
    if (auto ownership = OwnershipIn(record)) {
      out.ownerships.emplace(record->key, *std::move(ownership));
      continue;
    }
    if (record->key == kInterferenceKey) {
      auto interference = DecodeInterference(*record->value);
      if (interference) {
        out.interference = std::move(interference).value();
      } else {
        out.unreadable.push_back(record->key);
      }
      continue;
    }
    if (auto crashes = DecodeJobCrashes(*record->value)) {
      out.crashes.push_back(std::move(crashes).value());
    } else if (auto progress = DecodeJobProgress(*record->value)) {
      const bool settled = record->offset >= 0 && record->offset < out.settled_end;
      if (settled) out.settled.insert(progress.value()->id);
      out.jobs.push_back(std::move(progress).value());
    } else {
      out.unreadable.push_back(record->key);
    }
  }
  return RecordedProgress(std::move(out));
}

TakeOverRead CountProgress(TakeOverReadFields read, const RecordedProgress& progress) {
  read.unreadable = progress->unreadable.size();
  read.jobs_recorded = progress->jobs.size();
  read.settled = progress->settled.size();
  for (const JobProgress& job : progress->jobs) {
    for (const TaskProgress& task : job->tasks) {
      if (task->phase == TaskPhase::kPlaced) ++read.placed;
      if (task->phase == TaskPhase::kDone) ++read.done;
      if (task->phase == TaskPhase::kWaiting) ++read.waiting;
    }
  }
  return TakeOverRead(read);
}

std::string ToText(const TakeOverRead& read) {
  return "token=" + std::to_string(read->token) + " fence_end=" + std::to_string(read->fence_end) +
         " progress_end=" + std::to_string(read->progress_end) +
         " progress_records=" + std::to_string(read->progress_records) +
         " unreadable=" + std::to_string(read->unreadable) +
         " jobs_recorded=" + std::to_string(read->jobs_recorded) +
         " placed=" + std::to_string(read->placed) + " done=" + std::to_string(read->done) +
         " waiting=" + std::to_string(read->waiting) + " settled=" + std::to_string(read->settled) +
         " jobs_end=" + std::to_string(read->jobs_end) + " jobs=" + std::to_string(read->jobs) +
         " workers=" + std::to_string(read->workers);
}

}  // namespace dn
