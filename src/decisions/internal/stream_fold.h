// Folds a stream into a state, from its first record or, when retention
// has cut older records off, from a snapshot in the stream.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"

namespace dn {

// Rules provides: Record, State, `Step(State&, const Logged<Record>&)` and
// `Restore(const Logged<Record>&)`, which returns the state of a snapshot record and
// the offset it covers, or nothing for other records.
template <class Rules>
class StreamFold {
 public:
  using Record = typename Rules::Record;
  using State = typename Rules::State;

  // Starts to read at `oldest`, the oldest record that is still kept.
  // The state in force stays until the new one is complete.
  void Begin(Offset oldest) {
    oldest_ = oldest;
    pending_.clear();
    if (oldest == 0) {
      state_ = State{};
      ready_ = true;
      collecting_ = false;
      offset_ = kNoOffset;
      return;
    }
    collecting_ = true;
  }

  void Apply(const Logged<Record>& record) {
    if (collecting_) {
      Collect(record);
      return;
    }
    if (record.offset <= offset_) return;  // Seen already.
    Step(record);
  }

  // Without a complete state nothing may be decided.
  bool ready() const { return ready_; }
  const State& state() const { return state_; }
  // Last record that `state` covers.
  Offset offset() const { return offset_; }
  // When the newest snapshot, or else the first record, was read.
  ClockReading snapshot_time() const { return snapshot_time_; }

 private:
  void Step(const Logged<Record>& record) {
    if (Rules::Restore(record).has_value() || snapshot_time_ == 0) {
      snapshot_time_ = record.time;
    }
    Rules::Step(state_, record);
    offset_ = record.offset;
  }

  void Collect(const Logged<Record>& record) {
    pending_.push_back(record);
    auto restored = Rules::Restore(record);
    // A snapshot older than the first retained record leaves a gap.
    if (!restored || restored->second < oldest_ - 1) return;
    collecting_ = false;
    state_ = std::move(restored->first);
    offset_ = restored->second;
    ready_ = true;
    std::vector<Logged<Record>> pending = std::move(pending_);
    pending_.clear();
    for (const auto& earlier : pending) {
      if (earlier.offset > offset_) Step(earlier);
    }
  }

  State state_{};
  Offset offset_ = kNoOffset;  // Never decreases while ready.
  Offset oldest_ = 0;
  bool ready_ = false;
  bool collecting_ = false;
  ClockReading snapshot_time_ = 0;
  std::vector<Logged<Record>> pending_;  // Only while collecting.
};

}  // namespace dn
