// The dn-node process: command line, settings, servers, loops and drain.
#include "node/internal/node_module.h"

#include <glog/logging.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "node/internal/node_service.h"

namespace dn {
namespace {

// The store evicts a member that has not joined for this long. The time allows a
// take-over within 2.5 s after a process has died.
constexpr Duration kTimeToLive{1'800};
// Wait time of a long poll for the queue configuration.
constexpr Duration kConfigurationWait{700};
// Minimum duration of a drain: the platform stops sending requests after two
// readiness checks, 1 s apart.
constexpr Duration kDrainNoticePeriod{2'600};
// Part of the grace period that is reserved for the exit of the process.
constexpr Duration kExitMargin{1'000};
// Part of the time of a drain that is reserved for sending the last responses and closing their
// connections.
constexpr Duration kLastAnswerMargin{300};
// Pause between checks for requests in flight during a drain.
constexpr Duration kDrainPollPause{50};

class Node {
 public:
  Node(const NodeSettings& settings, const std::string& settings_path, const NodeAdapter& adapter)
      : settings_(settings),
        settings_path_(settings_path),
        latest_settings_(settings),
        adapter_(adapter),
        pool_(settings->cores),
        log_(settings->id),
        exchanges_(ExchangeCapacity(
            {.processor_share = settings->processor_share, .link_mbps = settings->link_mbps})),
        store_(settings->store, adapter.store, http_),
        local_(store_, settings->id, log_),
        membership_(
            store_, settings->instances, settings->processor_share,
            std::max(kTimeToLive, settings->min_time_to_live),
            {.gained = [this](int shard, FencingToken token) { OnShardGained(shard, token); },
             .lost = [this](int shard) { OnShardLost(shard); },
             .candidacy = [this](const Candidacy& candidacy) { LogCandidacy(candidacy); }}),
        service_(local_, membership_, http_, settings->instances, log_, metrics_),
        request_handler_(service_, adapter.jobs, log_),
        instance_server_(local_, [this](int shard) { return membership_.CachedOwnerOf(shard); }),
        configuration_(store_, adapter.operator_records, {.wait = kConfigurationWait}, log_,
                       [this](const auto& records, bool complete) {
                         ApplyZones(records, complete);
                         ApplyConfiguration(records);
                       }) {}

  // Runs the process; returns its exit status.
  int Run() {
    if (!settings_->orders_by_call) {
      log_.Write("not-supported", settings_->id,
                 "orders=heartbeat: only orders by call are supported; tasks remain waiting");
    }
    const auto front = Serve(settings_->front, [this](HttpCall call) {
      return Measure(request_handler_.Handle(std::move(call)));
    });
    const auto ready = Serve(settings_->ready, [this](HttpCall call) {
      return request_handler_.HandleReadiness(std::move(call));
    });
    const auto instances = Serve(settings_->instances, [this](HttpCall call) {
      return HandleInstanceCall(std::move(call));
    });
    if (!front || !ready || !instances) return 1;
    servers_ = {front.get(), ready.get(), instances.get()};
    front_ = front.get();
    log_.Write("start", settings_->id, "zone=" + settings_->zone + " version=" + kVersion);
    pool_.Spawn(FollowConfiguration());
    pool_.Spawn(membership_.Run());
    pool_.Spawn(FollowSettings());
    DrainOnSignal(pool_, [this] { return Drain(); });
    pool_.Run();
    log_.Write("stop", settings_->id, "left_out=" + std::to_string(log_.left_out()));
    return 0;
  }

 private:
  // Starts a server on `address`; null if that fails.
  std::unique_ptr<HttpServer> Serve(const Endpoint& address, HttpServer::Handler handler) {
    constexpr HttpLimits kLimits{.header = 16'384, .body = 4 * 1024 * 1024};
    auto server = HttpServer::Start(pool_, address, std::move(handler), kLimits);
    if (server) return std::move(server).value();
    log_.Write("listen-failed", address.ToString(), server.error().message());
    return nullptr;
  }

  // Counts a request in flight and records its latency.
  Task<HttpReply> Measure(Task<HttpReply> response) {
    ++in_flight_;
    const Time started = Now();
    HttpReply reply = co_await std::move(response);
    metrics_.RecordLatency(Latency::kCallerCall, Now() - started);
    --in_flight_;
    co_return reply;
  }

  Task<HttpReply> HandleInstanceCall(HttpCall call) {
    if (call.path == "/metrics") {
      co_return HttpReply{.body = metrics_.Prometheus() + log_.Prometheus(),
                          .content_type = "text/plain"};
    }
    co_return co_await instance_server_.Handle(std::move(call));
  }

  // Applies the operator's records on zones. The key of a record alone counts, whatever its value.
  void ApplyZones(const std::vector<StoreRecord>& records, bool complete) {
    std::vector<ZoneRecord> zones;
    for (const StoreRecord& record : records) {
      if (auto zone = adapter_.evacuated_zone(record->key)) {
        zones.emplace_back(
            ZoneRecordFields{.zone = *std::move(zone), .evacuated = record->value.has_value()});
      }
    }
    evacuations_.With([&](Evacuations& known) { known = WithRecords(known, zones, complete); });
  }

  Evacuations CurrentEvacuations() {
    // All records that were stored until this read are in what is read next.
    const Time read = configuration_.last_complete();
    return evacuations_.With([](const Evacuations& known) { return known; })
        .With([&](EvacuationsFields& fields) { fields.read = read; });
  }

  // Activates the queue configuration among the operator records, if there is one.
  void ApplyConfiguration(const std::vector<StoreRecord>& records) {
    for (const StoreRecord& record : records) {
      if (record->key != adapter_.queue_configuration_key || !record->value) continue;
      const auto configuration = adapter_.decode_queue_configuration(*record->value);
      if (!configuration) {
        log_.Write("configuration-unreadable", record->key, configuration.error().message());
        continue;
      }
      if (!local_.Activate(configuration.value())) continue;
      log_.Write("configuration-in-force", std::to_string(configuration.value()->version),
                 "queues=" + std::to_string(configuration.value()->queues.size()));
    }
  }

  Task<> FollowConfiguration() {
    co_await configuration_.LoadWhile([] { return true; });
    while (true) {
      local_.SetConfigurationRead(configuration_.last_complete());
      auto polled = co_await configuration_.Poll(configuration_.next_wait());
      if (!polled) co_await SleepFor(configuration_.retry_pause());
    }
  }

  void OnShardGained(int shard, FencingToken token) {
    auto owner = std::make_shared<ShardOwner>(
        ShardOwner::Context{
            .instance = settings_->id,
            .pool = pool_,
            .http = http_,
            .exchanges = exchanges_,
            .store = store_,
            .adapter = adapter_,
            .log = log_,
            .metrics = metrics_,
            .policy = CurrentPolicy(),
            .evacuations = [this] { return CurrentEvacuations(); },
            .on_fenced = [this](int) { membership_.Rejoin(); },
            .last_confirmed = [this, shard,
                               token] { return membership_.last_confirmed(shard, token); },
            .time_to_live = membership_.time_to_live(),
            .configuration = [this] { return local_.CurrentConfiguration(); },
            .member = membership_.member()},
        shard, token);
    local_.SetOwner(shard, owner);
    pool_.Spawn(owner->Run());
  }

  void LogCandidacy(const Candidacy& candidacy) {
    const auto round_trip = candidacy.store_round_trip();
    std::string detail = "share=" + std::to_string(settings_->processor_share) + " store_ms=" +
                         (round_trip ? std::to_string(round_trip->count()) : "unknown");
    if (!candidacy.IsCandidate()) detail += " cause=" + std::string(candidacy.cause());
    log_.Write(candidacy.IsCandidate() ? "candidate" : "stands-back", settings_->id, detail);
  }

  void OnShardLost(int shard) {
    const auto owner = local_.OwnerOf(shard);
    local_.SetOwner(shard, nullptr);
    if (owner) owner->Drop("dealt-to-another");
  }

  // Policy according to the latest settings. It applies to shards that are taken over
  // from now on; a shard keeps the policy that was current at its take-over.
  Policy CurrentPolicy() {
    const NodeSettings latest =
        latest_settings_.With([](const NodeSettings& settings) { return settings; });
    return Policy({.lease = std::min(PolicyFields().lease, latest->max_lease),
                   .max_lease = latest->max_lease,
                   .max_stop_time = latest->max_stop_time,
                   .finished_retention = latest->finished_retention,
                   .throttle_after = latest->interference_limit * 3 / 10,
                   .suspend_after = latest->interference_limit * 3 / 5,
                   .evacuation_limit = latest->evacuation_limit,
                   .max_cold_starts = MaxColdStarts(latest)});
  }

  // The platform allows a cold worker `cold_slack` starts a second beyond a multiple of the mean of
  // warm workers. That mean may fall at any time, so it is not relied on. One start is always
  // allowed, since all workers may be cold.
  static std::optional<std::int64_t> MaxColdStarts(const NodeSettings& settings) {
    if (!settings->cold_slack) return std::nullopt;
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(*settings->cold_slack));
  }

  // Reloads the settings file on SIGHUP, and periodically, since the file may change
  // without a signal. New addresses take effect only when the process is restarted.
  Task<> FollowSettings() {
    constexpr Duration kPeriod{2'000};
    asio::signal_set signals(co_await asio::this_coro::executor, SIGHUP);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool signalled = false;
    std::function<void()> arm = [&] {
      signals.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        signalled = true;
        timer.cancel();
        arm();
      });
    };
    arm();
    while (true) {
      timer.expires_after(kPeriod);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      ReloadSettings(std::exchange(signalled, false));
    }
  }

  // `signalled`: logs the reload even if the settings have not changed.
  void ReloadSettings(bool signalled) {
    Findings findings;
    const auto text = ReadFile(settings_path_, findings);
    std::optional<NodeSettings> decoded;
    if (text) decoded = adapter_.decode_settings(settings_path_, *text, findings);
    for (const Finding& finding : findings) {
      log_.Write("settings-rejected", settings_->id, finding.ToString());
    }
    if (!decoded) return;
    const bool changed = latest_settings_.With([&](NodeSettings& latest) {
      const bool differs = latest != *decoded;
      latest = *decoded;
      return differs;
    });
    if (changed || signalled) {
      log_.Write("settings-read", settings_->id, changed ? "changed=yes" : "changed=no");
    }
  }

  // Leaves the owner group, waits until the platform has noticed that this node is
  // not ready, and then until no request is in flight or the grace period ends.
  Task<> Drain() {
    const Time end = Now() + settings_->stop_grace - kExitMargin;
    log_.Write("drain", settings_->id, "in_flight=" + std::to_string(in_flight_.load()));
    local_.StartDrain();
    request_handler_.AnswerBy(end - kLastAnswerMargin);
    for (HttpServer* server : servers_) server->DisableKeepAlive();
    co_await membership_.Leave();
    const Time notice_end = std::min(end, Now() + kDrainNoticePeriod);
    while (Now() < notice_end) co_await SleepFor(kDrainPollPause);
    // A request may still be on its way on a connection that is open.
    front_->Close();
    while ((in_flight_ > 0 || !front_->closed()) && Now() < end) co_await SleepFor(kDrainPollPause);
  }

  const NodeSettings settings_;  // Settings at the start of the process.
  const std::string settings_path_;
  Shared<NodeSettings, LockRank::kConfiguration> latest_settings_;
  const NodeAdapter& adapter_;
  // What the operator has recorded on zones; the time of the read is that of configuration_.
  Shared<Evacuations, LockRank::kConfiguration> evacuations_;
  WorkerPool pool_;
  DecisionLog log_;
  Metrics metrics_;
  HttpClient http_{&metrics_};
  SharedExchangeBudget exchanges_;
  StoreClient store_;
  LocalService local_;
  ShardMembership membership_;
  NodeService service_;
  JobRequestHandler request_handler_;
  InstanceServer instance_server_;
  KeyedFollower configuration_;
  std::vector<HttpServer*> servers_;
  HttpServer* front_ = nullptr;    // That of `servers_` for callers; set by Run().
  std::atomic<int> in_flight_{0};  // Requests of callers.
};

}  // namespace

int RunNode(int argc, char** argv, const NodeAdapter& adapter) {
  cxxopts::Options options(argv[0], "Schedules the jobs of callers on the platform's workers.");
  options.add_options()("h,help", "show this help")("version", "show the version")(
      "settings", "settings file; default: the platform's location",
      cxxopts::value<std::string>()->default_value(adapter.settings_path))(
      "check-settings", "check the settings and exit without starting");
  std::string path;
  bool check_only = false;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << kVersion << '\n';
      return 0;
    }
    path = parsed["settings"].as<std::string>();
    check_only = parsed.count("check-settings") > 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitInvalid;
  }
  Findings findings;
  const auto text = ReadFile(path, findings);
  std::optional<NodeSettings> settings;
  if (text) settings = adapter.decode_settings(path, *text, findings);
  if (!settings) {
    PrintFindings(findings, std::cerr);
    return kExitInvalid;
  }
  if (check_only) return 0;
  StartLogging(argv[0]);
  return Node(*settings, path, adapter).Run();
}

}  // namespace dn
