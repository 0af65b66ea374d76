// In-memory stand-in for a worker that runs tasks. Implements fencing, leases, capacity, restarts
// and reports of ended runs, supports fault injection, and records all runs.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "standins/internal/store_standin.h"
#include "standins/internal/tcp_relay.h"

namespace dn::standins {

// Faults to inject into a worker.
struct TaskWorkerFault {
  bool dead = false;  // The process has stopped: its runs are lost.
  // The network is disconnected, but tasks continue to run. Calls wait until the fault is cleared,
  // except those that are under way when it begins.
  bool disconnected = false;
  bool unreachable = false;  // Like `disconnected`, but the worker still reaches the store.
  // Percentage of orders that are executed, but respond with status 500 after 2.5 s. Does not
  // affect renewals of the lease.
  int lost_answers_percent = 0;
  // Percentage of calls that get no response and are executed after a delay, by the incarnation
  // that is up then. A cut that begins meanwhile does not stop them.
  int late_percent = 0;
  // Range of that delay; it is spread over the calls.
  Duration shortest_delay{2'000};
  Duration longest_delay{12'000};
  bool fails_all = false;        // Every started task fails after 20 ms.
  bool unregistered = false;     // The worker does not reach the store.
  bool heartbeats_lost = false;  // The last registration stays as it is.
  bool draining = false;         // The worker has given notice in its registration.
  // Range of the fencing tokens whose owners reach the worker. Calls of other owners are executed
  // once the fault is cleared.
  std::int64_t first_token = 0;
  std::int64_t last_token = std::numeric_limits<std::int64_t>::max();
  // Text that is registered instead of the worker's own registration; empty: none.
  std::string registration;

  friend auto operator<=>(const TaskWorkerFault&, const TaskWorkerFault&) = default;
};

// One run of a task, as executed.
struct RunRecord {
  std::string worker;
  std::string task;
  int run = 0;
  std::int64_t token = 0;  // Fencing token of the order that started the run.
  int incarnation = 1;     // Of the worker; 1 is the first one.
  Time started{};
  std::optional<Time> ended;
  std::string end_reason;  // done, failed, stopped, lapsed or lost; empty while it is running.
  std::optional<Time> acknowledged;  // When an owner acknowledged the end.
  bool lease_lapsed = false;         // The worker's lease expired between the end and that time.
};

// How an incarnation of a worker ends. kCrash: its connections are closed. kPowerLoss: the callers
// learn nothing, and their connections carry nothing more.
enum class WorkerEnd { kCrash, kPowerLoss };

// Counts of the calls to a worker.
struct TaskWorkerCounts {
  int late_calls = 0;  // Received so far that get no response and are executed after a delay.
  int reports = 0;     // Responses to renewals by the current incarnation.

  friend auto operator<=>(const TaskWorkerCounts&, const TaskWorkerCounts&) = default;
};

// A call as it arrived.
struct CallRecord {
  std::string path;
  std::int64_t token = 0;  // Fencing token.
  int incarnation = 1;     // Of the worker, at the arrival.
  Time arrived{};

  friend auto operator<=>(const CallRecord&, const CallRecord&) = default;
};

// A worker of availability zone z1. A run ends at the latest when the lease expires.
class TaskWorkerStandin {
 public:
  // Creates worker `id` of `service`, which registers itself in `store`. Each task runs for
  // `task_time`, except those with the payload "long", which run until they are stopped, and those
  // with the payload "slow", which take 12 s.
  TaskWorkerStandin(WorkerPool& pool, StoreStandin& store, std::string id, std::string service,
                    Duration task_time);

  // Listens on a free port and starts the heartbeats. Error: no port is available.
  Result<> Start();
  // Like Start(), but registers the address of a relay before it, which adds `one_way_delay` in
  // each direction.
  Result<> StartBehindRelay(Duration one_way_delay);
  // Sets the longest lease that calls grant from now on, in all incarnations; it is 6 s before.
  void SetMaxLease(Duration max_lease);
  // Replaces the fault of the worker.
  void SetFault(const TaskWorkerFault& fault);
  // Ends the incarnation and all its runs. Another one with the same identifier and address follows
  // after `dark`, with a new clock and without any state. Calls that arrive in between wait for it.
  // `end` matters for a worker behind a relay; without one, connections stay open.
  void Restart(Duration dark, WorkerEnd end = WorkerEnd::kCrash);
  // All runs of all incarnations, in order of their start.
  std::vector<RunRecord> Runs() const;
  TaskWorkerCounts Counts() const;
  // All calls that have arrived, in the order of their arrival.
  std::vector<CallRecord> Calls() const;
  // The registered address.
  Endpoint address() const { return relay_ != nullptr ? relay_->address() : server_->address(); }
  // Only for a worker that is behind a relay.
  TcpRelay& relay() const { return *relay_; }
  // Violations of the capacity of this worker.
  std::vector<std::string> Findings() const;

 private:
  struct Run {
    std::size_t record = 0;  // Index into State::runs.
    Time end_time{};
    bool long_running = false;
  };
  struct State {
    int incarnation = 1;
    Time start_time{};  // Of the incarnation; in the future while the worker is restarting.
    std::int64_t start_time_ms = 0;
    std::map<std::string, Run> running;   // By task.
    std::map<std::string, int> last_run;  // Highest stopped or ended run, by task.
    std::vector<RunRecord> runs;
    std::vector<CallRecord> calls;
    // Number and index into `runs` of each end that the owner has not acknowledged.
    std::vector<std::pair<std::int64_t, std::size_t>> unacknowledged_ends;
    std::int64_t next_end_number = 1;
    std::int64_t token = 0;            // Highest fencing token received.
    std::int64_t lease_expiry_ms = 0;  // Of the lease of all runs, by LocalClockMs().
    Duration max_lease{6'000};         // A longer lease is shortened to this.
    std::int64_t sequence = 0;         // Of the last heartbeat.
    std::uint64_t order_count = 0;
    std::uint64_t call_count = 0;
    TaskWorkerCounts counts;
    TaskWorkerFault fault;
    std::vector<std::string> findings;
  };

  static constexpr int kMaxTasks = 4;  // Tasks that can run at the same time.

  Result<> StartServer();
  Task<HttpReply> Handle(HttpCall call);
  // Executes a call; nothing if it gets no response.
  Task<std::optional<HttpReply>> Execute(HttpCall call);
  // Returns the delay of the next call; nothing if it is not late.
  static std::optional<Duration> DelayOfNextCall(State& state);
  // Returns whether no incarnation is up.
  bool IsDown() const;
  // Returns whether the owner with this fencing token does not reach the worker.
  bool IsCutOff(std::int64_t token) const;
  // Renews the lease, then responds as soon as a run has ended, or after the requested wait.
  // Nothing if the incarnation ends first.
  Task<std::optional<HttpReply>> RenewLease(HttpCall call);
  HttpReply StartRun(State& state, const HttpCall& call);
  HttpReply StopRun(State& state, const HttpCall& call);
  // Acknowledges the order, but does not change the speed of the task.
  HttpReply Throttle(State& state, const HttpCall& call);
  // Ends the runs whose time has elapsed, and all runs if the lease has expired, with the times at
  // which that happened.
  static void AdvanceToNow(State& state);
  static void EndRun(State& state, const std::string& task, const std::string& end_reason,
                     Time ended);
  // Heartbeat loop: keeps the registration in the store current.
  Task<> Register();
  // Milliseconds since the start of the incarnation, plus 1.
  static std::int64_t LocalClockMs(const State& state);

  WorkerPool& pool_;
  StoreStandin& store_;
  const std::string id_;
  const std::string service_;
  const Duration task_time_;
  Shared<State, LockRank::kOrders> state_;
  std::unique_ptr<HttpServer> server_;
  std::shared_ptr<TcpRelay> relay_;  // Null: none.
};

}  // namespace dn::standins
