// Derives page sizes, time limits and pauses from earlier reads.
#include "store/internal/read_pacing.h"

#include <algorithm>

namespace dn {
namespace {

// A page may take this many times as long to its first byte as the one before: its requests queue
// behind the pages of others.
constexpr int kFirstByteFactor = 4;
// Pages of fewer bytes tell little about the rate of the link.
constexpr std::size_t kMinBytesForRate = 16 * 1'024;

}  // namespace

CallLimits ReadPacing::PageLimits() const {
  return CallLimits(
      {.first_byte = progress_timeout_, .between_bytes = progress_timeout_, .total = kMaxPageTime});
}

CallLimits ReadPacing::PollLimits(Duration wait) const {
  return CallLimits({.first_byte = wait + kStoreTimeout,
                     .between_bytes = progress_timeout_,
                     .total = wait + kMaxPageTime});
}

std::optional<int> ReadPacing::page_kb() const {
  if (page_kb_ == kMaxPageKb) return std::nullopt;
  return page_kb_;
}

void ReadPacing::RecordPage(std::size_t bytes, std::optional<Duration> first_byte,
                            Duration transfer) {
  backoff_.Reset();
  if (first_byte) {
    progress_timeout_ =
        std::clamp(*first_byte * kFirstByteFactor, kStoreTimeout, kMaxProgressTimeout);
  }
  if (has_large_records_ || bytes < kMinBytesForRate) return;
  const auto bytes_in_page_time = static_cast<std::int64_t>(bytes) * kPageTime.count() /
                                  std::max(Duration(1), transfer).count();
  page_kb_ = static_cast<int>(
      std::clamp<std::int64_t>(bytes_in_page_time / 1'024, kMinPageKb, kMaxPageKb));
}

Duration ReadPacing::RecordFailure(std::error_code error) {
  if (error == Errc::kTimeout) {
    progress_timeout_ = std::min(progress_timeout_ * 2, kMaxProgressTimeout);
    if (!has_large_records_) page_kb_ = std::max(page_kb_ / 2, kMinPageKb);
  }
  if (error == Errc::kMalformed && page_kb_ < kMaxPageKb) {
    has_large_records_ = true;
    page_kb_ = kMaxPageKb;
  }
  return backoff_.Next();
}

}  // namespace dn
