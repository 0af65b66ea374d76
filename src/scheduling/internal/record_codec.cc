// Compact encoding of durable records. Every record starts with the number of its format, so that a
// decoder recognises records of later formats.
#include "scheduling/internal/record_codec.h"

#include <algorithm>
#include <cmath>

namespace dn {
namespace {

constexpr std::uint64_t kFormat = 1;
// Formats of the records of crashes. They differ from `kFormat`, so that versions that know only
// the progress of jobs skip these records. The short format has the first two numbers of each task
// and no evidence; it is only read.
constexpr std::uint64_t kShortCrashesFormat = 2;
constexpr std::uint64_t kCrashesFormat = 3;
// Numbers in a record of crashes, in their order.
constexpr std::array<int RunHistoryFields::*, 6> kHistoryNumbers = {
    &RunHistoryFields::crashes,   &RunHistoryFields::isolated_run,
    &RunHistoryFields::blame,     &RunHistoryFields::last_lost_run,
    &RunHistoryFields::early_run, &RunHistoryFields::failed_run};
constexpr std::size_t kShortHistoryNumbers = 2;
constexpr std::array<bool RunHistoryFields::*, 2> kHistoryFlags = {
    &RunHistoryFields::last_isolated, &RunHistoryFields::ended_otherwise};
// Upper bounds on the counts in a record, so that a damaged record cannot cause a huge allocation:
// ten times the largest job that a request of the largest allowed size can describe.
constexpr std::uint64_t kMaxSteps = 20'000;
constexpr std::uint64_t kMaxTasks = 2'000'000;
constexpr unsigned kGroupBits = 7;
constexpr std::uint64_t kContinues = 0x80;

class Writer {
 public:
  void Number(std::uint64_t value) {
    while (value >= kContinues) {
      out_.push_back(static_cast<char>(value | kContinues));
      value >>= kGroupBits;
    }
    out_.push_back(static_cast<char>(value));
  }
  // Zigzag encoding, so that small negative numbers stay short.
  void Signed(std::int64_t value) {
    Number((static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63U));
  }
  void Text(std::string_view text) {
    Number(text.size());
    out_.append(text);
  }
  std::string Take() { return std::move(out_); }

 private:
  std::string out_;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t Number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += kGroupBits) {
      if (rest_.empty()) break;
      const auto byte = static_cast<unsigned char>(rest_.front());
      rest_.remove_prefix(1);
      value |= (byte & (kContinues - 1)) << shift;
      if (byte < kContinues) return value;
    }
    failed_ = true;
    return 0;
  }
  std::int64_t Signed() {
    const std::uint64_t raw = Number();
    return static_cast<std::int64_t>(raw >> 1U) ^ -static_cast<std::int64_t>(raw & 1U);
  }
  std::string Text() {
    const std::uint64_t size = Number();
    if (size > rest_.size()) failed_ = true;
    if (failed_) return {};
    std::string text(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return text;
  }
  // Reads a count of at most `limit`. Returns 0 after a failure.
  std::uint64_t Count(std::uint64_t limit) {
    const std::uint64_t count = Number();
    if (count > limit) failed_ = true;
    return failed_ ? 0 : count;
  }
  bool failed() const { return failed_; }
  bool complete() const { return !failed_ && rest_.empty(); }

 private:
  std::string_view rest_;
  bool failed_ = false;
};

constexpr std::array<bool StepFields::*, 6> kStepFlags = {
    &StepFields::checkpointing, &StepFields::gang,         &StepFields::same_rack,
    &StepFields::speculative,   &StepFields::long_running, &StepFields::best_effort};

void WriteStep(Writer& out, const StepSpec& step) {
  out.Signed(step->count);
  out.Signed(step->demand.millicores);
  out.Signed(step->demand.memory_mb);
  out.Signed(step->demand.accelerators);
  out.Signed(step->estimate_ms);
  std::uint64_t flags = 0;
  for (std::size_t i = 0; i < kStepFlags.size(); ++i) {
    if ((*step).*kStepFlags.at(i)) flags |= 1ULL << i;
  }
  out.Number(flags);
  out.Text(step->required_label);
  out.Text(step->data_rack);
  out.Signed(step->max_per_worker);
  out.Text(step->image);
  out.Signed(step->target_latency_ms);
  out.Signed(step->max_unavailable);
  out.Number(step->after.size());
  for (const int earlier : step->after) out.Signed(earlier);
}

StepSpec ReadStep(Reader& in) {
  StepFields step;
  step.count = static_cast<int>(in.Signed());
  step.demand.millicores = in.Signed();
  step.demand.memory_mb = in.Signed();
  step.demand.accelerators = in.Signed();
  step.estimate_ms = in.Signed();
  const std::uint64_t flags = in.Number();
  for (std::size_t i = 0; i < kStepFlags.size(); ++i) {
    step.*kStepFlags.at(i) = (flags >> i & 1U) != 0;
  }
  step.required_label = in.Text();
  step.data_rack = in.Text();
  step.max_per_worker = static_cast<int>(in.Signed());
  step.image = in.Text();
  step.target_latency_ms = in.Signed();
  step.max_unavailable = static_cast<int>(in.Signed());
  const std::uint64_t earlier = in.Count(kMaxSteps);
  for (std::uint64_t i = 0; i < earlier && !in.failed(); ++i) {
    step.after.push_back(static_cast<int>(in.Signed()));
  }
  return StepSpec(std::move(step));
}

// Whether the tasks of a job can be counted and its steps depend on earlier ones only.
bool IsConsistent(const JobSpecFields& spec) {
  if (spec.steps.empty() || spec.occurrences < 0) return false;
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step->count < 1) return false;
    tasks += static_cast<std::uint64_t>(step->count);
    const auto is_earlier = [&](int n) { return n >= 0 && static_cast<std::size_t>(n) < i; };
    if (!std::all_of(step->after.begin(), step->after.end(), is_earlier)) return false;
  }
  return tasks * static_cast<std::uint64_t>(std::max(1, spec.occurrences)) <= kMaxTasks;
}

