// Reading of request bodies from callers, and their replay for a retry.
#include "caller/internal/body_source.h"

namespace dn {
namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;

}  // namespace

Task<Result<std::span<const char>>> BodySource::Next() {
  if (replaying_ && replayed_ < replay_buffer_.size()) {
    const std::span<const char> rest(replay_buffer_.data() + replayed_,
                                     replay_buffer_.size() - replayed_);
    replayed_ = replay_buffer_.size();
    co_return rest;
  }
  if (end_reached_) co_return std::span<const char>();
  read_buffer_.resize(kReadBufferBytes);
  const auto read = co_await caller_.ReadBody(read_buffer_);
  if (!read) co_return read.error();
  end_reached_ = read.value() == 0;
  received_ += read.value();
  if (received_ > limit_) co_return Errc::kTooLarge;
  const std::span<const char> part(read_buffer_.data(), read.value());
  if (replayable_ && received_ <= kMaxReplayBytes) {
    replay_buffer_.insert(replay_buffer_.end(), part.begin(), part.end());
    replayed_ = replay_buffer_.size();
  } else {
    replayable_ = false;
    replay_buffer_ = {};
  }
  co_return part;
}

bool BodySource::Rewind() {
  if (!replayable_) return false;
  replaying_ = true;
  replayed_ = 0;
  return true;
}

}  // namespace dn
