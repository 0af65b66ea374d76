// Assignment of jobs to shards, and the location of a shard's records in the store.
#pragma once

#include <string>
#include <string_view>

#include "scheduling/scheduling.h"
#include "store/store.h"

namespace dn {

// Number of shards of a deployment. The planner of one shard can serve several
// hundred workers; docs/CAPACITY.md describes when more shards are needed.
inline constexpr int kShardCount = 1;

// Group of the store that assigns shards to nodes.
inline constexpr const char* kOwnerGroup = "dn-owners";
inline constexpr const char* kJobsTopic = "keyed.dn-jobs";
inline constexpr const char* kProgressTopic = "keyed.dn-progress";

// Key of the learned interference, which is stored among the progress of jobs.
inline constexpr const char* kInterferenceKey = "harm";
// The keys of the records by which owners fence earlier ones begin so. They are stored among the
// progress of jobs, too.
inline constexpr std::string_view kOwnershipKey = "owner";

inline int ShardOf(JobId id) { return static_cast<int>(id % kShardCount); }
inline Partition JobsOf(int shard) { return Partition({.topic = kJobsTopic, .number = shard}); }
inline Partition ProgressOf(int shard) {
  return Partition({.topic = kProgressTopic, .number = shard});
}

}  // namespace dn
