// Calls between instances: the instance that receives a caller's request calls the
// owner of the job's shard. The protocol is internal to the deployment:
//   POST   /jobs            submits the accepted job in the body (record format):
//                           200 accepted, 503 refused, 504 outcome unknown
//   GET    /jobs/<id>       200 with the name of the job state, 503
//   DELETE /jobs/<id>       cancels the job: 200, 410 no such job, 503
//   GET    /queues/<name>   200 with the number of waiting jobs, 503
//   GET    /owners/<shard>  200 with the owner's address (host:port), 503
// 503 means that the called instance does not own the shard or cannot determine the
// result at present; with the body "outdated", that it may have been replaced as the
// owner or lags behind the store. 404: the request is malformed.
#pragma once

#include "job_client/job_client.h"

namespace dn {

// Handles calls of other instances from local state only; never forwards a call.
class InstanceServer {
 public:
  // `owner_of` returns the owner of a shard from the local cache.
  InstanceServer(JobService& local, std::function<Result<Endpoint>(int shard)> owner_of)
      : local_(local), owner_of_(std::move(owner_of)) {}
  Task<HttpReply> Handle(HttpCall call);

 private:
  JobService& local_;
  const std::function<Result<Endpoint>(int)> owner_of_;
};

// Client of an InstanceServer. A call returns kUnavailable if the other instance
// does not own the shard, and kOutdated if what it knows is too old to be told; after kTimeout and
// kBroken its effect is unknown.
class RemoteInstance {
 public:
  RemoteInstance(Endpoint address, HttpClient& http) : address_(std::move(address)), http_(http) {}

  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline);
  Task<Result<JobState>> StateOf(JobId id, Time deadline);
  Task<Result<bool>> Cancel(JobId id, Time deadline);
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline);
  // Address of the shard's owner as cached by the other instance.
  Task<Result<Endpoint>> OwnerOf(int shard, Time deadline);

 private:
  // Timeout of a call: an owner that has failed must not use up the caller's timeout.
  static constexpr Duration kCallTimeout{900};

  // Ends at `deadline` or after `timeout`, whichever is earlier. kUnavailable: the
  // deadline has passed and nothing was sent.
  Task<Result<HttpReply>> Call(HttpCall call, Time deadline, Duration timeout = kCallTimeout);

  const Endpoint address_;
  HttpClient& http_;
};

}  // namespace dn
