// Job service of a node.
#include "node/internal/node_service.h"

namespace dn {
namespace {

// Age of the last complete read up to which a missing queue is denied, and a
// node without store contact still takes new connections. Reads wait 1 s.
constexpr Duration kFreshFor{2'200};
// Longest search for an owner: a take-over takes about two seconds, and the
// caller does better to come back than to wait longer.
constexpr Duration kOwnerSearch{2'200};
constexpr Duration kOwnerRetry{120};
// Longest wait for one instance's word on who the owner is: several round trips
// between regions.
constexpr Duration kAskLimit{250};
// Longest wait of a job until it is sent to the store: three answers of a store
// that is slow. A caller that is refused can come back; one whose job was sent
// without an answer cannot be told what became of it.
constexpr Duration kSendLimit{700};

}  // namespace

LocalService::LocalService(StoreClient& store, const std::string& node) : store_(store) {
  const std::string producer = node + "-" + std::to_string(NewIncarnation());
  for (int shard = 0; shard < kShardCount; ++shard) {
    writers_.push_back(std::make_shared<RecordWriter>(store, JobsOf(shard), producer, 0));
  }
  table_.With([](Table& table) { table.view = std::make_shared<const CatalogueView>(); });
}

std::shared_ptr<const CatalogueView> LocalService::View() {
  const Time confirmed{Duration(confirmed_ms_.load())};
  const bool fresh = Now() - confirmed < kFreshFor;
  return table_.With([&](Table& table) {
    if ((*table.view)->fresh != fresh) {
      table.view = std::make_shared<const CatalogueView>(
          table.view->With([&](CatalogueViewFields& view) { view.fresh = fresh; }));
    }
    return table.view;
  });
}

bool LocalService::InForce(const QueueConfiguration& catalogue) {
  return table_.With([&](Table& table) {
    const CatalogueView& current = *table.view;
    if (current->known && current->catalogue->version >= catalogue->version) return false;
    table.view = std::make_shared<const CatalogueView>(
        CatalogueViewFields{.catalogue = catalogue, .known = true, .fresh = true});
    return true;
  });
}

void LocalService::SetOwner(int shard, std::shared_ptr<ShardOwner> owner) {
  table_.With([&](Table& table) { table.owners[shard] = std::move(owner); });
}

std::shared_ptr<ShardOwner> LocalService::OwnerOf(int shard) {
  return table_.With([&](Table& table) { return table.owners[shard]; });
}

bool LocalService::Ready() {
  const bool known = (*View())->known;
  return known && !draining_ && Now() - store_.last_contact() < kFreshFor;
}

Task<SubmitOutcome> LocalService::Submit(AcceptedJob job, Time deadline) {
  const int shard = ShardOf(job->id);
  std::vector<StoreRecord> records = {
      StoreRecord({.key = FormatJobId(job->id), .value = EncodeAcceptedJob(job)})};
  const RecordWriter::Limits limits{.send_by = Now() + kSendLimit, .deadline = deadline};
  auto stored =
      co_await writers_[static_cast<std::size_t>(shard)]->Append(std::move(records), limits);
  if (stored) co_return SubmitOutcome::kAccepted;
  co_return stored.error() == Errc::kTimeout ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused;
}

Task<Result<JobState>> LocalService::StateOf(JobId id, Time /*deadline*/) {
  const auto owner = OwnerOf(ShardOf(id));
  if (!owner) co_return Errc::kUnavailable;
  co_return co_await owner->StateOf(id);
}

Task<Result<bool>> LocalService::Cancel(JobId id, Time deadline) {
  const auto owner = OwnerOf(ShardOf(id));
  if (!owner) co_return Errc::kUnavailable;
  co_return co_await owner->Cancel(id, deadline);
}

Task<Result<std::int64_t>> LocalService::WaitingOf(std::string queue, Time /*deadline*/) {
  const auto owner = OwnerOf(0);
  if (!owner) co_return Errc::kUnavailable;
  co_return owner->WaitingOf(queue);
}

Task<Result<Endpoint>> NodeService::FindOwner(int shard, Time deadline) {
  auto owner = co_await membership_.OwnerOf(shard);
  if (owner || owner.error() == Errc::kNotFound) co_return owner;
  for (const Endpoint& member : membership_.OtherMembers()) {
    RemoteInstance instance(member, http_);
    auto told = co_await instance.OwnerOf(shard, std::min(deadline, Now() + kAskLimit));
    if (told) co_return told;
  }
  co_return Errc::kUnavailable;
}

template <class T, class AskLocal, class AskRemote>
Task<Result<T>> NodeService::AskOwner(int shard, Time deadline, AskLocal local, AskRemote remote) {
  deadline = std::min(deadline, Now() + kOwnerSearch);
  while (true) {
    Result<T> answer = co_await local();
    if (answer) co_return answer;
    auto owner = co_await FindOwner(shard, deadline);
    if (owner && owner.value() != own_address_) {
      RemoteInstance instance(owner.value(), http_);
      answer = co_await remote(instance);
      if (answer) co_return answer;
    }
    membership_.ForgetOwners();
    if (Now() + kOwnerRetry >= deadline) co_return Errc::kUnavailable;
    co_await SleepFor(kOwnerRetry);
  }
}

Task<SubmitOutcome> NodeService::Submit(AcceptedJob job, Time deadline) {
  // The owner stores the jobs of all nodes by one append after the other; the
  // appends of many nodes would wait for each other at the store.
  const auto known = membership_.KnownOwnerOf(ShardOf(job->id));
  bool may_be_stored = false;
  if (known && known.value() != own_address_) {
    RemoteInstance owner(known.value(), http_);
    const SubmitOutcome there = co_await owner.Submit(job, deadline);
    if (there == SubmitOutcome::kAccepted) co_return there;
    may_be_stored = there == SubmitOutcome::kUnknown;
    membership_.ForgetOwners();
  }
  const SubmitOutcome here = co_await local_.Submit(job, deadline);
  if (here != SubmitOutcome::kRefused) co_return here;
  // The store turns this node away; others may still reach it.
  for (const Endpoint& other : membership_.OtherMembers()) {
    if (may_be_stored || Now() + kAskLimit >= deadline) break;
    if (known && other == known.value()) continue;
    RemoteInstance instance(other, http_);
    const SubmitOutcome there = co_await instance.Submit(job, deadline);
    if (there == SubmitOutcome::kAccepted) co_return there;
    may_be_stored = there == SubmitOutcome::kUnknown;
  }
  // Once a copy may have been stored, the job can no longer be refused.
  co_return may_be_stored ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused;
}

Task<Result<JobState>> NodeService::StateOf(JobId id, Time deadline) {
  const auto local = [&] { return local_.StateOf(id, deadline); };
  const auto remote = [&](RemoteInstance& instance) { return instance.StateOf(id, deadline); };
  co_return co_await AskOwner<JobState>(ShardOf(id), deadline, local, remote);
}

Task<Result<bool>> NodeService::Cancel(JobId id, Time deadline) {
  const auto local = [&] { return local_.Cancel(id, deadline); };
  const auto remote = [&](RemoteInstance& instance) { return instance.Cancel(id, deadline); };
  co_return co_await AskOwner<bool>(ShardOf(id), deadline, local, remote);
}

Task<Result<std::int64_t>> NodeService::WaitingOf(std::string queue, Time deadline) {
  std::int64_t total = 0;
  for (int shard = 0; shard < kShardCount; ++shard) {
    const auto local = [&]() -> Task<Result<std::int64_t>> {
      return local_.WaitingOf(queue, deadline);
    };
    const auto remote = [&](RemoteInstance& instance) {
      return instance.WaitingOf(queue, deadline);
    };
    auto waiting = co_await AskOwner<std::int64_t>(shard, deadline, local, remote);
    if (!waiting) co_return waiting.error();
    total += waiting.value();
  }
  co_return total;
}

}  // namespace dn
