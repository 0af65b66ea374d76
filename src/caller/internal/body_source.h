// Body of a caller's request. A short body is kept in memory, so that a retry can send it again.
#pragma once

#include <span>
#include <vector>

#include "caller/internal/caller_exchange.h"

namespace dn {

class BodySource {
 public:
  // Longest body that is kept for a retry.
  static constexpr std::size_t kMaxReplayBytes = 64 * 1024;

  // `limit`: maximum length of the body in bytes.
  BodySource(CallerExchange& caller, std::uint64_t limit) : caller_(caller), limit_(limit) {}

  // Returns the next part of the body, which is empty at the end and valid until the next call.
  // kTooLarge if the body exceeds the limit; kBroken if it cannot be read from the caller.
  Task<Result<std::span<const char>>> Next();
  // Makes Next start from the first byte again. Returns false if the body read so far exceeds
  // kMaxReplayBytes and has not been kept.
  bool Rewind();

 private:
  CallerExchange& caller_;
  const std::uint64_t limit_;
  std::uint64_t received_ = 0;       // Bytes read from the caller.
  std::vector<char> replay_buffer_;  // All of these bytes, while `replayable_` is true.
  bool replayable_ = true;
  bool end_reached_ = false;
  std::size_t replayed_ = 0;  // Bytes at the front of replay_buffer_ that Next has returned.
  bool replaying_ = false;
  std::vector<char> read_buffer_;
};

}  // namespace dn
