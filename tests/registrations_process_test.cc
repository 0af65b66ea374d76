// Tests of the programs as real processes while a foreign writer puts odd registrations
// among those of the workers. Guards against processes that end or stop following the
// registrations, and against logs that grow with each heartbeat.
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "platform/platform.h"
#include "tests/support/fleet.h"
#include "tests/support/node_fleet.h"
#include "tests/support/odd_registrations.h"
#include "tests/support/runner.h"
#include "tests/support/scenario.h"

namespace dn::testing {
namespace {

namespace json = boost::json;

constexpr const char* kRegistrations = "keyed.servers";
constexpr Duration kReadyLimit{15'000};
constexpr Duration kSubmitLimit{12'000};
constexpr Duration kFinishLimit{15'000};
// Longer than the pause between two reads of the registrations and than the window of
// the log's rate limit.
constexpr Duration kReadTime{1'200};
constexpr Duration kPollPause{50};

// Parses the decision log. Lines that are not JSON are failures.
std::vector<json::object> Decisions(const std::string& log) {
  std::vector<json::object> decisions;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("{\"at_ms\"")) continue;
    boost::system::error_code error;
    json::value value = json::parse(line, error);
    if (error) FAIL_CHECK("not JSON: " << line.substr(0, 200));
    if (!error) decisions.push_back(value.as_object());
    CHECK(line.size() < 4'096);
  }
  return decisions;
}

// Checks that the log names each odd registration once, with its cause.
void CheckLoggedOnce(const std::string& log, const std::vector<OddRegistration>& odd) {
  std::map<std::string, std::vector<std::string>> details_by_subject;
  std::size_t skipped = 0;
  for (const json::object& decision : Decisions(log)) {
    if (decision.at("kind").as_string() != "worker-entry-skipped") continue;
    ++skipped;
    details_by_subject[std::string(decision.at("subject").as_string())].emplace_back(
        decision.at("detail").as_string());
  }
  CHECK(skipped == odd.size());
  for (const OddRegistration& entry : odd) {
    if (!entry.key.starts_with("odd-") || entry.key.find('\x80') != std::string::npos) continue;
    CAPTURE(entry.name, entry.key);
    const std::vector<std::string>& details = details_by_subject[entry.key];
    CHECK(details.size() == 1);
    if (!details.empty()) CHECK(details[0].find("=" + entry.pointer + " ") != std::string::npos);
  }
}

// Puts all odd registrations into the store and waits until they have been read.
void PutAll(NodeFleet& fleet, const std::vector<OddRegistration>& odd) {
  for (const OddRegistration& entry : odd) {
    fleet.store().Put(kRegistrations, entry.key, entry.value);
  }
  fleet.store().Put(kRegistrations, "never-registered", std::nullopt);
  std::this_thread::sleep_for(kReadTime);
}

// Guards against a node that ends, never completes a take-over, or does not use workers
// that register later, because of registrations that it cannot use.
TEST_CASE("odd registrations neither end a node nor hide the other workers", "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, 2, 2);
  REQUIRE(runner.Wait(fleet.WaitReady(kReadyLimit)));
  const auto odd = OddRegistrations("service", fleet.worker(0).address().ToString());
  const int owner = fleet.Owner();
  for (int i = 0; i < 3; ++i) PutAll(fleet, odd);
  fleet.AddWorker();
  REQUIRE(runner.Wait(fleet.Submit(1, 12, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(1, "completed", kFinishLimit)));
  for (int i = 0; i < 3; ++i) {
    CAPTURE(i);
    CHECK_FALSE(fleet.worker(i).Runs().empty());
  }
  CHECK(fleet.Owner() == owner);
  for (int node = 0; node < 2; ++node) CHECK(fleet.WaitExit(node, Duration(1)) == -1);
  CheckLoggedOnce(fleet.LogOf(owner), odd);
  // The next owner reads the newest registration of each worker.
  const int other = 1 - owner;
  fleet.Signal(owner, SIGKILL);
  fleet.WaitExit(owner, Duration(1'000));
  const Time deadline = Now() + kReadyLimit;
  while (fleet.Owner() != other && Now() < deadline) std::this_thread::sleep_for(kPollPause);
  REQUIRE(runner.Wait(fleet.Submit(2, 12, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(2, "completed", kFinishLimit)));
  CHECK(fleet.Owner() == other);
  CHECK(fleet.WaitExit(other, Duration(1)) == -1);
  CheckLoggedOnce(fleet.LogOf(other), odd);
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
}

// Guards against a link to a worker that ends for good while the registration is odd: its
// tasks would be lost and it would get no more work.
TEST_CASE("a worker with an odd registration keeps its tasks and is used again once it is valid",
          "[node][processes]") {
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, 1, 1);
  REQUIRE(runner.Wait(fleet.WaitReady(kReadyLimit)));
  const std::string payload = "long";
  REQUIRE(runner.Wait(fleet.Submit(1, 2, kSubmitLimit, payload)));
  REQUIRE(runner.Wait(fleet.WaitState(1, "running", kFinishLimit)));
  std::this_thread::sleep_for(kReadTime);
  const std::string address = fleet.worker(0).address().ToString();
  for (const std::string& odd :
       {RegistrationText("service", "127.0.0.1:65536"),
        RegistrationText("service", address, {{"Extra", std::string(100'000, '[')}}),
        RegistrationText("service", std::string(100'000, 'h') + ":80")}) {
    fleet.worker(0).SetFault({.registration = odd});
    fleet.store().Put(kRegistrations, "worker-0", odd);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }
  fleet.AddWorker();
  REQUIRE(runner.Wait(fleet.Submit(2, 4, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(2, "completed", kFinishLimit)));
  CHECK(fleet.worker(0).Runs().size() == 2);
  fleet.worker(0).SetFault({});
  std::this_thread::sleep_for(kReadTime);
  REQUIRE(runner.Wait(fleet.Submit(3, 6, kSubmitLimit)));
  CHECK(runner.Wait(fleet.WaitState(3, "completed", kFinishLimit)));
  CHECK(fleet.worker(0).Runs().size() > 2);
  // Longer than the longest lease.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  fleet.worker(0).SetFault({});  // Ends the runs whose lease has expired.
  CHECK(fleet.CountRuns(1) == 2);
  for (const auto& run : fleet.worker(0).Runs()) {
    if (run.task.starts_with(FormatJobId(1))) CHECK_FALSE(run.ended.has_value());
  }
  CHECK(fleet.WaitExit(0, Duration(1)) == -1);
  for (const std::string& violation : fleet.Violations()) FAIL_CHECK(violation);
}

constexpr const char* kEntry = "entry-n1-0";

FleetPlan OneEntryPlan() {
  FleetPlan plan = ScenarioPlan({.name = "registrations"});
  plan.zones = {{{"near"}, {"n1"}, 1, 2, false}};
  return plan;
}

// Writes a registration like a foreign writer; without a value, removes it.
Task<> PutRegistration(Fleet& fleet, std::string key, std::optional<std::string> value) {
  StoreClient store(fleet.store(), platform::MakeStoreProtocol(), fleet.http());
  const Partition topic({.topic = kRegistrations, .number = 0});
  std::vector<StoreRecord> records = {
      StoreRecord({.key = std::move(key), .value = std::move(value)})};
  co_await store.Append(topic, std::nullopt, std::move(records));
}

Task<> PutAll(Fleet& fleet, const std::vector<OddRegistration>& odd) {
  for (const OddRegistration& entry : odd) {
    co_await PutRegistration(fleet, entry.key, entry.value);
  }
  co_await PutRegistration(fleet, "never-registered", std::nullopt);
  co_await SleepFor(kReadTime);
}

Task<std::string> RegistrationOf(Fleet& fleet, std::string key) {
  StoreClient store(fleet.store(), platform::MakeStoreProtocol(), fleet.http());
  const Partition topic({.topic = kRegistrations, .number = 0});
  const auto newest = co_await store.Newest(topic);
  if (!newest) co_return "";
  for (const StoreRecord& record : newest.value()->records) {
    if (record->key == key) co_return record->value.value_or("");
  }
  co_return "";
}

// Sends requests for a second; returns how many were not answered.
Task<std::size_t> CountUnanswered(WorkerPool& pool, Fleet& fleet) {
  const standins::LoadSettings settings{.entries = fleet.EntryAddresses(),
                                        .service = {"desk"},
                                        .requests_per_second = 60,
                                        .write_share = 0};
  standins::CallerLoad load(pool, settings);
  co_await load.Run(Duration(1'000));
  const auto results = load.results();
  co_return static_cast<std::size_t>(
      std::count_if(results.begin(), results.end(), [](const standins::LoadResult& result) {
        return result.outcome != standins::LoadOutcome::kAnswered;
      }));
}

std::size_t ExecutionsOn(const standins::WorkerRecordings& recordings, const std::string& worker) {
  return static_cast<std::size_t>(std::count_if(
      recordings.executions.begin(), recordings.executions.end(),
      [&](const standins::Execution& execution) { return execution.worker == worker; }));
}

// Guards against an entry instance that ends, does not start, or sends requests to workers
// that do not exist, because of registrations that it cannot use.
TEST_CASE("odd registrations neither end an entry instance nor disturb requests",
          "[processes][steps][input]") {
  Runner runner;
  Fleet fleet(runner.pool(), OneEntryPlan());
  fleet.StartAll();
  REQUIRE(runner.Wait(fleet.Apply(ScenarioConfiguration())));
  REQUIRE(runner.Wait(fleet.WaitServing(Duration(20'000))));
  const std::string valid = runner.Wait(RegistrationOf(fleet, "n1-0"));
  REQUIRE_FALSE(valid.empty());
  const auto odd = OddRegistrations("desk", "127.0.0.1:9");
  for (int i = 0; i < 2; ++i) runner.Wait(PutAll(fleet, odd));
  CHECK(runner.Wait(CountUnanswered(runner.pool(), fleet)) == 0);
  CheckLoggedOnce(fleet.LogOf(kEntry), odd);
  // The instance uses the worker again once its registration has been repaired.
  const std::string replaced = RegistrationText("desk", std::string(100'000, 'h') + ":80");
  runner.Wait(PutRegistration(fleet, "n1-0", replaced));
  std::this_thread::sleep_for(kReadTime);
  const auto before = ExecutionsOn(runner.Wait(fleet.Recordings()), "n1-0");
  CHECK(runner.Wait(CountUnanswered(runner.pool(), fleet)) == 0);
  CHECK(ExecutionsOn(runner.Wait(fleet.Recordings()), "n1-0") == before);
  runner.Wait(PutRegistration(fleet, "n1-0", valid));
  std::this_thread::sleep_for(kReadTime);
  CHECK(runner.Wait(CountUnanswered(runner.pool(), fleet)) == 0);
  CHECK(ExecutionsOn(runner.Wait(fleet.Recordings()), "n1-0") > before);
  CHECK(runner.Wait(fleet.WaitExit(kEntry, Duration(1))) == -1);
  // A starting instance reads the newest registration of each worker.
  fleet.Kill(kEntry);
  fleet.Start(kEntry);
  REQUIRE(runner.Wait(fleet.WaitServing(Duration(20'000))));
  CHECK(runner.Wait(CountUnanswered(runner.pool(), fleet)) == 0);
  CHECK(runner.Wait(fleet.WaitExit(kEntry, Duration(1))) == -1);
}

}  // namespace
}  // namespace dn::testing
