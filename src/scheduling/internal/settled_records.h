// Which records of progress are settled: no incarnation of a worker of which their owner has not
// heard may hold a longer lease for a run that they name than the owner counts for the worker. The
// owner states their end durably, so that its successor waits longer for the other runs only.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "scheduling/internal/run_end.h"

namespace dn {

// How often records are looked at.
constexpr Duration kSettledPeriod{1'000};

class SettledRecords {
 public:
  explicit SettledRecords(const Policy& policy) : policy_(policy) {}

  // All records below `end` are durable, and their starts were sent by `now`. `end`: -1 if unknown.
  void Stored(std::int64_t end, Time now);
  // An earlier owner has stated that all records below `end` are settled.
  void SettledBefore(std::int64_t end);
  // Returns whether Settle() is to be called.
  bool IsDue(Time now) const;
  // `open_since`: see Shard::OpenStartsSince(). Returns the end of the settled records if it is to
  // be stated.
  std::optional<std::int64_t> Settle(Time now, Time open_since);

 private:
  struct Mark {
    Time sent{};  // By when the starts in the records were sent.
    std::int64_t end = 0;
    // Since when none of these starts is open, so that each run belongs to an incarnation that the
    // owner knows.
    std::optional<Time> closed;
  };

  bool IsSettled(const Mark& mark, Time now) const;

  const Policy policy_;
  std::deque<Mark> marks_;  // In the order of their ends.
  std::int64_t settled_ = 0;
  std::int64_t stated_ = 0;
  Time looked_at_{};
};

}  // namespace dn
