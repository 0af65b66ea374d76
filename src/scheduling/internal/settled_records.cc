// The rules of settled_records.h.
#include "scheduling/internal/settled_records.h"

#include <algorithm>

namespace dn {

void SettledRecords::Stored(std::int64_t end, Time now) {
  if (end >= 0) marks_.push_back({.sent = now, .end = end, .closed = std::nullopt});
}

void SettledRecords::SettledBefore(std::int64_t end) { settled_ = std::max(settled_, end); }

bool SettledRecords::IsDue(Time now) const {
  return now - looked_at_ >= kSettledPeriod && (!marks_.empty() || settled_ > stated_);
}

std::optional<std::int64_t> SettledRecords::Settle(Time now, Time open_since) {
  looked_at_ = now;
  for (Mark& mark : marks_) {
    if (!mark.closed && mark.sent < open_since) mark.closed = std::max(now, mark.sent);
  }
  while (!marks_.empty() && IsSettled(marks_.front(), now)) {
    SettledBefore(marks_.front().end);
    marks_.pop_front();
  }
  if (settled_ <= stated_) return std::nullopt;
  stated_ = settled_;
  return settled_;
}

bool SettledRecords::IsSettled(const Mark& mark, Time now) const {
  // Before the owner heard of an incarnation, renewals may have granted it a longer lease.
  if (mark.closed && now - *mark.closed >= LongerUnheardLease(policy_)) return true;
  return now - mark.sent >= SettlingTime(policy_);
}

}  // namespace dn
