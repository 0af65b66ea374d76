// Workers in memory.
#include "standins/internal/task_worker_standin.h"

#include <boost/json.hpp>

namespace dn::standins {
namespace {

namespace json = boost::json;

constexpr Duration kHeartbeat{500};
constexpr Duration kHoldPoll{20};
constexpr Duration kLongestLease{6'000};
constexpr int kCores = 4'000;
constexpr int kMemoryMb = 4'000;

std::int64_t NumberIn(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

}  // namespace

TaskWorkerStandin::TaskWorkerStandin(WorkerPool& pool, StoreStandin& store, std::string id,
                                     std::string service, Duration task_time)
    : pool_(pool),
      store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      task_time_(task_time),
      born_(Now()),
      born_ms_(WallMs()) {}

std::int64_t TaskWorkerStandin::Clock() const { return (Now() - born_).count() + 1; }

Result<> TaskWorkerStandin::Start() {
  auto server = HttpServer::Start(pool_, {.host = "127.0.0.1", .port = 0},
                                  [this](HttpCall call) { return Handle(std::move(call)); });
  if (!server) return server.error();
  server_ = std::move(server).value();
  pool_.Spawn(Register());
  return boost::outcome_v2::success();
}

void TaskWorkerStandin::SetFault(const TaskWorkerFault& fault) {
  book_.With([&](Book& book) {
    Advance(book);
    if (fault.dead) {
      while (!book.running.empty()) EndRun(book, book.running.begin()->first, "lost");
      book.ends.clear();
    }
    book.fault = fault;
  });
}

std::vector<RunRecord> TaskWorkerStandin::Runs() const {
  return book_.With([](const Book& book) { return book.runs; });
}

std::vector<std::string> TaskWorkerStandin::Findings() const {
  return book_.With([](const Book& book) { return book.findings; });
}

Task<> TaskWorkerStandin::Register() {
  bool listed = false;
  while (true) {
    const auto [away, sequence] = book_.With([](Book& book) {
      return std::make_pair(book.fault.dead || book.fault.cut_off, ++book.sequence);
    });
    if (!away) {
      const json::object entry{
          {"Service", service_},
          {"Address", server_->address().ToString()},
          {"Zone", "z1"},
          {"State", "ready"},
          {"Capacity", json::object{{"Cpu", kCores}, {"MemMb", kMemoryMb}, {"Gpu", 0}}},
          {"Labels", json::array{"a", "r1"}},
          {"ClockMs", Clock()},
          {"Sequence", sequence},
          {"born", born_ms_}};
      store_.Put("keyed.servers", id_, json::serialize(entry));
    } else if (listed) {
      store_.Put("keyed.servers", id_, std::nullopt);
    }
    listed = !away;
    co_await SleepFor(kHeartbeat);
  }
}

void TaskWorkerStandin::EndRun(Book& book, const std::string& task, const std::string& how) {
  const auto found = book.running.find(task);
  RunRecord& record = book.runs[found->second.record];
  record.ended = Now();
  record.how = how;
  book.last_run[task] = std::max(book.last_run[task], record.run);
  book.ends.emplace_back(book.next_end++, task, record.run, how);
  book.running.erase(found);
}

// Carries out what time alone does: ends of tasks, and of the lease.
void TaskWorkerStandin::Advance(Book& book) const {
  if (book.fault.dead) return;
  std::vector<std::string> done;
  for (const auto& [task, run] : book.running) {
    if (!run.long_running && Now() >= run.ends) done.push_back(task);
  }
  for (const std::string& task : done) EndRun(book, task, book.fault.fails_all ? "failed" : "done");
  if (Clock() <= book.until) return;
  while (!book.running.empty()) EndRun(book, book.running.begin()->first, "lapsed");
}

Task<HttpReply> TaskWorkerStandin::Handle(HttpCall call) {
  using Serve = HttpReply (TaskWorkerStandin::*)(Book&, const HttpCall&);
  static const std::map<std::string, Serve> kRoutes = {
      {"/api/run-start", &TaskWorkerStandin::StartRun},
      {"/api/run-stop", &TaskWorkerStandin::StopRun},
      {"/api/pace", &TaskWorkerStandin::Pace}};
  const auto unreachable = [this] {
    return book_.With([](Book& book) { return book.fault.dead || book.fault.cut_off; });
  };
  while (unreachable()) co_await SleepFor(kHoldPoll);
  if (call.path == "/api/hold") co_return co_await Hold(std::move(call));
  const auto route = kRoutes.find(call.path);
  if (route == kRoutes.end()) co_return HttpReply{.status = 404};
  const auto [reply, lost] = book_.With([&](Book& book) {
    Advance(book);
    HttpReply answer = (this->*route->second)(book, call);
    const bool drop = static_cast<int>(++book.orders * 41 % 100) < book.fault.lost_answers_percent;
    return std::make_pair(answer, drop);
  });
  if (lost) co_await SleepFor(Duration(2'500));
  co_return lost ? HttpReply{.status = 500} : reply;
}

HttpReply TaskWorkerStandin::StartRun(Book& book, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  const std::string task(body.at("Task").as_string());
  const auto run = static_cast<int>(NumberIn(body, "Run"));
  const std::int64_t token = NumberIn(body, "FencingToken");
  const auto refuse = [&](const char* reason) {
    return HttpReply{
        .status = 409,
        .body = json::serialize(json::object{{"ClockMs", Clock()}, {"Reason", reason}})};
  };
  if (token < book.token) return refuse("fence");
  book.token = token;
  const std::int64_t until = std::min(NumberIn(body, "UntilMs"), Clock() + kLongestLease.count());
  if (until <= Clock()) return refuse("late");
  book.until = std::max(book.until, until);
  const auto running = book.running.find(task);
  HttpReply accepted{.status = 200, .body = json::serialize(json::object{{"ClockMs", Clock()}})};
  if (running != book.running.end()) {
    return book.runs[running->second.record].run == run ? accepted : refuse("old");
  }
  const auto ended = book.last_run.find(task);
  if (ended != book.last_run.end() && run <= ended->second) return refuse("old");
  if (book.running.size() >= static_cast<std::size_t>(kRoom)) return refuse("room");
  const Duration time = book.fault.fails_all ? Duration(20) : task_time_;
  book.running[task] = Run{.record = book.runs.size(),
                           .ends = Now() + time,
                           .long_running = body.at("Spec").as_string() == "long"};
  book.runs.push_back(RunRecord{.worker = id_,
                                .task = task,
                                .run = run,
                                .token = token,
                                .started = Now(),
                                .ended = {},
                                .how = {}});
  return accepted;
}

HttpReply TaskWorkerStandin::StopRun(Book& book, const HttpCall& call) {
  const json::object body = json::parse(call.body).as_object();
  const std::string task(body.at("Task").as_string());
  const auto run = static_cast<int>(NumberIn(body, "Run"));
  if (NumberIn(body, "FencingToken") < book.token) {
    return {.status = 409,
            .body = json::serialize(json::object{{"ClockMs", Clock()}, {"Reason", "fence"}})};
  }
  const auto running = book.running.find(task);
  if (running != book.running.end() && book.runs[running->second.record].run <= run) {
    EndRun(book, task, "stopped");
  }
  book.last_run[task] = std::max(book.last_run[task], run);
  return {.status = 200, .body = json::serialize(json::object{{"ClockMs", Clock()}})};
}

HttpReply TaskWorkerStandin::Pace(Book& /*book*/, const HttpCall& /*call*/) {
  return {.status = 200, .body = json::serialize(json::object{{"ClockMs", Clock()}})};
}

Task<HttpReply> TaskWorkerStandin::Hold(HttpCall call) {
  const json::object body = json::parse(call.body).as_object();
  const std::int64_t token = NumberIn(body, "FencingToken");
  const std::int64_t seen = NumberIn(body, "LastSeen");
  const std::int64_t until = NumberIn(body, "UntilMs");
  const Time deadline = Now() + Duration(NumberIn(body, "WaitMs"));
  while (true) {
    const auto reply = book_.With([&](Book& book) -> std::optional<HttpReply> {
      Advance(book);
      if (token < book.token) {
        return HttpReply{
            .status = 409,
            .body = json::serialize(json::object{{"ClockMs", Clock()}, {"Reason", "fence"}})};
      }
      book.token = token;
      book.until = std::max(book.until, std::min(until, Clock() + kLongestLease.count()));
      std::erase_if(book.ends, [&](const auto& end) { return std::get<0>(end) <= seen; });
      if (book.ends.empty() && Now() < deadline) return std::nullopt;
      json::array running;
      for (const auto& [task, run] : book.running) {
        running.emplace_back(json::array{task, book.runs[run.record].run, "", 100, 0});
      }
      json::array ended;
      for (const auto& [number, task, run, how] : book.ends) {
        ended.emplace_back(json::array{number, task, run, how, ""});
      }
      return HttpReply{.status = 200,
                       .body = json::serialize(json::object{{"ClockMs", Clock()},
                                                            {"born", born_ms_},
                                                            {"Running", std::move(running)},
                                                            {"Finished", std::move(ended)}})};
    });
    if (reply) co_return *reply;
    co_await SleepFor(kHoldPoll);
  }
}

}  // namespace dn::standins
