// Starts, signals and queries the processes of scheduler nodes.
#include "tests/support/node_fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "tests/support/loopback_net.h"

namespace dn::testing {
namespace {

constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/queue/";
constexpr std::uint16_t kFrontPort = 8080;
constexpr std::uint16_t kReadyPort = 8081;
constexpr std::uint16_t kInstancePort = 8082;
constexpr Duration kPollInterval{50};
constexpr Duration kTaskTime{300};

std::string MakeFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "dn-nodes-XXXXXX").string();
  const char* const created = ::mkdtemp(pattern.data());
  return created != nullptr ? created : pattern;
}

}  // namespace

NodeFleet::NodeFleet(Runner& runner, std::string bin, int nodes, int workers,
                     const std::string& more_settings)
    : runner_(runner), bin_(std::move(bin)), folder_(MakeFolder()), store_(runner.pool()) {
  static_cast<void>(store_.Start());
  PutConfiguration(3);
  for (int i = 0; i < workers; ++i) AddWorker();
  const std::string net = NextNetworkPrefix();
  for (int i = 0; i < nodes; ++i) {
    const std::string host = net + std::to_string(i + 1);
    // Separate for each node, so that SetEndpointFault() can cut off a single node.
    const Endpoint store_address = store_.AddEndpoint().value();
    Node node{.id = "node-" + std::to_string(i),
              .settings = folder_ + "/node-" + std::to_string(i) + ".conf",
              .log = folder_ + "/node-" + std::to_string(i) + ".log",
              .front = {host, kFrontPort},
              .ready = {host, kReadyPort},
              .instances = {host, kInstancePort}};
    std::ofstream(node.settings) << "Node=" << node.id
                                 << "\nZone=z1\nRegion=r1\nListen.Front=" << node.front.ToString()
                                 << "\nListen.Ready=" << node.ready.ToString()
                                 << "\nPortRange=" << node.instances.port << ","
                                 << node.instances.port
                                 << "\nplatform.Address=" << store_address.ToString() << "\n"
                                 << more_settings << "Bounds.GraceS=6\nBounds.HoldMaxMs=6000\n";
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < nodes; ++i) Start(i);
}

NodeFleet::~NodeFleet() {
  for (int i = 0; i < nodes(); ++i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    if (node.pid <= 0) continue;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
  }
  // The coroutines of the stand-ins must not outlive them.
  runner_.Stop();
  std::filesystem::remove_all(folder_);
}

void NodeFleet::PutConfiguration(int version) {
  std::ostringstream text;
  text << R"({"Version":)" << version << R"(,"Routes":[{"Name":"q","Host":")" << kHost
       << R"(","PathPrefix":")" << kPrefix
       << R"(","Service":"service","Priority":0,"MaxAttempts":3,"Stretch":2.0,)"
       << R"("TargetLatencyMs":500}],"Services":[],"Limits":{"MaxBodyBytes":262144}})";
  store_.Put("keyed.op", "config", text.str());
}

standins::TaskWorkerStandin& NodeFleet::NewWorker() {
  workers_.push_back(std::make_unique<standins::TaskWorkerStandin>(
      runner_.pool(), store_, "worker-" + std::to_string(workers_.size()), "service", kTaskTime));
  return *workers_.back();
}

void NodeFleet::AddWorker() { static_cast<void>(NewWorker().Start()); }

void NodeFleet::AddWorkerBehindRelay(Duration one_way_delay) {
  static_cast<void>(NewWorker().StartBehindRelay(one_way_delay));
}

