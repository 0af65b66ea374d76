// Workers, arrivals and the figures.
#include "bench/load_model/load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

namespace dn::bench {
namespace {

constexpr int kServingImages = 5;
constexpr int kFillImages = 9;
constexpr std::int64_t kTargetMs = 150;
constexpr Duration kStep{20};        // Of the work of tasks.
constexpr Duration kPlanPeriod{10};  // Shortest time between plans.
constexpr Duration kStoreAnswer{8};  // Append of records.
constexpr Duration kRoundTrip{2};    // Within a region, both ways.
constexpr Duration kServingStart{320};
constexpr Duration kLag{500};  // Age of reported figures.
constexpr Duration kStopTime{150};
constexpr double kServingLoad = 0.48;  // Mean share of its cores that a serving task uses.
constexpr double kSwing = 0.5;         // Of that load, up and down.
constexpr double kSwingMs = 20'000;
constexpr double kRestShare = 1.0 / 6;  // Tail of an idle serving task, of its target.
constexpr double kHeavyShare = 0.12;    // Of pairs of images.
constexpr double kHeavyPress = 0.02;    // Utilisation a core, on average.
constexpr double kLightPress = 0.0025;  // At most.
constexpr double kHarmWeight = 4;       // Of harmed seconds against those at work.
constexpr double kLateWorth = 0.15;
constexpr int kLateFactor = 3;
constexpr int kRackSize = 8;
constexpr std::int64_t kCores = 64;
constexpr std::int64_t kMemoryMb = 256'000;
constexpr Duration kDrainTime{20'000};            // After the last arrival.
constexpr std::uint64_t kSeedStep = 100'000'007;  // Above all identifiers of jobs.
constexpr JobId kGaps = 10'000'000;  // Added to a job's identifier for the gap before it.
constexpr JobId kFirstFill = 1'000'000;
constexpr JobId kFirstUrgent = 2'000'000;

struct SimRun {
  int run = 0;
  double work_ms = 0;  // Left, at full speed.
  double whole_ms = 0;
  double saved_ms = 0;  // Work that the last checkpoint holds.
  int pace = 100;
  double shown_tail = 0;  // Serving: share of the target, lagging.
  double cores = 0;       // Others: in use.
  double over_ms = 0;
  Time started{};
  Time stops_at = Time::max();
};

struct SimWorker {
  WorkerEntry entry;
  bool gone = false;
  bool failing = false;
  bool standing = false;
  bool slow = false;
  std::map<TaskKey, SimRun> running;
  std::vector<ReportedEnd> ends;
  std::int64_t next_end = 1;
  std::uint64_t poll = 0;  // Number of the renewal that waits; 0: none.
};

struct SimJob {
  AcceptedJob accepted;
  double task_ms = 0;  // True run time of its tasks.
  bool hopeless = false;
  std::optional<Time> cancelled;
  std::optional<Time> begun;
  std::optional<Time> over;
};

class World {
 public:
  World(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed)
      : pattern_(pattern), seed_(seed), runs_(seed), shard_(policy, 1) {
    Random random(seed);
    for (auto& row : harm_) {
      for (double& cell : row) {
        cell = Chance(random, kHeavyShare) ? kHeavyPress * (0.5 + Share(random))
                                           : kLightPress * Share(random);
      }
    }
    for (int i = 0; i < pattern_->workers; ++i) AddWorker(i);
    for (int i = 0; i < pattern_->serving_jobs; ++i) SubmitServing(static_cast<JobId>(i) + 1);
    Arrive(kFirstFill, [this] { return pattern_->fill_jobs * Burst(); });
    Arrive(kFirstUrgent, [this] { return pattern_->urgent_jobs; });
    const Time third{pattern_->length / 3};
    At(third, [this] { Strike(true); });
    At(2 * third.time_since_epoch() + Time(), [this] { Strike(false); });
    At(Time(), [this] { Plan(); });
    At(Time(), [this] { Work(); });
  }

  LoadResult Play(double* plan_seconds) {
    const Time end{pattern_->length + kDrainTime};
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    if (plan_seconds != nullptr) *plan_seconds = decided_.count();
    return Result();
  }

 private:
  using Event = std::function<void()>;

  using Random = std::mt19937_64;

  static double Share(Random& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  static bool Chance(Random& random, double share) { return Share(random) < share; }
  static double About(Random& random, double mean, double spread) {
    return mean * std::exp(spread * std::normal_distribution<double>(0, 1)(random));
  }
  // Of one job: the same whatever the shard does and whatever other jobs come.
  Random RandomOf(JobId id) const { return Random(seed_ * kSeedStep + id); }
  void At(Time time, Event event) { events_.emplace(time, std::move(event)); }
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }

  // Measures what the shard itself spends.
  template <class F>
  auto Decide(F&& call) {
    struct Clock {
      World& world;
      std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
      ~Clock() { world.decided_ += std::chrono::steady_clock::now() - began; }
    } clock{*this};
    return call();
  }

  double Burst() const {
    const Duration since = now_.time_since_epoch();
    const bool middle = since >= pattern_->length / 3 && since < pattern_->length * 2 / 3;
    return middle ? pattern_->burst_factor : 1;
  }

  void AddWorker(int index) {
    const std::int64_t size = index % 3 == 2 ? 3 : 2;  // Every third is half as large again.
    SimWorker& worker = workers_[{"w" + std::to_string(index)}];
    worker.entry = WorkerEntry(
        {.id = {"w" + std::to_string(index)},
         .service = "s",
         .address = {"127.0.0.1", 1},
         .start_time_ms = 1,
         .capacity = {.millicores = kCores * 500 * size, .memory_mb = kMemoryMb / 2 * size},
         .rack = "r" + std::to_string(index / kRackSize)});
    Decide([&] { shard_.WorkerListed(worker.entry, now_); });
    Renew(worker);
  }

  void Arrive(JobId next, const std::function<double()>& rate) {
    Random random = RandomOf(kGaps + next);
    const double gap = std::exponential_distribution<double>(std::max(rate(), 0.01))(random);
    const Time at = now_ + Duration(static_cast<std::int64_t>(gap * 1'000));
    if (at.time_since_epoch() > pattern_->length) return;
    At(at, [this, next, rate] {
      next >= kFirstUrgent ? SubmitUrgent(next) : SubmitFill(next);
      Arrive(next + 1, rate);
    });
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
    Decide([&] { shard_.Accept(job.accepted, now_); });
  }

  // A size that is spread about its mean, with its largest value.
  struct Size {
    double mean;
    double spread;
    double largest;
  };
  static std::int64_t Draw(Random& random, const Size& size) {
    const double drawn = std::min(About(random, size.mean, size.spread), size.largest);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(drawn));
  }
  static StepFields DrawStep(Random& random, const Size& count, const Size& millicores,
                             const Size& memory_mb) {
    StepFields step;
    step.count = static_cast<int>(Draw(random, count));
    step.demand.millicores = Draw(random, millicores);
    step.demand.memory_mb = Draw(random, memory_mb);
    return step;
  }

  void SubmitServing(JobId id) {
    Random random = RandomOf(id);
    StepFields step = DrawStep(random, {6, 0.4, 12}, {13'000, 0.25, 20'000}, {26'000, 0.3, 51'000});
    step.long_running = true;
    step.image = "serving-" + std::to_string(id % kServingImages);
    step.target_latency_ms = kTargetMs;
    if (Chance(random, 0.5)) step.max_per_worker = 2;
    Submit(id, {.name = "serving", .service = "s", .max_attempts = 2}, {step}, 0);
  }

  // One or two steps, one after the other.
  std::vector<StepFields> Chain(Random& random, const StepFields& step) {
    std::vector<StepFields> steps = {step};
    if (Chance(random, 0.6)) {
      steps.push_back(step);
      steps.back().after = {0};
    }
    return steps;
  }

  void SubmitFill(JobId id) {
    Random random = RandomOf(id);
    StepFields step = DrawStep(random, {8, 0.6, 32}, {7'000, 0.3, 14'000}, {13'000, 0.3, 26'000});
    step.best_effort = true;
    step.checkpointing = Chance(random, 0.85);
    step.image = "fill-" + std::to_string(static_cast<int>(Share(random) * kFillImages));
    const double task_ms = std::min(About(random, 2'200, 0.5), 5'400.0);
    step.estimate_ms = Estimate(random, task_ms);
    Submit(id,
           {.name = "fill",
            .service = "s",
            .priority = 2,
            .max_attempts = 4,
            .stretch = 2,
            .target_latency_ms = 1'000},
           Chain(random, step), task_ms);
    jobs_[id].hopeless = Chance(random, pattern_->hopeless_share);
    if (Chance(random, pattern_->cancelled_share)) {
      After(Duration(1'000), [this, id] {
        jobs_[id].cancelled = now_;
        Decide([&] { shard_.Cancel(id, now_); });
      });
    }
  }

  void SubmitUrgent(JobId id) {
    Random random = RandomOf(id);
    StepFields step = DrawStep(random, {6, 0.8, 36}, {4'600, 0.45, 14'000}, {9'200, 0.3, 18'000});
    const double task_ms = std::min(About(random, 1'000, 0.5), 2'500.0);
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
    const double error = pattern_->run_time_error * (2 * Share(random) - 1);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(task_ms * (1 + error)));
  }

  // Troubles of workers begin after a third and end after two.
  void Strike(bool begins) {
    int index = 0;
    const auto first = [&](double share) { return index < std::lround(share * pattern_->workers); };
    for (auto& [id, worker] : workers_) {
      if (begins && first(pattern_->lost_worker_share)) Lose(worker);
      worker.failing = begins && first(pattern_->failing_worker_share);
      worker.standing = begins && first(pattern_->standing_worker_share);
      worker.slow = begins && first(pattern_->slow_worker_share);
      ++index;
    }
  }

  void Lose(SimWorker& worker) {
    worker.gone = true;
    worker.running.clear();
    worker.poll = 0;
    constexpr Duration kNoticed{4'500};  // Three missed registrations.
    After(kNoticed,
          [this, id = worker.entry->id] { Decide([&] { shard_.WorkerUnlisted(id, now_); }); });
  }

  void Plan() {
    auto orders = Decide([&] {
      shard_.Plan(now_, now_.time_since_epoch().count());
      return shard_.TakeOrders(now_);
    });
    Send(orders);
    for (const Decision& decision : shard_.TakeDecisions()) {
      if (decision->waited) NoteBegun(decision->subject);
    }
    if (!appending_) Append();
    After(kPlanPeriod, [this] { Plan(); });
  }

  void NoteBegun(const std::string& subject) {
    const auto id = ParseJobId(subject);
    if (id && !jobs_[id.value()].begun) jobs_[id.value()].begun = now_;
  }

  void Append() {
    const auto batch = std::make_shared<RecordBatch>(Decide([&] { return shard_.TakeBatch(); }));
    if (batch->empty()) return;
    appending_ = true;
    After(kStoreAnswer, [this, batch] {
      appending_ = false;
      auto orders = Decide([&] {
        shard_.Recorded(*batch, now_);
        return shard_.TakeOrders(now_);
      });
      Send(orders);
      NoteStates(*batch);
      Append();
    });
  }

  void NoteStates(const RecordBatch& batch) {
    for (const JobProgress& progress : batch.records) {
      SimJob& job = jobs_[progress->id];
      if (progress->phase != JobPhase::kOpen && !job.over) job.over = now_;
    }
  }

  void Send(const Orders& orders) {
    for (const StartOrder& order : orders.starts) {
      After(kRoundTrip / 2, [this, order] { Start(order); });
    }
    for (const StopOrder& order : orders.stops) {
      After(kRoundTrip / 2, [this, order] {
        SimWorker& worker = workers_.at(order->worker);
        const auto found = worker.running.find(order->task);
        if (found == worker.running.end()) return;
        found->second.stops_at = std::min(found->second.stops_at, now_ + kStopTime);
      });
    }
    for (const ThrottleOrder& order : orders.throttles) {
      After(kRoundTrip / 2, [this, order] {
        SimWorker& worker = workers_.at(order->worker);
        const auto found = worker.running.find(order->task);
        if (found != worker.running.end()) found->second.pace = order->percent;
      });
    }
  }

  void Start(const StartOrder& order) {
    SimWorker& worker = workers_.at(order->worker);
    std::optional<OrderResponse> answer;
    if (!worker.gone) {
      SimRun run{.run = order->run, .started = now_};
      const StepSpec& step = StepOf(order->task);
      run.whole_ms =
          step->long_running ? 0 : jobs_[order->task.job].task_ms * (0.85 + 0.3 * Share(runs_));
      run.saved_ms = order->checkpoint.empty() ? 0 : std::stod(order->checkpoint);
      run.work_ms = std::max(1.0, run.whole_ms - run.saved_ms);
      worker.running[order->task] = run;
      ++starts_;
      answer = OrderResponse({.clock = now_.time_since_epoch().count()});
    }
    After(kRoundTrip / 2,
          [this, order, answer] { Decide([&] { shard_.StartAnswered(order, answer, now_); }); });
  }

  const StepSpec& StepOf(const TaskKey& key) {
    return jobs_.at(key.job).accepted->spec->steps[static_cast<std::size_t>(key.step)];
  }

  // The renewal waits at the worker until a task ends or its time is over.
  void Renew(SimWorker& worker) {
    const auto renewal = Decide([&] { return shard_.NextRenewal(worker.entry->id, now_); });
    if (worker.gone) return;
    std::erase_if(worker.ends, [&](const auto& end) { return end->number <= renewal->ends_seen; });
    const std::uint64_t poll = ++last_poll_;
    worker.poll = poll;
    const bool at_once = !worker.ends.empty();
    After(at_once ? kRoundTrip : Duration(renewal->wait_ms) + kRoundTrip,
          [this, &worker, poll, asked = now_] { Report(worker, poll, asked); });
  }

  void Report(SimWorker& worker, std::uint64_t poll, Time asked) {
    if (worker.poll != poll || worker.gone) return;
    worker.poll = 0;
    RunReportFields report{
        .clock = now_.time_since_epoch().count(), .start_time_ms = 1, .ended = worker.ends};
    for (const auto& [task, run] : worker.running) {
      const bool serving = StepOf(task)->long_running;
      const double done = run.whole_ms - run.work_ms;
      report.running.emplace_back(ReportedRunFields{
          .task = task,
          .run = run.run,
          .checkpoint = run.saved_ms > 0 ? std::to_string(run.saved_ms) : "",
          .progress_percent = serving ? (now_ - run.started >= kServingStart ? 100 : 0)
                                      : static_cast<int>(100 * done / std::max(1.0, run.whole_ms)),
          .observed =
              static_cast<std::int64_t>(serving ? run.shown_tail * kTargetMs : run.cores * 1'000)});
    }
    const OrderResponse answer({.clock = report.clock, .report = RunReport(std::move(report))});
    Decide([&] { shard_.Reported(worker.entry->id, answer, asked, now_); });
    constexpr Duration kPause{25};
    After(kPause, [this, &worker] { Renew(worker); });
  }

  void End(SimWorker& worker, const TaskKey& task, const SimRun& run, EndKind kind) {
    const StepSpec& step = StepOf(task);
    if (kind != EndKind::kDone && !step->long_running) {
      wasted_ += (run.whole_ms - run.work_ms - run.saved_ms) / 1'000 *
                 static_cast<double>(step->demand.millicores) / 1'000;
    }
    worker.ends.emplace_back(ReportedEndFields{
        .number = worker.next_end++,
        .task = task,
        .run = run.run,
        .kind = kind,
        .checkpoint = step->checkpointing && run.saved_ms > 0 ? std::to_string(run.saved_ms) : ""});
    if (worker.poll != 0) {
      After(kRoundTrip / 2,
            [this, &worker, poll = worker.poll, asked = now_] { Report(worker, poll, asked); });
    }
  }

  void Work() {
    for (auto& [id, worker] : workers_) {
      if (!worker.gone) WorkOn(worker);
    }
    After(kStep, [this] { Work(); });
  }

  void WorkOn(SimWorker& worker) {
    const double step_ms = static_cast<double>(kStep.count());
    const double at = static_cast<double>(now_.time_since_epoch().count());
    double left = static_cast<double>(worker.entry->capacity.millicores) / 1'000;
    double wanted = 0;  // By fills.
    for (const auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      const double cores = static_cast<double>(step->demand.millicores) / 1'000;
      if (step->best_effort) wanted += cores * run.pace / 100;
      if (!step->best_effort) left -= step->long_running ? cores * LoadAt(task, at) : cores;
    }
    const double fill_speed = wanted <= 0 ? 1 : std::clamp(left / wanted, 0.0, 1.0);
    std::array<double, kFillImages> fills{};  // Cores in use by image.
    for (auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      if (step->long_running) continue;
      const double cores = static_cast<double>(step->demand.millicores) / 1'000;
      run.cores = step->best_effort ? cores * fill_speed * run.pace / 100 : cores;
      if (step->best_effort) fills[static_cast<std::size_t>(step->image.back() - '0')] += run.cores;
    }
    std::vector<std::pair<TaskKey, EndKind>> over;
    for (auto& [task, run] : worker.running) {
      const StepSpec& step = StepOf(task);
      if (run.stops_at <= now_) {
        if (step->checkpointing) run.saved_ms = run.whole_ms - run.work_ms;
        over.emplace_back(task, EndKind::kStopped);
      } else if (step->long_running) {
        Serve(task, run, fills, at);
      } else {
        const double cores = static_cast<double>(step->demand.millicores) / 1'000;
        const double speed = worker.standing ? 0 : run.cores / cores * (worker.slow ? 0.25 : 1);
        run.work_ms -= step_ms * speed;
        constexpr double kCheckpointMs = 500;
        const double done = run.whole_ms - run.work_ms;
        if (step->checkpointing && done - run.saved_ms >= kCheckpointMs) run.saved_ms = done;
        const bool fails = worker.failing || jobs_.at(task.job).hopeless;
        if (fails && done > 0.5 * run.whole_ms) over.emplace_back(task, EndKind::kFailed);
        if (!fails && run.work_ms <= 0) over.emplace_back(task, EndKind::kDone);
      }
    }
    for (const auto& [task, kind] : over) {
      End(worker, task, worker.running.at(task), kind);
      worker.running.erase(task);
    }
  }

  static double LoadAt(const TaskKey& task, double at_ms) {
    const double phase = static_cast<double>(task.job % 7);
    return kServingLoad * (1 + kSwing * std::sin(2 * M_PI * at_ms / kSwingMs + phase));
  }

  void Serve(const TaskKey& task, SimRun& run, const std::array<double, kFillImages>& fills,
             double at) {
    const double step_ms = static_cast<double>(kStep.count());
    const auto image = static_cast<std::size_t>(StepOf(task)->image.back() - '0');
    constexpr double kFull = 0.985;  // A queue that is fuller than this counts as that.
    double used = LoadAt(task, at);
    for (std::size_t i = 0; i < kFillImages; ++i) used += harm_[image][i] * fills[i];
    const double tail = kRestShare / (1 - std::min(used, kFull));
    // An average over the lag.
    run.shown_tail += (tail - run.shown_tail) * step_ms / static_cast<double>(kLag.count());
    if (now_ - run.started < kServingStart) return;
    at_work_ms_ += step_ms;
    run.over_ms = tail > 1 ? run.over_ms + step_ms : 0;
    if (tail > 1) harmed_ms_ += step_ms;
    longest_harm_ms_ = std::max(longest_harm_ms_, run.over_ms);
  }

  LoadResult Result() const {
    LoadResultFields out{.wasted_core_seconds = wasted_,
                         .harmed_seconds = harmed_ms_ / 1'000,
                         .longest_harm_ms = longest_harm_ms_,
                         .starts = starts_};
    std::vector<double> waits;
    std::array<double, 2> earned{};
    std::array<double, 2> owed{};
    double serving_tasks = 0;
    for (const auto& [id, job] : jobs_) {
      const StepSpec& step = job.accepted->spec->steps[0];
      if (step->long_running) {
        serving_tasks += step->count;
        continue;
      }
      if (job.cancelled) continue;
      if (!job.over) ++out.unfinished_jobs;
      const auto came = Duration(job.accepted->accepted_ms);
      if (job.begun) {
        waits.push_back(static_cast<double>((job.begun->time_since_epoch() - came).count()));
      }
      const auto steps = static_cast<double>(job.accepted->spec->steps.size());
      const double work =
          job.task_ms * steps * step->count * static_cast<double>(step->demand.millicores) / 1e6;
      const std::size_t kind = id >= kFirstUrgent ? 1 : 0;
      // By work, as large jobs matter more.
      const double worth = 0.3 + 0.7 * work / kMeanWork[kind];
      owed[kind] += worth;
      if (!job.over) continue;
      const double took = static_cast<double>((job.over->time_since_epoch() - came).count());
      const double objective = job.accepted->queue->stretch * job.task_ms * steps +
                               static_cast<double>(job.accepted->queue->target_latency_ms);
      if (took <= kLateFactor * objective)
        earned[kind] += worth * (took <= objective ? 1 : kLateWorth);
    }
    if (owed[0] > 0) out.fill_worth = earned[0] / owed[0];
    if (owed[1] > 0) out.urgent_worth = earned[1] / owed[1];
    const double whole_ms = static_cast<double>((pattern_->length + kDrainTime).count());
    if (serving_tasks > 0) {
      out.serving_worth = (at_work_ms_ - kHarmWeight * harmed_ms_) / (serving_tasks * whole_ms);
    }
    std::sort(waits.begin(), waits.end());
    if (!waits.empty()) {
      out.first_start_p50_ms = waits[waits.size() / 2];
      out.first_start_p95_ms = waits[waits.size() * 95 / 100];
    }
    return LoadResult(out);
  }

  // Core-seconds of a job of the mean size: fills, urgent.
  static constexpr std::array<double, 2> kMeanWork = {220, 45};

  const LoadPattern pattern_;
  const std::uint64_t seed_;
  Random runs_;  // True run times of runs.
  Time now_{};
  std::multimap<Time, Event> events_;
  Shard shard_;
  std::map<WorkerId, SimWorker> workers_;
  std::map<JobId, SimJob> jobs_;
  // Utilisation that a core of a fill image adds to a serving image.
  std::array<std::array<double, kFillImages>, kServingImages> harm_{};
  bool appending_ = false;
  std::uint64_t last_poll_ = 0;
  std::chrono::duration<double> decided_{0};
  int starts_ = 0;
  double wasted_ = 0;
  double at_work_ms_ = 0;
  double harmed_ms_ = 0;
  double longest_harm_ms_ = 0;
};

}  // namespace

const std::vector<LoadPattern>& LoadPatterns() {
  static const std::vector<LoadPattern> kPatterns = {
      LoadPattern({.name = "steady"}),
      LoadPattern({.name = "burst of wide jobs", .burst_factor = 2}),
      LoadPattern({.name = "high load", .urgent_jobs = 6, .fill_jobs = 9}),
      LoadPattern({.name = "many long-running ones", .serving_jobs = 52}),
      LoadPattern({.name = "jobs that can never be done", .hopeless_share = 0.3}),
      LoadPattern({.name = "cancellation wave", .cancelled_share = 0.5}),
      LoadPattern({.name = "half the workers lost", .lost_worker_share = 0.5}),
      LoadPattern({.name = "workers fail all they start", .failing_worker_share = 0.1}),
      LoadPattern({.name = "tasks stand still", .standing_worker_share = 0.1}),
      LoadPattern({.name = "slow workers", .slow_worker_share = 0.17}),
      LoadPattern({.name = "estimates far off", .run_time_error = 0.9}),
      LoadPattern({.name = "350 workers",
                   .workers = 350,
                   .urgent_jobs = 26,
                   .fill_jobs = 36,
                   .serving_jobs = 260}),
  };
  return kPatterns;
}

LoadResult PlayLoad(const LoadPattern& pattern, const Policy& policy, std::uint64_t seed,
                    double* plan_seconds) {
  return World(pattern, policy, seed).Play(plan_seconds);
}

}  // namespace dn::bench
