// What the request path builds on: streams and a group in the store, registered
// workers, heartbeats, membership, control calls.
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

// What the request path needs from the adapter of its platform.
struct EntryAdapter {
  StoreProtocol store;
  WorkerRegistry registry;
};

// What the request path adds to it.
struct InstanceHooks {
  std::function<void()> roster_changed;
  std::function<void()> configuration_changed;
  std::function<void()> workers_changed;
  std::function<void(const Heartbeat&)> heard;
  std::function<void(HeartbeatFields&)> fill_heartbeat;
  std::function<void(StatusFields&)> fill_status;
};

class InstanceModule {
 public:
  InstanceModule(const InstanceSettings& settings, const EntryAdapter& adapter, WorkerPool& pool);

  // Begins to follow the streams and to listen for siblings. `hooks` are
  // called on any thread.
  Result<void> Start(InstanceHooks hooks);
  // Runs the pool until SIGTERM or an operator's drain, which end with `drain`.
  // Exit status 1 if `start` fails.
  int RunUntilDrained(const std::function<Result<void>()>& start, std::function<Task<>()> drain);
  // Leaves the group, appends the leave record and waits for it, for a bounded
  // time.
  Task<> Leave();

  Instance self() const;
  std::shared_ptr<const Configuration> configuration() const;
  std::optional<Instance> Member(const InstanceId& id) const;
  bool MayAct(Time now) const;
  std::vector<WorkerEntry> Workers() const;
  std::vector<Instance> Siblings() const;
  std::size_t member_count() const;

  WorkerPool& pool() { return pool_; }
  HttpClient& http() { return http_; }
  StoreClient& store() { return store_; }
  StreamAppender& appender() { return appender_; }
  EventLog& events() { return events_; }
  Metrics& metrics() { return metrics_; }
  SharedSiblings& siblings() { return siblings_; }
  Shared<MembershipFold, LockRank::kMembers>& roster() { return roster_; }
  HeartbeatSender& heartbeats() { return heartbeats_; }
  const InstanceSettings& settings() const { return settings_; }
  std::atomic<bool>& draining() { return draining_; }

 private:
  using RosterFollower = StreamFollower<MembershipRecord, MembershipFold, LockRank::kMembers>;
  using ConfigurationFollower =
      StreamFollower<ConfigurationRecord, ConfigurationFold, LockRank::kConfiguration>;

  void RosterRead();
  void ConfigurationRead();
  Task<> FollowWorkers();
  void HandleWorkers(const std::vector<StoreRecord>& records, bool complete);
  // Stays in the store's group of this region and looks at who else is in it.
  Task<> KeepGroup();
  Join GroupJoin() const;
  Task<> KeepMembership();
  void AskDrain();
  Task<> DrainAndStop();
  void WriteSnapshots();
  void RetireGone();
  Heartbeat MakeHeartbeat() const;
  void Heard(const Heartbeat& heartbeat);
  // A sibling answered the heartbeat that was sent at `sent`.
  void Answered(const Heartbeat& heartbeat, Time sent);
  Status MakeStatus() const;
  void AppendRoster(MembershipChange change, const Instance& instance);

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
  Shared<MembershipFold, LockRank::kMembers> roster_;
  Shared<ConfigurationFold, LockRank::kConfiguration> configuration_;
  Shared<std::shared_ptr<const Configuration>, LockRank::kConfiguration> in_force_;
  std::atomic<Offset> revision_{kNoOffset};
  Shared<std::map<WorkerId, WorkerEntry>, LockRank::kWorkers> workers_;
  Shared<DepartureDetector, LockRank::kWorkers> departures_;
  std::atomic<std::int64_t> group_generation_{0};
  Shared<Isolation, LockRank::kIsolation> isolation_;
  Shared<Instance, LockRank::kIsolation> self_;
  SharedSiblings siblings_;
  RpcDispatcher rpc_;
  KeyedFollower worker_follower_;
  HeartbeatSender heartbeats_;
  RosterFollower roster_follower_;
  ConfigurationFollower configuration_follower_;
  std::unique_ptr<ControlRoutes> routes_;
  std::unique_ptr<HttpServer> server_;
  InstanceHooks hooks_;
  std::function<Task<>()> drain_;
  std::atomic<bool> drain_asked_{false};
  std::atomic<bool> draining_{false};
};

}  // namespace dn
