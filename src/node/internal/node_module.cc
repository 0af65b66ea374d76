// The process: settings, servers, loops, drain.
#include "node/internal/node_module.h"

#include <glog/logging.h>

#include <boost/asio.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "node/internal/node_service.h"

namespace dn {
namespace {

// The store regards a member as gone after this long without a join. Short
// enough for a take-over within 2.5 s of a death.
constexpr Duration kTimeToLive{1'800};
constexpr Duration kConfigurationWait{1'000};
// During a drain: the platform notices within two checks, 1 s apart.
constexpr Duration kNoticePeriod{2'600};
// Left over of the grace period for the end of the process.
constexpr Duration kExitMargin{1'000};
constexpr Duration kDrainPoll{50};

class Node {
 public:
  Node(const NodeSettings& settings, const std::string& settings_path, const NodeAdapter& adapter)
      : settings_(settings),
        settings_path_(settings_path),
        latest_(settings),
        adapter_(adapter),
        pool_(settings->cores),
        log_(settings->id),
        store_(settings->store, adapter.store, http_),
        local_(store_, settings->id),
        membership_(store_, settings->instances, settings->processor_share,
                    std::max(kTimeToLive, settings->shortest_time_to_live),
                    {.gained = [this](int shard, FencingToken token) { Gained(shard, token); },
                     .lost = [this](int shard) { Lost(shard); },
                     .candidacy = [this](bool offers) { NoteCandidacy(offers); }}),
        service_(local_, membership_, http_, settings->instances),
        front_(service_, adapter.jobs, log_),
        instance_server_(local_, [this](int shard) { return membership_.KnownOwnerOf(shard); }),
        catalogue_(store_, adapter.operator_records, {.wait = kConfigurationWait}, log_,
                   [this](const auto& records, bool) { Configure(records); }) {}

  int Run() {
    if (!settings_->orders_by_call) {
      log_.Write("not-supported", settings_->id, "orders=heartbeat: tasks wait");
    }
    const auto front = Serve(settings_->front, [this](HttpCall call) {
      return Counted(front_.Answer(std::move(call)));
    });
    const auto ready = Serve(settings_->ready, [this](HttpCall call) {
      return front_.AnswerReadiness(std::move(call));
    });
    const auto instances = Serve(
        settings_->instances, [this](HttpCall call) { return AnswerInstances(std::move(call)); });
    if (!front || !ready || !instances) return 1;
    servers_ = {front.get(), ready.get(), instances.get()};
    log_.Write("start", settings_->id, "zone=" + settings_->zone + " version=" + kVersion);
    pool_.Spawn(FollowCatalogue());
    pool_.Spawn(membership_.Run());
    pool_.Spawn(FollowSettings());
    DrainOnSignal(pool_, [this] { return Drain(); });
    pool_.Run();
    log_.Write("stop", settings_->id, "left_out=" + std::to_string(log_.left_out()));
    return 0;
  }

 private:
  std::unique_ptr<HttpServer> Serve(const Endpoint& address, HttpServer::Handler handler) {
    constexpr HttpLimits kLimits{.header = 16'384, .body = 4 * 1024 * 1024};
    auto server = HttpServer::Start(pool_, address, std::move(handler), kLimits);
    if (server) return std::move(server).value();
    log_.Write("listen-failed", address.ToString(), server.error().message());
    return nullptr;
  }

  Task<HttpReply> Counted(Task<HttpReply> answer) {
    ++in_flight_;
    const Time began = Now();
    HttpReply reply = co_await std::move(answer);
    metrics_.Took(Latency::kCallerCall, Now() - began);
    --in_flight_;
    co_return reply;
  }

  Task<HttpReply> AnswerInstances(HttpCall call) {
    if (call.path == "/metrics") {
      co_return HttpReply{.body = metrics_.Prometheus() + log_.Prometheus(),
                          .content_type = "text/plain"};
    }
    co_return co_await instance_server_.Answer(std::move(call));
  }

  void Configure(const std::vector<StoreRecord>& records) {
    for (const StoreRecord& record : records) {
      if (record->key != adapter_.catalogue_key || !record->value) continue;
      const auto catalogue = adapter_.catalogue(*record->value);
      if (!catalogue) {
        log_.Write("configuration-unreadable", record->key, catalogue.error().message());
        continue;
      }
      if (!local_.InForce(catalogue.value())) continue;
      log_.Write("configuration-in-force", std::to_string(catalogue.value()->version),
                 "queues=" + std::to_string(catalogue.value()->queues.size()));
    }
  }

  Task<> FollowCatalogue() {
    constexpr Duration kPause{100};
    while (!co_await catalogue_.Load()) co_await SleepFor(kPause);
    while (true) {
      local_.Confirmed(catalogue_.last_success());
      auto polled = co_await catalogue_.Poll(kConfigurationWait);
      if (!polled) co_await SleepFor(kPause);
    }
  }

  void Gained(int shard, FencingToken token) {
    auto owner = std::make_shared<ShardOwner>(
        ShardOwner::Context{.pool = pool_,
                            .http = http_,
                            .store = store_,
                            .adapter = adapter_,
                            .log = log_,
                            .metrics = metrics_,
                            .policy = CurrentPolicy(),
                            .fenced = [this](int) { membership_.Renew(); }},
        shard, token);
    local_.SetOwner(shard, owner);
    pool_.Spawn(owner->Run());
  }

  void NoteCandidacy(bool offers) {
    log_.Write(offers ? "candidate" : "stands-back", settings_->id,
               "share=" + std::to_string(settings_->processor_share) +
                   (offers ? "" : " cause=much-larger-member"));
  }

  void Lost(int shard) {
    const auto owner = local_.OwnerOf(shard);
    local_.SetOwner(shard, nullptr);
    if (owner) owner->Drop("dealt-to-another");
  }

  // Of the newest settings; a shard keeps the policy that it was taken over with.
  Policy CurrentPolicy() {
    const NodeSettings latest = latest_.With([](const NodeSettings& settings) { return settings; });
    return Policy({.lease = std::min(PolicyFields().lease, latest->longest_lease),
                   .max_stop_time = latest->longest_stop,
                   .finished_retention = latest->finished_shown,
                   .throttle_after = latest->harm_limit * 3 / 10,
                   .suspend_after = latest->harm_limit * 3 / 5});
  }

  // Reads the settings file again on SIGHUP, and from time to time, since it may
  // change without a signal. Addresses keep until the process is started again.
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
      Reload(std::exchange(signalled, false));
    }
  }

  void Reload(bool signalled) {
    Findings findings;
    const auto text = ReadFile(settings_path_, findings);
    std::optional<NodeSettings> read;
    if (text) read = adapter_.settings(settings_path_, *text, findings);
    for (const Finding& finding : findings) {
      log_.Write("settings-rejected", settings_->id, finding.ToString());
    }
    if (!read) return;
    const bool changed = latest_.With([&](NodeSettings& latest) {
      const bool differs = latest != *read;
      latest = *read;
      return differs;
    });
    if (changed || signalled) {
      log_.Write("settings-read", settings_->id, changed ? "changed=yes" : "changed=no");
    }
  }

  Task<> Drain() {
    const Time end = Now() + settings_->stop_grace - kExitMargin;
    log_.Write("drain", settings_->id, "in_flight=" + std::to_string(in_flight_.load()));
    local_.StartDrain();
    for (HttpServer* server : servers_) server->EndConnections();
    co_await membership_.Leave();
    const Time notice = std::min(end, Now() + kNoticePeriod);
    while (Now() < notice || (in_flight_ > 0 && Now() < end)) co_await SleepFor(kDrainPoll);
  }

  const NodeSettings settings_;  // As at the start.
  const std::string settings_path_;
  Shared<NodeSettings, LockRank::kConfiguration> latest_;
  const NodeAdapter& adapter_;
  WorkerPool pool_;
  DecisionLog log_;
  Metrics metrics_;
  HttpClient http_{&metrics_};
  StoreClient store_;
  LocalService local_;
  ShardMembership membership_;
  NodeService service_;
  JobFront front_;
  InstanceServer instance_server_;
  KeyedFollower catalogue_;
  std::vector<HttpServer*> servers_;
  std::atomic<int> in_flight_{0};  // Calls of callers.
};

}  // namespace

int RunNode(int argc, char** argv, const NodeAdapter& adapter) {
  cxxopts::Options options(argv[0], "Schedules jobs of callers on the platform's workers.");
  options.add_options()("h,help", "show this help")("version", "show the version")(
      "settings", "settings file; default: where the platform says",
      cxxopts::value<std::string>()->default_value(adapter.settings_path))(
      "check-settings", "check the settings, start nothing");
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
  if (text) settings = adapter.settings(path, *text, findings);
  if (!settings) {
    PrintFindings(findings, std::cerr);
    return kExitInvalid;
  }
  if (check_only) return 0;
  StartLogging(argv[0]);
  return Node(*settings, path, adapter).Run();
}

}  // namespace dn
