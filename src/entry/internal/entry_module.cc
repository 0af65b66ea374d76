// Wiring of the request path.
#include "entry/internal/entry_module.h"

#include <glog/logging.h>

#include "caller/caller.h"
#include "entry/internal/instance_module.h"

namespace dn {
namespace {

constexpr Duration kSettlePeriod{100};
constexpr Duration kDrainPoll{20};
// Without slots of its own an instance can only relay.
constexpr Duration kWaitForSlots{10'000};

class EntryModule {
 public:
  EntryModule(const InstanceSettings& settings, const EntryAdapter& adapter)
      : pool_(settings->threads),
        instance_(settings, adapter, pool_),
        servers_(instance_.events(), instance_.metrics()),
        slots_(instance_.self(), MakeRoutingStrategy(settings->routing), servers_),
        keys_(settings->key_window),
        claims_(settings->id, instance_.self()->incarnation, instance_.appender(), keys_),
        key_follower_(instance_.store(), kKeyStream, keys_, instance_.events(), instance_.metrics(),
                      [this] { claims_.Changed(); }),
        flow_(MakeContext()) {}

  int Run() {
    return instance_.RunUntilDrained([this] { return Start(); }, [this] { return Drain(); });
  }

 private:
  RequestContext MakeContext() {
    return {.self = instance_.self(),
            .pool = pool_,
            .slots = slots_,
            .servers = servers_,
            .keys = claims_,
            .siblings = instance_.siblings(),
            .events = instance_.events(),
            .metrics = instance_.metrics(),
            .configuration = [this] { return instance_.configuration(); },
            .member = [this](const InstanceId& id) { return instance_.Member(id); },
            .may_dispatch = [this](Time now) { return instance_.MayAct(now); }};
  }

  InstanceHooks MakeHooks() {
    return {.roster_changed = [this] { UpdateSlots(); },
            .configuration_changed = [this] { UpdateSlots(); },
            .workers_changed = [this] { UpdateSlots(); },
            .heard = [this](const Heartbeat& heartbeat) { slots_.Confirm(heartbeat); },
            .fill_heartbeat =
                [this](HeartbeatFields& fields) { slots_.FillHeartbeat(fields, Config()); },
            .fill_status = [this](StatusFields& status) { FillStatus(status); }};
  }

  Configuration Config() const {
    const auto configuration = instance_.configuration();
    return configuration ? *configuration : Configuration();
  }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(instance_.Start(MakeHooks()));
    pool_.Spawn(ListenWhenReady());
    pool_.Spawn(key_follower_.Run());
    pool_.Every(kSettlePeriod, [this] { return Settle(); });
    return boost::outcome_v2::success();
  }

  // Callers are let in once their requests can be served, so that a restarted
  // instance refuses nobody.
  Task<> ListenWhenReady() {
    const Time deadline = Now() + kWaitForSlots;
    while (!instance_.configuration() || !instance_.MayAct(Now()) ||
           (slots_.HeldCount() == 0 && Now() < deadline)) {
      if (instance_.draining()) co_return;
      co_await SleepFor(kSettlePeriod);
    }
    auto server = CallerServer::Start(
        pool_, instance_.settings()->caller_address, {.max_header = [this] { return MaxHeader(); }},
        instance_.metrics(), [this](CallerExchange& caller) { return flow_.Run(caller); });
    if (!server) {
      LOG(ERROR) << R"({"kind":"listen-failed","detail":")" << server.error().message() << "\"}";
      pool_.Stop();
      co_return;
    }
    server_.With([&](auto& current) { current = std::move(server).value(); });
  }

  std::uint32_t MaxHeader() const {
    int largest = ServiceFields().max_header_bytes;
    const auto configuration = instance_.configuration();
    if (!configuration) return static_cast<std::uint32_t>(largest);
    for (const Service& service : (*configuration)->services) {
      largest = std::max(largest, service->max_header_bytes);
    }
    return static_cast<std::uint32_t>(largest);
  }

  void UpdateSlots() {
    struct View {
      MembershipState state;
      Offset offset = kNoOffset;
    };
    const View view = instance_.roster().With([](const MembershipFold& fold) {
      return View{fold.state(), fold.offset()};
    });
    slots_.Update(instance_.self(), view.state, view.offset, instance_.Workers(), Config());
  }

  Task<> Settle() {
    // A retired instance may have dispatched until it noticed its isolation,
    // and holds each slot for at most twice the timeout after that.
    const Duration wait = kIsolationLimit + 2 * LongestTimeout() + kSafetyMargin;
    const int settled = slots_.Settle(Now().time_since_epoch().count(), wait);
    if (settled > 0) {
      instance_.events().Emit(EventKind::kSlotsGained, std::to_string(settled),
                              "roster " + std::to_string(slots_.roster_offset()));
      instance_.heartbeats().SendNow();
    }
    co_return;
  }

  void FillStatus(StatusFields& status) const {
    status.serving = server_.With([](const auto& server) { return server != nullptr; });
    status.held_slots = slots_.HeldCount();
    status.busy_slots = slots_.BusyCount();
  }

  Task<> Drain() {
    instance_.events().Emit(EventKind::kDraining, instance_.settings()->id.value);
    instance_.draining() = true;
    const auto server = server_.With([](const auto& current) { return current; });
    if (server) {
      server->BeginDrain();
      co_await SleepFor(instance_.settings()->drain_grace);
      server->CloseIdle();
    }
    while (flow_.in_flight() > 0 || (server && server->open_connections() > 0)) {
      if (server) server->CloseIdle();
      co_await SleepFor(kDrainPoll);
    }
    co_await WaitForLateAnswers();
    co_await instance_.Leave();
  }

  // A server that never answers does not keep the instance for ever: others
  // take its slots over after the same time.
  Task<> WaitForLateAnswers() {
    const Time deadline = Now() + 2 * LongestTimeout();
    while (slots_.BusyCount() > 0 && Now() < deadline) co_await SleepFor(kDrainPoll);
  }

  Duration LongestTimeout() const {
    Duration longest{0};
    for (const Service& service : Config()->services) longest = std::max(longest, service->timeout);
    return longest;
  }

  WorkerPool pool_;
  InstanceModule instance_;
  BackendServers servers_;
  SlotPool slots_;
  SharedKeys keys_;
  KeyClaims claims_;
  StreamFollower<KeyRecord, KeyFold, LockRank::kKeys> key_follower_;
  RequestFlow flow_;
  // Null before callers are let in.
  Shared<std::shared_ptr<CallerServer>, LockRank::kConnections> server_;
};

}  // namespace

int RunEntry(const InstanceSettings& settings, const EntryAdapter& adapter) {
  EntryModule module(settings, adapter);
  return module.Run();
}

}  // namespace dn
