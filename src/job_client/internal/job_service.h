// Operations that callers of jobs can request, independent of their encoding.
#pragma once

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"

namespace dn {

// Outcome of submitting a job.
enum class SubmitOutcome {
  kAccepted,  // The job is durable.
  kRefused,   // The job is not stored and never runs.
  kUnknown,   // The job may be stored; the caller must query its state or retry.
};

// Active queue configuration of this instance.
struct QueueConfigurationViewFields {
  QueueConfiguration configuration;
  bool known = false;  // A configuration has been read.
  bool fresh = false;  // Read recently enough to report that a queue does not exist.

  friend auto operator<=>(const QueueConfigurationViewFields&,
                          const QueueConfigurationViewFields&) = default;
};
using QueueConfigurationView = Immutable<QueueConfigurationViewFields>;

// `deadline`: time after which the caller no longer waits for the result.
class JobService {
 public:
  virtual ~JobService() = default;
  virtual std::shared_ptr<const QueueConfigurationView> CurrentConfiguration() = 0;
  virtual Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) = 0;
  // kUnavailable, kOutdated: the state cannot be determined at present.
  virtual Task<Result<JobState>> StateOf(JobId id, Time deadline) = 0;
  // Returns true once the cancellation is durable or the job has ended, and false
  // if there is no such job. kUnavailable: the job is not cancelled, or the outcome
  // is unknown.
  virtual Task<Result<bool>> Cancel(JobId id, Time deadline) = 0;
  // Number of accepted jobs of `queue` of which no task has started. Errors as for StateOf.
  virtual Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) = 0;
  // Whether this instance should receive new connections.
  virtual bool Ready() = 0;
};

// Returns the queue of `host` with the longest path prefix that matches `path`, or
// null if there is none.
const Queue* FindQueue(const QueueConfiguration& configuration, std::string_view host,
                       std::string_view path);

// Encoders and decoders of one platform.
struct JobProtocol {
  // Decodes a submitted job. Returns nullopt if it is invalid; `findings` then
  // contains the location of each problem.
  std::optional<JobSpec> (*decode_job)(const std::string& body, Findings& findings) = nullptr;
  std::string (*encode_state)(JobState) = nullptr;
  std::string (*encode_waiting)(std::int64_t) = nullptr;
  std::string (*encode_problem)(const std::string& reason, const Findings& findings) = nullptr;
  // Time that the caller waits for the response.
  Duration (*caller_timeout)(const HttpCall&) = nullptr;
  // Identifier that the caller gave the request; empty if it gave none.
  std::string (*request_id)(const HttpCall&) = nullptr;
  // Path of the readiness check.
  std::string (*readiness_path)() = nullptr;
};

}  // namespace dn
