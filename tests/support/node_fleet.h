// Scheduler nodes as real processes, against stand-ins for the store and the
// workers inside the test process.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"
#include "standins/standins.h"

namespace dn::testing {

class NodeFleet {
 public:
  // `pool` must be running on other threads. `bin`: folder of the programs.
  NodeFleet(WorkerPool& pool, std::string bin, int nodes, int workers);
  ~NodeFleet();
  NodeFleet(const NodeFleet&) = delete;
  NodeFleet& operator=(const NodeFleet&) = delete;

  void Start(int node);
  void Signal(int node, int signal);
  // Exit status; -1 if it has not ended within `limit`.
  int WaitExit(int node, Duration limit);
  // Node that owns the shard, by the store's group; -1: none.
  int Owner();
  // Waits until all nodes are ready and one of them owns the shard.
  Task<bool> WaitReady(Duration limit);

  // Sends a call of a caller to `node`; the reply's status, 0 if there was none.
  Task<HttpReply> Call(int node, HttpMethod method, std::string path, std::string body = {});
  // Hands a job of `tasks` tasks in, at one node after the other, until it is
  // accepted or `limit` has passed.
  Task<bool> Submit(JobId id, int tasks, Duration limit, const std::string& payload = "short");
  // Waits until a job is shown in `state`.
  Task<bool> WaitState(JobId id, const std::string& state, Duration limit);
  Task<bool> Cancel(JobId id, Duration limit);

  standins::StoreStandin& store() { return store_; }
  standins::TaskWorkerStandin& worker(int index) {
    return *workers_[static_cast<std::size_t>(index)];
  }
  int nodes() const { return static_cast<int>(nodes_.size()); }
  // Broken promises in what all workers ran: a task twice at once, or again
  // after it was done. `lost_workers`: their runs count as ended when they died.
  std::vector<std::string> Findings() const;
  std::size_t RunsOf(JobId id) const;
  // What the node has written so far.
  std::string LogOf(int node) const;

 private:
  struct Node {
    std::string id;
    std::string settings;
    std::string log;
    Endpoint front;
    Endpoint ready;
    Endpoint instances;
    pid_t pid = -1;
  };

  void PutConfiguration(int version);

  WorkerPool& pool_;
  const std::string bin_;
  const std::string folder_;
  HttpClient http_;
  standins::StoreStandin store_;
  std::vector<std::unique_ptr<standins::TaskWorkerStandin>> workers_;
  std::vector<Node> nodes_;
};

}  // namespace dn::testing
