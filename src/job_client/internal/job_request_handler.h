// Serves callers that submit jobs, and the check whether this instance accepts
// new connections.
#pragma once

#include <atomic>

#include "job_client/internal/job_service.h"

namespace dn {

class JobRequestHandler {
 public:
  JobRequestHandler(JobService& service, JobProtocol protocol, DecisionLog& log)
      : service_(service), protocol_(protocol), log_(log) {}

  // Handles one request of a caller.
  Task<HttpReply> Handle(HttpCall call);
  Task<HttpReply> HandleReadiness(HttpCall call);
  // Answers each request that arrives from now on by `latest`, with a refusal if nothing else is
  // known by then: this instance is about to end.
  void AnswerBy(Time latest) { latest_answer_ms_ = latest.time_since_epoch().count(); }

 private:
  // One request, routed to its queue.
  struct Request {
    Queue queue;
    std::string job_text;  // Path after the queue's prefix: a job id or empty.
    std::string body;
    std::string id;  // Identifier that the caller gave the request; may be empty.
    Time deadline;
  };
  struct Operation {
    HttpMethod method;
    bool has_job_id;  // The path contains a job id.
    Task<HttpReply> (JobRequestHandler::*handler)(Request);
  };
  static const std::array<Operation, 4> kOperations;

  Task<HttpReply> Submit(Request request);
  Task<HttpReply> ShowState(Request request);
  Task<HttpReply> Cancel(Request request);
  Task<HttpReply> ShowWaiting(Request request);
  HttpReply ErrorReply(int status, const std::string& reason, const Findings& findings = {}) const;
  // Status 503 with a Retry-After header.
  HttpReply UnavailableReply(const std::string& reason) const;

  JobService& service_;
  const JobProtocol protocol_;
  DecisionLog& log_;
  std::atomic<std::int64_t> latest_answer_ms_{Time::max().time_since_epoch().count()};
};

}  // namespace dn
