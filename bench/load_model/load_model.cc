// Simulates workers and job arrivals, and computes the results.
#include "bench/load_model/load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace dn::bench {
namespace {

constexpr int kLatencyCriticalImages = 5;
constexpr int kBestEffortImages = 9;
constexpr std::int64_t kTargetMs = 150;  // Latency target of latency-critical tasks.
constexpr Duration kWorkStep{20};        // Time step of the simulated work.
constexpr Duration kPlanPeriod{10};      // Time between calls of Shard::Plan().
constexpr Duration kAppendTime{8};       // Time to append a batch of records.
constexpr Duration kRoundTrip{2};        // Network round trip within a region.
constexpr Duration kLatencyCriticalStartTime{320};
constexpr Duration kReportLag{500};  // Time constant of the averaging of reported latencies.
constexpr Duration kStopTime{150};   // From a stop order to the end of the run.
constexpr double kMeanLoad = 0.48;   // Mean share of its cores that a latency-critical task uses.
constexpr double kLoadAmplitude = 0.5;  // Relative to the mean load.
constexpr double kLoadPeriodMs = 20'000;
// Tail latency of an idle latency-critical task relative to its target.
constexpr double kIdleLatencyShare = 1.0 / 6;
constexpr double kHeavyPairShare = 0.12;       // Share of image pairs with heavy interference.
constexpr double kHeavyInterference = 0.02;    // Mean added utilisation per core.
constexpr double kLightInterference = 0.0025;  // Maximum added utilisation per core.
constexpr double kOverTargetWeight = 4;        // Weight of the time over target in the score.
constexpr double kLateValue = 0.15;            // Share of its value that a late job earns.
constexpr int kLateFactor = 3;  // Latest end of a late job, in multiples of its objective.
constexpr int kRackSize = 8;
constexpr std::int64_t kCores = 64;
constexpr std::int64_t kMemoryMb = 256'000;
constexpr std::uint64_t kSeedMultiplier = 100'000'007;  // Larger than all identifiers of jobs.
// Added to a job's identifier to seed the gap before its arrival.
constexpr JobId kArrivalIdOffset = 10'000'000;
constexpr JobId kFirstLaterLatencyCriticalId = 500'000;
constexpr JobId kFirstBestEffortId = 1'000'000;
constexpr JobId kFirstUrgentId = 2'000'000;
constexpr Duration kProgressCheckPeriod{100};  // Time between two searches for jobs without a run.

// A simulated run of a task.
struct SimRun {
  int run = 0;
  double remaining_ms = 0;  // Remaining work, in milliseconds at full speed.
  double total_ms = 0;
  double checkpointed_ms = 0;  // Work that the last checkpoint contains.
  int speed_percent = 100;
  double reported_latency = 0;  // Latency-critical tasks: relative to the target, averaged.
  double cores = 0;             // Other tasks: cores in use.
  double over_target_ms = 0;    // Current continuous time over target.
  Time started{};
  Time stops_at = Time::max();
};

struct SimWorker {
  WorkerEntry entry;
  bool lost = false;
  bool failing = false;
  bool stalled = false;
  bool slow = false;
  std::map<TaskKey, SimRun> running;
  std::vector<ReportedEnd> ends;
  std::int64_t next_end = 1;
  std::uint64_t renewal_id = 0;  // Number of the pending renewal; 0 if none.
};

struct SimJob {
  AcceptedJob accepted;
  double task_ms = 0;  // Actual run time of its tasks, before variation by run.
  bool always_fails = false;
  std::optional<Time> cancelled;
  std::optional<Time> first_start;
  std::optional<Time> finished_at;
  std::set<TaskKey> done;                 // Tasks of which a run has ended as done.
  std::optional<Time> without_run_since;  // See LoadResultFields::longest_without_run_ms.
};

// One simulation: the shard under test, its workers, jobs and pending events.
class Simulation {
 public:
  Simulation(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed)
      : pattern_(pattern), seed_(seed), run_random_(seed), shard_(policy, 1) {
    Random random(seed);
    for (auto& row : interference_) {
      for (double& cell : row) {
        cell = Bernoulli(random, kHeavyPairShare) ? kHeavyInterference * (0.5 + Uniform(random))
                                                  : kLightInterference * Uniform(random);
      }
    }
    if (pattern_->overload_control) shard_.SetSharedServices({"s"});
    for (int i = 0; i < pattern_->workers; ++i) AddWorker(i);
    for (int i = 0; i < pattern_->latency_critical_jobs; ++i)
      SubmitLatencyCritical(static_cast<JobId>(i) + 1);
    ScheduleArrivals(kFirstBestEffortId,
                     [this] { return pattern_->best_effort_jobs_per_second * BurstFactor(); });
    ScheduleArrivals(kFirstUrgentId, [this] { return pattern_->urgent_jobs_per_second; });
    if (pattern_->latency_critical_jobs_per_second > 0) {
      ScheduleArrivals(kFirstLaterLatencyCriticalId,
                       [this] { return pattern_->latency_critical_jobs_per_second; });
    }
    const Time third{pattern_->length / 3};
    ScheduleAt(third, [this] { SetWorkerFaults(true); });
    ScheduleAt(2 * third.time_since_epoch() + Time(), [this] { SetWorkerFaults(false); });
    ScheduleAt(Time(), [this] { Plan(); });
    ScheduleAt(Time(), [this] { RunAllWorkers(); });
    ScheduleAt(Time(), [this] { CheckProgress(); });
  }

