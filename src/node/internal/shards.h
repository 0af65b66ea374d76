// How jobs are dealt to shards, and where a shard's records are.
#pragma once

#include <string>

#include "scheduling/scheduling.h"
#include "store/store.h"

namespace dn {

// Shards of a deployment. One planner carries several hundred workers; see
// docs/CAPACITY.md for when more are needed.
inline constexpr int kShardCount = 1;

inline constexpr const char* kOwnerGroup = "dn-owners";
inline constexpr const char* kJobsTopic = "keyed.dn-jobs";
inline constexpr const char* kProgressTopic = "keyed.dn-progress";

// Key of what was learned of harm, among the progress of jobs.
inline constexpr const char* kHarmKey = "harm";

inline int ShardOf(JobId id) { return static_cast<int>(id % kShardCount); }
inline Partition JobsOf(int shard) { return Partition({.topic = kJobsTopic, .number = shard}); }
inline Partition ProgressOf(int shard) {
  return Partition({.topic = kProgressTopic, .number = shard});
}

}  // namespace dn