constexpr double kStretchUnit = 1000;      // Stretch is stored in thousandths.
constexpr double kInterferenceUnit = 1e6;  // Interference estimates are stored in millionths.

// Writes only the fields that running a job needs. Host and path prefix are needed only to select
// the queue of a request.
void WriteQueue(Writer& out, const Queue& queue) {
  out.Text(queue->name);
  out.Text(queue->service);
  out.Signed(queue->priority);
  out.Signed(queue->max_attempts);
  out.Signed(std::llround(queue->stretch * kStretchUnit));
  out.Signed(queue->target_latency_ms);
  out.Number(queue->needs_advice ? 1 : 0);
}

Queue ReadQueue(Reader& in) {
  QueueFields queue;
  queue.name = in.Text();
  queue.service = in.Text();
  queue.priority = static_cast<int>(in.Signed());
  queue.max_attempts = static_cast<int>(in.Signed());
  queue.stretch = static_cast<double>(in.Signed()) / kStretchUnit;
  queue.target_latency_ms = in.Signed();
  queue.needs_advice = in.Number() != 0;
  return Queue(std::move(queue));
}

}  // namespace

std::string EncodeAcceptedJob(const AcceptedJob& job) {
  Writer out;
  out.Number(kFormat);
  out.Number(job->id);
  WriteQueue(out, job->queue);
  out.Signed(job->accepted_ms);
  const JobSpec& spec = job->spec;
  out.Text(spec->payload);
  out.Signed(spec->occurrences);
  out.Signed(spec->first_due_ms);
  out.Signed(spec->interval_ms);
  out.Number(spec->steps.size());
  for (const StepSpec& step : spec->steps) WriteStep(out, step);
  return out.Take();
}

Result<AcceptedJob> DecodeAcceptedJob(std::string_view bytes) {
  Reader in(bytes);
  if (in.Number() != kFormat) return Errc::kMalformed;
  AcceptedJobFields job;
  job.id = in.Number();
  job.queue = ReadQueue(in);
  job.accepted_ms = in.Signed();
  JobSpecFields spec;
  spec.payload = in.Text();
  spec.occurrences = static_cast<int>(in.Signed());
  spec.first_due_ms = in.Signed();
  spec.interval_ms = in.Signed();
  const std::uint64_t steps = in.Count(kMaxSteps);
  for (std::uint64_t i = 0; i < steps && !in.failed(); ++i) spec.steps.push_back(ReadStep(in));
  if (!in.complete() || !IsConsistent(spec)) return Errc::kMalformed;
  job.spec = JobSpec(std::move(spec));
  return AcceptedJob(std::move(job));
}

std::string EncodeJobProgress(const JobProgress& progress) {
  Writer out;
  out.Number(kFormat);
  out.Number(progress->id);
  out.Number(static_cast<std::uint64_t>(progress->phase));
  out.Number(progress->tasks.size());
  for (const TaskProgress& task : progress->tasks) {
    out.Number(static_cast<std::uint64_t>(task->phase));
    out.Signed(task->run);
    out.Signed(task->failures);
    if (task->phase == TaskPhase::kPlaced) {
      out.Text(task->worker);
      out.Signed(task->worker_start_time_ms);
    }
    if (task->phase != TaskPhase::kDone) out.Text(task->checkpoint);
  }
  return out.Take();
}

