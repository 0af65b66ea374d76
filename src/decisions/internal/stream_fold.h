// Folds a stream into a state. The fold starts at the first record or, if retention
// has removed older records, at a snapshot in the stream.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"

namespace dn {

// Fold of a stream. `Rules` provides the types Record and State and the functions
// `Step(State&, const StreamRecord<Record>&)`, which applies a record, and
// `Restore(const StreamRecord<Record>&)`, which returns the state in a snapshot record
// and the last offset that the snapshot covers, or nothing for other records.
template <class Rules>
class StreamFold {
 public:
  using Record = typename Rules::Record;
  using State = typename Rules::State;

  // Starts reading at `oldest`, the oldest retained record. The current state remains
  // available until the new one is complete.
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

  // Applies the next record. A record that the state covers already has no effect.
  void Apply(const StreamRecord<Record>& record) {
    if (collecting_) {
      Collect(record);
      return;
    }
    if (record.offset <= offset_) return;  // The state covers this record already.
    Step(record);
  }

  // Returns whether the state is complete. No decision may be based on an incomplete
  // state.
  bool ready() const { return ready_; }
  const State& state() const { return state_; }
  // Offset of the last record that `state` covers.
  Offset offset() const { return offset_; }
  // Time at which the newest snapshot or, if there is none, the first record was read;
  // 0 before that.
  ClockReading snapshot_time() const { return snapshot_time_; }

 private:
  void Step(const StreamRecord<Record>& record) {
    if (Rules::Restore(record).has_value() || snapshot_time_ == 0) {
      snapshot_time_ = record.time;
    }
    Rules::Step(state_, record);
    offset_ = record.offset;
  }

  // Buffers records until a snapshot that leaves no gap before the oldest record.
  void Collect(const StreamRecord<Record>& record) {
    pending_.push_back(record);
    auto restored = Rules::Restore(record);
    // A snapshot that ends before the first retained record leaves a gap.
    if (!restored || restored->second < oldest_ - 1) return;
    collecting_ = false;
    state_ = std::move(restored->first);
    offset_ = restored->second;
    ready_ = true;
    std::vector<StreamRecord<Record>> pending = std::move(pending_);
    pending_.clear();
    for (const auto& later : pending) {
      if (later.offset > offset_) Step(later);
    }
  }

  State state_{};
  Offset offset_ = kNoOffset;  // Never decreases while ready_.
  Offset oldest_ = 0;
  bool ready_ = false;
  bool collecting_ = false;
  ClockReading snapshot_time_ = 0;
  std::vector<StreamRecord<Record>> pending_;  // Used only while collecting_.
};

}  // namespace dn