  LoadResult Simulate(double* shard_seconds) {
    const Time end{pattern_->length + pattern_->drain};
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    if (shard_seconds != nullptr) *shard_seconds = shard_time_.count();
    return Result();
  }

 private:
  using Event = std::function<void()>;

  using Random = std::mt19937_64;

  static double Uniform(Random& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  static bool Bernoulli(Random& random, double share) { return Uniform(random) < share; }
  static double LogNormal(Random& random, double mean, double spread) {
    return mean * std::exp(spread * std::normal_distribution<double>(0, 1)(random));
  }
  // Returns the generator of one job. Its numbers depend neither on the shard's decisions
  // nor on other jobs.
  Random JobRandom(JobId id) const { return Random(seed_ * kSeedMultiplier + id); }
  void ScheduleAt(Time time, Event event) { events_.emplace(time, std::move(event)); }
  void ScheduleAfter(Duration delay, Event event) { ScheduleAt(now_ + delay, std::move(event)); }

  // Calls the shard and adds the elapsed time to the total.
  template <class F>
  auto CallShard(F&& call) {
    struct Clock {
      Simulation& simulation;
      std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
      ~Clock() { simulation.shard_time_ += std::chrono::steady_clock::now() - start; }
    } clock{*this};
    return call();
  }

  double BurstFactor() const {
    const Duration since = now_.time_since_epoch();
    const bool middle = since >= pattern_->length / 3 && since < pattern_->length * 2 / 3;
    return middle ? pattern_->burst_factor : 1;
  }

  void AddWorker(int index) {
    const std::int64_t size = index % 3 == 2 ? 3 : 2;  // Every third worker is 1.5 times as large.
    SimWorker& worker = workers_[{"w" + std::to_string(index)}];
    worker.entry = WorkerEntry(
        {.id = {"w" + std::to_string(index)},
         .service = "s",
         .address = {"127.0.0.1", 1},
         .start_time_ms = 1,
         .capacity = {.millicores = kCores * 500 * size, .memory_mb = kMemoryMb / 2 * size},
         .rack = "r" + std::to_string(index / kRackSize)});
    CallShard([&] { shard_.WorkerListed(worker.entry, now_); });
    Renew(worker);
  }

  void ScheduleArrivals(JobId next, const std::function<double()>& rate) {
    Random random = JobRandom(kArrivalIdOffset + next);
    const double gap = std::exponential_distribution<double>(std::max(rate(), 0.01))(random);
    const Time at = now_ + Duration(static_cast<std::int64_t>(gap * 1'000));
    if (at.time_since_epoch() > pattern_->length) return;
    ScheduleAt(at, [this, next, rate] {
      SubmitNext(next);
      ScheduleArrivals(next + 1, rate);
    });
  }

  // Submits a job of the kind that the range of its identifier stands for.
  void SubmitNext(JobId id) {
    if (id >= kFirstUrgentId) {
      SubmitUrgent(id);
    } else if (id >= kFirstBestEffortId) {
      SubmitBestEffort(id);
    } else {
      SubmitLatencyCritical(id);
    }
  }

  void Submit(JobId id, const QueueFields& queue, const std::vector<StepFields>& steps,
              double task_ms) {
    std::vector<StepSpec> specs(steps.begin(), steps.end());
    SimJob& job = jobs_[id];
    job.accepted = AcceptedJob({.id = id,
                                .queue = Queue(queue),
                                .accepted_ms = now_.time_since_epoch().count(),
                                .spec = JobSpec({.payload = "p", .steps = std::move(specs)})});
    job.task_ms = task_ms;
    CallShard([&] { shard_.Accept(job.accepted, now_); });
  }

  // A log-normal distribution, limited to `largest`.
  struct Distribution {
    double mean;
    double spread;
    double largest;
  };
  static std::int64_t DrawInteger(Random& random, const Distribution& size) {
    const double sample = std::min(LogNormal(random, size.mean, size.spread), size.largest);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(sample));
  }
  static StepFields DrawStep(Random& random, const Distribution& count,
                             const Distribution& millicores, const Distribution& memory_mb) {
    StepFields step;
    step.count = static_cast<int>(DrawInteger(random, count));
    step.demand.millicores = DrawInteger(random, millicores);
    step.demand.memory_mb = DrawInteger(random, memory_mb);
    return step;
  }

  void SubmitLatencyCritical(JobId id) {
    Random random = JobRandom(id);
    StepFields step = DrawStep(random, {6, 0.4, 12}, {13'000, 0.25, 20'000}, {26'000, 0.3, 51'000});
    step.long_running = true;
    step.image = "serving-" + std::to_string(id % kLatencyCriticalImages);
    step.target_latency_ms = kTargetMs;
    if (Bernoulli(random, 0.5)) step.max_per_worker = 2;
    Submit(id, {.name = "serving", .service = "s", .max_attempts = 2}, {step}, 0);
    if (pattern_->latency_critical_stay <= Duration(0)) return;
    const double per_ms = 1.0 / static_cast<double>(pattern_->latency_critical_stay.count());
    const double stay_ms = std::exponential_distribution<double>(per_ms)(random);
    CancelAfter(Duration(static_cast<std::int64_t>(stay_ms)), id);
  }

  void CancelAfter(Duration delay, JobId id) {
    ScheduleAfter(delay, [this, id] {
      jobs_[id].cancelled = now_;
      CallShard([&] { shard_.Cancel(id, now_); });
    });
  }

  // Returns one step, or two of which the second depends on the first.
  std::vector<StepFields> Chain(Random& random, const StepFields& step) {
    std::vector<StepFields> steps = {step};
    if (Bernoulli(random, 0.6)) {
      steps.push_back(step);
      steps.back().after = {0};
    }
    return steps;
  }

  void SubmitBestEffort(JobId id) {
    Random random = JobRandom(id);
    StepFields step = DrawStep(random, {8, 0.6, 32}, {7'000, 0.3, 14'000}, {13'000, 0.3, 26'000});
    step.best_effort = true;
    step.checkpointing = Bernoulli(random, 0.85);
    step.image = "fill-" + std::to_string(static_cast<int>(Uniform(random) * kBestEffortImages));
    const double task_ms = std::min(LogNormal(random, 2'200, 0.5), 5'400.0);
    step.estimate_ms = Estimate(random, task_ms);
    Submit(id,
           {.name = "fill",
            .service = "s",
            .priority = 2,
            .max_attempts = 4,
            .stretch = 2,
            .target_latency_ms = 1'000},
           Chain(random, step), task_ms);
    jobs_[id].always_fails = Bernoulli(random, pattern_->always_failing_share);
    if (Bernoulli(random, pattern_->cancelled_share)) {
      CancelAfter(Duration(1'000), id);
    }
  }

  void SubmitUrgent(JobId id) {
    Random random = JobRandom(id);
    StepFields step = DrawStep(random, {6, 0.8, 36}, {4'600, 0.45, 14'000}, {9'200, 0.3, 18'000});
    const double task_ms = std::min(LogNormal(random, 1'000, 0.5), 2'500.0);
    step.estimate_ms = Estimate(random, task_ms);
    Submit(id,
           {.name = "urgent",
            .service = "s",
            .max_attempts = 2,
            .stretch = 1.5,
            .target_latency_ms = 500},
           Chain(random, step), task_ms);
  }

  std::int64_t Estimate(Random& random, double task_ms) {
    const double error = pattern_->estimate_error * (2 * Uniform(random) - 1);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(task_ms * (1 + error)));
  }

  // Starts the faults of workers after the first third of the pattern and ends them after
  // the second; lost workers do not return.
  void SetWorkerFaults(bool begins) {
    int index = 0;
    const auto affected = [&](double share) {
      return index < std::lround(share * pattern_->workers);
    };
    for (auto& [id, worker] : workers_) {
      if (begins && affected(pattern_->lost_worker_share)) LoseWorker(worker);
      worker.failing = begins && affected(pattern_->failing_worker_share);
      worker.stalled = begins && affected(pattern_->stalled_worker_share);
      worker.slow = begins && affected(pattern_->slow_worker_share);
      ++index;
    }
  }

  void LoseWorker(SimWorker& worker) {
    worker.lost = true;
    worker.running.clear();
    worker.renewal_id = 0;
    constexpr Duration kDetectionTime{4'500};  // Three missed registrations.
    ScheduleAfter(kDetectionTime, [this, id = worker.entry->id] {
      CallShard([&] { shard_.WorkerUnlisted(id, now_); });
    });
  }

  void Plan() {
    auto orders = CallShard([&] {
      shard_.Plan(now_, now_.time_since_epoch().count());
      return shard_.TakeOrders(now_);
    });
    Send(orders);
    for (const Decision& decision : shard_.TakeDecisions()) {
      if (decision->waited) RecordFirstStart(decision->subject);
    }
    if (!appending_) Append();
    ScheduleAfter(kPlanPeriod, [this] { Plan(); });
  }

  void RecordFirstStart(const std::string& subject) {
    const auto id = ParseJobId(subject);
    if (id && !jobs_[id.value()].first_start) jobs_[id.value()].first_start = now_;
  }

  void Append() {
    const auto batch = std::make_shared<RecordBatch>(CallShard([&] { return shard_.TakeBatch(); }));
    if (batch->empty()) return;
    appending_ = true;
    ScheduleAfter(kAppendTime, [this, batch] {
      appending_ = false;
      auto orders = CallShard([&] {
        shard_.Recorded(*batch, now_);
        return shard_.TakeOrders(now_);
      });
      Send(orders);
      RecordEnds(*batch);
      Append();
    });
  }

  void RecordEnds(const RecordBatch& batch) {
    for (const JobProgress& progress : batch.records) {
      SimJob& job = jobs_[progress->id];
      if (progress->phase != JobPhase::kOpen && !job.finished_at) job.finished_at = now_;
    }
  }

  void Send(const Orders& orders) {
    for (const StartOrder& order : orders.starts) {
      ScheduleAfter(kRoundTrip / 2, [this, order] { Start(order); });
    }
    for (const StopOrder& order : orders.stops) {
      ScheduleAfter(kRoundTrip / 2, [this, order] {
        SimWorker& worker = workers_.at(order->worker);
        const auto found = worker.running.find(order->task);
        if (found == worker.running.end()) return;
        found->second.stops_at = std::min(found->second.stops_at, now_ + kStopTime);
      });
    }
    for (const ThrottleOrder& order : orders.throttles) {
      ScheduleAfter(kRoundTrip / 2, [this, order] {
        SimWorker& worker = workers_.at(order->worker);
        const auto found = worker.running.find(order->task);
        std::optional<OrderResponse> response;
        if (!worker.lost) response = OrderResponse({.clock = now_.time_since_epoch().count()});
        if (found != worker.running.end()) found->second.speed_percent = order->percent;
        ScheduleAfter(kRoundTrip / 2, [this, order, response] {
          CallShard([&] { shard_.ThrottleAnswered(order, response, now_); });
        });
      });
    }
  }

  void Start(const StartOrder& order) {
    SimWorker& worker = workers_.at(order->worker);
    std::optional<OrderResponse> response;
    if (!worker.lost) {
      SimRun run{.run = order->run, .started = now_};
      const StepSpec& step = StepOf(order->task);
      run.total_ms = step->long_running
                         ? 0
                         : jobs_[order->task.job].task_ms * (0.85 + 0.3 * Uniform(run_random_));
      run.checkpointed_ms = order->checkpoint.empty() ? 0 : std::stod(order->checkpoint);
      run.remaining_ms = std::max(1.0, run.total_ms - run.checkpointed_ms);
      worker.running[order->task] = run;
      ++starts_;
      response = OrderResponse({.clock = now_.time_since_epoch().count()});
    }
    ScheduleAfter(kRoundTrip / 2, [this, order, response] {
      CallShard([&] { shard_.StartAnswered(order, response, now_); });
    });
  }

  const StepSpec& StepOf(const TaskKey& key) {
    return jobs_.at(key.job).accepted->spec->steps[static_cast<std::size_t>(key.step)];
  }

  // Sends a lease renewal. The worker responds when a task ends or the wait time expires.
  void Renew(SimWorker& worker) {
    const auto renewal = CallShard([&] { return shard_.NextRenewal(worker.entry->id, now_); });
    if (worker.lost) return;
    std::erase_if(worker.ends, [&](const auto& end) { return end->number <= renewal->ends_seen; });
    const std::uint64_t renewal_id = ++last_renewal_id_;
    worker.renewal_id = renewal_id;
    const bool at_once = !worker.ends.empty();
    ScheduleAfter(
        at_once ? kRoundTrip : Duration(renewal->wait_ms) + kRoundTrip,
        [this, &worker, renewal_id, renewed_at = now_] { Report(worker, renewal_id, renewed_at); });
  }

  void Report(SimWorker& worker, std::uint64_t renewal_id, Time renewed_at) {
    if (worker.renewal_id != renewal_id || worker.lost) return;
    worker.renewal_id = 0;
    RunReportFields report{
        .clock = now_.time_since_epoch().count(), .start_time_ms = 1, .ended = worker.ends};
    for (const auto& [task, run] : worker.running) {
      const bool is_latency_critical = StepOf(task)->long_running;
      const double done = run.total_ms - run.remaining_ms;
      report.running.emplace_back(ReportedRunFields{
          .task = task,
          .run = run.run,
          .checkpoint = run.checkpointed_ms > 0 ? std::to_string(run.checkpointed_ms) : "",
          .progress_percent = is_latency_critical
                                  ? (now_ - run.started >= kLatencyCriticalStartTime ? 100 : 0)
                                  : static_cast<int>(100 * done / std::max(1.0, run.total_ms)),
          .observed = static_cast<std::int64_t>(
              is_latency_critical ? run.reported_latency * kTargetMs : run.cores * 1'000)});
    }
    const OrderResponse response({.clock = report.clock, .report = RunReport(std::move(report))});
    CallShard([&] { shard_.Reported(worker.entry->id, response, renewed_at, now_); });
    constexpr Duration kRenewalPause{25};
    ScheduleAfter(kRenewalPause, [this, &worker] { Renew(worker); });
  }

  void End(SimWorker& worker, const TaskKey& task, const SimRun& run, EndKind kind) {
    const StepSpec& step = StepOf(task);
    if (kind == EndKind::kDone) jobs_.at(task.job).done.insert(task);
    if (kind != EndKind::kDone && !step->long_running) {
      wasted_core_seconds_ += (run.total_ms - run.remaining_ms - run.checkpointed_ms) / 1'000 *
                              static_cast<double>(step->demand.millicores) / 1'000;
    }
    worker.ends.emplace_back(
        ReportedEndFields{.number = worker.next_end++,
                          .task = task,
                          .run = run.run,
                          .kind = kind,
                          .checkpoint = step->checkpointing && run.checkpointed_ms > 0
                                            ? std::to_string(run.checkpointed_ms)
                                            : ""});
    if (worker.renewal_id != 0) {
      ScheduleAfter(kRoundTrip / 2,
                    [this, &worker, renewal_id = worker.renewal_id, renewed_at = now_] {
                      Report(worker, renewal_id, renewed_at);
                    });
    }
  }

  // Measures how long open jobs have had no run although there is room.
  void CheckProgress() {
    ScheduleAfter(kProgressCheckPeriod, [this] { CheckProgress(); });
    std::set<JobId> with_run;
    std::vector<Resources> free;
    std::int64_t capacity = 0;
    std::int64_t demanded = 0;
    for (const auto& [id, worker] : workers_) {
      if (worker.lost) continue;
      Resources& left = free.emplace_back(worker.entry->capacity);
      capacity += left.millicores;
      for (const auto& [task, run] : worker.running) {
        with_run.insert(task.job);
        const Resources& demand = StepOf(task)->demand;
        left.millicores -= demand.millicores;
        left.memory_mb -= demand.memory_mb;
        demanded += demand.millicores;
      }
    }
    const bool most_is_free = demanded < capacity / 2;
    for (auto& [id, job] : jobs_) {
      const bool open = !job.cancelled && !job.finished_at && with_run.count(id) == 0;
      if (!open || !most_is_free || !FitsTwice(job, free)) {
        job.without_run_since.reset();
        continue;
      }
      if (!job.without_run_since) job.without_run_since = now_;
      longest_without_run_ms_ = std::max(
          longest_without_run_ms_, static_cast<double>((now_ - *job.without_run_since).count()));
    }
  }

  // Returns whether a task of the job is ready and has room twice in what is free by worker.
  static bool FitsTwice(const SimJob& job, const std::vector<Resources>& free) {
    const std::vector<StepSpec>& steps = job.accepted->spec->steps;
    std::size_t before = 0;  // Number of tasks of the earlier steps, which form a chain.
    for (const StepSpec& step : steps) {
      before += static_cast<std::size_t>(step->count);
      if (job.done.size() >= before) continue;
      std::int64_t fitting = 0;
      for (const Resources& left : free) {
        fitting += std::max<std::int64_t>(0, std::min(left.millicores / step->demand.millicores,
                                                      left.memory_mb / step->demand.memory_mb));
      }
      return fitting >= 2;
    }
    return false;
  }

  void RunAllWorkers() {
    for (auto& [id, worker] : workers_) {
      if (!worker.lost) RunWorker(worker);
    }
    ScheduleAfter(kWorkStep, [this] { RunAllWorkers(); });
  }

  void RunWorker(SimWorker& worker) {
    const double step_ms = static_cast<double>(kWorkStep.count());
    const double at = static_cast<double>(now_.time_since_epoch().count());
    double available = static_cast<double>(worker.entry->capacity.millicores) / 1'000;
    double demanded = 0;  // Cores that best-effort tasks could use.
    for (const auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      const double cores = static_cast<double>(step->demand.millicores) / 1'000;
      if (step->best_effort) demanded += cores * run.speed_percent / 100;
      if (!step->best_effort) available -= step->long_running ? cores * LoadAt(task, at) : cores;
    }
    const double best_effort_speed = demanded <= 0 ? 1 : std::clamp(available / demanded, 0.0, 1.0);
    std::array<double, kBestEffortImages> best_effort_cores{};  // Cores in use by image.
    for (auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      if (step->long_running) continue;
      const double cores = static_cast<double>(step->demand.millicores) / 1'000;
      run.cores = step->best_effort ? cores * best_effort_speed * run.speed_percent / 100 : cores;
      if (step->best_effort)
        best_effort_cores[static_cast<std::size_t>(step->image.back() - '0')] += run.cores;
    }
    std::vector<std::pair<TaskKey, EndKind>> ended_tasks;
    for (auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      if (run.stops_at <= now_) {
        if (step->checkpointing) run.checkpointed_ms = run.total_ms - run.remaining_ms;
        ended_tasks.emplace_back(task, EndKind::kStopped);
      } else if (step->long_running) {
        UpdateLatency(task, run, best_effort_cores, at);
      } else {
        const double cores = static_cast<double>(step->demand.millicores) / 1'000;
        const double speed = worker.stalled ? 0 : run.cores / cores * (worker.slow ? 0.25 : 1);
        run.remaining_ms -= step_ms * speed;
        constexpr double kCheckpointMs = 500;
        const double done = run.total_ms - run.remaining_ms;
        if (step->checkpointing && done - run.checkpointed_ms >= kCheckpointMs)
          run.checkpointed_ms = done;
        const bool fails = worker.failing || jobs_.at(task.job).always_fails;
        if (fails && done > 0.5 * run.total_ms) ended_tasks.emplace_back(task, EndKind::kFailed);
        if (!fails && run.remaining_ms <= 0) ended_tasks.emplace_back(task, EndKind::kDone);
      }
    }
    for (const auto& [task, kind] : ended_tasks) {
      End(worker, task, worker.running.at(task), kind);
      worker.running.erase(task);
    }
  }

  static double LoadAt(const TaskKey& task, double at_ms) {
    const double phase = static_cast<double>(task.job % 7);
    return kMeanLoad * (1 + kLoadAmplitude * std::sin(2 * M_PI * at_ms / kLoadPeriodMs + phase));
  }

  void UpdateLatency(const TaskKey& task, SimRun& run,
                     const std::array<double, kBestEffortImages>& best_effort_cores, double at) {
    const double step_ms = static_cast<double>(kWorkStep.count());
    const auto image = static_cast<std::size_t>(StepOf(task)->image.back() - '0');
    constexpr double kMaxUtilisation = 0.985;  // Keeps the latency finite.
    double used = LoadAt(task, at);
    for (std::size_t i = 0; i < kBestEffortImages; ++i)
      used += interference_[image][i] * best_effort_cores[i];
    const double latency = kIdleLatencyShare / (1 - std::min(used, kMaxUtilisation));
    // Exponential moving average with time constant kReportLag.
    run.reported_latency +=
        (latency - run.reported_latency) * step_ms / static_cast<double>(kReportLag.count());
    if (now_ - run.started < kLatencyCriticalStartTime) return;
    working_ms_ += step_ms;
    run.over_target_ms = latency > 1 ? run.over_target_ms + step_ms : 0;
    if (latency > 1) total_over_target_ms_ += step_ms;
    longest_over_target_ms_ = std::max(longest_over_target_ms_, run.over_target_ms);
  }

  LoadResult Result() const {
    LoadResultFields out{.wasted_core_seconds = wasted_core_seconds_,
                         .over_target_seconds = total_over_target_ms_ / 1'000,
                         .longest_over_target_ms = longest_over_target_ms_,
                         .starts = starts_,
                         .longest_without_run_ms = longest_without_run_ms_};
    std::vector<double> waits;
    std::array<double, 2> earned_value{};
    std::array<double, 2> total_value{};
    double latency_critical_ms = 0;  // Time that latency-critical tasks should have been at work.
    const Time end{pattern_->length + pattern_->drain};
    for (const auto& [id, job] : jobs_) {
      const StepSpec& step = job.accepted->spec->steps[0];
      if (step->long_running) {
        const Duration stay =
            job.cancelled.value_or(end).time_since_epoch() - Duration(job.accepted->accepted_ms);
        latency_critical_ms += step->count * static_cast<double>(stay.count());
        continue;
      }
      if (job.cancelled) continue;
      if (!job.finished_at) ++out.unfinished_jobs;
      const auto accepted_at = Duration(job.accepted->accepted_ms);
      if (job.first_start) {
        waits.push_back(
            static_cast<double>((job.first_start->time_since_epoch() - accepted_at).count()));
      }
      const auto steps = static_cast<double>(job.accepted->spec->steps.size());
      const double work =
          job.task_ms * steps * step->count * static_cast<double>(step->demand.millicores) / 1e6;
      const std::size_t kind = id >= kFirstUrgentId ? 1 : 0;
      // The value of a job grows with its work.
      const double job_value = 0.3 + 0.7 * work / kMeanWork[kind];
      total_value[kind] += job_value;
      if (!job.finished_at) continue;
      const double latency_ms =
          static_cast<double>((job.finished_at->time_since_epoch() - accepted_at).count());
      const double objective = job.accepted->queue->stretch * job.task_ms * steps +
                               static_cast<double>(job.accepted->queue->target_latency_ms);
      if (latency_ms <= kLateFactor * objective)
        earned_value[kind] += job_value * (latency_ms <= objective ? 1 : kLateValue);
    }
    if (total_value[0] > 0) out.best_effort_score = earned_value[0] / total_value[0];
    if (total_value[1] > 0) out.urgent_score = earned_value[1] / total_value[1];
    if (latency_critical_ms > 0) {
      out.latency_critical_score =
          (working_ms_ - kOverTargetWeight * total_over_target_ms_) / latency_critical_ms;
    }
    std::sort(waits.begin(), waits.end());
    if (!waits.empty()) {
      out.first_start_p50_ms = waits[waits.size() / 2];
      out.first_start_p95_ms = waits[waits.size() * 95 / 100];
    }
    return LoadResult(out);
  }

  // Core-seconds of a job of mean size: best-effort, urgent.
  static constexpr std::array<double, 2> kMeanWork = {220, 45};

  const LoadPattern pattern_;
  const std::uint64_t seed_;
  Random run_random_;  // Varies the run times of runs.
  Time now_{};
  std::multimap<Time, Event> events_;
  Shard shard_;
  std::map<WorkerId, SimWorker> workers_;
  std::map<JobId, SimJob> jobs_;
  // Utilisation that a core of a best-effort image adds to a latency-critical image.
  std::array<std::array<double, kBestEffortImages>, kLatencyCriticalImages> interference_{};
  bool appending_ = false;
  std::uint64_t last_renewal_id_ = 0;
  std::chrono::duration<double> shard_time_{0};
  int starts_ = 0;
  double wasted_core_seconds_ = 0;
  double working_ms_ = 0;
  double total_over_target_ms_ = 0;
  double longest_over_target_ms_ = 0;
  double longest_without_run_ms_ = 0;
};

}  // namespace

const std::vector<LoadPattern>& LoadPatterns() {
  static const std::vector<LoadPattern> kPatterns = {
      LoadPattern({.name = "steady"}),
      LoadPattern({.name = "burst of wide jobs", .burst_factor = 2}),
      LoadPattern(
          {.name = "high load", .urgent_jobs_per_second = 6, .best_effort_jobs_per_second = 9}),
      LoadPattern({.name = "many long-running jobs", .latency_critical_jobs = 52}),
      LoadPattern({.name = "long-running jobs take over from each other",
                   .latency_critical_jobs = 52,
                   .latency_critical_jobs_per_second = 1,
                   .latency_critical_stay = Duration(50'000)}),
      LoadPattern({.name = "jobs that always fail", .always_failing_share = 0.3}),
      LoadPattern({.name = "cancellation wave", .cancelled_share = 0.5}),
      LoadPattern({.name = "half the workers lost", .lost_worker_share = 0.5}),
      LoadPattern({.name = "workers fail every task", .failing_worker_share = 0.1}),
      LoadPattern({.name = "tasks make no progress", .stalled_worker_share = 0.1}),
      LoadPattern({.name = "slow workers", .slow_worker_share = 0.17}),
      LoadPattern({.name = "inaccurate estimates", .estimate_error = 0.9}),
      LoadPattern({.name = "350 workers",
                   .workers = 350,
                   .urgent_jobs_per_second = 26,
                   .best_effort_jobs_per_second = 36,
                   .latency_critical_jobs = 260}),
      LoadPattern({.name = "540 workers",
                   .workers = 540,
                   .urgent_jobs_per_second = 20,
                   .best_effort_jobs_per_second = 70,
                   .latency_critical_jobs = 400,
                   .drain = Duration(6'000)}),
      LoadPattern({.name = "burst, no overload control",
                   .length = Duration(12'000),
                   .best_effort_jobs_per_second = 9,
                   .burst_factor = 2.6}),
      LoadPattern({.name = "burst, overload control",
                   .length = Duration(12'000),
                   .best_effort_jobs_per_second = 9,
                   .burst_factor = 2.6,
                   .overload_control = true}),
      LoadPattern({.name = "long day",
                   .length = Duration(110'000),
                   .latency_critical_jobs_per_second = 0.2,
                   .latency_critical_stay = Duration(70'000),
                   .drain = Duration(14'000)}),
  };
  return kPatterns;
}

LoadResult SimulateLoad(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed,
                        double* shard_seconds) {
  return Simulation(pattern, policy, seed).Simulate(shard_seconds);
}

}  // namespace dn::bench