Result<JobProgress> DecodeJobProgress(std::string_view bytes) {
  Reader in(bytes);
  if (in.Number() != kFormat) return Errc::kMalformed;
  JobProgressFields progress;
  progress.id = in.Number();
  const std::uint64_t phase = in.Number();
  if (phase > static_cast<std::uint64_t>(JobPhase::kCancelled)) return Errc::kMalformed;
  progress.phase = static_cast<JobPhase>(phase);
  const std::uint64_t tasks = in.Count(kMaxTasks);
  for (std::uint64_t i = 0; i < tasks && !in.failed(); ++i) {
    TaskProgressFields task;
    const std::uint64_t task_phase = in.Number();
    if (task_phase > static_cast<std::uint64_t>(TaskPhase::kDone)) return Errc::kMalformed;
    task.phase = static_cast<TaskPhase>(task_phase);
    task.run = static_cast<int>(in.Signed());
    task.failures = static_cast<int>(in.Signed());
    if (task.phase == TaskPhase::kPlaced) {
      task.worker = in.Text();
      task.worker_start_time_ms = in.Signed();
    }
    if (task.phase != TaskPhase::kDone) task.checkpoint = in.Text();
    progress.tasks.emplace_back(std::move(task));
  }
  if (!in.complete()) return Errc::kMalformed;
  return JobProgress(std::move(progress));
}

namespace {

void WriteHistory(Writer& out, const RunHistory& history) {
  for (const auto number : kHistoryNumbers) out.Signed((*history).*number);
  std::uint64_t flags = 0;
  for (std::size_t i = 0; i < kHistoryFlags.size(); ++i) {
    if ((*history).*kHistoryFlags.at(i)) flags |= 1ULL << i;
  }
  out.Number(flags);
}

RunHistory ReadHistory(Reader& in, bool is_short) {
  RunHistoryFields history;
  const std::size_t numbers = is_short ? kShortHistoryNumbers : kHistoryNumbers.size();
  for (std::size_t i = 0; i < numbers; ++i) {
    history.*kHistoryNumbers.at(i) = static_cast<int>(in.Signed());
  }
  const std::uint64_t flags = is_short ? 0 : in.Number();
  for (std::size_t i = 0; i < kHistoryFlags.size(); ++i) {
    history.*kHistoryFlags.at(i) = (flags >> i & 1U) != 0;
  }
  return RunHistory(history);
}

}  // namespace

std::string CrashesKey(JobId id) { return FormatJobId(id) + ".crashes"; }

std::string EncodeJobCrashes(const JobCrashes& crashes) {
  Writer out;
  out.Number(kCrashesFormat);
  out.Number(crashes->id);
  out.Number(crashes->tasks.size());
  for (const TaskCrashes& task : crashes->tasks) {
    out.Number(task->position);
    WriteHistory(out, task->history);
  }
  return out.Take();
}

Result<JobCrashes> DecodeJobCrashes(std::string_view bytes) {
  Reader in(bytes);
  const std::uint64_t format = in.Number();
  if (format != kCrashesFormat && format != kShortCrashesFormat) return Errc::kMalformed;
  JobCrashesFields crashes;
  crashes.id = in.Number();
  const std::uint64_t tasks = in.Count(kMaxTasks);
  for (std::uint64_t i = 0; i < tasks && !in.failed(); ++i) {
    TaskCrashesFields task;
    task.position = in.Number();
    task.history = ReadHistory(in, format == kShortCrashesFormat);
    crashes.tasks.emplace_back(task);
  }
  if (!in.complete()) return Errc::kMalformed;
  return JobCrashes(std::move(crashes));
}

std::string EncodeInterference(const std::vector<InterferenceEstimate>& estimates) {
  Writer out;
  out.Number(kFormat);
  out.Number(estimates.size());
  for (const InterferenceEstimate& estimate : estimates) {
    out.Text(estimate->latency_critical_image);
    out.Text(estimate->best_effort_image);
    out.Signed(std::llround(estimate->weight * kInterferenceUnit));
    out.Signed(std::llround(estimate->variance * kInterferenceUnit));
  }
  return out.Take();
}

Result<std::vector<InterferenceEstimate>> DecodeInterference(std::string_view bytes) {
  Reader in(bytes);
  if (in.Number() != kFormat) return Errc::kMalformed;
  std::vector<InterferenceEstimate> estimates;
  const std::uint64_t count = in.Count(kMaxTasks);
  for (std::uint64_t i = 0; i < count && !in.failed(); ++i) {
    InterferenceEstimateFields estimate;
    estimate.latency_critical_image = in.Text();
    estimate.best_effort_image = in.Text();
    estimate.weight = static_cast<double>(in.Signed()) / kInterferenceUnit;
    estimate.variance = static_cast<double>(in.Signed()) / kInterferenceUnit;
    estimates.emplace_back(std::move(estimate));
  }
  if (!in.complete()) return Errc::kMalformed;
  return estimates;
}

}  // namespace dn
