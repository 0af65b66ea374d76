// Implements the acceptance of configurations.
#include "decisions/internal/configuration_fold.h"

#include "decisions/internal/configuration_check.h"

namespace dn {
namespace {

// Stores the result of an apply and discards the oldest one beyond the limit.
void StoreResult(ConfigurationState& state, ApplyResult result) {
  state.results.push_back(std::move(result));
  if (state.results.size() > ConfigurationRules::kMaxResults) state.results.pop_front();
}

}  // namespace

std::optional<ApplyResult> ConfigurationState::ApplyResultOf(const RecordId& id) const {
  for (const ApplyResult& result : results) {
    if (result.id == id) return result;
  }
  return std::nullopt;
}

void ConfigurationRules::Step(State& state, const StreamRecord<Record>& record) {
  if (!record.record->apply) return;
  const Apply& apply = *record.record->apply;
  if (state.ApplyResultOf(apply->id)) return;  // Another append of the same apply.
  const bool accepted =
      apply->base == state.revision && CheckConfiguration(apply->configuration).empty();
  if (accepted) {
    state.revision = record.offset;
    state.configuration = apply->configuration;
  }
  StoreResult(state, {.id = apply->id, .accepted = accepted, .revision = state.revision});
}

std::optional<std::pair<ConfigurationState, Offset>> ConfigurationRules::Restore(
    const StreamRecord<Record>& record) {
  if (!record.record->snapshot) return std::nullopt;
  const ConfigurationSnapshot& snapshot = *record.record->snapshot;
  ConfigurationState state;
  state.revision = snapshot->revision;
  state.configuration = snapshot->configuration;
  StoreResult(state, {.id = snapshot->id, .accepted = true, .revision = snapshot->revision});
  return std::pair(std::move(state), snapshot->as_of);
}

ConfigurationRecord ConfigurationRules::Snapshot(const State& state, Offset as_of) {
  RecordId id;
  for (const ApplyResult& result : state.results) {
    if (result.accepted) id = result.id;
  }
  return ConfigurationRecord(
      {.apply = {},
       .snapshot = ConfigurationSnapshot({.as_of = as_of,
                                          .revision = state.revision,
                                          .id = id,
                                          .configuration = state.configuration})});
}

}  // namespace dn
