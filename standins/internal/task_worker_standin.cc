// In-memory workers: orders, leases and registration.
#include "standins/internal/task_worker_standin.h"

#include <boost/json.hpp>

namespace dn::standins {
namespace {

namespace json = boost::json;

constexpr Duration kHeartbeatInterval{500};
constexpr Duration kPollInterval{20};
// The first incarnation has been up for a while, so that its clock is ahead of that of later ones.
constexpr Duration kEarlierUptime{60'000};
// Duration of a task with the payload "slow": longer than all leases.
constexpr Duration kSlowTaskTime{12'000};
// Longer than an owner waits for a response: 2 s for the end of a run and 1 s for the response.
constexpr Duration kNoResponse{4'000};
constexpr int kCpuMillicores = 4'000;
constexpr int kMemoryMb = 4'000;
constexpr std::size_t kMaxListedEnds = 500;  // In one response; the others follow.

std::int64_t NumberField(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

// Returns the fencing token of an order; 0 if it has none.
std::int64_t TokenOf(const HttpCall& call) {
  boost::system::error_code error;
  const json::value body = json::parse(call.body, error);
  return !error && body.is_object() ? NumberField(body.as_object(), "FencingToken") : 0;
}

}  // namespace

TaskWorkerStandin::TaskWorkerStandin(WorkerPool& pool, StoreStandin& store, std::string id,
                                     std::string service, Duration task_time)
    : pool_(pool),
      store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      task_time_(task_time) {
  state_.With([](State& state) {
    state.start_time = Now() - kEarlierUptime;
    state.start_time_ms = WallMs() - kEarlierUptime.count();
  });
}

std::int64_t TaskWorkerStandin::LocalClockMs(const State& state) {
  return (Now() - state.start_time).count() + 1;
}

Result<> TaskWorkerStandin::Start() {
  if (auto started = StartServer(); !started) return started;
  pool_.Spawn(Register());
  return boost::outcome_v2::success();
}

Result<> TaskWorkerStandin::StartBehindRelay(Duration one_way_delay) {
  if (auto started = StartServer(); !started) return started;
  auto relay =
      TcpRelay::Start(pool_, {.host = "127.0.0.1", .port = 0}, server_->address(), one_way_delay);
  if (!relay) return relay.error();
  relay_ = std::move(relay).value();
  pool_.Spawn(Register());
  return boost::outcome_v2::success();
}

Result<> TaskWorkerStandin::StartServer() {
  auto server = HttpServer::Start(pool_, {.host = "127.0.0.1", .port = 0},
                                  [this](HttpCall call) { return Handle(std::move(call)); });
  if (!server) return server.error();
  server_ = std::move(server).value();
  return boost::outcome_v2::success();
}

void TaskWorkerStandin::SetMaxLease(Duration max_lease) {
  state_.With([&](State& state) { state.max_lease = max_lease; });
}

void TaskWorkerStandin::SetFault(const TaskWorkerFault& fault) {
  state_.With([&](State& state) {
    AdvanceToNow(state);
    if (fault.dead) {
      while (!state.running.empty()) EndRun(state, state.running.begin()->first, "lost", Now());
      state.unacknowledged_ends.clear();
    }
    state.fault = fault;
  });
}

void TaskWorkerStandin::Restart(Duration dark, WorkerEnd end) {
  state_.With([&](State& state) {
    AdvanceToNow(state);
    while (!state.running.empty()) EndRun(state, state.running.begin()->first, "lost", Now());
    state.last_run.clear();
    state.unacknowledged_ends.clear();
    state.next_end_number = 1;
    state.token = 0;
    state.lease_expiry_ms = 0;
    state.sequence = 0;
    state.counts.reports = 0;
    ++state.incarnation;
    state.start_time = Now() + dark;
    state.start_time_ms = WallMs() + dark.count();
  });
  if (relay_ == nullptr) return;
  if (end == WorkerEnd::kCrash) relay_->CloseConnections();
  if (end == WorkerEnd::kPowerLoss) relay_->SilenceConnections();
}

TaskWorkerCounts TaskWorkerStandin::Counts() const {
  return state_.With([](const State& state) { return state.counts; });
}

std::vector<CallRecord> TaskWorkerStandin::Calls() const {
  return state_.With([](const State& state) { return state.calls; });
}

std::vector<RunRecord> TaskWorkerStandin::Runs() const {
  return state_.With([](const State& state) { return state.runs; });
}

std::vector<std::string> TaskWorkerStandin::Findings() const {
  return state_.With([](const State& state) { return state.findings; });
}

Task<> TaskWorkerStandin::Register() {
  bool registered = false;
  while (true) {
    struct Heartbeat {
      TaskWorkerFault fault;
      std::int64_t clock_ms = 0;
      std::int64_t sequence = 0;
      std::int64_t start_time_ms = 0;
    };
    const auto heartbeat = state_.With([](State& state) -> std::optional<Heartbeat> {
      AdvanceToNow(state);
      if (Now() < state.start_time) return std::nullopt;
      return Heartbeat{.fault = state.fault,
                       .clock_ms = LocalClockMs(state),
                       .sequence = ++state.sequence,
                       .start_time_ms = state.start_time_ms};
    });
    // The entry of a worker that restarts remains.
    if (!heartbeat) {
      co_await SleepFor(kPollInterval);
      continue;
    }
    const TaskWorkerFault& fault = heartbeat->fault;
    if (fault.heartbeats_lost) {
      co_await SleepFor(kPollInterval);
      continue;
    }
    const bool unavailable = fault.dead || fault.disconnected || fault.unregistered;
    if (!unavailable && !fault.registration.empty()) {
      store_.Put("keyed.servers", id_, fault.registration);
    } else if (!unavailable) {
      const json::object entry{
          {"Service", service_},
          {"Address", address().ToString()},
          {"Zone", "z1"},
          {"State", fault.draining ? "draining" : "ready"},
          {"Capacity", json::object{{"Cpu", kCpuMillicores}, {"MemMb", kMemoryMb}, {"Gpu", 0}}},
          {"Labels", json::array{"a", "r1"}},
          {"ClockMs", heartbeat->clock_ms},
          {"Sequence", heartbeat->sequence},
          {"born", heartbeat->start_time_ms}};
      store_.Put("keyed.servers", id_, json::serialize(entry));
    } else if (registered) {
      store_.Put("keyed.servers", id_, std::nullopt);
    }
    registered = !unavailable;
    co_await SleepFor(kHeartbeatInterval);
  }
}

void TaskWorkerStandin::EndRun(State& state, const std::string& task, const std::string& end_reason,
                               Time ended) {
  const auto found = state.running.find(task);
  RunRecord& record = state.runs[found->second.record];
  record.ended = ended;
  record.end_reason = end_reason;
  state.last_run[task] = std::max(state.last_run[task], record.run);
  state.unacknowledged_ends.emplace_back(state.next_end_number++, found->second.record);
  state.running.erase(found);
}

void TaskWorkerStandin::AdvanceToNow(State& state) {
  if (state.fault.dead) return;
  // Nobody may have called for a while since then.
  const Time expired = state.start_time + Duration(state.lease_expiry_ms);
  std::vector<std::pair<std::string, Time>> finished;
  for (const auto& [task, run] : state.running) {
    const bool has_finished = Now() >= run.end_time && run.end_time <= expired;
    if (!run.long_running && has_finished) finished.emplace_back(task, run.end_time);
  }
  for (const auto& [task, ended] : finished)
    EndRun(state, task, state.fault.fails_all ? "failed" : "done", ended);
  if (LocalClockMs(state) <= state.lease_expiry_ms) return;
  for (const auto& [number, record] : state.unacknowledged_ends) {
    state.runs[record].lease_lapsed = true;
  }
  while (!state.running.empty()) EndRun(state, state.running.begin()->first, "lapsed", expired);
}

std::optional<Duration> TaskWorkerStandin::DelayOfNextCall(State& state) {
  const TaskWorkerFault& fault = state.fault;
  if (fault.late_percent == 0) return std::nullopt;
  // The multipliers spread the late calls and their delays over the calls, reproducibly.
  const auto count = static_cast<int>(++state.call_count % 100);
  if (count * 41 % 100 >= fault.late_percent) return std::nullopt;
  ++state.counts.late_calls;
  return fault.shortest_delay +
         (fault.longest_delay - fault.shortest_delay) * (count * 37 % 100) / 100;
}

bool TaskWorkerStandin::IsDown() const {
  return state_.With(
      [](const State& state) { return state.fault.dead || Now() < state.start_time; });
}

bool TaskWorkerStandin::IsCutOff(std::int64_t token) const {
  return state_.With([&](const State& state) {
    const TaskWorkerFault& fault = state.fault;
    return fault.disconnected || fault.unreachable || token < fault.first_token ||
           token > fault.last_token;
  });
}

Task<HttpReply> TaskWorkerStandin::Handle(HttpCall call) {
  const std::int64_t token = TokenOf(call);
  state_.With([&](State& state) {
    state.calls.push_back(
        {.path = call.path, .token = token, .incarnation = state.incarnation, .arrived = Now()});
  });
  while (IsCutOff(token)) co_await SleepFor(kPollInterval);
  const auto delay = state_.With([](State& state) { return DelayOfNextCall(state); });
  if (delay) co_await SleepFor(*delay);
  while (IsDown()) co_await SleepFor(kPollInterval);
  const std::optional<HttpReply> reply = co_await Execute(std::move(call));
  if (!reply || delay) {
    co_await SleepFor(kNoResponse);
    co_return HttpReply{.status = 500};
  }
  // The caller may have been cut off since the call arrived.
  while (IsCutOff(token)) co_await SleepFor(kPollInterval);
  co_return *reply;
}

Task<std::optional<HttpReply>> TaskWorkerStandin::Execute(HttpCall call) {
  using Handler = HttpReply (TaskWorkerStandin::*)(State&, const HttpCall&);
  static const std::map<std::string, Handler> kRoutes = {
      {"/api/run-start", &TaskWorkerStandin::StartRun},
      {"/api/run-stop", &TaskWorkerStandin::StopRun},
      {"/api/pace", &TaskWorkerStandin::Throttle}};
  const auto intended = call.headers.find("expected-instance");
  if (intended != call.headers.end() && intended->second != id_) co_return HttpReply{.status = 421};
  if (call.path == "/api/hold") co_return co_await RenewLease(std::move(call));
  const auto route = kRoutes.find(call.path);
  if (route == kRoutes.end()) co_return HttpReply{.status = 404};
  const auto [reply, response_lost] = state_.With([&](State& state) {
    AdvanceToNow(state);
    HttpReply response = (this->*route->second)(state, call);
    // The multiplier spreads the lost responses over the orders, reproducibly.
    const bool lose_response =
        static_cast<int>(++state.order_count * 41 % 100) < state.fault.lost_answers_percent;
    return std::make_pair(response, lose_response);
  });
  // Responds after the client's timeout, so the client does not learn the outcome.
  if (response_lost) co_await SleepFor(Duration(2'500));
  co_return response_lost ? HttpReply{.status = 500} : reply;
}

HttpReply TaskWorkerStandin::StartRun(State& state, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  const std::string task(body.at("Task").as_string());
  const auto run = static_cast<int>(NumberField(body, "Run"));
  const std::int64_t token = NumberField(body, "FencingToken");
  const auto refuse = [&](const char* reason) {
    return HttpReply{.status = 409,
                     .body = json::serialize(
                         json::object{{"ClockMs", LocalClockMs(state)}, {"Reason", reason}})};
  };
  if (token < state.token) return refuse("fence");
  state.token = token;
  const std::int64_t lease_expiry_ms =
      std::min(NumberField(body, "UntilMs"), LocalClockMs(state) + state.max_lease.count());
  if (lease_expiry_ms <= LocalClockMs(state)) return refuse("late");
  state.lease_expiry_ms = std::max(state.lease_expiry_ms, lease_expiry_ms);
  const auto running = state.running.find(task);
  HttpReply accepted{.status = 200,
                     .body = json::serialize(json::object{{"ClockMs", LocalClockMs(state)}})};
  if (running != state.running.end()) {
    return state.runs[running->second.record].run == run ? accepted : refuse("old");
  }
  const auto ended = state.last_run.find(task);
  if (ended != state.last_run.end() && run <= ended->second) return refuse("old");
  if (state.running.size() >= static_cast<std::size_t>(kMaxTasks)) return refuse("room");
  const auto& payload = body.at("Spec").as_string();
  const Duration task_time = payload == "slow" ? kSlowTaskTime : task_time_;
  const Duration duration = state.fault.fails_all ? Duration(20) : task_time;
  state.running[task] = Run{
      .record = state.runs.size(), .end_time = Now() + duration, .long_running = payload == "long"};
  state.runs.push_back(RunRecord{.worker = id_,
                                 .task = task,
                                 .run = run,
                                 .token = token,
                                 .incarnation = state.incarnation,
                                 .started = Now(),
                                 .ended = {},
                                 .end_reason = {},
                                 .acknowledged = {},
                                 .lease_lapsed = false});
  return accepted;
}

HttpReply TaskWorkerStandin::StopRun(State& state, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  const std::string task(body.at("Task").as_string());
  const auto run = static_cast<int>(NumberField(body, "Run"));
  if (NumberField(body, "FencingToken") < state.token) {
    return {.status = 409,
            .body = json::serialize(
                json::object{{"ClockMs", LocalClockMs(state)}, {"Reason", "fence"}})};
  }
  const auto running = state.running.find(task);
  if (running != state.running.end() && state.runs[running->second.record].run <= run) {
    EndRun(state, task, "stopped", Now());
  }
  state.last_run[task] = std::max(state.last_run[task], run);
  return {.status = 200, .body = json::serialize(json::object{{"ClockMs", LocalClockMs(state)}})};
}

HttpReply TaskWorkerStandin::Throttle(State& state, const HttpCall& /*call*/) {
  return {.status = 200, .body = json::serialize(json::object{{"ClockMs", LocalClockMs(state)}})};
}

Task<std::optional<HttpReply>> TaskWorkerStandin::RenewLease(HttpCall call) {
  const json::object body = json::parse(call.body).as_object();
  const std::int64_t token = NumberField(body, "FencingToken");
  const std::int64_t acknowledged_end = NumberField(body, "LastSeen");
  const Time deadline = Now() + Duration(NumberField(body, "WaitMs"));
  int incarnation = 0;
  std::int64_t lease_expiry_ms = 0;
  state_.With([&](const State& state) {
    incarnation = state.incarnation;
    // A longer lease is shortened to the maximum from the arrival of the call.
    lease_expiry_ms =
        std::min(NumberField(body, "UntilMs"), LocalClockMs(state) + state.max_lease.count());
  });
  while (true) {
    bool restarted = false;
    const auto reply = state_.With([&](State& state) -> std::optional<HttpReply> {
      restarted = state.incarnation != incarnation;
      if (restarted) return std::nullopt;
      AdvanceToNow(state);
      if (token < state.token) {
        return HttpReply{.status = 409,
                         .body = json::serialize(
                             json::object{{"ClockMs", LocalClockMs(state)}, {"Reason", "fence"}})};
      }
      state.token = token;
      state.lease_expiry_ms = std::max(state.lease_expiry_ms, lease_expiry_ms);
      std::erase_if(state.unacknowledged_ends, [&](const auto& end) {
        if (end.first > acknowledged_end) return false;
        state.runs[end.second].acknowledged = Now();
        return true;
      });
      if (state.unacknowledged_ends.empty() && Now() < deadline) return std::nullopt;
      ++state.counts.reports;
      json::array running;
      for (const auto& [task, run] : state.running) {
        running.emplace_back(json::array{task, state.runs[run.record].run, "", 100, 0});
      }
      json::array ended;
      for (const auto& [number, record] : state.unacknowledged_ends) {
        if (ended.size() == kMaxListedEnds) break;
        const RunRecord& run = state.runs[record];
        ended.emplace_back(json::array{number, run.task, run.run, run.end_reason, ""});
      }
      return HttpReply{.status = 200,
                       .body = json::serialize(json::object{{"ClockMs", LocalClockMs(state)},
                                                            {"born", state.start_time_ms},
                                                            {"Running", std::move(running)},
                                                            {"Finished", std::move(ended)}})};
    });
    if (reply || restarted) co_return reply;
    co_await SleepFor(kPollInterval);
  }
}

}  // namespace dn::standins
