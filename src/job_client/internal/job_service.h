// What callers that hand in jobs can ask for, free of any encoding.
#pragma once

#include "runtime/runtime.h"
#include "scheduling/scheduling.h"

namespace dn {

// What became of a job that was handed in.
enum class SubmitOutcome {
  kAccepted,  // Durable.
  kRefused,   // Not accepted and never runs.
  kUnknown,   // May be accepted; the caller must ask again.
};

// Configuration in force at this instance.
struct CatalogueViewFields {
  QueueConfiguration catalogue;
  bool known = false;  // One was read at all.
  bool fresh = false;  // Read recently enough to deny that a queue exists.

  friend auto operator<=>(const CatalogueViewFields&, const CatalogueViewFields&) = default;
};
using CatalogueView = Immutable<CatalogueViewFields>;

class JobService {
 public:
  virtual ~JobService() = default;
  virtual std::shared_ptr<const CatalogueView> View() = 0;
  virtual Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline) = 0;
  // kUnavailable: cannot be told now.
  virtual Task<Result<JobState>> StateOf(JobId id, Time deadline) = 0;
  // Durable once it returns. False: there is no such job. kUnavailable: nothing
  // was done, or it is not known.
  virtual Task<Result<bool>> Cancel(JobId id, Time deadline) = 0;
  virtual Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline) = 0;
  // Whether new connections should come to this instance.
  virtual bool Ready() = 0;
};

// Longest prefix of `path` among the queues of `host`; null if there is none.
const Queue* FindQueue(const QueueConfiguration& catalogue, std::string_view host,
                       std::string_view path);

// Encoders and decoders of one platform.
struct JobProtocol {
  // Findings name the place of each problem.
  std::optional<JobSpec> (*job)(const std::string& body, Findings& findings) = nullptr;
  std::string (*state)(JobState) = nullptr;
  std::string (*waiting)(std::int64_t) = nullptr;
  std::string (*problem)(const std::string& reason, const Findings& findings) = nullptr;
  // How long the caller waits for an answer.
  Duration (*patience)(const HttpCall&) = nullptr;
  std::string (*ready_path)() = nullptr;
};

}  // namespace dn
