// Implements the acceptance of configurations.
#include "decisions/internal/configuration_fold.h"

#include "decisions/internal/configuration_check.h"

namespace dn {
namespace {

// Stores the result of an apply and discards the oldest one beyond the limit.
void StoreVerdict(ConfigurationState& state, Verdict verdict) {
  state.verdicts.push_back(std::move(verdict));
  if (state.verdicts.size() > ConfigurationRules::kMaxVerdicts) state.verdicts.pop_front();
}

}  // namespace

std::optional<Verdict> ConfigurationState::VerdictOf(const RecordId& id) const {
  for (const Verdict& verdict : verdicts) {
    if (verdict.id == id) return verdict;
  }
  return std::nullopt;
}

void ConfigurationRules::Step(State& state, const Logged<Record>& record) {
  if (!record.record->apply) return;
  const Apply& apply = *record.record->apply;
  if (state.VerdictOf(apply->id)) return;  // Another append of the same apply.
  const bool accepted =
      apply->base == state.revision && CheckConfiguration(apply->configuration).empty();
  if (accepted) {
    state.revision = record.offset;
    state.configuration = apply->configuration;
  }
  StoreVerdict(state, {.id = apply->id, .accepted = accepted, .revision = state.revision});
}

std::optional<std::pair<ConfigurationState, Offset>> ConfigurationRules::Restore(
    const Logged<Record>& record) {
  if (!record.record->snapshot) return std::nullopt;
  const ConfigurationSnapshot& snapshot = *record.record->snapshot;
  ConfigurationState state;
  state.revision = snapshot->revision;
  state.configuration = snapshot->configuration;
  StoreVerdict(state, {.id = snapshot->id, .accepted = true, .revision = snapshot->revision});
  return std::pair(std::move(state), snapshot->as_of);
}

ConfigurationRecord ConfigurationRules::Snapshot(const State& state, Offset as_of) {
  RecordId id;
  for (const Verdict& verdict : state.verdicts) {
    if (verdict.accepted) id = verdict.id;
  }
  return ConfigurationRecord(
      {.apply = {},
       .snapshot = ConfigurationSnapshot({.as_of = as_of,
                                          .revision = state.revision,
                                          .id = id,
                                          .configuration = state.configuration})});
}

}  // namespace dn
