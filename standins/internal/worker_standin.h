// Stand-in for a group of workers, each with a backend server. Records what
// ran where, and the most that each worker ever held.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller/caller.h"
#include "runtime/runtime.h"
#include "standins/internal/records.h"

namespace dn::standins {

// A group of equal workers in one availability zone.
struct WorkerGroupFields {
  ZoneName zone;
  int count = 1;
  ServiceName service;
  Duration service_time{2};  // Of one request.

  auto operator<=>(const WorkerGroupFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("zone", &WorkerGroupFields::zone),
                           Required("count", &WorkerGroupFields::count, 1, 10'000),
                           Required("service", &WorkerGroupFields::service),
                           Optional("service_time_ms", &WorkerGroupFields::service_time, 0));
  }
};
using WorkerGroup = Immutable<WorkerGroupFields>;

struct WorkerStandinSettingsFields {
  Endpoint control;
  std::string host;  // IP number for the workers' ports.
  Endpoint store;    // Where the workers register themselves.
  std::vector<WorkerGroup> groups;

  auto operator<=>(const WorkerStandinSettingsFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("control", &WorkerStandinSettingsFields::control),
                           Required("host", &WorkerStandinSettingsFields::host),
                           Required("store", &WorkerStandinSettingsFields::store),
                           Required("groups", &WorkerStandinSettingsFields::groups));
  }
};
using WorkerStandinSettings = Immutable<WorkerStandinSettingsFields>;

class WorkerStandin {
 public:
  WorkerStandin(WorkerPool& pool, WorkerStandinSettings settings)
      : pool_(pool), settings_(std::move(settings)) {}

  // Listens for all workers, then registers them.
  Result<void> Start();

 private:
  struct Book {
    WorkerFault fault;
    int requests = 0;
    int max_requests = 0;
    int max_connections = 0;
    std::vector<Execution> executions;
    std::string last_request;
  };
  struct Member {
    Member(WorkerId of, WorkerGroup in) : id(std::move(of)), group(std::move(in)) {}
    const WorkerId id;
    const WorkerGroup group;
    Shared<Book, LockRank::kHealth> book;
    Metrics metrics;
    std::unique_ptr<CallerServer> backend;
  };

  Result<void> StartMember(const WorkerGroup& group, int index);
  Task<> Serve(Member& member, CallerExchange& caller);
  Task<> Answer(Member& member, CallerExchange& caller, const Execution& execution,
                BackendFault fault, std::size_t size, std::size_t received);
  Task<HttpReply> HandleControl(HttpCall call);
  WorkerRecordings Recordings() const;
  // Registers one worker, or says that it is leaving.
  Task<> Register(Member& member, bool draining);

  WorkerPool& pool_;
  const WorkerStandinSettings settings_;
  std::vector<std::unique_ptr<Member>> members_;
  std::unique_ptr<HttpServer> control_;
  HttpClient http_;
};

}  // namespace dn::standins
