// Command lines of dn-ctl and dn-timeline: a table of commands, and one function for each.
#include "operators/internal/commands.h"

#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "decisions/decisions.h"
#include "operators/internal/operator_client.h"
#include "operators/internal/timeline.h"

namespace dn {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr Duration kApplyTimeout{20'000};
constexpr Duration kActivePollInterval{100};

struct Arguments {
  Endpoint store;
  std::vector<std::string> positional;
  Duration wait{0};
  bool json = false;
  TimelineFilter filter;
  std::string html;
};

// Functions of the commands. Each prints its result and returns the exit status.
class Commands {
 public:
  Commands(Arguments arguments, const StoreProtocol& protocol)
      : arguments_(std::move(arguments)),
        store_(arguments_.store, protocol, http_),
        client_(http_, store_) {}

  Task<int> Check() { co_return LoadConfiguration() ? kExitDone : kExitInvalid; }

  Task<int> ApplyFile() {
    const auto configuration = LoadConfiguration();
    if (!configuration) co_return kExitInvalid;
    const auto current = co_await client_.ReadConfiguration();
    if (!current) co_return Fail("store", current.error());
    const auto applied = co_await client_.ApplyConfiguration(NewId(), current.value().revision,
                                                             *configuration, Now() + kApplyTimeout);
    if (!applied) co_return Fail("apply: result not read, may still be accepted", applied.error());
    if (!applied.value().result.accepted) co_return co_await ReportConflict(*configuration);
    std::cout << "accepted as revision " << applied.value().result.revision << '\n';
    co_return co_await WaitUntilActive(applied.value().result.revision);
  }

  Task<int> Diff() {
    const auto configuration = LoadConfiguration();
    if (!configuration) co_return kExitInvalid;
    const auto current = co_await client_.ReadConfiguration();
    if (!current) co_return Fail("store", current.error());
    co_return PrintDifference(current.value().configuration, *configuration);
  }

  Task<int> Export() {
    const auto current = co_await client_.ReadConfiguration();
    if (!current) co_return Fail("store", current.error());
    std::cout << Json::writeString(Json::StreamWriterBuilder(),
                                   Encode(current.value().configuration))
              << '\n';
    co_return kExitDone;
  }

  Task<int> ShowStatus() {
    const auto membership = co_await client_.ReadMembership();
    if (!membership) co_return Fail("store", membership.error());
    Json::Value all(Json::arrayValue);
    for (const auto& [id, member] : membership.value().members) {
      const auto status = co_await client_.StatusOf(member);
      if (arguments_.json) {
        Json::Value entry = status ? Encode(status.value()) : Json::Value();
        if (!status) entry["instance"]["id"] = id.value;
        all.append(entry);
      } else {
        PrintStatus(id, status);
      }
    }
    if (arguments_.json) std::cout << ToText(all) << '\n';
    co_return kExitDone;
  }

  Task<int> Drain() {
    if (arguments_.positional.size() < 2) co_return PrintUsage("drain INSTANCE");
    const auto membership = co_await client_.ReadMembership();
    if (!membership) co_return Fail("store", membership.error());
    const auto found = membership.value().members.find({arguments_.positional[1]});
    if (found == membership.value().members.end()) co_return Fail("instance", Errc::kNotFound);
    HttpCall call{.method = HttpMethod::kPost, .path = "/drain", .query = {}, .body = {}};
    const auto reply = co_await client_.Call(found->second, std::move(call));
    if (!reply) co_return Fail("instance", reply.error());
    std::cout << "draining\n";
    co_return kExitDone;
  }

  Task<int> ShowTimeline() {
    const auto membership = co_await client_.ReadMembership();
    if (!membership) co_return Fail("store", membership.error());
    std::vector<std::vector<Event>> sources;
    for (const auto& [id, member] : membership.value().members) {
      auto events = co_await client_.EventsOf(member, 0);
      if (events) {
        sources.push_back(std::move(events).value());
      } else {
        std::cerr << id.value << ": " << events.error().message() << '\n';
      }
    }
    const auto merged = MergeEvents(std::move(sources), arguments_.filter);
    if (!arguments_.html.empty()) std::ofstream(arguments_.html) << TimelineHtml(merged);
    if (arguments_.json) {
      for (const Event& event : merged) std::cout << EncodeText(event) << '\n';
    } else if (arguments_.html.empty()) {
      std::cout << TimelineText(merged);
    }
    co_return kExitDone;
  }

