// Sending of requests and classification of responses.
#include "standins/internal/caller_load.h"

#include <algorithm>

namespace dn::standins {
namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;

std::int64_t ToMicroseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

Task<> CallerLoad::Run(Duration duration) {
  const auto start = std::chrono::steady_clock::now();
  std::exponential_distribution<double> send_interval_s(settings_.requests_per_second);
  std::bernoulli_distribution write(settings_.write_share);
  std::uniform_int_distribution<std::size_t> entry(0, settings_.entries.size() - 1);
  double next_send_s = 0;
  for (std::uint64_t i = 0; next_send_s * 1000 < static_cast<double>(duration.count()); ++i) {
    const auto send_time = start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                       std::chrono::duration<double>(next_send_s));
    const auto wait =
        std::chrono::duration_cast<Duration>(send_time - std::chrono::steady_clock::now());
    if (wait > Duration(0)) co_await SleepFor(wait);
    state_.With([](State& state) { ++state.in_flight; });
    std::string token = "t" + std::to_string(settings_.seed) + "-" + std::to_string(i);
    pool_.Spawn(RunRequest(std::move(token), write(random_), entry(random_)));
    next_send_s += send_interval_s(random_);
  }
  while (true) {
    const std::uint64_t ticket = request_done_.Ticket();
    if (state_.With([](const State& state) { return state.in_flight; }) == 0) co_return;
    co_await request_done_.Wait(ticket, Now() + Duration(100));
  }
}

Task<> CallerLoad::RunRequest(std::string token, bool write, std::size_t entry) {
  const auto start = std::chrono::steady_clock::now();
  LoadResult result = co_await SendRequest(std::move(token), write, entry);
  result.latency_us = ToMicroseconds(std::chrono::steady_clock::now() - start);
  state_.With([&](State& state) {
    --state.in_flight;
    state.results.push_back(std::move(result));
  });
  request_done_.NotifyAll();
}

// An instance that did not accept the connection has not received the request, so trying
// the next instance cannot run the request twice.
Task<UpstreamPtr> CallerLoad::ConnectAny(std::size_t first, Time deadline, Endpoint* connected) {
  for (std::size_t i = 0; i < settings_.entries.size(); ++i) {
    const Endpoint& entry = settings_.entries[(first + i) % settings_.entries.size()];
    *connected = entry;
    UpstreamPtr idle = state_.With([&](State& state) -> UpstreamPtr {
      auto& list = state.idle[entry];
      if (list.empty()) return nullptr;
      UpstreamPtr pooled = std::move(list.back());
      list.pop_back();
      return pooled;
    });
    if (idle && idle->Usable()) co_return idle;
    auto opened =
        co_await UpstreamConnection::Connect(entry, std::min(deadline, Now() + Duration(500)));
    if (opened) co_return std::move(opened).value();
  }
  co_return nullptr;
}

Task<LoadResult> CallerLoad::SendRequest(std::string token, bool write, std::size_t entry) {
  LoadResult result{.token = token, .write = write};
  const Time deadline = Now() + settings_.timeout;
  Endpoint connected;
  UpstreamPtr connection = co_await ConnectAny(entry, deadline, &connected);
  if (!connection) {
    result.reason = "no-entry";
    result.outcome = LoadOutcome::kNotRun;
    co_return result;
  }
  const std::string body = write ? "order " + token : "";
  RequestHead head{.method = write ? "POST" : "GET",
                   .target = "/work?size=" + std::to_string(settings_.response_bytes),
                   .headers = {{"Host", settings_.service.value}, {"X-Token", token}},
                   .framing = write ? BodyFraming::kLength : BodyFraming::kNone,
                   .body_length = body.size()};
  if (write) head.headers.push_back({std::string(kIdempotencyKeyHeader), token});
  Result<void> sent = co_await connection->SendHead(head, deadline);
  if (sent && write) sent = co_await connection->SendBody(body, true, deadline);
  if (!sent) {
    result.reason = "sending the request failed: " + sent.error().message();
    co_return result;
  }
  const auto response = co_await connection->ReadHead(false, deadline);
  if (!response) {
    result.reason = "reading the response head failed: " + response.error().message();
    co_return result;
  }
  std::string response_body;
  std::vector<char> buffer(kReadBufferBytes);
  while (true) {
    const auto read = co_await connection->ReadBody(buffer, deadline);
    if (!read) {
      result.reason = "reading the response body failed: " + read.error().message();
      co_return result;
    }
    if (read.value() == 0) break;
    response_body.append(buffer.data(), read.value());
  }
  result = ClassifyResponse(token, write, response.value(), response_body);
  if (connection->MayReuse()) {
    state_.With([&](State& state) { state.idle[connected].push_back(std::move(connection)); });
  }
  co_return result;
}

LoadResult CallerLoad::ClassifyResponse(const std::string& token, bool write,
                                        const ResponseHead& head, const std::string& body) const {
  LoadResult result{.token = token, .write = write};
  result.reason = FindHeader(head.headers, kReasonHeader).value_or("");
  const std::string outcome = FindHeader(head.headers, kOutcomeHeader).value_or("");
  if (outcome == NameOf(RequestOutcome::kNotRun)) {
    result.outcome = LoadOutcome::kNotRun;
  } else if (outcome == NameOf(RequestOutcome::kUnknown)) {
    result.outcome = LoadOutcome::kUnknown;
  } else if (outcome == kOutcomeDuplicate) {
    result.outcome = LoadOutcome::kDuplicate;
  } else {
    const std::string expected_start =
        token + "|" + std::to_string(write ? 6 + token.size() : 0) + "|";
    const std::string expected_end = "|" + std::string(settings_.response_bytes, 'x');
    const bool complete = body.starts_with(expected_start) && body.ends_with(expected_end);
    result.outcome = outcome == NameOf(RequestOutcome::kAnswered) && complete
                         ? LoadOutcome::kAnswered
                         : LoadOutcome::kWrong;
  }
  return result;
}

std::vector<LoadResult> CallerLoad::results() const {
  return state_.With([](const State& state) { return state.results; });
}

std::size_t CallerLoad::Count(LoadOutcome outcome) const {
  return state_.With([&](const State& state) {
    return static_cast<std::size_t>(
        std::count_if(state.results.begin(), state.results.end(),
                      [&](const LoadResult& result) { return result.outcome == outcome; }));
  });
}

double CallerLoad::Percentile(double fraction) const {
  std::vector<std::int64_t> times;
  state_.With([&](const State& state) {
    for (const LoadResult& result : state.results) {
      if (result.outcome == LoadOutcome::kAnswered) times.push_back(result.latency_us);
    }
  });
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1));
  return static_cast<double>(times[index]);
}

}  // namespace dn::standins
