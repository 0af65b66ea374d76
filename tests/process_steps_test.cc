// Single promises over real processes, each with its own steps: racing
// operators, doubled keys, leaving workers, retention, bad input.
#include <signal.h>
#include <sys/wait.h>

#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <cstdio>

#include "platform/platform.h"
#include "tests/support/scenario.h"

namespace dn::testing {
namespace {

using standins::Execution;
using tcp = asio::ip::tcp;

Scenario Plain(Duration retention = Duration(3'600'000)) {
  Scenario scenario;
  scenario.name = "steps";
  scenario.retention = retention;
  return scenario;
}

// A fleet that serves, for one test.
struct Serving {
  explicit Serving(Duration retention = Duration(3'600'000))
      : fleet(running.pool(), ScenarioPlan(Plain(retention))) {
    fleet.StartAll();
    running.RunToEnd(Begin(fleet, serves));
  }
  static Task<> Begin(Fleet& fleet, bool& serves) {
    serves = co_await fleet.Apply(ScenarioConfiguration());
    if (serves) serves = co_await fleet.WaitServing(Duration(20'000));
  }

  RunningPool running;
  Fleet fleet;
  bool serves = false;
};

struct Reply {
  int status = 0;
  std::string outcome, reason, first;
};

// One request over a connection of its own.
Task<> Ask(Endpoint entry, RequestHead head, std::string body, Reply& reply) {
  const Time deadline = Now() + Duration(6000);
  auto connection = co_await UpstreamConnection::Connect(entry, deadline);
  if (!connection) co_return;
  UpstreamConnection& upstream = *connection.value();
  auto sent = co_await upstream.SendHead(head, deadline);
  if (sent && !body.empty()) sent = co_await upstream.SendBody(body, true, deadline);
  const auto answer = co_await upstream.ReadHead(false, deadline);
  if (!answer) co_return;
  reply.status = answer.value().status;
  reply.outcome = FindHeader(answer.value().headers, kOutcomeHeader).value_or("");
  reply.reason = FindHeader(answer.value().headers, kReasonHeader).value_or("");
  reply.first = FindHeader(answer.value().headers, kFirstOutcomeHeader).value_or("");
}

RequestHead Order(const std::string& key, const std::string& body) {
  return {.method = "POST",
          .target = "/orders",
          .headers = {{"Host", "desk"}, {"X-Token", key}, {"Idempotency-Key", key}},
          .framing = BodyFraming::kLength,
          .body_length = body.size()};
}

std::size_t ExecutionsOf(const standins::WorkerRecordings& recordings, const std::string& token) {
  return static_cast<std::size_t>(
      std::count_if(recordings.executions.begin(), recordings.executions.end(),
                    [&](const Execution& execution) { return execution.token == token; }));
}

Task<> SendSameKey(WorkerPool& pool, Fleet& fleet, std::vector<Reply>& replies,
                   standins::WorkerRecordings& recordings) {
  const std::string body = "one burn kit";
  const auto entries = fleet.EntryAddresses();
  for (std::size_t i = 0; i < replies.size(); ++i) {
    pool.Spawn(Ask(entries[i % entries.size()], Order("key-1", body), body, replies[i]));
  }
  const Time deadline = Now() + Duration(8000);
  while (Now() < deadline) {
    if (std::all_of(replies.begin(), replies.end(), [](const Reply& r) { return r.status != 0; })) {
      break;
    }
    co_await SleepFor(Duration(50));
  }
  recordings = co_await fleet.Recordings();
}

TEST_CASE("one key sent at once to all instances runs once", "[processes][steps][keys]") {
  Serving serving;
  REQUIRE(serving.serves);
  std::vector<Reply> replies(5);
  standins::WorkerRecordings recordings;
  serving.running.RunToEnd(SendSameKey(serving.running.pool(), serving.fleet, replies, recordings));
  CHECK(ExecutionsOf(recordings, "key-1") == 1);
  int answered = 0;
  for (const Reply& reply : replies) {
    CAPTURE(reply.status, reply.outcome, reply.reason, reply.first);
    if (reply.outcome == "answered") {
      ++answered;
      continue;
    }
    CHECK(reply.status == 409);
    CHECK(reply.outcome == "duplicate");
    CHECK(reply.first == "answered; status=200");
  }
  CHECK(answered == 1);
}

Task<> ApplyNamed(Fleet& fleet, std::string name, Offset base, int& accepted) {
  StoreClient store(fleet.store(), platform::MakeStoreProtocol(), fleet.http());
  OperatorClient client(fleet.http(), store);
  const Configuration configuration =
      ScenarioConfiguration().With([&](ConfigurationFields& fields) { fields.deployment = name; });
  const RecordId id{name};
  const auto applied =
      co_await client.ApplyConfiguration(id, base, configuration, Now() + Duration(15'000));
  accepted = applied && applied.value().result.accepted ? 1 : 0;
}

struct RaceResult {
  std::vector<int> accepted = std::vector<int>(4, -1);
  std::set<Offset> revisions;
  Duration in_force{0};
};

Task<> Race(WorkerPool& pool, Fleet& fleet, bool lose_answers, RaceResult& result) {
  StoreClient store(fleet.store(), platform::MakeStoreProtocol(), fleet.http());
  OperatorClient client(fleet.http(), store);
  const auto current = co_await client.ReadConfiguration();
  if (!current) co_return;
  const Offset base = current.value().revision;
  const standins::StoreFault fault{.lost_answers_percent = lose_answers ? 100 : 0, .only = "dn-"};
  co_await fleet.Fault(fault);
  for (std::size_t i = 0; i < result.accepted.size(); ++i) {
    pool.Spawn(ApplyNamed(fleet, "operator-" + std::to_string(i), base, result.accepted[i]));
  }
  while (std::count(result.accepted.begin(), result.accepted.end(), -1) > 0) {
    co_await SleepFor(Duration(50));
  }
  const standins::StoreFault none;
  co_await fleet.Fault(none);
  const Time accepted_at = Now();
  while (Now() - accepted_at < Duration(6000)) {
    result.revisions.clear();
    for (const Status& status : co_await fleet.Statuses()) {
      result.revisions.insert(status->revision);
    }
    if (result.revisions.size() == 1 && *result.revisions.begin() > base) break;
    co_await SleepFor(Duration(50));
  }
  result.in_force = Now() - accepted_at;
}

TEST_CASE("of racing operators exactly one is accepted", "[processes][steps][configuration]") {
  const bool lose_answers = GENERATE(false, true);
  CAPTURE(lose_answers);
  Serving serving;
  REQUIRE(serving.serves);
  RaceResult result;
  serving.running.RunToEnd(Race(serving.running.pool(), serving.fleet, lose_answers, result));
  CHECK(std::count(result.accepted.begin(), result.accepted.end(), 1) == 1);
  CHECK(result.revisions.size() == 1);
  CHECK(result.in_force < Duration(6000));
}

Task<> Leave(WorkerPool& pool, Fleet& fleet, std::int64_t& listed_us,
             standins::WorkerRecordings& recordings) {
  const standins::LoadSettings settings{
      .entries = fleet.EntryAddresses(), .service = {"desk"}, .requests_per_second = 150};
  standins::CallerLoad load(pool, settings);
  std::atomic<bool> ended{false};
  const auto run = [](standins::CallerLoad& of, std::atomic<bool>& done) -> Task<> {
    co_await of.Run(Duration(6000));
    done = true;
  };
  pool.Spawn(run(load, ended));
  co_await SleepFor(Duration(1000));
  co_await fleet.Leave("n1-0");
  listed_us = std::chrono::duration_cast<std::chrono::microseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  while (!ended) co_await SleepFor(Duration(50));
  recordings = co_await fleet.Recordings();
}

TEST_CASE("a leaving backend server gets no new work", "[processes][steps][leaving]") {
  constexpr std::int64_t kLimitUs = 3'000'000;
  Serving serving;
  REQUIRE(serving.serves);
  std::int64_t listed_us = 0;
  standins::WorkerRecordings recordings;
  serving.running.RunToEnd(Leave(serving.running.pool(), serving.fleet, listed_us, recordings));
  int before = 0;
  for (const Execution& execution : recordings.executions) {
    if (execution.worker != "n1-0") continue;
    if (execution.start_us <= listed_us) ++before;
    CHECK(execution.start_us <= listed_us + kLimitUs);
  }
  CHECK(before > 0);
}

// Longer than the retention, so that the first records are gone.
Task<> OutliveRetention(Fleet& fleet, Offset& before, std::optional<Status>& after) {
  const auto first = co_await fleet.StatusOf("entry-n1-0");
  if (!first) co_return;
  before = (*first)->revision;
  co_await SleepFor(Duration(9000));
  fleet.Kill("entry-n1-0");
  fleet.Start("entry-n1-0");
  const Time deadline = Now() + Duration(15'000);
  while (Now() < deadline) {
    after = co_await fleet.StatusOf("entry-n1-0");
    if (after && (*after)->member && (*after)->held_slots > 0) co_return;
    co_await SleepFor(Duration(100));
  }
}

TEST_CASE("a new instance starts from snapshots", "[processes][steps][configuration]") {
  Serving serving(Duration(4000));
  REQUIRE(serving.serves);
  Offset before = kNoOffset;
  std::optional<Status> after;
  serving.running.RunToEnd(OutliveRetention(serving.fleet, before, after));
  REQUIRE(after.has_value());
  CHECK((*after)->revision == before);
  CHECK((*after)->member);
  CHECK((*after)->held_slots > 0);
}

struct CommandResult {
  int status = -1;
  std::string output;
};

// Runs a program of ours and reads what it prints.
CommandResult RunProgram(const std::string& command) {
  CommandResult result;
  std::FILE* const pipe = ::popen((std::string(DN_BIN) + "/" + command + " 2>&1").c_str(), "r");
  std::array<char, 4096> buffer{};
  while (const std::size_t read = std::fread(buffer.data(), 1, buffer.size(), pipe)) {
    result.output.append(buffer.data(), read);
  }
  result.status = WEXITSTATUS(::pclose(pipe));
  return result;
}

TEST_CASE("operators' commands answer", "[processes][steps][operators]") {
  struct Case {
    std::string command;  // "STORE" stands for its address.
    int status;
    std::string part;  // Of what is printed.
  };
  const std::vector<Case> cases = {
      {"dn-ctl --help", 0, "apply"},
      {"dn-ctl --version", 0, "0."},
      {"dn-ctl", 2, "Usage"},
      {"dn-ctl --store nowhere status", 2, "--store"},
      {"dn-ctl --store 127.0.0.1:1 status", 1, "unreachable"},
      {"dn-ctl check " DN_EXAMPLES "/kyriakidis.json", 0, ""},
      {"dn-ctl check " DN_EXAMPLES "/nothing.json", 2, "cannot be read"},
      {"dn-ctl --store STORE status", 0, "entry-n1-0: n1 revision"},
      {"dn-ctl --store STORE --json status", 0, "\"requests_answered\""},
      {"dn-ctl --store STORE export", 0, "\"deployment\" : \"test\""},
      {"dn-ctl --store STORE diff " DN_EXAMPLES "/kyriakidis.json", 0, "+ "},
      {"dn-ctl --store STORE drain nobody", 1, "not found"},
      {"dn-timeline --store STORE --kind slots-gained", 0, "entry-n1-0"},
      {"dn-ctl --store STORE --wait 6000 apply " DN_EXAMPLES "/kyriakidis.json", 0,
       "in force on 5 of 5 instances"},
      {"dn-entry --help", 0, "--settings"},
      {"dn-entry", 2, "--settings is missing"},
      {"dn-entry --settings " DN_EXAMPLES "/kyriakidis.json --check-settings", 2,
       "/id: is missing"},
  };
  Serving serving;
  REQUIRE(serving.serves);
  for (Case c : cases) {
    const std::size_t store = c.command.find("STORE");
    if (store != std::string::npos) {
      c.command.replace(store, 5, serving.fleet.store().ToString());
    }
    CAPTURE(c.command);
    const CommandResult result = RunProgram(c.command);
    CAPTURE(result.output);
    CHECK(result.status == c.status);
    CHECK(result.output.find(c.part) != std::string::npos);
  }
}

// Sends raw bytes and returns the first line of the answer.
std::string SendRaw(const Endpoint& to, const std::string& bytes, bool close_early) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(tcp::endpoint(asio::ip::make_address(to.host), to.port));
  asio::write(socket, asio::buffer(bytes));
  if (close_early) return "";
  std::string answer;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", error);
  return answer.substr(0, answer.find("\r\n"));
}

TEST_CASE("bad requests get a clear answer and disturb no other", "[processes][steps][input]") {
  struct Case {
    std::string name;
    std::string bytes;
    bool close_early;
    std::string status;  // Expected in the first line.
  };
  const std::vector<Case> cases = {
      {"no HTTP", "hello there\r\n\r\n", false, " 400 "},
      {"bad header", "GET / HTTP/1.1\r\nbad header\r\n\r\n", false, " 400 "},
      {"unknown service", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", false, " 404 "},
      {"no service", "GET / HTTP/1.1\r\n\r\n", false, " 404 "},
      {"header too large",
       "GET / HTTP/1.1\r\nHost: desk\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n", false,
       " 431 "},
      {"body too large", "PUT / HTTP/1.1\r\nHost: desk\r\nContent-Length: 999999999999\r\n\r\n",
       false, " 413 "},
      {"half a body, then silence closed",
       "PUT / HTTP/1.1\r\nHost: desk\r\nContent-Length: 100\r\n\r\nabc", true, ""},
      {"closed after the head", "GET /work HTTP/1.1\r\nHost: desk\r\n\r\n", true, ""},
      {"bad chunk", "PUT / HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       false, " 400 "},
  };
  Serving serving;
  REQUIRE(serving.serves);
  const Endpoint entry = serving.fleet.EntryAddresses().front();
  for (const Case& c : cases) {
    CAPTURE(c.name);
    const std::string line = SendRaw(entry, c.bytes, c.close_early);
    CAPTURE(line);
    CHECK(line.find(c.status) != std::string::npos);
    Reply good;
    const RequestHead head{
        .method = "GET", .target = "/work", .headers = {{"Host", "desk"}, {"X-Token", "t"}}};
    serving.running.RunToEnd(Ask(entry, head, "", good));
    CHECK(good.status == 200);
    CHECK(good.outcome == "answered");
  }
}

}  // namespace
}  // namespace dn::testing
