// Serves callers that hand in jobs, and the check whether this instance takes
// new connections.
#pragma once

#include "job_client/internal/job_service.h"

namespace dn {

class JobFront {
 public:
  JobFront(JobService& service, JobProtocol protocol, DecisionLog& log)
      : service_(service), protocol_(protocol), log_(log) {}

  // One call of a caller.
  Task<HttpReply> Answer(HttpCall call);
  Task<HttpReply> AnswerReadiness(HttpCall call);

 private:
  // One call on a queue, decoded.
  struct Request {
    Queue queue;
    std::string job_text;  // Path after the queue's prefix.
    std::string body;
    Time deadline;
  };
  struct Method {
    HttpMethod method;
    bool names_job;
    Task<HttpReply> (JobFront::*serve)(Request);
  };
  static const std::array<Method, 4> kMethods;

  Task<HttpReply> Submit(Request request);
  Task<HttpReply> ShowState(Request request);
  Task<HttpReply> Cancel(Request request);
  Task<HttpReply> ShowWaiting(Request request);
  HttpReply Problem(int status, const std::string& reason, const Findings& findings = {}) const;
  HttpReply TryLater(const std::string& reason) const;

  JobService& service_;
  const JobProtocol protocol_;
  DecisionLog& log_;
};

}  // namespace dn
