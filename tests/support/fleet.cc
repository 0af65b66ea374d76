// Starts, signals and queries the processes of a fleet.
#include "tests/support/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "platform/platform.h"
#include "tests/support/loopback_net.h"

namespace dn::testing {
namespace {

constexpr std::uint16_t kCallerPort = 8080;
constexpr std::uint16_t kSiblingPort = 9090;
constexpr Duration kPollInterval{50};
constexpr Duration kCallTimeout{3000};

void Check(const Result<std::shared_ptr<standins::TcpRelay>>& relay) {
  if (!relay)
    throw std::runtime_error("cannot start the link to the store: " + relay.error().message());
}

}  // namespace

Fleet::Fleet(WorkerPool& pool, FleetPlan plan)
    : pool_(pool),
      plan_(std::move(plan)),
      network_prefix_(NextNetworkPrefix()),
      folder_(std::filesystem::temp_directory_path() /
              ("dn-fleet-" + network_prefix_ + std::to_string(getpid()))),
      store_{.host = network_prefix_ + "1", .port = 7000},
      workers_{.host = network_prefix_ + "3", .port = 7002} {
  std::filesystem::create_directories(folder_);
  Prepare();
}

Fleet::~Fleet() {
  for (auto& [name, process] : processes_) {
    if (process.pid <= 0) continue;
    ::kill(process.pid, SIGCONT);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Fleet::Add(const std::string& name, const std::string& program, const std::string& settings) {
  const std::string path = folder_ + "/" + name + ".json";
  std::ofstream(path) << settings;
  processes_[name] = {.name = name, .program = plan_.bin + "/" + program, .settings_path = path};
  order_.push_back(name);
}

void Fleet::Prepare() {
  Add("store", "dn-standin-store",
      EncodeText(standins::StoreStandinSettings(
          {.address = store_, .retention = plan_.retention, .max_appends_per_second = 400})));
  auto link = standins::TcpRelay::Start(pool_, {.host = network_prefix_ + "4", .port = 7000},
                                        store_, plan_.link_delay);
  Check(link);
  link_ = link.value();
  standins::WorkerStandinSettingsFields workers{
      .control = workers_, .host = network_prefix_ + "3", .store = store_, .groups = {}};
  for (const ZonePlan& zone : plan_.zones) {
    if (zone.workers == 0) continue;
    workers.groups.push_back(standins::WorkerGroup({.zone = zone.zone,
                                                    .count = zone.workers,
                                                    .service = plan_.service,
                                                    .service_time = plan_.service_time}));
  }
  Add("workers", "dn-standin-worker", EncodeText(standins::WorkerStandinSettings(workers)));
  for (const ZonePlan& zone : plan_.zones) {
    for (int i = 0; i < zone.entries; ++i) PrepareInstance(zone, i);
  }
}

void Fleet::PrepareInstance(const ZonePlan& zone, int index) {
  const std::string name = "entry-" + zone.zone.value + "-" + std::to_string(index);
  const std::string host = network_prefix_ + std::to_string(next_host_++);
  const Endpoint caller{.host = host, .port = kCallerPort};
  const Endpoint sibling{.host = host, .port = kSiblingPort};
  instances_.emplace(name, Instance({.id = {name},
                                     .region = zone.region,
                                     .zone = zone.zone,
                                     .caller_address = caller,
                                     .sibling_address = sibling}));
  Add(name, "dn-entry",
      EncodeText(InstanceSettings({.id = {name},
                                   .region = zone.region,
                                   .zone = zone.zone,
                                   .caller_address = caller,
                                   .sibling_address = sibling,
                                   .store = zone.uses_link ? link_->address() : store_,
                                   .threads = 2,
                                   .drain_grace = plan_.drain_grace,
                                   .retention = plan_.retention,
                                   .key_window = plan_.retention * 4 / 5})));
}

void Fleet::Start(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = process.program;
  std::string option = "--settings";
  std::string path = process.settings_path;
  char* const arguments[] = {program.data(), option.data(), path.data(), nullptr};
  const int failed =
      posix_spawn(&process.pid, program.c_str(), &actions, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("cannot start " + program);
}

void Fleet::StartAll() {
  for (const std::string& name : order_) Start(name);
}

void Fleet::Signal(const std::string& name, int signal) {
  const Process& process = processes_.at(name);
  if (process.pid > 0) ::kill(process.pid, signal);
}

void Fleet::Kill(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGKILL);
  ::waitpid(process.pid, nullptr, 0);
  process.pid = -1;
}

Task<int> Fleet::WaitExit(std::string name, Duration limit) {
  Process& process = processes_.at(name);
  const Time deadline = Now() + limit;
  while (Now() < deadline) {
    int status = 0;
    if (::waitpid(process.pid, &status, WNOHANG) == process.pid) {
      process.pid = -1;
      co_return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    co_await SleepFor(kPollInterval);
  }
  co_return -1;
}

Task<std::optional<std::string>> Fleet::Post(Endpoint to, std::string path, std::string body) {
  HttpCall call{.method = HttpMethod::kPost, .path = path, .query = {}, .body = body};
  for (int i = 0; i < 60; ++i) {
    const auto reply = co_await http_.Call(to, call, kCallTimeout, TrafficKind::kOperator);
    if (reply && reply.value().status == 200) co_return reply.value().body;
    co_await SleepFor(kPollInterval);
  }
  co_return std::nullopt;
}

Task<std::optional<Status>> Fleet::StatusOf(std::string name) {
  HttpCall call{.method = HttpMethod::kGet, .path = "/status", .query = {}, .body = {}};
  const auto reply = co_await http_.Call(instances_.at(name)->sibling_address, std::move(call),
                                         Duration(500), TrafficKind::kOperator);
  if (!reply) co_return std::nullopt;
  auto status = DecodeMessage<Status>(reply.value().body);
  if (!status) co_return std::nullopt;
  co_return std::move(status).value();
}

Task<std::vector<Status>> Fleet::Statuses() {
  std::vector<Status> all;
  for (const auto& [name, instance] : instances_) {
    if (auto status = co_await StatusOf(name)) all.push_back(std::move(*status));
  }
  co_return all;
}

Task<bool> Fleet::WaitServing(Duration limit) {
  const Time deadline = Now() + limit;
  while (Now() < deadline) {
    const auto all = co_await Statuses();
    const bool serving = std::all_of(all.begin(), all.end(), [](const Status& s) {
      return s->serving && s->member && s->may_act && s->revision >= 0 && s->held_slots > 0;
    });
    if (serving && all.size() == instances_.size()) co_return true;
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

Task<bool> Fleet::Apply(Configuration configuration) {
  StoreClient store(store_, platform::MakeStoreProtocol(), http_);
  OperatorClient client(http_, store);
  const Time deadline = Now() + Duration(20'000);
  Result<ConfigurationState> current = co_await client.ReadConfiguration();
  while (!current && Now() < deadline) {
    co_await SleepFor(kPollInterval);
    current = co_await client.ReadConfiguration();
  }
  if (!current) co_return false;
  const RecordId id{"fleet-" + std::to_string(NewIncarnation())};
  const auto applied = co_await client.ApplyConfiguration(id, current.value().revision,
                                                          std::move(configuration), deadline);
  co_return applied&& applied.value().result.accepted;
}

Task<standins::WorkerRecordings> Fleet::Recordings() {
  const auto body = co_await Post(workers_, "/control/recordings", "{}");
  if (!body) co_return standins::WorkerRecordings{};
  auto recordings = DecodeMessage<standins::WorkerRecordings>(*body);
  co_return recordings ? std::move(recordings).value() : standins::WorkerRecordings{};
}

Task<standins::StoreStats> Fleet::StoreStatistics() {
  const auto body = co_await Post(store_, "/control/stats", "{}");
  if (!body) co_return standins::StoreStats{};
  const auto stats = DecodeMessage<standins::StoreStats>(*body);
  co_return stats ? stats.value() : standins::StoreStats{};
}

Task<> Fleet::Fault(standins::StoreFault fault) {
  co_await Post(store_, "/control/faults", EncodeText(fault));
}
Task<> Fleet::Fault(standins::WorkerFault fault) {
  co_await Post(workers_, "/control/faults", EncodeText(fault));
}

Task<> Fleet::Leave(std::string worker) {
  HttpCall call{
      .method = HttpMethod::kPost, .path = "/control/leave", .query = {{"id", worker}}, .body = {}};
  co_await http_.Call(workers_, std::move(call), kCallTimeout, TrafficKind::kOperator);
}

std::vector<Endpoint> Fleet::EntryAddresses() const {
  std::vector<Endpoint> addresses;
  for (const auto& name : EntryNames()) addresses.push_back(instances_.at(name)->caller_address);
  return addresses;
}

std::vector<std::string> Fleet::EntryNames() const {
  std::vector<std::string> names;
  for (const auto& [name, instance] : instances_) names.push_back(name);
  return names;
}

std::string Fleet::LogOf(const std::string& name) const {
  std::ifstream file(folder_ + "/" + name + ".log");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::uint64_t Fleet::LinkBytes() const { return link_->bytes(); }

void Fleet::SetLink(standins::RelayMode mode) { link_->SetMode(mode); }

}  // namespace dn::testing
