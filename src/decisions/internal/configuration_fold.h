// Computes the active configuration as a pure function of the stream
// "configuration". An apply is accepted if its base is the revision that is active
// when the apply is read, and if its configuration passes CheckConfiguration.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "decisions/internal/stream_fold.h"

namespace dn {

// Result of one apply.
struct ApplyResult {
  RecordId id;
  bool accepted = false;
  Offset revision = kNoOffset;  // Active revision after the decision on the apply.

  auto operator<=>(const ApplyResult&) const = default;
};

// The active configuration and the results of recent applies.
struct ConfigurationState {
  Offset revision = kNoOffset;  // Offset of the apply that was accepted last.
  Configuration configuration;
  std::deque<ApplyResult> results;  // Newest last; at most kMaxResults.

  // Returns the result of the apply `id`, or nothing if it is unknown.
  std::optional<ApplyResult> ApplyResultOf(const RecordId& id) const;
};

// Rules of StreamFold for the stream "configuration".
struct ConfigurationRules {
  using Record = ConfigurationRecord;
  using State = ConfigurationState;
  static constexpr std::size_t kMaxResults = 256;  // Results kept for recent applies.

  static void Step(State& state, const StreamRecord<Record>& record);
  static std::optional<std::pair<State, Offset>> Restore(const StreamRecord<Record>& record);
  static ConfigurationRecord Snapshot(const State& state, Offset as_of);
};

using ConfigurationFold = StreamFold<ConfigurationRules>;

}  // namespace dn
