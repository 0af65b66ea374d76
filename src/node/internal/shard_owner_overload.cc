// Overload control of a shard's owner: the services to which it applies.
#include "node/internal/shard_owner.h"

namespace dn {

void ShardOwner::FollowQueues() {
  auto queues = context_.configuration();
  if (queues == queues_) return;
  queues_ = std::move(queues);
  std::set<std::string> shared = SharedServices((*queues_)->configuration);
  table_.With([&](Table& table) { table.shard.SetSharedServices(std::move(shared)); });
}

}  // namespace dn
