// Progress of a read of the newest records of a partition, page by page. It outlives a failed
// page, so that the next attempt continues after the last page that was read.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/internal/store_protocol.h"

namespace dn {

// Value type. Pages are in order of keys, and records may change between two pages. A reader that
// follows the partition from `end()` sees each key that has changed or was deleted since the first
// page again, if the store still retains that offset. The cursor is valid for as long as it does.
class NewestCursor {
 public:
  NewestCursor() = default;
  // `min_end`: pages of a replica of the store that ends before this offset are refused.
  explicit NewestCursor(std::int64_t min_end) : min_end_(min_end) {}

  // Adds the page after the last one, whose request was sent at `sent`. Returns false and drops
  // what was read if the page is older than the first one: it may lack records that lie before
  // `end()` and are not delivered again from there.
  bool Add(const NewestPage& page, Time sent);
  // Counts an interruption, after which the read is resumed.
  void Interrupt() { resumed_ = resumed_ || first_sent_.has_value(); }

  bool begun() const { return first_sent_.has_value(); }
  bool complete() const { return complete_; }
  // Whether the read was interrupted after its first page, and may have taken any time.
  bool resumed() const { return resumed_; }
  // Key that the next page begins after; nothing for the first page.
  const std::optional<std::string>& after() const { return after_; }
  // End offset of the partition as of the first page.
  std::int64_t end() const { return end_; }
  // Send time of the first page; Time() before it.
  Time first_sent() const { return first_sent_.value_or(Time()); }
  const std::vector<StoreRecord>& records() const { return records_; }

  friend auto operator<=>(const NewestCursor&, const NewestCursor&) = default;

 private:
  std::int64_t min_end_ = 0;
  std::int64_t end_ = 0;  // At least `min_end_` once the read has begun.
  std::optional<Time> first_sent_;
  std::optional<std::string> after_;
  bool complete_ = false;
  bool resumed_ = false;
  std::vector<StoreRecord> records_;  // Of all pages so far, in order of keys.
};

// Returns what an interruption of the read leaves, as a list of name=value, separated by spaces.
std::string ToText(const NewestCursor& kept, std::error_code error, Duration pause);

}  // namespace dn
