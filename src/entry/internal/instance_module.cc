// Composition of the parts below the request path, and their reactions to what they read.
#include "entry/internal/instance_module.h"

#include <glog/logging.h>

#include <algorithm>

namespace dn {
namespace {

constexpr Duration kMembershipPeriod{500};
// A join record that was not read back from the stream within this time is appended again.
constexpr Duration kJoinRetryInterval{3000};
constexpr Duration kAppendTimeout{5000};
constexpr Duration kLeaveTimeout{4000};
constexpr Duration kMaxDrainTime{600'000};
constexpr Duration kWorkerLoadRetryInterval{200};
// Pause between two reads of the registrations, so that one read returns several of them.
constexpr Duration kWorkerReadPause{300};
// The instances of a region form a group in the store. The store lists a member of the group only
// while the member owns one of the 16 partitions of the group's topic, so that a region has at most
// 16 instances.
constexpr const char* kGroupPrefix = "dn-entry-";
constexpr const char* kGroupTopic = "dn-entry";
constexpr Duration kGroupPeriod{500};
constexpr Duration kGroupTimeToLive{2'000};  // Four renewal periods.

Instance MakeSelf(const InstanceSettings& settings, std::uint64_t incarnation) {
  return Instance({.id = settings->id,
                   .region = settings->region,
                   .zone = settings->zone,
                   .caller_address = settings->caller_address,
                   .sibling_address = settings->sibling_address,
                   .incarnation = incarnation});
}

}  // namespace

InstanceModule::InstanceModule(const InstanceSettings& settings, const EntryAdapter& adapter,
                               WorkerPool& pool)
    : settings_(settings),
      incarnation_(NewIncarnation()),
      pool_(pool),
      events_(settings->id, incarnation_),
      http_(&metrics_),
      adapter_(adapter),
      log_(settings->id.value),
      store_(settings->store, adapter.store, http_),
      appender_(pool, store_, metrics_, [this] { return AppendInterval(member_count()); }),
      self_(MakeSelf(settings, incarnation_)),
      registrations_(adapter.registry, log_),
      worker_follower_(
          store_, adapter.registry.records, {.wait = kReadWait, .pause = kWorkerReadPause}, log_,
          [this](const auto& records, bool complete) { HandleWorkers(records, complete); }),
      heartbeats_(
          pool, http_, metrics_, [this] { return Siblings(); }, [this] { return MakeHeartbeat(); },
          [this](const Heartbeat& heartbeat, Time sent) {
            HandleHeartbeatResponse(heartbeat, sent);
          }),
      membership_follower_(store_, kMembershipStream, membership_, events_, metrics_,
                           [this] { HandleMembershipRead(); }),
      configuration_follower_(store_, kConfigurationStream, configuration_, events_, metrics_,
                              [this] { HandleConfigurationRead(); }) {}

Result<void> InstanceModule::Start(InstanceHooks hooks) {
  hooks_ = std::move(hooks);
  rpc_.Bind(kHeartbeatMethod, [this](const std::string& parameters) {
    const auto heartbeat = DecodeMessage<Heartbeat>(parameters);
    if (heartbeat) {
      metrics_.Add(Counter::kHeartbeatsReceived);
      HandleHeartbeat(heartbeat.value());
    }
    return EncodeText(MakeHeartbeat());
  });
  routes_ = std::make_unique<ControlRoutes>(
      ControlContext{.events = events_,
                     .metrics = metrics_,
                     .status = [this] { return MakeStatus(); },
                     .rpc = [this](const std::string& call) { return rpc_.Dispatch(call); },
                     .drain = [this] { RequestDrain(); }});
  auto server = HttpServer::Start(pool_, settings_->sibling_address, [this](HttpCall call) {
    return routes_->Handle(std::move(call));
  });
  if (!server) return server.error();
  server_ = std::move(server).value();
  events_.Emit(EventKind::kStarted, settings_->id.value, kVersion);
  pool_.Spawn(membership_follower_.Run());
  pool_.Spawn(configuration_follower_.Run());
  pool_.Spawn(heartbeats_.Run());
  pool_.Spawn(FollowWorkers());
  pool_.Every(kGroupPeriod, [this] { return RenewGroupMembership(); });
  pool_.Every(kMembershipPeriod, [this] { return MaintainMembership(); });
  return boost::outcome_v2::success();
}

int InstanceModule::RunUntilDrained(const std::function<Result<void>()>& start,
                                    std::function<Task<>()> drain) {
  drain_ = std::move(drain);
  const auto started = start();
  if (!started) {
    LOG(ERROR) << R"({"kind":"start-failed","detail":"cannot listen on the sibling address: )"
               << started.error().message() << "\"}";
    return 1;
  }
  DrainOnSignal(pool_, [this]() -> Task<> {
    if (drain_requested_.exchange(true)) {
      co_await SleepFor(kMaxDrainTime);  // The drain in progress stops the pool.
    } else {
      co_await drain_();
    }
  });
  pool_.Run();
  return 0;
}

void InstanceModule::RequestDrain() {
  if (!drain_requested_.exchange(true)) pool_.Spawn(DrainAndStop());
}

Task<> InstanceModule::DrainAndStop() {
  co_await drain_();
  pool_.Stop();
}

void InstanceModule::HandleMembershipRead() {
  const Offset offset = membership_.With([](const MembershipFold& fold) { return fold.offset(); });
  isolation_.With([&](Isolation& isolation) { isolation.RecordReadOffset(offset); });
  events_.Emit(EventKind::kMembershipRead, std::to_string(offset));
  hooks_.members_changed();
  heartbeats_.SendNow();
}

void InstanceModule::HandleConfigurationRead() {
  struct RevisionRead {
    Offset revision = kNoOffset;
    std::shared_ptr<const Configuration> configuration;
  };
  const RevisionRead read = configuration_.With([](const ConfigurationFold& fold) {
    const ConfigurationState& state = fold.state();
    if (!fold.ready() || state.revision == kNoOffset) return RevisionRead{};
    return RevisionRead{state.revision, std::make_shared<const Configuration>(state.configuration)};
  });
  // An older revision never replaces a newer one.
  if (read.revision <= revision_.load()) return;
  active_configuration_.With([&](auto& active) { active = read.configuration; });
  revision_.store(read.revision);
  metrics_.Add(Counter::kConfigurationsActivated);
  events_.Emit(EventKind::kConfigurationActivated, std::to_string(read.revision));
  hooks_.configuration_changed();
}

Task<> InstanceModule::FollowWorkers() {
  while (!co_await worker_follower_.Load()) co_await SleepFor(kWorkerLoadRetryInterval);
  co_await worker_follower_.Follow([] { return true; });
}

void InstanceModule::HandleWorkers(const std::vector<StoreRecord>& records, bool complete) {
  const bool workers_changed = workers_.With([&](auto& workers) {
    bool changed = false;
    std::set<WorkerId> listed;
    for (const StoreRecord& record : records) {
      const WorkerId id{record->key};
      const std::optional<WorkerEntry> entry = registrations_.Read(record);
      if (!entry) {
        changed = workers.erase(id) > 0 || changed;
        continue;
      }
      listed.insert(id);
      const auto known = workers.find(id);
      if (known != workers.end() && known->second == *entry) continue;
      workers.insert_or_assign(id, *entry);
      changed = true;
    }
    const auto unlisted = [&](const auto& worker) { return !listed.contains(worker.first); };
    if (complete) changed = std::erase_if(workers, unlisted) > 0 || changed;
    return changed;
  });
  if (workers_changed) hooks_.workers_changed();
}

Join InstanceModule::MakeGroupJoin() const {
  return Join({.group = kGroupPrefix + settings_->region.value,
               .member = settings_->id.value,
               .topic = kGroupTopic,
               .time_to_live = kGroupTimeToLive,
               .generation = group_generation_.load()});
}

Task<> InstanceModule::RenewGroupMembership() {
  const Time sent = Now();
  const Join join = MakeGroupJoin();
  if (!draining_) {
    const auto joined = co_await store_.JoinGroup(join);
    if (joined) group_generation_ = joined.value()->generation;
  }
  const auto owners = co_await store_.Owners(join->group, join->topic);
  if (!owners) co_return;
  std::set<InstanceId> group_members;
  for (const PartitionOwner& owner : owners.value()) group_members.insert({owner->member});
  departures_.With(
      [&](DepartureDetector& departures) { departures.Observe(group_members, Now()); });
  if (!group_members.contains(settings_->id)) co_return;
  isolation_.With(
      [&](Isolation& isolation) { isolation.RecordContact(ContactSource::kGroup, sent, Now()); });
}

Task<> InstanceModule::MaintainMembership() {
  const Time last_read = membership_follower_.last_complete();
  isolation_.With([&](Isolation& isolation) {
    isolation.RecordContact(ContactSource::kStream, last_read, Now());
  });
  if (draining_ || Now() - last_read > kIsolationLimit) co_return;
  struct OwnState {
    bool ready = false;
    bool member = false;
    bool evicted = false;
  };
  const Instance self = this->self();
  const OwnState own = membership_.With([&](const MembershipFold& fold) {
    OwnState state{.ready = fold.ready(), .member = fold.state().Contains(self)};
    for (const EvictedMember& evicted : fold.state().evicted) {
      if (evicted.instance->id == self->id && evicted.instance->incarnation >= self->incarnation) {
        state.evicted = true;
      }
    }
    return state;
  });
  if (!own.ready) co_return;
  if (own.member) {
    EvictDepartedMembers();
    WriteDueSnapshots();
    co_return;
  }
  if (own.evicted) {
    // This instance was evicted although it runs, so it has lost its slots. It joins again under a
    // new incarnation.
    self_.With([](Instance& instance) {
      instance = instance.With([](InstanceFields& f) { f.incarnation = NewIncarnation(); });
    });
    hooks_.members_changed();
  }
  AppendMembershipChange(MembershipChange::kJoin, this->self());
  co_await SleepFor(kJoinRetryInterval - kMembershipPeriod);
}

void InstanceModule::AppendMembershipChange(MembershipChange change, const Instance& instance) {
  const MembershipRecord record({.change = change, .instance = instance, .snapshot = {}});
  appender_.AppendLater(kMembershipStream, EncodeText(record), Now() + kAppendTimeout);
}

void InstanceModule::EvictDepartedMembers() {
  const MembershipState membership =
      membership_.With([](const MembershipFold& fold) { return fold.state(); });
  const auto departed = departures_.With(
      [&](const DepartureDetector& watch) { return watch.MembersToEvict(membership); });
  for (const Instance& instance : departed) {
    if (instance->id != settings_->id) AppendMembershipChange(MembershipChange::kEvict, instance);
  }
}

void InstanceModule::WriteDueSnapshots() {
  const ClockReading now = Now().time_since_epoch().count();
  const Duration retention = settings_->retention;
  std::optional<MembershipRecord> membership;
  std::optional<ConfigurationRecord> configuration;
  MembershipState members;
  membership_.With([&](const MembershipFold& fold) {
    members = fold.state();
    if (SnapshotIsDue(members, settings_->id, now, fold.snapshot_time(), retention)) {
      membership = MembershipRules::Snapshot(fold.state(), fold.offset(), now);
    }
  });
  configuration_.With([&](const ConfigurationFold& fold) {
    const bool has_configuration = fold.ready() && fold.state().revision != kNoOffset;
    if (has_configuration &&
        SnapshotIsDue(members, settings_->id, now, fold.snapshot_time(), retention)) {
      configuration = ConfigurationRules::Snapshot(fold.state(), fold.offset());
    }
  });
  const Time deadline = Now() + kAppendTimeout;
  if (membership) appender_.AppendLater(kMembershipStream, EncodeText(*membership), deadline);
  if (configuration) {
    appender_.AppendLater(kConfigurationStream, EncodeText(*configuration), deadline);
  }
}

Heartbeat InstanceModule::MakeHeartbeat() const {
  const Instance self = this->self();
  HeartbeatFields fields{.from = self->id,
                         .incarnation = self->incarnation,
                         .membership_offset = membership_.With(
                             [](const MembershipFold& fold) { return fold.offset(); }),
                         .held = {},
                         .free = {},
                         .revision = revision_.load(),
                         .logical = events_.LogicalTime()};
  hooks_.fill_heartbeat(fields);
  return Heartbeat(std::move(fields));
}

void InstanceModule::HandleHeartbeat(const Heartbeat& heartbeat) {
  events_.Observe(heartbeat->logical);
  isolation_.With([&](Isolation& isolation) {
    isolation.RecordReportedOffset(heartbeat->membership_offset, Now());
  });
  siblings_.With([&](SiblingTable& siblings) { siblings.RecordHeartbeat(heartbeat, Now()); });
  hooks_.heartbeat_received(heartbeat);
}

void InstanceModule::HandleHeartbeatResponse(const Heartbeat& heartbeat, Time sent) {
  isolation_.With(
      [&](Isolation& isolation) { isolation.RecordContact(ContactSource::kSibling, sent, Now()); });
  HandleHeartbeat(heartbeat);
}

Status InstanceModule::MakeStatus() const {
  StatusFields status;
  status.instance = self();
  status.draining = draining_;
  status.may_act = MayAct(Now());
  status.revision = revision_.load();
  membership_.With([&](const MembershipFold& fold) {
    status.member = fold.state().Contains(status.instance);
    status.membership_offset = fold.offset();
    status.members = static_cast<int>(fold.state().members.size());
  });
  FillMetrics(metrics_, status);
  hooks_.fill_status(status);
  return Status(std::move(status));
}

Task<> InstanceModule::Leave() {
  draining_ = true;
  const Time deadline = Now() + kLeaveTimeout;
  co_await appender_.Flush(deadline);
  const auto left = co_await store_.LeaveGroup(MakeGroupJoin());
  if (!left) log_.Write("group-not-left", settings_->id.value, left.error().message());
  const MembershipRecord record(
      {.change = MembershipChange::kLeave, .instance = self(), .snapshot = {}});
  co_await appender_.Append(kMembershipStream, EncodeText(record), deadline);
  events_.Emit(EventKind::kStopped, settings_->id.value);
}

Instance InstanceModule::self() const {
  return self_.With([](const Instance& self) { return self; });
}

std::shared_ptr<const Configuration> InstanceModule::configuration() const {
  return active_configuration_.With([](const auto& active) { return active; });
}

std::optional<Instance> InstanceModule::FindMember(const InstanceId& id) const {
  return membership_.With([&](const MembershipFold& fold) -> std::optional<Instance> {
    const auto found = fold.state().members.find(id);
    if (found == fold.state().members.end()) return std::nullopt;
    return found->second;
  });
}

bool InstanceModule::MayAct(Time now) const {
  return isolation_.With([&](const Isolation& isolation) { return isolation.MayDispatch(now); });
}

std::vector<WorkerEntry> InstanceModule::Workers() const {
  return workers_.With([](const auto& workers) {
    std::vector<WorkerEntry> all;
    all.reserve(workers.size());
    for (const auto& [id, entry] : workers) all.push_back(entry);
    return all;
  });
}

std::vector<Instance> InstanceModule::Siblings() const {
  const Instance self = this->self();
  std::vector<Instance> siblings = membership_.With(
      [&](const MembershipFold& fold) { return fold.state().MembersOf(self->region); });
  std::erase_if(siblings, [&](const Instance& member) { return member->id == self->id; });
  return siblings;
}

std::size_t InstanceModule::member_count() const {
  return membership_.With([](const MembershipFold& fold) { return fold.state().members.size(); });
}

}  // namespace dn
