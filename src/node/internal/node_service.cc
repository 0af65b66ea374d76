// Local handling of requests, and forwarding to the owner of a shard.
#include "node/internal/node_service.h"

namespace dn {
namespace {

// Maximum age of the last complete read of the configuration for a node to report
// that a queue does not exist, and of the last store contact for it to accept new
// connections. A configuration must be in force after 2.5 s. Just before a long poll of
// 0.7 s ends, the one before it is 2.2 s old if the store needs 0.4 s for a response.
constexpr Duration kMaxContactAge{2'400};
// Time limit for finding an owner that responds. A take-over takes about two
// seconds; after that the caller should retry rather than wait longer.
constexpr Duration kOwnerLookupTimeout{2'200};
constexpr Duration kOwnerRetryPause{120};
// An owner that refuses because its view is outdated is asked again, with a new list of
// owners, while its next join, which it sends every 0.6 s, may confirm it. After that
// holding the request would not help the caller.
constexpr int kMaxOutdatedResponses = 3;
constexpr Duration kOutdatedRetryPause{350};
// Timeout of an owner query to one instance: several round trips between regions.
constexpr Duration kOwnerQueryTimeout{250};
// Time within which a job must be sent to the store: three responses of a slow
// store. A job that was not sent is refused and the caller can retry it, whereas the
// outcome of a job that was sent without a response is unknown.
constexpr Duration kSendTimeout{700};

}  // namespace

LocalService::LocalService(StoreClient& store, const std::string& node, DecisionLog& log)
    : store_(store) {
  const std::string producer = node + "-" + std::to_string(NewIncarnation());
  for (int shard = 0; shard < kShardCount; ++shard) {
    writers_.push_back(std::make_shared<RecordWriter>(store, JobsOf(shard), producer, 0, log));
  }
  table_.With([](Table& table) { table.view = std::make_shared<const QueueConfigurationView>(); });
}

std::shared_ptr<const QueueConfigurationView> LocalService::CurrentConfiguration() {
  const Time configuration_read{Duration(configuration_read_ms_.load())};
  const bool fresh = Now() - configuration_read < kMaxContactAge;
  return table_.With([&](Table& table) {
    if ((*table.view)->fresh != fresh) {
      table.view = std::make_shared<const QueueConfigurationView>(
          table.view->With([&](QueueConfigurationViewFields& view) { view.fresh = fresh; }));
    }
    return table.view;
  });
}

bool LocalService::Activate(const QueueConfiguration& configuration) {
  return table_.With([&](Table& table) {
    const QueueConfigurationView& current = *table.view;
    if (current->known && current->configuration->version >= configuration->version) return false;
    table.view = std::make_shared<const QueueConfigurationView>(
        QueueConfigurationViewFields{.configuration = configuration, .known = true, .fresh = true});
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
  const bool known = (*CurrentConfiguration())->known;
  return known && !draining_ && Now() - store_.last_contact() < kMaxContactAge;
}

Task<SubmitOutcome> LocalService::Submit(AcceptedJob job, Time deadline) {
  const int shard = ShardOf(job->id);
  std::vector<StoreRecord> records = {
      StoreRecord({.key = FormatJobId(job->id), .value = EncodeAcceptedJob(job)})};
  const RecordWriter::Limits limits{.send_by = Now() + kSendTimeout, .deadline = deadline};
  auto stored =
      co_await writers_[static_cast<std::size_t>(shard)]->Append(std::move(records), limits);
  if (stored) co_return SubmitOutcome::kAccepted;
  co_return stored.error() == Errc::kTimeout ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused;
}

Task<Result<JobState>> LocalService::StateOf(JobId id, Time deadline) {
  const auto owner = OwnerOf(ShardOf(id));
  if (!owner) co_return Errc::kUnavailable;
  co_return co_await owner->StateOf(id, deadline);
}

Task<Result<bool>> LocalService::Cancel(JobId id, Time deadline) {
  const auto owner = OwnerOf(ShardOf(id));
  if (!owner) co_return Errc::kUnavailable;
  co_return co_await owner->Cancel(id, deadline);
}

Task<Result<std::int64_t>> LocalService::WaitingOf(std::string queue, Time deadline) {
  const auto owner = OwnerOf(0);
  if (!owner) co_return Errc::kUnavailable;
  co_return co_await owner->WaitingOf(std::move(queue), deadline);
}

Task<Result<Endpoint>> NodeService::FindOwner(int shard, Time deadline) {
  auto owner = co_await membership_.OwnerOf(shard);
  if (owner || owner.error() == Errc::kNotFound) co_return owner;
  for (const Endpoint& member : membership_.OtherMembers()) {
    RemoteInstance instance(member, http_);
    auto cached = co_await instance.OwnerOf(shard, std::min(deadline, Now() + kOwnerQueryTimeout));
    if (cached) co_return cached;
  }
  co_return Errc::kUnavailable;
}

template <class T, class CallLocal, class CallRemote>
Task<Result<T>> NodeService::CallOwner(int shard, Time deadline, CallLocal local,
                                       CallRemote remote) {
  const Time started = Now();
  deadline = std::min(deadline, started + kOwnerLookupTimeout);
  OwnerCall call;
  int outdated_responses = 0;
  while (true) {
    const Time called_locally = Now();
    Result<T> response = co_await local();
    OwnerAttempt attempt{.owner = own_address_,
                         .local = true,
                         .call = Now() - called_locally,
                         .error = response ? std::error_code() : response.error()};
    if (!response) {
      const Time looked_up = Now();
      auto owner = co_await FindOwner(shard, deadline);
      attempt.lookup = Now() - looked_up;
      if (!owner) {
        attempt.owner.reset();
        attempt.local = false;
        attempt.error = owner.error();
      } else if (owner.value() != own_address_) {
        const Time called = Now();
        RemoteInstance instance(owner.value(), http_);
        response = co_await remote(instance);
        attempt.owner = owner.value();
        attempt.local = false;
        attempt.call = Now() - called;
        attempt.error = response ? std::error_code() : response.error();
        metrics_.RecordLatency(Latency::kOwnerCall, attempt.call);
      }
    }
    call.Add(attempt);
    if (response) {
      LogOwnerCall(shard, call, Now() - started);
      co_return response;
    }
    membership_.InvalidateOwners();
    const bool is_outdated = response.error() == Errc::kOutdated;
    if (is_outdated) ++outdated_responses;
    const bool gives_up = outdated_responses >= kMaxOutdatedResponses;
    const Duration pause = is_outdated ? kOutdatedRetryPause : kOwnerRetryPause;
    if (gives_up || Now() + pause >= deadline) {
      LogOwnerCall(shard, call, Now() - started);
      co_return is_outdated ? Errc::kOutdated : Errc::kUnavailable;
    }
    co_await SleepFor(pause);
  }
}

void NodeService::LogOwnerCall(int shard, const OwnerCall& call, Duration took) {
  if (!call.IsNotable(took)) return;
  log_.Write("owner-called", std::to_string(shard), call.ToText(took));
}

Task<SubmitOutcome> NodeService::Submit(AcceptedJob job, Time deadline) {
  // The owner stores the jobs of all nodes, since it combines them into few appends.
  // Concurrent appends of many nodes would block each other at the store.
  const auto known = membership_.CachedOwnerOf(ShardOf(job->id));
  bool may_be_stored = false;
  if (known && known.value() != own_address_) {
    RemoteInstance owner(known.value(), http_);
    const SubmitOutcome remote_outcome = co_await owner.Submit(job, deadline);
    if (remote_outcome == SubmitOutcome::kAccepted) co_return remote_outcome;
    may_be_stored = remote_outcome == SubmitOutcome::kUnknown;
    membership_.InvalidateOwners();
  }
  const SubmitOutcome local_outcome = co_await local_.Submit(job, deadline);
  if (local_outcome != SubmitOutcome::kRefused) co_return local_outcome;
  // The store rejects this node; other instances may still reach it.
  for (const Endpoint& other : membership_.OtherMembers()) {
    if (may_be_stored || Now() + kOwnerQueryTimeout >= deadline) break;
    if (known && other == known.value()) continue;
    RemoteInstance instance(other, http_);
    const SubmitOutcome remote_outcome = co_await instance.Submit(job, deadline);
    if (remote_outcome == SubmitOutcome::kAccepted) co_return remote_outcome;
    may_be_stored = remote_outcome == SubmitOutcome::kUnknown;
  }
  // A job that may have been stored can no longer be refused.
  co_return may_be_stored ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused;
}

Task<Result<JobState>> NodeService::StateOf(JobId id, Time deadline) {
  const auto local = [&] { return local_.StateOf(id, deadline); };
  const auto remote = [&](RemoteInstance& instance) { return instance.StateOf(id, deadline); };
  co_return co_await CallOwner<JobState>(ShardOf(id), deadline, local, remote);
}

Task<Result<bool>> NodeService::Cancel(JobId id, Time deadline) {
  const auto local = [&] { return local_.Cancel(id, deadline); };
  const auto remote = [&](RemoteInstance& instance) { return instance.Cancel(id, deadline); };
  co_return co_await CallOwner<bool>(ShardOf(id), deadline, local, remote);
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
    auto waiting = co_await CallOwner<std::int64_t>(shard, deadline, local, remote);
    if (!waiting) co_return waiting.error();
    total += waiting.value();
  }
  co_return total;
}

}  // namespace dn