void NodeFleet::Start(int index) {
  Node& node = nodes_[static_cast<std::size_t>(index)];
  const std::string program = bin_ + "/dn-node";
  std::array<std::string, 3> argument_texts = {program, "--settings", node.settings};
  std::array<char*, 4> arguments = {argument_texts[0].data(), argument_texts[1].data(),
                                    argument_texts[2].data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, node.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn(&node.pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
}

void NodeFleet::Signal(int node, int signal) {
  ::kill(nodes_[static_cast<std::size_t>(node)].pid, signal);
}

int NodeFleet::WaitExit(int index, Duration limit) {
  Node& node = nodes_[static_cast<std::size_t>(index)];
  const Time deadline = Now() + limit;
  while (Now() < deadline) {
    int status = 0;
    if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
      node.pid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return -1;
}

int NodeFleet::Owner() {
  const std::string member = store_.OwnerOf("dn-owners", 0);
  for (int i = 0; i < nodes(); ++i) {
    const Node& node = nodes_[static_cast<std::size_t>(i)];
    if (member.rfind(node.instances.ToString() + "/", 0) == 0) return i;
  }
  return -1;
}

Task<HttpReply> NodeFleet::Call(int index, HttpMethod method, std::string path, std::string body) {
  const Node& node = nodes_[static_cast<std::size_t>(index)];
  HttpCall call{.method = method, .path = std::move(path), .query = {}, .body = std::move(body)};
  call.headers = {{"Host", kHost}, {"Timeout-Ms", "2500"}};
  call.retry_on_broken_connection = false;
  auto reply =
      co_await http_.Call(node.front, std::move(call), Duration(3'000), TrafficKind::kOperator);
  if (!reply) co_return HttpReply{.status = 0};
  co_return std::move(reply).value();
}

Task<HttpReply> NodeFleet::CallInstance(int index, HttpMethod method, std::string path) {
  const Node& node = nodes_[static_cast<std::size_t>(index)];
  HttpCall call{.method = method, .path = std::move(path), .query = {}, .body = {}};
  call.retry_on_broken_connection = false;
  auto reply =
      co_await http_.Call(node.instances, std::move(call), Duration(3'000), TrafficKind::kSibling);
  if (!reply) co_return HttpReply{.status = 0};
  co_return std::move(reply).value();
}

Task<bool> NodeFleet::WaitReady(Duration limit) {
  const Time deadline = Now() + limit;
  while (Now() < deadline) {
    int ready = 0;
    for (const Node& node : nodes_) {
      HttpCall call{.method = HttpMethod::kGet, .path = "/api/ready", .query = {}, .body = {}};
      auto reply =
          co_await http_.Call(node.ready, std::move(call), Duration(500), TrafficKind::kOperator);
      if (reply && reply.value().status == 200) ++ready;
    }
    if (ready == nodes() && Owner() >= 0) co_return true;
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

Task<bool> NodeFleet::Submit(JobId id, int tasks, Duration limit, const std::string& payload) {
  const Time deadline = Now() + limit;
  std::ostringstream body;
  body << R"({"Spec":")" << payload << R"(","Steps":[{"Count":)" << tasks
       << R"(,"Cpu":1000,"MemMb":100,"EstimateMs":300)"
       << (payload == "long" ? R"(,"LongRunning":true)" : "") << "}]}";
  const std::string text = body.str();
  for (int attempt = 0; Now() < deadline; ++attempt) {
    const auto node = static_cast<int>((id + static_cast<JobId>(attempt)) % nodes_.size());
    const std::string path = kPrefix + FormatJobId(id);
    const HttpReply reply = co_await Call(node, HttpMethod::kPost, path, text);
    if (reply.status == 200) co_return true;
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

Task<bool> NodeFleet::WaitState(JobId id, const std::string& state, Duration limit) {
  const Time deadline = Now() + limit;
  for (int attempt = 0; Now() < deadline; ++attempt) {
    const auto node = static_cast<int>((id + static_cast<JobId>(attempt)) % nodes_.size());
    const std::string path = kPrefix + FormatJobId(id);
    const HttpReply reply = co_await Call(node, HttpMethod::kGet, path);
    if (reply.status == 200 && reply.body.find('"' + state + '"') != std::string::npos) {
      co_return true;
    }
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

Task<bool> NodeFleet::Cancel(JobId id, Duration limit) {
  const Time deadline = Now() + limit;
  for (int attempt = 0; Now() < deadline; ++attempt) {
    const auto node = static_cast<int>((id + static_cast<JobId>(attempt)) % nodes_.size());
    const std::string path = kPrefix + FormatJobId(id);
    const HttpReply reply = co_await Call(node, HttpMethod::kDelete, path);
    if (reply.status == 200) co_return true;
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

std::map<std::string, std::vector<standins::RunRecord>> NodeFleet::RunsByTask() const {
  std::map<std::string, std::vector<standins::RunRecord>> runs_by_task;
  for (const auto& worker : workers_) {
    for (standins::RunRecord& run : worker->Runs())
      runs_by_task[run.task].push_back(std::move(run));
  }
  for (auto& [task, runs] : runs_by_task) {
    std::sort(runs.begin(), runs.end(),
              [](const auto& a, const auto& b) { return a.started < b.started; });
  }
  return runs_by_task;
}

std::vector<std::string> NodeFleet::Violations() const {
  std::vector<std::string> violations;
  for (const auto& [task, runs] : RunsByTask()) {
    for (std::size_t i = 1; i < runs.size(); ++i) {
      const standins::RunRecord& before = runs[i - 1];
      if (!before.ended || *before.ended > runs[i].started) {
        violations.push_back(task + " had two concurrent runs: " + std::to_string(before.run) +
                             " and " + std::to_string(runs[i].run));
      }
      if (before.end_reason == "done") {
        violations.push_back(task + " ran again after run " + std::to_string(before.run) +
                             " had completed it");
      }
    }
  }
  return violations;
}

std::vector<std::string> NodeFleet::RunsTwice() const {
  std::vector<std::string> found;
  for (const auto& [task, runs] : RunsByTask()) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const standins::RunRecord& first = runs[i];
        const standins::RunRecord& second = runs[j];
        const bool concurrent = !first.ended || *first.ended > second.started;
        const bool repeated =
            first.end_reason == "done" && first.acknowledged && !first.lease_lapsed;
        if (!concurrent && !repeated) continue;
        found.push_back(
            task + (concurrent ? " had two concurrent runs: " : " ran again after its end: ") +
            std::to_string(first.run) + " under token " + std::to_string(first.token) + " on " +
            first.worker + " and " + std::to_string((second.started - first.started).count()) +
            " ms later " + std::to_string(second.run) + " under token " +
            std::to_string(second.token) + " on " + second.worker);
      }
    }
  }
  return found;
}

std::int64_t NodeFleet::HighestToken() const {
  std::int64_t highest = 0;
  for (const auto& worker : workers_) {
    for (const standins::RunRecord& run : worker->Runs()) highest = std::max(highest, run.token);
  }
  return highest;
}

int NodeFleet::CountLiveRuns(JobId id) const {
  int live = 0;
  for (const auto& worker : workers_) {
    for (const standins::RunRecord& run : worker->Runs()) {
      if (run.task.rfind(FormatJobId(id), 0) == 0 && !run.ended) ++live;
    }
  }
  return live;
}

std::size_t NodeFleet::CountRuns(JobId id) const {
  std::size_t runs = 0;
  for (const auto& worker : workers_) {
    for (const standins::RunRecord& run : worker->Runs()) {
      if (run.task.rfind(FormatJobId(id), 0) == 0) ++runs;
    }
  }
  return runs;
}

std::string NodeFleet::LogOf(int node) const {
  std::ifstream file(nodes_[static_cast<std::size_t>(node)].log);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

}  // namespace dn::testing
