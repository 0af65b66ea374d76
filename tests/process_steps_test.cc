// Tests of single guarantees over real processes: concurrent operators, duplicate
// idempotency keys, departing workers, retention, invalid input.
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

Scenario MakeScenario(Duration retention = Duration(3'600'000)) {
  Scenario scenario;
  scenario.name = "steps";
  scenario.retention = retention;
  return scenario;
}

// A fleet for one test. `serves` is true if it started to serve within 20 s.
struct ServingFleet {
  explicit ServingFleet(Duration retention = Duration(3'600'000))
      : fleet(running.pool(), ScenarioPlan(MakeScenario(retention))) {
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

// The status and the Dn- headers of a response; status 0 if none came.
struct RequestResult {
  int status = 0;
  std::string outcome, reason, first;
};

// Sends one request over a new connection and stores the response in `request_result`.
Task<> SendRequest(Endpoint entry, RequestHead head, std::string body,
                   RequestResult& request_result) {
  const Time deadline = Now() + Duration(6000);
  auto connection = co_await UpstreamConnection::Connect(entry, deadline);
  if (!connection) co_return;
  UpstreamConnection& upstream = *connection.value();
  auto sent = co_await upstream.SendHead(head, deadline);
  if (sent && !body.empty()) sent = co_await upstream.SendBody(body, true, deadline);
  const auto response = co_await upstream.ReadHead(false, deadline);
  if (!response) co_return;
  request_result.status = response.value().status;
  request_result.outcome = FindHeader(response.value().headers, kOutcomeHeader).value_or("");
  request_result.reason = FindHeader(response.value().headers, kReasonHeader).value_or("");
  request_result.first = FindHeader(response.value().headers, kFirstOutcomeHeader).value_or("");
}

RequestHead OrderRequest(const std::string& key, const std::string& body) {
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

Task<> SendSameKey(WorkerPool& pool, Fleet& fleet, std::vector<RequestResult>& results,
                   standins::WorkerRecordings& recordings) {
  const std::string body = "one burn kit";
  const auto entries = fleet.EntryAddresses();
  for (std::size_t i = 0; i < results.size(); ++i) {
    pool.Spawn(
        SendRequest(entries[i % entries.size()], OrderRequest("key-1", body), body, results[i]));
  }
  const Time deadline = Now() + Duration(8000);
  while (Now() < deadline) {
    if (std::all_of(results.begin(), results.end(),
                    [](const RequestResult& r) { return r.status != 0; })) {
      break;
    }
    co_await SleepFor(Duration(50));
  }
  recordings = co_await fleet.Recordings();
}

TEST_CASE("concurrent requests with one idempotency key run once", "[processes][steps][keys]") {
  ServingFleet serving;
  REQUIRE(serving.serves);
  std::vector<RequestResult> results(5);
  standins::WorkerRecordings recordings;
  serving.running.RunToEnd(SendSameKey(serving.running.pool(), serving.fleet, results, recordings));
  CHECK(ExecutionsOf(recordings, "key-1") == 1);
  int answered = 0;
  for (const RequestResult& request_result : results) {
    CAPTURE(request_result.status, request_result.outcome, request_result.reason,
            request_result.first);
    if (request_result.outcome == "answered") {
      ++answered;
      continue;
    }
    CHECK(request_result.status == 409);
    CHECK(request_result.outcome == "duplicate");
    CHECK(request_result.first == "answered; status=200");
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

// Results of concurrent operators: 1 if accepted, 0 if not, -1 while pending.
struct RaceResult {
  std::vector<int> accepted = std::vector<int>(4, -1);
  std::set<Offset> revisions;
  Duration activation_time{0};
};

// Applies configurations on the same revision concurrently and waits until all instances
// have the same one active.
Task<> RaceOperators(WorkerPool& pool, Fleet& fleet, bool lose_responses, RaceResult& result) {
  StoreClient store(fleet.store(), platform::MakeStoreProtocol(), fleet.http());
  OperatorClient client(fleet.http(), store);
  const auto current = co_await client.ReadConfiguration();
  if (!current) co_return;
  const Offset base = current.value().revision;
  const standins::StoreFault fault{.lost_answers_percent = lose_responses ? 100 : 0, .only = "dn-"};
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
  result.activation_time = Now() - accepted_at;
}

TEST_CASE("exactly one of several concurrent operators is accepted",
          "[processes][steps][configuration]") {
  const bool lose_responses = GENERATE(false, true);
  CAPTURE(lose_responses);
  ServingFleet serving;
  REQUIRE(serving.serves);
  RaceResult result;
  serving.running.RunToEnd(
      RaceOperators(serving.running.pool(), serving.fleet, lose_responses, result));
  CHECK(std::count(result.accepted.begin(), result.accepted.end(), 1) == 1);
  CHECK(result.revisions.size() == 1);
  CHECK(result.activation_time < Duration(6000));
}

// Lets worker n1-0 leave during a load and stores the time at which it announced this.
Task<> LeaveUnderLoad(WorkerPool& pool, Fleet& fleet, std::int64_t& left_us,
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
  left_us = std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  while (!ended) co_await SleepFor(Duration(50));
  recordings = co_await fleet.Recordings();
}

TEST_CASE("a departing backend server gets no new requests", "[processes][steps][leaving]") {
  constexpr std::int64_t kLimitUs = 3'000'000;
  ServingFleet serving;
  REQUIRE(serving.serves);
  std::int64_t left_us = 0;
  standins::WorkerRecordings recordings;
  serving.running.RunToEnd(
      LeaveUnderLoad(serving.running.pool(), serving.fleet, left_us, recordings));
  int before = 0;
  for (const Execution& execution : recordings.executions) {
    if (execution.worker != "n1-0") continue;
    if (execution.start_us <= left_us) ++before;
    CHECK(execution.start_us <= left_us + kLimitUs);
  }
  CHECK(before > 0);
}

// Restarts an instance after the retention, when the first records have been removed.
Task<> RestartAfterRetention(Fleet& fleet, Offset& before, std::optional<Status>& after) {
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

TEST_CASE("a restarted instance restores its state from snapshots",
          "[processes][steps][configuration]") {
  ServingFleet serving(Duration(4000));
  REQUIRE(serving.serves);
  Offset before = kNoOffset;
  std::optional<Status> after;
  serving.running.RunToEnd(RestartAfterRetention(serving.fleet, before, after));
  REQUIRE(after.has_value());
  CHECK((*after)->revision == before);
  CHECK((*after)->member);
  CHECK((*after)->held_slots > 0);
}

struct CommandResult {
  int status = -1;
  std::string output;
};

// Runs one of the project's programs and returns its exit status and output.
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

TEST_CASE("operator commands return the expected status and output",
          "[processes][steps][operators]") {
  struct Case {
    std::string command;  // "STORE" is replaced by the address of the store.
    int status;
    std::string part;  // Text that the output must contain.
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
  ServingFleet serving;
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

// Sends raw bytes and returns the first line of the response; empty if `close_early`.
std::string SendRaw(const Endpoint& to, const std::string& bytes, bool close_early) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(tcp::endpoint(asio::ip::make_address(to.host), to.port));
  asio::write(socket, asio::buffer(bytes));
  if (close_early) return "";
  std::string response;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(response), "\r\n", error);
  return response.substr(0, response.find("\r\n"));
}

TEST_CASE("invalid requests get an error response and do not affect other requests",
          "[processes][steps][input]") {
  struct Case {
    std::string name;
    std::string bytes;
    bool close_early;
    std::string status;  // Text that the first line of the response must contain.
  };
  const std::vector<Case> cases = {
      {"not HTTP", "hello there\r\n\r\n", false, " 400 "},
      {"malformed header", "GET / HTTP/1.1\r\nbad header\r\n\r\n", false, " 400 "},
      {"unknown service", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", false, " 404 "},
      {"no service", "GET / HTTP/1.1\r\n\r\n", false, " 404 "},
      {"header too large",
       "GET / HTTP/1.1\r\nHost: desk\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n", false,
       " 431 "},
      {"body too large", "PUT / HTTP/1.1\r\nHost: desk\r\nContent-Length: 999999999999\r\n\r\n",
       false, " 413 "},
      {"connection closed after part of the body",
       "PUT / HTTP/1.1\r\nHost: desk\r\nContent-Length: 100\r\n\r\nabc", true, ""},
      {"connection closed after the head", "GET /work HTTP/1.1\r\nHost: desk\r\n\r\n", true, ""},
      {"malformed chunk",
       "PUT / HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, " 400 "},
  };
  ServingFleet serving;
  REQUIRE(serving.serves);
  const Endpoint entry = serving.fleet.EntryAddresses().front();
  for (const Case& c : cases) {
    CAPTURE(c.name);
    const std::string line = SendRaw(entry, c.bytes, c.close_early);
    CAPTURE(line);
    CHECK(line.find(c.status) != std::string::npos);
    RequestResult valid;
    const RequestHead head{
        .method = "GET", .target = "/work", .headers = {{"Host", "desk"}, {"X-Token", "t"}}};
    serving.running.RunToEnd(SendRequest(entry, head, "", valid));
    CHECK(valid.status == 200);
    CHECK(valid.outcome == "answered");
  }
}

}  // namespace
}  // namespace dn::testing
