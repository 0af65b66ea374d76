// Stand-in for groups of workers, each with a backend server. Records which worker executed
// which request, and the highest load of each worker.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller/caller.h"
#include "runtime/runtime.h"
#include "standins/internal/records.h"

namespace dn::standins {

// A group of identical workers in one availability zone.
struct WorkerGroupFields {
  ZoneName zone;
  int count = 1;
  ServiceName service;
  Duration service_time{2};  // Execution time of one request, in ms.

  auto operator<=>(const WorkerGroupFields&) const = default;
  static constexpr auto Describe() {
    return std::make_tuple(Required("zone", &WorkerGroupFields::zone),
                           Required("count", &WorkerGroupFields::count, 1, 10'000),
                           Required("service", &WorkerGroupFields::service),
                           Optional("service_time_ms", &WorkerGroupFields::service_time, 0));
  }
};
using WorkerGroup = Immutable<WorkerGroupFields>;

// Settings of the stand-in process.
struct WorkerStandinSettingsFields {
  Endpoint control;  // Listening address for control calls.
  std::string host;  // IP address on which the backend servers listen.
  Endpoint store;    // Store in which the workers are registered.
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

// Runs the backend servers of all groups in one process.
class WorkerStandin {
 public:
  WorkerStandin(WorkerPool& pool, WorkerStandinSettings settings)
      : pool_(pool), settings_(std::move(settings)) {}

  // Starts the backend servers of all workers, then registers the workers. Error: an address
  // is not available.
  Result<void> Start();

 private:
  struct State {
    WorkerFault fault;
    int requests = 0;
    int max_requests = 0;
    int max_connections = 0;
    std::vector<Execution> executions;
    std::string last_request;  // Dn-Request-Id of the newest request.
  };
  struct Member {
    Member(WorkerId worker_id, WorkerGroup worker_group)
        : id(std::move(worker_id)), group(std::move(worker_group)) {}
    const WorkerId id;
    const WorkerGroup group;
    Shared<State, LockRank::kHealth> state;
    Metrics metrics;
    std::unique_ptr<CallerServer> backend;
  };

  Result<void> StartMember(const WorkerGroup& group, int index);
  // Executes one request and responds to it, subject to the fault of the worker.
  Task<> Serve(Member& member, CallerExchange& caller);
  // `size`: padding of the response body; `received`: length of the request body, both in bytes.
  Task<> SendResponse(Member& member, CallerExchange& caller, const Execution& execution,
                      BackendFault fault, std::size_t size, std::size_t received);
  Task<HttpReply> HandleControl(HttpCall call);
  WorkerRecordings Recordings() const;
  // Registers one worker as ready or as draining. Retries until the store accepts it.
  Task<> Register(Member& member, bool draining);

  WorkerPool& pool_;
  const WorkerStandinSettings settings_;
  std::vector<std::unique_ptr<Member>> members_;
  std::unique_ptr<HttpServer> control_;
  HttpClient http_;
};

}  // namespace dn::standins
