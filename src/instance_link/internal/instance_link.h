// Calls between instances: the one that a caller reached asks the owner of the
// job's shard. Protocol of our own:
//   POST   /jobs            an accepted job (record format)   200, 503, 504
//   GET    /jobs/<id>       200 with the state's name, 503
//   DELETE /jobs/<id>       200, 410, 503
//   GET    /queues/<name>   200 with the number of waiting jobs, 503
//   GET    /owners/<shard>  200 with the owner's address, 503
#pragma once

#include "job_client/job_client.h"

namespace dn {

// Serves calls of other instances with this instance's own knowledge.
class InstanceServer {
 public:
  // `owner_of`: what is known here of a shard's owner, without asking anyone.
  InstanceServer(JobService& local, std::function<Result<Endpoint>(int shard)> owner_of)
      : local_(local), owner_of_(std::move(owner_of)) {}
  Task<HttpReply> Answer(HttpCall call);

 private:
  JobService& local_;
  const std::function<Result<Endpoint>(int)> owner_of_;
};

// The same service at another instance. A call that reaches no owner there
// returns kUnavailable; kTimeout and kBroken leave its effect unknown.
class RemoteInstance {
 public:
  RemoteInstance(Endpoint address, HttpClient& http) : address_(std::move(address)), http_(http) {}

  Task<SubmitOutcome> Submit(AcceptedJob job, Time deadline);
  Task<Result<JobState>> StateOf(JobId id, Time deadline);
  Task<Result<bool>> Cancel(JobId id, Time deadline);
  Task<Result<std::int64_t>> WaitingOf(std::string queue, Time deadline);
  Task<Result<Endpoint>> OwnerOf(int shard, Time deadline);

 private:
  // Longest call: a lost owner must not use up a caller's patience.
  static constexpr Duration kCallLimit{900};

  // Ends at the deadline or after `limit`.
  Task<Result<HttpReply>> Call(HttpMethod method, std::string path, std::string body, Time deadline,
                               Duration limit = kCallLimit);

  const Endpoint address_;
  HttpClient& http_;
};

}  // namespace dn
