// Base of an entry instance below the request path: membership, the streams and the group in the
// store, registered workers, heartbeats to siblings, and control calls.
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "decisions/decisions.h"
#include "entry/internal/instance_settings.h"
#include "operators/operators.h"
#include "sibling/sibling.h"
#include "store/store.h"

namespace dn {

// Protocols of the platform that an entry instance uses.
struct EntryAdapter {
  StoreProtocol store;
  WorkerRegistry registry;
};

// Callbacks into the request path. They are called on any thread, at times concurrently.
struct InstanceHooks {
  std::function<void()> members_changed;
  std::function<void()> configuration_changed;
  std::function<void()> workers_changed;
  std::function<void(const Heartbeat&)> heartbeat_received;
  // Both set the fields that the request path owns.
  std::function<void(HeartbeatFields&)> fill_heartbeat;
  std::function<void(StatusFields&)> fill_status;
};

class InstanceModule {
 public:
  InstanceModule(const InstanceSettings& settings, const EntryAdapter& adapter, WorkerPool& pool);

  // Starts to listen for siblings and operators, to follow the streams and to send heartbeats.
  // Fails if it cannot listen on the sibling address.
  Result<void> Start(InstanceHooks hooks);
  // Calls `start`, then runs the pool until SIGTERM or a drain call of an operator, either of which
  // runs `drain` before the pool stops. Returns the exit status of the process: 1 if `start` fails,
  // otherwise 0.
  int RunUntilDrained(const std::function<Result<void>()>& start, std::function<Task<>()> drain);
  // Flushes pending appends, leaves the group of the store and appends the leave record. The
  // appends end after 4 s at the latest.
  Task<> Leave();

  Instance self() const;
  // Active configuration; null until the first one has been read.
  std::shared_ptr<const Configuration> configuration() const;
  std::optional<Instance> FindMember(const InstanceId& id) const;
  // False while this instance may have been evicted without knowing it, because it has lost contact
  // with the store and its siblings.
  bool MayAct(Time now) const;
  std::vector<WorkerEntry> Workers() const;
  // Other members of the own region.
  std::vector<Instance> Siblings() const;
  std::size_t member_count() const;

  WorkerPool& pool() { return pool_; }
  HttpClient& http() { return http_; }
  StoreClient& store() { return store_; }
  StreamAppender& appender() { return appender_; }
  EventLog& events() { return events_; }
  Metrics& metrics() { return metrics_; }
  SharedSiblings& siblings() { return siblings_; }
  Shared<MembershipFold, LockRank::kMembers>& membership() { return membership_; }
  HeartbeatSender& heartbeats() { return heartbeats_; }
  const InstanceSettings& settings() const { return settings_; }
  std::atomic<bool>& draining() { return draining_; }

 private:
  using MembershipFollower = StreamFollower<MembershipRecord, MembershipFold, LockRank::kMembers>;
  using ConfigurationFollower =
      StreamFollower<ConfigurationRecord, ConfigurationFold, LockRank::kConfiguration>;

  // These run after new records were read from the stream.
  void HandleMembershipRead();
  void HandleConfigurationRead();
  Task<> FollowWorkers();
  // Applies registrations of workers. `complete`: `records` are all registrations, so that workers
  // without one are removed.
  void HandleWorkers(const std::vector<StoreRecord>& records, bool complete);
  // Renews the membership in the store's group of the own region and observes its other members.
  Task<> RenewGroupMembership();
  Join MakeGroupJoin() const;
  // Appends a join record if this instance is not a member. If it is one, evicts the members that
  // have departed and writes the snapshots that are due.
  Task<> MaintainMembership();
  void RequestDrain();
  Task<> DrainAndStop();
  void WriteDueSnapshots();
  void EvictDepartedMembers();
  Heartbeat MakeHeartbeat() const;
  // Processes a heartbeat that a sibling has sent as a call or as a response.
  void HandleHeartbeat(const Heartbeat& heartbeat);
  // A sibling has responded to the heartbeat that was sent at `sent`.
  void HandleHeartbeatResponse(const Heartbeat& heartbeat, Time sent);
  Status MakeStatus() const;
  void AppendMembershipChange(MembershipChange change, const Instance& instance);

  const InstanceSettings settings_;
  const std::uint64_t incarnation_;
  WorkerPool& pool_;
  Metrics metrics_;
  EventLog events_;
  HttpClient http_;
  const EntryAdapter adapter_;
  DecisionLog log_;
  StoreClient store_;
  StreamAppender appender_;
  Shared<MembershipFold, LockRank::kMembers> membership_;
  Shared<ConfigurationFold, LockRank::kConfiguration> configuration_;
  Shared<std::shared_ptr<const Configuration>, LockRank::kConfiguration> active_configuration_;
  std::atomic<Offset> revision_{kNoOffset};
  Shared<std::map<WorkerId, WorkerEntry>, LockRank::kWorkers> workers_;
  Shared<DepartureDetector, LockRank::kWorkers> departures_;
  std::atomic<std::int64_t> group_generation_{0};
  Shared<Isolation, LockRank::kIsolation> isolation_;
  Shared<Instance, LockRank::kIsolation> self_;
  SharedSiblings siblings_;
  RpcDispatcher rpc_;
  RegistrationReader registrations_;  // Used by the handler of worker_follower_ only.
  KeyedFollower worker_follower_;
  HeartbeatSender heartbeats_;
  MembershipFollower membership_follower_;
  ConfigurationFollower configuration_follower_;
  std::unique_ptr<ControlRoutes> routes_;
  std::unique_ptr<HttpServer> server_;
  InstanceHooks hooks_;
  std::function<Task<>()> drain_;
  std::atomic<bool> drain_requested_{false};
  std::atomic<bool> draining_{false};
};

}  // namespace dn
