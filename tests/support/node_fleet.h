// Runs scheduler nodes as real processes. The stand-ins for the store and the workers
// run inside the test process.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"
#include "standins/standins.h"
#include "tests/support/runner.h"

namespace dn::testing {

// Owns the nodes and stand-ins of one test. The destructor kills the nodes and stops the runner.
class NodeFleet {
 public:
  // Starts `nodes` nodes and `workers` workers. The stand-ins run on `runner`.
  // `bin` is the folder that contains the programs. `more_settings`: lines that are added to the
  // settings file of each node. They take precedence over the bounds that the fleet sets.
  NodeFleet(Runner& runner, std::string bin, int nodes, int workers,
            const std::string& more_settings = {});
  ~NodeFleet();
  NodeFleet(const NodeFleet&) = delete;
  NodeFleet& operator=(const NodeFleet&) = delete;

  void Start(int node);
  void Signal(int node, int signal);
  // Waits until the node ends. Returns its exit status, 128 + the signal that ended it,
  // or -1 after `limit`.
  int WaitExit(int node, Duration limit);
  // Returns the node that owns the shard according to the store, or -1 if none does.
  int Owner();
  // Waits until all nodes are ready and one of them owns the shard. Returns false after
  // `limit`.
  Task<bool> WaitReady(Duration limit);

  // Sends a request of a caller to `node`. The status of the response is 0 if none came.
  Task<HttpReply> Call(int node, HttpMethod method, std::string path, std::string body = {});
  // Sends a request of a sibling to `node`. The status of the response is 0 if none came.
  Task<HttpReply> CallInstance(int node, HttpMethod method, std::string path);
  // Submits a job of `tasks` tasks to the nodes in turn until one accepts it. Returns
  // false after `limit`.
  Task<bool> Submit(JobId id, int tasks, Duration limit, const std::string& payload = "short");
  // Waits until a node reports the job in `state`. Returns false after `limit`.
  Task<bool> WaitState(JobId id, const std::string& state, Duration limit);
  // Cancels a job, with retries at the nodes in turn. Returns false after `limit`.
  Task<bool> Cancel(JobId id, Duration limit);

  // Adds a worker, which registers itself.
  void AddWorker();
  // Adds a worker whose registered address is that of a relay.
  void AddWorkerBehindRelay(Duration one_way_delay);
  standins::StoreStandin& store() { return store_; }
  standins::TaskWorkerStandin& worker(int index) {
    return *workers_[static_cast<std::size_t>(index)];
  }
  // Address on which `node` listens for callers.
  Endpoint front(int node) const { return nodes_[static_cast<std::size_t>(node)].front; }
  int nodes() const { return static_cast<int>(nodes_.size()); }
  // Returns the violations in the runs of all workers: two concurrent runs of a task, or
  // a run of a task that was done before.
  std::vector<std::string> Violations() const;
  // Returns the tasks that ran twice by the promise to callers, which also holds while workers are
  // cut off: two concurrent runs of a task, or a start after an earlier run of it ended as done,
  // if an owner has acknowledged that end by now and the worker's lease did not lapse before.
  std::vector<std::string> RunsTwice() const;
  // Returns the highest fencing token of all starts; 0 if there was none.
  std::int64_t HighestToken() const;
  // Returns the number of runs of all tasks of a job that have not ended.
  int CountLiveRuns(JobId id) const;
  // Returns the number of runs of all tasks of a job.
  std::size_t CountRuns(JobId id) const;
  // Returns the log that the node has written so far.
  std::string LogOf(int node) const;

 private:
  struct Node {
    std::string id;
    std::string settings;
    std::string log;
    Endpoint front;      // Listens for callers.
    Endpoint ready;      // Listens for readiness checks.
    Endpoint instances;  // Listens for sibling nodes.
    pid_t pid = -1;
  };

  void PutConfiguration(int version);
  standins::TaskWorkerStandin& NewWorker();
  // Returns the runs of each task, in order of their start.
  std::map<std::string, std::vector<standins::RunRecord>> RunsByTask() const;

  Runner& runner_;
  const std::string bin_;
  const std::string folder_;
  HttpClient http_;
  standins::StoreStandin store_;
  std::vector<std::unique_ptr<standins::TaskWorkerStandin>> workers_;
  std::vector<Node> nodes_;
};

}  // namespace dn::testing
