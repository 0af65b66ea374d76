// Take-overs whose read of the progress is interrupted or meets a replica that lags behind.
#include <catch2/catch.hpp>
#include <thread>

#include "node/internal/shard_owner.h"
#include "platform/platform.h"
#include "tests/support/runner.h"
#include "tests/support/stdout_capture.h"
#include "tests/support/store_relay.h"

namespace dn {
namespace {

constexpr int kJobs = 110;  // Three pages of the stand-in, which contain 40 keys each.
constexpr int kPageKeys = 40;
constexpr FencingToken kToken = 3;
constexpr Duration kOpenLimit{10'000};
constexpr JobId kUnknownJob = 0xfff;

// Key of the last record of page `page`, from 1. Keys of jobs precede that of the owner.
std::string EndOfPage(JobId page) { return FormatJobId(JobId{kPageKeys} * page); }

NodeAdapter MakeAdapter() {
  return {.settings_path = "",
          .decode_settings = nullptr,
          .store = platform::MakeStoreProtocol(),
          .workers = platform::MakeWorkerProtocol(),
          .jobs = platform::MakeJobProtocol(),
          .operator_records = platform::OperatorRecords(),
          .queue_configuration_key = std::string(platform::QueueConfigurationKey()),
          .decode_queue_configuration = platform::DecodeQueueConfiguration,
          .registry = platform::MakeWorkerRegistry()};
}

Task<bool> WaitOpen(std::shared_ptr<ShardOwner> owner) {
  for (const Time end = Now() + kOpenLimit; Now() < end;) {
    const auto state = co_await owner->StateOf(kUnknownJob, Now() + Duration(1'000));
    if (state || state.error() != Errc::kUnavailable) co_return true;
    co_await SleepFor(Duration(20));
  }
  co_return false;
}

// Guards against take-overs that never end over a link that interrupts each of them, and against a
// shard that is opened without all that earlier owners stored before they were fenced: tasks would
// run twice.
TEST_CASE("a take-over resumes the read of the progress and misses no record",
          "[node][take_over]") {
  struct Case {
    std::string name;
    std::map<int, HttpReply> replies;  // In place of the store's, by the number of the page read.
    std::vector<std::string> pages;    // Keys after which pages are read.
  };
  const HttpReply unavailable{.status = 503};
  const HttpReply cut_short{.status = 200, .body = R"({"items":[{"Key")"};
  // The fence is at offset 110, so that a complete read ends at 111.
  const HttpReply before_fence{.status = 200, .body = R"({"items":[],"HasMore":false,"End":110})"};
  const std::string first = EndOfPage(1);
  const std::string second = EndOfPage(2);
  const auto c = GENERATE_COPY(values<Case>({
      {"not interrupted", {}, {"", first, second}},
      {"first page fails", {{1, unavailable}}, {"", "", first, second}},
      {"second page fails", {{2, unavailable}}, {"", first, first, second}},
      {"each page fails once",
       {{1, unavailable}, {3, cut_short}, {5, unavailable}},
       {"", "", first, first, second, second}},
      {"first page from before the fence", {{1, before_fence}}, {"", "", first, second}},
      {"last page from before the fence",
       {{3, before_fence}},
       {"", first, second, "", first, second}},
  }));
  CAPTURE(c.name);
  std::string log_text;
  std::vector<std::string> pages;
  bool open = false;
  {
    testing::StdoutCapture capture;
    testing::Runner runner;
    standins::StoreStandin standin(runner.pool());
    REQUIRE(standin.Start());
    for (int i = 1; i <= kJobs; ++i) {
      const auto id = static_cast<JobId>(i);
      standin.Put(kProgressTopic, FormatJobId(id),
                  EncodeJobProgress(JobProgress(
                      {.id = id, .tasks = {TaskProgress({.phase = TaskPhase::kDone, .run = 1})}})));
    }
    testing::StoreRelay relay(runner.pool(), standin.address(), kProgressTopic,
                              [&c](const std::string&, int number) -> std::optional<HttpReply> {
                                const auto found = c.replies.find(number);
                                if (found == c.replies.end()) return std::nullopt;
                                return found->second;
                              });
    HttpClient http;
    const NodeAdapter adapter = MakeAdapter();
    StoreClient store(relay.address(), adapter.store, http);
    SharedExchangeBudget exchanges(ExchangeBudget(ExchangeCapacity{}));
    DecisionLog log("node");
    Metrics metrics;
    auto owner = std::make_shared<ShardOwner>(
        ShardOwner::Context{
            .instance = "node",
            .pool = runner.pool(),
            .http = http,
            .exchanges = exchanges,
            .store = store,
            .adapter = adapter,
            .log = log,
            .metrics = metrics,
            .policy = Policy(),
            .evacuations = [] { return Evacuations(); },
            .on_fenced = [](int) {},
            .last_confirmed = [] { return Now(); },
            .time_to_live = Duration(1'800),
            .configuration = [] { return std::make_shared<const QueueConfigurationView>(); },
            .member = "n"},
        0, kToken);
    runner.pool().Spawn(owner->Run());
    open = runner.Wait(WaitOpen(owner));
    owner->Drop("test");
    for (const Time end = Now() + kOpenLimit; owner.use_count() > 1 && Now() < end;) {
      std::this_thread::sleep_for(Duration(20));
    }
    pages = relay.Pages();
    runner.Stop();
    log_text = capture.Text();
  }
  CAPTURE(log_text);
  REQUIRE(open);
  CHECK(pages == c.pages);
  CHECK(log_text.find("progress_records=" + std::to_string(kJobs + 1)) != std::string::npos);
  CHECK(log_text.find("jobs_recorded=" + std::to_string(kJobs)) != std::string::npos);
  CHECK((log_text.find("read-interrupted") != std::string::npos) == !c.replies.empty());
}

}  // namespace
}  // namespace dn
