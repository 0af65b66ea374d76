// Tests of what scheduler nodes tell about jobs while the owner of the shard lags behind the
// store or has been replaced. Real processes against stand-ins.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "tests/support/node_fleet.h"
#include "tests/support/runner.h"

namespace dn::testing {
namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 1;
constexpr JobId kEarlyJobs = 2;  // Submitted before the fault.
constexpr JobId kLateJobs = 6;   // Submitted during the fault.
constexpr JobId kUnknownJob = 0xff;
// Maximum age of a number of waiting jobs, by the platform's protocol.
constexpr Duration kMaxAnswerAge{2'000};
constexpr Duration kSubmitLimit{12'000};
// Time in which another node takes the shard over.
constexpr Duration kTakeOverLimit{8'000};
constexpr int kRounds = 4;
constexpr Duration kRoundPause{300};

// Questions that a node may refuse.
enum class Refusable {
  kNone,
  kSubmissions,  // Those that depend on jobs submitted during the fault.
  kAll,
};

struct ViewScenario {
  std::string name;
  void (*inject)(NodeFleet&, int owner);  // Called after the early jobs.
  // Called when the questions are on their way to the owner.
  void (*resume)(NodeFleet&, int owner);
  bool replaced;        // Another node takes the shard over.
  Refusable refusable;  // What the owner may refuse during the fault.
  // Time from the end of the fault until the owner has to answer everything. Only for owners that
  // are not replaced.
  Duration recovery{0};
};

// Submits a job that no worker has room for, to the nodes other than `avoided` in turn.
Task<bool> SubmitWaitingJob(NodeFleet& fleet, JobId id, int avoided) {
  const std::string body =
      R"({"Spec":"s","Steps":[{"Count":1,"Cpu":900000,"MemMb":100,"EstimateMs":300}]})";
  const Time deadline = Now() + kSubmitLimit;
  for (int node = 0; Now() < deadline; node = (node + 1) % kNodes) {
    if (node == avoided) continue;
    const std::string path = "/queue/" + FormatJobId(id);
    const HttpReply reply = co_await fleet.Call(node, HttpMethod::kPost, path, body);
    if (reply.status == 200) co_return true;
    co_await SleepFor(Duration(50));
  }
  co_return false;
}

Task<bool> SubmitWaitingJobs(NodeFleet& fleet, JobId first, JobId count, int avoided) {
  for (JobId id = first; id < first + count; ++id) {
    if (!co_await SubmitWaitingJob(fleet, id, avoided)) co_return false;
  }
  co_return true;
}

// Cancels a job at the nodes other than `avoided`.
Task<bool> CancelElsewhere(NodeFleet& fleet, JobId id, int avoided) {
  const Time deadline = Now() + kTakeOverLimit;
  for (int node = 0; Now() < deadline; node = (node + 1) % kNodes) {
    if (node == avoided) continue;
    const std::string path = "/queue/" + FormatJobId(id);
    const HttpReply reply = co_await fleet.Call(node, HttpMethod::kDelete, path);
    if (reply.status == 200) co_return true;
    co_await SleepFor(Duration(50));
  }
  co_return false;
}

// A question and the only response to it that is true.
struct Question {
  std::string text;
  std::future<HttpReply> reply;
  int true_status;
  std::string true_body;  // Of a true response; empty: any.
  // Whether the true response depends on jobs that were submitted during the fault.
  bool needs_submissions;
};

// Asks `node` for the number of waiting jobs and the states of jobs, as callers and as
// siblings do.
std::vector<Question> Ask(Runner& runner, NodeFleet& fleet, int node, bool first_cancelled) {
  const std::string waiting = std::to_string(kEarlyJobs + kLateJobs - (first_cancelled ? 1 : 0));
  const std::string first_state = first_cancelled ? "cancelled" : "pending";
  const auto state_body = [](const std::string& state) {
    return R"({"State":")" + state + R"("})";
  };
  const std::string first = FormatJobId(1);
  const std::string late = FormatJobId(kEarlyJobs + kLateJobs);
  const std::string unknown = FormatJobId(kUnknownJob);
  std::vector<Question> questions;
  const auto ask = [&](const std::string& path, int status, const std::string& body,
                       bool needs_submissions = true) {
    const bool caller = path.starts_with("/queue/");
    questions.push_back(
        {.text = path,
         .reply = runner.Begin(caller ? fleet.Call(node, HttpMethod::kGet, path)
                                      : fleet.CallInstance(node, HttpMethod::kGet, path)),
         .true_status = status,
         .true_body = body,
         .needs_submissions = needs_submissions});
  };
  ask("/queue/", 200, R"({"Waiting":)" + waiting + "}");
  ask("/queues/q", 200, waiting);
  ask("/queue/" + first, 200, state_body(first_state), false);
  ask("/jobs/" + first, 200, first_state, false);
  ask("/queue/" + late, 200, state_body("pending"));
  ask("/jobs/" + late, 200, "pending");
  ask("/queue/" + unknown, 410, "");
  ask("/jobs/" + unknown, 200, "unknown");
  return questions;
}

// Checks that each response is the true one, or a refusal if the node may refuse.
void CheckResponses(std::vector<Question> questions, Refusable refusable) {
  for (Question& question : questions) {
    const HttpReply reply = question.reply.get();
    CAPTURE(question.text, reply.status, reply.body, question.true_status, question.true_body);
    const bool may_refuse = refusable == Refusable::kAll ||
                            (refusable == Refusable::kSubmissions && question.needs_submissions);
    const bool refused = may_refuse && reply.status == 503;
    const bool true_response = reply.status == question.true_status &&
                               (question.true_body.empty() || reply.body == question.true_body);
    CHECK((refused || true_response));
  }
}

// Guards against counts and states told by an owner that has been replaced or that has not
// read the latest submissions: 6 jobs were said to wait when 20 had waited for seconds.
TEST_CASE("an owner without a current view does not tell an old count or state",
          "[node][view][processes]") {
  const auto no_action = [](NodeFleet&, int) {};
  const auto scenario = GENERATE_COPY(values<ViewScenario>({
      {"no fault", no_action, no_action, false, Refusable::kNone},
      {"owner paused until another node has taken over",
       [](NodeFleet& fleet, int owner) { fleet.Signal(owner, SIGSTOP); },
       [](NodeFleet& fleet, int owner) { fleet.Signal(owner, SIGCONT); }, true, Refusable::kAll},
      {"owner paused, then without response of the store",
       [](NodeFleet& fleet, int owner) { fleet.Signal(owner, SIGSTOP); },
       [](NodeFleet& fleet, int owner) {
         fleet.store().SetEndpointFault(owner, {.silent = true});
         fleet.Signal(owner, SIGCONT);
       },
       true, Refusable::kAll},
      {"store rejects the owner",
       [](NodeFleet& fleet, int owner) { fleet.store().SetEndpointFault(owner, {.busy = true}); },
       no_action, true, Refusable::kAll},
      {"store does not respond to the owner",
       [](NodeFleet& fleet, int owner) { fleet.store().SetEndpointFault(owner, {.silent = true}); },
       no_action, true, Refusable::kAll},
      {"store rejects the owner's reads of submitted jobs",
       [](NodeFleet& fleet, int owner) {
         fleet.store().SetEndpointFault(owner, {.busy = true, .only = "keyed.dn-jobs"});
       },
       no_action, false, Refusable::kSubmissions},
      {"store delays the owner's reads of submitted jobs for longer than their timeout",
       [](NodeFleet& fleet, int owner) {
         fleet.store().SetEndpointFault(owner, {.delay = Duration(5'000), .only = "keyed.dn-jobs"});
       },
       no_action, false, Refusable::kSubmissions, kStoreTimeout + Duration(200)},
      {"store delays all calls of the owner by 200 ms",
       [](NodeFleet& fleet, int owner) {
         fleet.store().SetEndpointFault(owner, {.delay = Duration(200)});
       },
       no_action, false, Refusable::kNone},
      {"store delays all calls of the owner by 300 ms",
       [](NodeFleet& fleet, int owner) {
         fleet.store().SetEndpointFault(owner, {.delay = Duration(300)});
       },
       no_action, false, Refusable::kNone},
  }));
  CAPTURE(scenario.name);
  Runner runner;
  NodeFleet fleet(runner, DN_BIN, kNodes, kWorkers);
  REQUIRE(runner.Wait(fleet.WaitReady(Duration(15'000))));
  REQUIRE(runner.Wait(SubmitWaitingJobs(fleet, 1, kEarlyJobs, -1)));
  // Every node learns of every other within 3 s.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const int owner = fleet.Owner();
  REQUIRE(owner >= 0);
  scenario.inject(fleet, owner);
  REQUIRE(runner.Wait(SubmitWaitingJobs(fleet, kEarlyJobs + 1, kLateJobs, owner)));
  if (scenario.replaced) {
    const bool cancelled = runner.Wait(CancelElsewhere(fleet, 1, owner));
    CAPTURE(owner, fleet.LogOf(0), fleet.LogOf(1), fleet.LogOf(2));
    REQUIRE(cancelled);
  }
  std::this_thread::sleep_for(kMaxAnswerAge);
  std::vector<Question> questions = Ask(runner, fleet, owner, scenario.replaced);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  scenario.resume(fleet, owner);
  CheckResponses(std::move(questions), scenario.refusable);
  for (int round = 1; round < kRounds; ++round) {
    std::this_thread::sleep_for(kRoundPause);
    CheckResponses(Ask(runner, fleet, owner, scenario.replaced), scenario.refusable);
  }
  if (!scenario.replaced) {
    fleet.store().SetEndpointFault(owner, {});
    std::this_thread::sleep_for(scenario.recovery);
    CheckResponses(Ask(runner, fleet, owner, false), Refusable::kNone);
    return;
  }
  // The new owner answers for all nodes.
  const int successor = fleet.Owner();
  REQUIRE(successor >= 0);
  REQUIRE(successor != owner);
  CheckResponses(Ask(runner, fleet, successor, true), Refusable::kNone);
}

}  // namespace
}  // namespace dn::testing
