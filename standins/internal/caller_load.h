// Stand-in for callers behind the platform's load balancer. Sends requests at a
// constant mean rate, validates each response and records the outcome of each request.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace dn::standins {

// Settings of the generated load. `seed` determines the send times, the methods and the
// instances that requests are sent to.
struct LoadSettings {
  std::vector<Endpoint> entries;  // Listening addresses of the instances; at least one.
  ServiceName service;
  double requests_per_second = 100;  // Mean of a Poisson process; above 0.
  // Fraction of requests that are sent as POST with an idempotency key; the others are
  // sent as GET.
  double write_share = 0.1;
  std::size_t response_bytes = 200;  // Padding that the backend server adds to its response.
  std::uint64_t seed = 1;
  Duration timeout{6000};  // Timeout of one request in ms, including connecting.

  auto operator<=>(const LoadSettings&) const = default;
};

// Outcome of a request as the caller sees it. kNotRun, kUnknown and kDuplicate are reported
// by the instance; kNotRun is also used if no instance accepts a connection.
// kBroken: the exchange failed or timed out before the response was complete.
// kWrong: the response is complete, but it does not match the request.
enum class LoadOutcome { kAnswered, kNotRun, kUnknown, kDuplicate, kBroken, kWrong };

// Outcome of one request.
struct LoadResult {
  std::string token;   // Identifies the request; sent as X-Token.
  bool write = false;  // Whether the request was sent as POST.
  LoadOutcome outcome = LoadOutcome::kBroken;
  std::string reason;  // Dn-Reason of the response, or the error that broke the exchange.
  std::int64_t latency_us = 0;

  auto operator<=>(const LoadResult&) const = default;
};

// Open-loop load generator: a slow response does not delay later requests.
class CallerLoad {
 public:
  CallerLoad(WorkerPool& pool, LoadSettings settings)
      : pool_(pool), settings_(std::move(settings)), random_(settings_.seed) {}

  // Sends requests for `duration`, then waits until all of them have completed.
  Task<> Run(Duration duration);
  // Results in order of completion.
  std::vector<LoadResult> results() const;
  std::size_t Count(LoadOutcome outcome) const;
  // Latency percentile of kAnswered requests in microseconds, or 0 if there are none.
  // `fraction`: 0 to 1.
  double Percentile(double fraction) const;

 private:
  struct State {
    std::vector<LoadResult> results;
    std::map<Endpoint, std::vector<UpstreamPtr>> idle;  // Reusable connections.
    int in_flight = 0;
  };

  // Sends one request and records its result.
  Task<> RunRequest(std::string token, bool write, std::size_t entry);
  Task<LoadResult> SendRequest(std::string token, bool write, std::size_t entry);
  // Returns a connection to the first reachable instance, starting with the one at index
  // `first`, and stores its address in `connected`. Null: no instance is reachable.
  Task<UpstreamPtr> ConnectAny(std::size_t first, Time deadline, Endpoint* connected);
  // Derives the outcome from a complete response and validates its body.
  LoadResult ClassifyResponse(const std::string& token, bool write, const ResponseHead& head,
                              const std::string& body) const;

  WorkerPool& pool_;
  const LoadSettings settings_;
  std::mt19937_64 random_;
  Shared<State, LockRank::kAppends> state_;
  Notifier request_done_;
};

}  // namespace dn::standins
