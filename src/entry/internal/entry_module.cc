// Composition and life cycle of the request path.
#include "entry/internal/entry_module.h"

#include <glog/logging.h>

#include "caller/caller.h"
#include "entry/internal/instance_module.h"

namespace dn {
namespace {

constexpr Duration kSlotActivationPeriod{100};
constexpr Duration kDrainPollInterval{20};
// A starting instance waits for this long for its first slot before it accepts requests. Without
// slots it can only relay requests to siblings.
constexpr Duration kFirstSlotTimeout{10'000};

class EntryModule {
 public:
  EntryModule(const InstanceSettings& settings, const EntryAdapter& adapter)
      : pool_(settings->threads),
        instance_(settings, adapter, pool_),
        backend_servers_(instance_.events(), instance_.metrics()),
        slots_(instance_.self(), MakeRoutingStrategy(settings->routing), backend_servers_),
        keys_(settings->key_window),
        key_claims_(settings->id, instance_.self()->incarnation, instance_.appender(), keys_),
        key_follower_(instance_.store(), kKeyStream, keys_, instance_.events(), instance_.metrics(),
                      [this] { key_claims_.NotifyChanged(); }),
        flow_(MakeContext()) {}

  int Run() {
    return instance_.RunUntilDrained([this] { return Start(); }, [this] { return Drain(); });
  }

 private:
  RequestContext MakeContext() {
    return {.self = instance_.self(),
            .pool = pool_,
            .slots = slots_,
            .servers = backend_servers_,
            .key_claims = key_claims_,
            .siblings = instance_.siblings(),
            .events = instance_.events(),
            .metrics = instance_.metrics(),
            .configuration = [this] { return instance_.configuration(); },
            .find_member = [this](const InstanceId& id) { return instance_.FindMember(id); },
            .may_dispatch = [this](Time now) { return instance_.MayAct(now); }};
  }

  InstanceHooks MakeHooks() {
    return {.members_changed = [this] { UpdateSlots(); },
            .configuration_changed = [this] { UpdateSlots(); },
            .workers_changed = [this] { UpdateSlots(); },
            .heartbeat_received =
                [this](const Heartbeat& heartbeat) { slots_.RecordConfirmation(heartbeat); },
            .fill_heartbeat =
                [this](HeartbeatFields& fields) {
                  slots_.FillHeartbeat(fields, ActiveConfiguration());
                },
            .fill_status = [this](StatusFields& status) { FillStatus(status); }};
  }

  Configuration ActiveConfiguration() const {
    const auto configuration = instance_.configuration();
    return configuration ? *configuration : Configuration();
  }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(instance_.Start(MakeHooks()));
    pool_.Spawn(ListenWhenReady());
    pool_.Spawn(key_follower_.Run());
    pool_.Every(kSlotActivationPeriod, [this] { return ActivateSlots(); });
    return boost::outcome_v2::success();
  }

  // Starts to listen for callers only when requests can be processed, so that an instance refuses
  // no request after a restart.
  Task<> ListenWhenReady() {
    const Time deadline = Now() + kFirstSlotTimeout;
    while (!instance_.configuration() || !instance_.MayAct(Now()) ||
           (slots_.HeldCount() == 0 && Now() < deadline)) {
      if (instance_.draining()) co_return;
      co_await SleepFor(kSlotActivationPeriod);
    }
    auto server = CallerServer::Start(pool_, instance_.settings()->caller_address,
                                      {.header_limit_bytes = [this] { return HeaderLimitBytes(); }},
                                      instance_.metrics(),
                                      [this](CallerExchange& caller) { return flow_.Run(caller); });
    if (!server) {
      LOG(ERROR) << R"({"kind":"listen-failed","detail":"cannot listen on the caller address: )"
                 << server.error().message() << "\"}";
      pool_.Stop();
      co_return;
    }
    server_.With([&](auto& current) { current = std::move(server).value(); });
  }

  // Largest limit of any service, in bytes: the service of a request is known only after its head
  // was read.
  std::uint32_t HeaderLimitBytes() const {
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
      MembershipState membership;
      Offset offset = kNoOffset;
    };
    const View view = instance_.membership().With([](const MembershipFold& fold) {
      return View{fold.state(), fold.offset()};
    });
    slots_.Update(instance_.self(), view.membership, view.offset, instance_.Workers(),
                  ActiveConfiguration());
  }

  Task<> ActivateSlots() {
    // An evicted instance may have dispatched requests until the limit of its isolation, and uses
    // each slot for at most twice the timeout of the service after that.
    const Duration eviction_wait = kIsolationLimit + 2 * LongestTimeout() + kSafetyMargin;
    const int activated = slots_.ActivateConfirmed(Now().time_since_epoch().count(), eviction_wait);
    if (activated > 0) {
      instance_.events().Emit(EventKind::kSlotsGained, std::to_string(activated),
                              "roster " + std::to_string(slots_.membership_offset()));
      instance_.heartbeats().SendNow();
    }
    co_return;
  }

  void FillStatus(StatusFields& status) const {
    status.serving = server_.With([](const auto& server) { return server != nullptr; });
    status.held_slots = slots_.HeldCount();
    status.busy_slots = slots_.BusyCount();
  }

  // Gives the platform's balancer time to notice the drain, then stops listening, responds to the
  // last request of each connection and leaves the members.
  Task<> Drain() {
    instance_.events().Emit(EventKind::kDraining, instance_.settings()->id.value);
    instance_.draining() = true;
    const auto server = server_.With([](const auto& current) { return current; });
    if (server) {
      server->BeginDrain();
      co_await SleepFor(instance_.settings()->drain_grace);
      server->CloseIdle();
    }
    while (flow_.in_flight() > 0 || (server && !server->closed())) {
      co_await SleepFor(kDrainPollInterval);
    }
    co_await WaitForLateResponses();
    co_await instance_.Leave();
  }

  // Waits for the responses of requests that have failed, for at most twice the longest timeout. A
  // backend server that never responds must not block the drain: siblings take over the slots of
  // an evicted member after the same time.
  Task<> WaitForLateResponses() {
    const Time deadline = Now() + 2 * LongestTimeout();
    while (slots_.BusyCount() > 0 && Now() < deadline) co_await SleepFor(kDrainPollInterval);
  }

  Duration LongestTimeout() const {
    Duration longest{0};
    for (const Service& service : ActiveConfiguration()->services)
      longest = std::max(longest, service->timeout);
    return longest;
  }

  WorkerPool pool_;
  InstanceModule instance_;
  BackendServers backend_servers_;
  SlotPool slots_;
  SharedKeys keys_;
  KeyClaims key_claims_;
  StreamFollower<KeyRecord, KeyFold, LockRank::kKeys> key_follower_;
  RequestFlow flow_;
  // Null until requests are accepted.
  Shared<std::shared_ptr<CallerServer>, LockRank::kConnections> server_;
};

}  // namespace

int RunEntry(const InstanceSettings& settings, const EntryAdapter& adapter) {
  EntryModule module(settings, adapter);
  return module.Run();
}

}  // namespace dn
