// Collects the pages of the newest records of a partition.
#include "store/internal/newest_cursor.h"

#include <algorithm>

namespace dn {

bool NewestCursor::Add(const NewestPage& page, Time sent) {
  if (page->end < std::max(min_end_, end_)) {
    *this = NewestCursor(min_end_);
    return false;
  }
  if (!first_sent_) {
    first_sent_ = sent;
    end_ = page->end;
  }
  records_.insert(records_.end(), page->records.begin(), page->records.end());
  after_ = page->continue_after;
  complete_ = !after_;
  return true;
}

std::string ToText(const NewestCursor& kept, std::error_code error, Duration pause) {
  return "error=" + error.message() + " records=" + std::to_string(kept.records().size()) +
         " end=" + (kept.begun() ? std::to_string(kept.end()) : "none") +
         " pause_ms=" + std::to_string(pause.count());
}

}  // namespace dn
