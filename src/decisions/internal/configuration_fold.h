// Accepted configuration as a pure function of the stream "configuration": an
// apply is accepted if it is based on the revision then in force.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "decisions/internal/stream_fold.h"

namespace dn {

// What became of one apply.
struct Verdict {
  RecordId id;
  bool accepted = false;
  Offset revision = kNoOffset;  // In force after the apply was decided.

  auto operator<=>(const Verdict&) const = default;
};

struct ConfigurationState {
  Offset revision = kNoOffset;  // Offset of the accepted apply.
  Configuration configuration;
  std::deque<Verdict> verdicts;  // Newest last; at most kMaxVerdicts.

  std::optional<Verdict> VerdictOf(const RecordId& id) const;
};

struct ConfigurationRules {
  using Record = ConfigurationRecord;
  using State = ConfigurationState;
  static constexpr std::size_t kMaxVerdicts = 256;

  static void Step(State& state, const Logged<Record>& record);
  static std::optional<std::pair<State, Offset>> Restore(const Logged<Record>& record);
  static ConfigurationRecord Snapshot(const State& state, Offset as_of);
};

using ConfigurationFold = StreamFold<ConfigurationRules>;

}  // namespace dn