 private:
  std::optional<Configuration> LoadConfiguration() {
    if (arguments_.positional.size() < 2) {
      std::cerr << "missing argument: FILE, the path of a configuration file\n";
      return std::nullopt;
    }
    const std::string& path = arguments_.positional[1];
    Findings findings;
    auto configuration = LoadFile<Configuration>(path, findings);
    if (configuration) {
      for (Finding finding : CheckConfiguration(*configuration)) {
        finding.file = path;
        findings.push_back(std::move(finding));
      }
    }
    PrintFindings(findings, std::cerr);
    if (!findings.empty()) return std::nullopt;
    return configuration;
  }

  static RecordId NewId() {
    std::random_device device;
    std::ostringstream id;
    id << std::hex;
    for (int i = 0; i < 4; ++i) id << device();
    return {id.str()};
  }

  static int Fail(const std::string& subject, const std::error_code& error) {
    std::cerr << subject << ": " << error.message() << '\n';
    return kExitRefused;
  }

  static int PrintUsage(const std::string& usage) {
    std::cerr << "usage: dn-ctl --store ADDRESS " << usage << '\n';
    return kExitInvalid;
  }

  Task<int> ReportConflict(Configuration wanted) {
    std::cerr << "refused: another configuration was accepted first\n";
    const auto current = co_await client_.ReadConfiguration();
    if (current) {
      std::cerr << "active configuration: revision " << current.value().revision << '\n';
      PrintDifference(current.value().configuration, wanted);
    }
    co_return kExitRefused;
  }

  static int PrintDifference(const Configuration& from, const Configuration& to) {
    const auto lines = [](const Configuration& configuration) {
      std::istringstream text(
          Json::writeString(Json::StreamWriterBuilder(), Encode(configuration)));
      std::vector<std::string> split;
      for (std::string line; std::getline(text, line);) split.push_back(line);
      return split;
    };
    std::vector<std::string> before = lines(from);
    std::vector<std::string> after = lines(to);
    // Lines that both have in common at the beginning and at the end are not printed.
    while (!before.empty() && !after.empty() && before.back() == after.back()) {
      before.pop_back();
      after.pop_back();
    }
    std::size_t same = 0;
    while (same < before.size() && same < after.size() && before[same] == after[same]) ++same;
    for (std::size_t i = same; i < before.size(); ++i) std::cout << "- " << before[i] << '\n';
    for (std::size_t i = same; i < after.size(); ++i) std::cout << "+ " << after[i] << '\n';
    return kExitDone;
  }

  void PrintStatus(const InstanceId& id, const Result<Status>& status) {
    std::cout << id.value << ": ";
    if (!status) {
      std::cout << status.error().message() << '\n';
      return;
    }
    const Status& value = status.value();
    std::cout << value->instance->zone.value << " revision " << value->revision
              << (value->draining ? " draining" : "") << (value->may_act ? "" : " isolated")
              << " slots " << value->busy_slots << '/' << value->held_slots << '\n';
  }

  // Waits until `revision` or a newer one is active on all instances, for at most the time of
  // --wait, and prints on how many it is.
  Task<int> WaitUntilActive(Offset revision) {
    const Time deadline = Now() + arguments_.wait;
    const Time started = Now();
    while (true) {
      const auto membership = co_await client_.ReadMembership();
      if (!membership) co_return Fail("store", membership.error());
      std::size_t active = 0;
      for (const auto& [id, member] : membership.value().members) {
        const auto status = co_await client_.StatusOf(member);
        if (status && status.value()->revision >= revision) ++active;
      }
      const std::size_t all = membership.value().members.size();
      if (active == all || Now() >= deadline) {
        std::cout << "in force on " << active << " of " << all << " instances after "
                  << (Now() - started).count() << " ms\n";
        co_return active == all || arguments_.wait == Duration(0) ? kExitDone : kExitRefused;
      }
      co_await SleepFor(kActivePollInterval);
    }
  }

