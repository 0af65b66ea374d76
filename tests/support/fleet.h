// Starts a small system of real processes on loopback and injects faults into it.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry.h"
#include "operators/operators.h"
#include "standins/standins.h"

namespace dn::testing {

// An availability zone with its numbers of entry instances and workers.
struct ZonePlan {
  RegionName region;
  ZoneName zone;
  int entries = 1;
  int workers = 1;
  bool uses_link = false;  // Its instances reach the store over the link, with its delay.
};

// The processes of a fleet and their settings. Durations are in milliseconds.
struct FleetPlan {
  std::string bin;  // Folder that contains the programs.
  std::vector<ZonePlan> zones;
  ServiceName service;
  Duration service_time{2};
  Duration link_delay{20};  // One way.
  Duration drain_grace{300};
  Duration retention{3'600'000};
};

// A process of the fleet. The destructor of Fleet kills it by its process id.
struct Process {
  std::string name;
  std::string program;
  std::string settings_path;
  pid_t pid = -1;
};

class Fleet {
 public:
  // Writes the settings of all processes and starts the link; StartAll() starts the
  // processes. `pool` runs the link and the calls; other threads must be running it.
  // Throws std::runtime_error if the link cannot be started.
  Fleet(WorkerPool& pool, FleetPlan plan);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void StartAll();
  // Waits until every instance serves requests. Returns false after `limit`.
  Task<bool> WaitServing(Duration limit);
  Task<bool> Apply(Configuration configuration);

  void Start(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Waits until the process ends. Returns its exit status, 128 + the signal that ended
  // it, or -1 after `limit`.
  Task<int> WaitExit(std::string name, Duration limit);
  void Kill(const std::string& name);

  Task<std::optional<Status>> StatusOf(std::string name);
  Task<std::vector<Status>> Statuses();
  Task<standins::WorkerRecordings> Recordings();
  Task<standins::StoreStats> StoreStatistics();
  Task<> Fault(standins::StoreFault fault);
  Task<> Fault(standins::WorkerFault fault);
  // Makes a worker announce that it is leaving.
  Task<> Leave(std::string worker);

  std::vector<Endpoint> EntryAddresses() const;
  std::vector<std::string> EntryNames() const;
  Instance instance(const std::string& name) const { return instances_.at(name); }
  Endpoint store() const { return store_; }
  pid_t pid(const std::string& name) const { return processes_.at(name).pid; }
  // Returns the log that the process has written so far.
  std::string LogOf(const std::string& name) const;
  std::uint64_t LinkBytes() const;
  void SetLink(standins::RelayMode mode);
  HttpClient& http() { return http_; }

 private:
  void Prepare();
  void PrepareInstance(const ZonePlan& zone, int index);
  void Add(const std::string& name, const std::string& program, const std::string& settings);
  Task<std::optional<std::string>> Post(Endpoint to, std::string path, std::string body);

  WorkerPool& pool_;
  const FleetPlan plan_;
  const std::string network_prefix_;  // "127.<a>.<b>."
  const std::string folder_;          // Settings and logs of the processes.
  Endpoint store_, workers_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> order_;
  std::map<std::string, Instance> instances_;
  std::shared_ptr<standins::TcpRelay> link_;
  HttpClient http_;
  int next_host_ = 10;
};

}  // namespace dn::testing