  const Arguments arguments_;
  HttpClient http_;
  StoreClient store_;
  OperatorClient client_;
};

struct Command {
  std::string_view name;
  Task<int> (Commands::*run)();
};
constexpr std::array<Command, 6> kCommands = {{{"check", &Commands::Check},
                                               {"apply", &Commands::ApplyFile},
                                               {"diff", &Commands::Diff},
                                               {"export", &Commands::Export},
                                               {"status", &Commands::ShowStatus},
                                               {"drain", &Commands::Drain}}};

int RunCommand(Arguments arguments, const StoreProtocol& protocol, Task<int> (Commands::*run)()) {
  WorkerPool pool(1);
  Commands commands(std::move(arguments), protocol);
  int status = kExitRefused;
  const auto run_and_stop = [&]() -> Task<> {
    status = co_await (commands.*run)();
    pool.Stop();
  };
  pool.Spawn(run_and_stop());
  pool.Run();
  return status;
}

cxxopts::Options MakeOptions(const std::string& program, const std::string& purpose) {
  cxxopts::Options options(program, purpose);
  options.add_options()("h,help", "show this help")("version", "show the version")(
      "store", "address of the platform's metadata store",
      cxxopts::value<std::string>()->default_value(""))("json", "print JSON")(
      "positional", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"positional"});
  return options;
}

// Reads the options that both programs have. Returns nothing if the program has nothing more to do;
// `status` is then its exit status.
std::optional<Arguments> ReadArguments(const cxxopts::Options& options,
                                       const cxxopts::ParseResult& parsed, int* status) {
  *status = kExitDone;
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return std::nullopt;
  }
  if (parsed.count("version") > 0) {
    std::cout << kVersion << '\n';
    return std::nullopt;
  }
  Arguments arguments;
  if (parsed.count("positional") > 0) {
    arguments.positional = parsed["positional"].as<std::vector<std::string>>();
  }
  arguments.json = parsed.count("json") > 0;
  const auto store = parsed["store"].as<std::string>();
  if (!store.empty()) {
    Findings findings;
    JsonDecoder("--store", "", UnknownMembers::kReject, findings)
        .Read(Json::Value(store), "", arguments.store);
    PrintFindings(findings, std::cerr);
    if (!findings.empty()) {
      *status = kExitInvalid;
      return std::nullopt;
    }
  }
  return arguments;
}

}  // namespace

int RunControlCommand(int argc, char** argv, const StoreProtocol& protocol) {
  auto options = MakeOptions("dn-ctl", "Controls a dandelionnotch system and prints its state.");
  options.positional_help("check|apply|diff FILE | export | status | drain INSTANCE");
  options.add_options()(
      "wait", "apply: milliseconds to wait until the configuration is active on all instances",
      cxxopts::value<int>()->default_value("0"));
  try {
    const auto parsed = options.parse(argc, argv);
    int status = kExitDone;
    auto arguments = ReadArguments(options, parsed, &status);
    if (!arguments) return status;
    arguments->wait = Duration(parsed["wait"].as<int>());
    for (const Command& command : kCommands) {
      if (!arguments->positional.empty() && arguments->positional[0] == command.name) {
        return RunCommand(std::move(*arguments), protocol, command.run);
      }
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitInvalid;
  }
  std::cerr << options.help();
  return kExitInvalid;
}

int RunTimelineCommand(int argc, char** argv, const StoreProtocol& protocol) {
  auto options =
      MakeOptions("dn-timeline", "Merges the events of all instances into one timeline.");
  const auto text = cxxopts::value<std::string>()->default_value("");
  options.add_options()("instance", "only events of this instance", text)(
      "kind", "only events of this kind", text)(
      "subject", "only events whose subject contains this text", text)(
      "html", "write an HTML page to this file", text);
  try {
    const auto parsed = options.parse(argc, argv);
    int status = kExitDone;
    auto arguments = ReadArguments(options, parsed, &status);
    if (!arguments) return status;
    arguments->filter = {.instance = parsed["instance"].as<std::string>(),
                         .kind = parsed["kind"].as<std::string>(),
                         .subject = parsed["subject"].as<std::string>()};
    arguments->html = parsed["html"].as<std::string>();
    return RunCommand(std::move(*arguments), protocol, &Commands::ShowTimeline);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitInvalid;
  }
}

}  // namespace dn
