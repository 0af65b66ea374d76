// Outcomes of RecordWriter::Append, also while the store is unavailable.
#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/standins.h"
#include "store/store.h"
#include "tests/support/runner.h"

namespace dn {
namespace {

const Partition kJobs({.topic = "keyed.t", .number = 0});
constexpr Duration kSendTimeout{300};
constexpr Duration kAppendTimeout{900};

// Appends one record; returns the error, or none if the record was stored.
Task<std::error_code> Append(std::shared_ptr<RecordWriter> writer, std::string key) {
  const Time now = Now();
  std::vector<StoreRecord> records = {StoreRecord({.key = std::move(key), .value = "v"})};
  const RecordWriter::Limits limits{.send_by = now + kSendTimeout,
                                    .deadline = now + kAppendTimeout};
  auto stored = co_await writer->Append(std::move(records), limits);
  co_return stored ? std::error_code() : stored.error();
}

// Callers submit jobs while the store is unavailable. Guards against an unknown
// outcome for records that never left the queue: their caller may safely retry,
// whereas records that were sent without a response may still become durable.
TEST_CASE("unsent records are rejected, the outcome of sent records is unknown", "[store][load]") {
  struct Case {
    std::string name;
    standins::StoreFault fault;
    std::error_code first;   // Error of the append that is sent at once.
    std::error_code second;  // Error of the append that is queued behind the first.
  };
  const auto c = GENERATE(values<Case>({
      {"store available", {}, {}, {}},
      {"store does not respond", {.silent = true}, Errc::kTimeout, Errc::kUnavailable},
      {"store rejects all calls", {.busy = true}, Errc::kUnavailable, Errc::kUnavailable},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "node", 0, log);
  standin.SetFault(c.fault);
  auto first = runner.Begin(Append(writer, "first"));
  std::this_thread::sleep_for(Duration(50));
  const Time started = Now();
  CHECK(runner.Wait(Append(writer, "second")) == c.second);
  if (c.fault.silent) CHECK(Now() - started < kAppendTimeout);
  CHECK(first.get() == c.first);
}

// Returns the number of keys of the partition; nothing if it cannot be read.
Task<std::optional<std::size_t>> CountKeys(StoreClient& store) {
  auto newest = co_await store.Newest(kJobs);
  if (!newest) co_return std::nullopt;
  co_return newest.value()->records.size();
}

// The store carries an append out and resets the connection, and then it is away or refuses calls
// for a while. Guards against a refusal of records that are stored, and against records that are
// reported as stored and are not: their call had the sequence number of the earlier one, whose
// response the store repeated.
TEST_CASE("an append whose response was lost is neither refused nor does it hide the next one",
          "[store]") {
  struct Case {
    std::string name;
    standins::RelayMode mode;  // Of the link to the store afterwards.
    bool busy;                 // The store refuses all calls afterwards.
    std::error_code first;     // Error of the append.
  };
  const auto c = GENERATE(values<Case>({
      {"reachable", standins::RelayMode::kPass, false, {}},
      {"not listening", standins::RelayMode::kUnreachable, false, Errc::kTimeout},
      {"closes connections", standins::RelayMode::kRefuse, false, Errc::kTimeout},
      {"refuses calls", standins::RelayMode::kPass, true, Errc::kTimeout},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  const auto relay = standins::TcpRelay::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                               standin.address(), Duration(0));
  REQUIRE(relay);
  HttpClient http;
  StoreClient store(relay.value()->address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "node", 0, log);
  REQUIRE_FALSE(runner.Wait(Append(writer, "before")));
  relay.value()->BreakAtNextResponse([&] {
    standin.SetFault({.busy = c.busy});
    relay.value()->SetMode(c.mode);
  });
  CHECK(runner.Wait(Append(writer, "lost response")) == c.first);
  standin.SetFault({});
  relay.value()->SetMode(standins::RelayMode::kPass);
  std::this_thread::sleep_for(Duration(500));
  CHECK_FALSE(runner.Wait(Append(writer, "after")));
  CHECK(runner.Wait(CountKeys(store)) == 3U);
  runner.Stop();
}

// Returns whether all records were stored within 5 s.
Task<bool> AppendAll(std::shared_ptr<RecordWriter> writer, std::vector<StoreRecord> records) {
  const Time limit = Now() + Duration(5'000);
  auto stored = co_await writer->Append(std::move(records), {.send_by = limit, .deadline = limit});
  co_return stored.has_value();
}

// A thousand jobs change while the store is away, and their progress is appended at once. Guards
// against a call that the store rejects as too large each time it is repeated.
TEST_CASE("records that exceed a call are stored in several", "[store][load]") {
  struct Case {
    std::string name;
    int records;
    std::size_t bytes;  // Of each.
  };
  const auto c = GENERATE(values<Case>({{"one small record", 1, 10},
                                        {"as many as fit", 100, 1'000},
                                        {"progress of 1,700 jobs", 1'700, 3'000},
                                        {"large records", 20, 250'000}}));
  CAPTURE(c.name);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool());
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "owner", 7, log);
  std::vector<StoreRecord> records;
  records.reserve(static_cast<std::size_t>(c.records));
  for (int i = 0; i < c.records; ++i) {
    records.push_back(
        StoreRecord({.key = "k" + std::to_string(i), .value = std::string(c.bytes, 'v')}));
  }
  CHECK(runner.Wait(AppendAll(writer, records)));
  CHECK(runner.Wait(CountKeys(store)) == records.size());
}

// Responds to appends as scripted, and keeps their producers and sequence numbers.
class ScriptedStore {
 public:
  struct Response {
    int status = 200;
    std::string body = {};
    // Set: a sequence conflict; the store expects a number that is so much higher than the sent
    // one.
    std::optional<std::int64_t> expects_ahead = {};
  };
  struct Sent {
    std::string producer;
    std::int64_t sequence = 0;

    friend auto operator<=>(const Sent&, const Sent&) = default;
  };

  // After the last of `responses`, calls are refused.
  ScriptedStore(WorkerPool& pool, std::vector<Response> responses)
      : state_(State{.responses = std::move(responses), .sent = {}}) {
    server_ = HttpServer::Start(pool, {.host = "127.0.0.1", .port = 0}, [this](HttpCall call) {
                return Respond(std::move(call));
              }).value();
  }
  Endpoint address() const { return server_->address(); }
  std::vector<Sent> sent() {
    return state_.With([](State& state) { return state.sent; });
  }

 private:
  struct State {
    std::vector<Response> responses;
    std::vector<Sent> sent;
  };

  Task<HttpReply> Respond(HttpCall call) {
    co_return state_.With([&](State& state) {
      const std::size_t number = state.sent.size();
      state.sent.push_back(
          {.producer = call.query["Producer"], .sequence = std::stoll(call.query["Sequence"])});
      if (number >= state.responses.size()) return HttpReply{.status = 503, .body = {}};
      const Response& response = state.responses[number];
      if (!response.expects_ahead)
        return HttpReply{.status = response.status, .body = response.body};
      const std::int64_t expected = state.sent.back().sequence + *response.expects_ahead;
      return HttpReply{.status = 409,
                       .body = R"({"Reason":"seq","Sequence":)" + std::to_string(expected) + "}"};
    });
  }

  Shared<State, LockRank::kMembers> state_;
  std::unique_ptr<HttpServer> server_;
};

// Status by which the outcome of an append stays unknown.
constexpr int kOutcomeUnknown = 500;

std::string StoredAt(std::int64_t first, std::int64_t end) {
  return R"({"Offset":)" + std::to_string(first) + R"(,"End":)" + std::to_string(end) + "}";
}

// Returns the number of sequence conflicts that were logged.
int LoggedConflicts(const DecisionLog& log) {
  const std::string counters = log.Prometheus();
  const std::string name = R"(dn_decisions_total{kind="sequence-conflict"} )";
  const std::size_t found = counters.find(name);
  return found == std::string::npos ? 0 : std::stoi(counters.substr(found + name.size()));
}

struct PairOutcome {
  std::error_code error;  // None if the records were stored.
  StoredAppend stored;
};

Task<PairOutcome> AppendPair(std::shared_ptr<RecordWriter> writer) {
  std::vector<StoreRecord> records = {StoreRecord({.key = "a", .value = "v"}),
                                      StoreRecord({.key = "b", .value = "v"})};
  const Time limit = Now() + kAppendTimeout;
  const RecordWriter::Limits limits{.send_by = limit, .deadline = limit};
  auto stored = co_await writer->Append(std::move(records), limits);
  if (!stored) co_return PairOutcome{.error = stored.error(), .stored = {}};
  co_return PairOutcome{.error = {}, .stored = stored.value()};
}

// Tasks ran twice, and no log told which append had recorded a run, or that the store and the owner
// disagreed about numbers. Guards against appends that do not tell where their records are and
// against conflicts that leave no trace.
TEST_CASE("an append tells its number and offsets, and a sequence conflict is counted", "[store]") {
  struct Case {
    std::string name;
    std::vector<ScriptedStore::Response> responses;
    StoredAppendFields stored;
    int conflicts;
  };
  const auto c = GENERATE(values<Case>({
      {"stored", {{200, StoredAt(30, 32)}}, {.sequence = 1, .first = 30, .end = 32}, 0},
      {"response lost, then repeated",
       {{kOutcomeUnknown}, {200, StoredAt(30, 32)}},
       {.sequence = 1, .first = 30, .end = 32},
       0},
      {"response lost and forgotten",
       {{kOutcomeUnknown}, {.expects_ahead = 1}},
       {.sequence = 1, .first = -1, .end = -1},
       1},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  ScriptedStore scripted(runner.pool(), c.responses);
  HttpClient http;
  StoreClient store(scripted.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "node", 0, log);
  const PairOutcome outcome = runner.Wait(AppendPair(writer));
  CHECK_FALSE(outcome.error);
  CHECK(outcome.stored == StoredAppend(c.stored));
  CHECK(LoggedConflicts(log) == c.conflicts);
  runner.Stop();
}

// Fences as the owner of `epoch`; returns whether that succeeded.
Task<bool> Fence(std::shared_ptr<RecordWriter> writer, std::int64_t epoch) {
  const StoreRecord record({.key = "owner", .value = std::to_string(epoch)});
  auto fenced = co_await writer->Fence(record);
  co_return fenced.has_value();
}

// Returns the keys of the partition.
Task<std::set<std::string>> Keys(StoreClient& store) {
  std::set<std::string> keys;
  auto newest = co_await store.Newest(kJobs);
  if (newest) {
    for (const StoreRecord& record : newest.value()->records) keys.insert(record->key);
  }
  co_return keys;
}

// An owner is replaced after a few appends, and so is the next one. Guards against records that are
// reported as stored and are not, since the store took them for repeats of the earlier owner's, so
// that the next owner starts their tasks again; and against a fence that is taken for a repeat.
TEST_CASE("the records of owners in series are stored, and the earlier owners are fenced",
          "[store]") {
  struct Case {
    standins::RepeatMemory memory;
    int appends;  // Of each owner, one after the other.
  };
  using Memory = standins::RepeatMemory;
  const auto c = GENERATE(values<Case>({{Memory::kOfEpoch, 1},
                                        {Memory::kOfEpoch, 6},
                                        {Memory::kAcrossEpochs, 1},
                                        {Memory::kAcrossEpochs, 3},
                                        {Memory::kAcrossEpochs, 6},
                                        {Memory::kBeforeEpoch, 1},
                                        {Memory::kBeforeEpoch, 3},
                                        {Memory::kBeforeEpoch, 6}}));
  CAPTURE(NameOf(c.memory), c.appends);
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool(),
                                 standins::StoreStandinSettings({.repeat_memory = c.memory}));
  REQUIRE(standin.Start());
  HttpClient http;
  StoreClient store(standin.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  std::shared_ptr<RecordWriter> earlier;
  std::set<std::string> expected = {"owner"};
  for (const std::int64_t epoch : {7, 8, 9}) {
    const auto owner = std::make_shared<RecordWriter>(store, kJobs, "owner", epoch, log);
    REQUIRE(runner.Wait(Fence(owner, epoch)));
    if (earlier != nullptr) CHECK(runner.Wait(Append(earlier, "late")) == Errc::kConflict);
    for (int i = 0; i < c.appends; ++i) {
      const std::string key = std::to_string(epoch) + "." + std::to_string(i);
      expected.insert(key);
      CHECK_FALSE(runner.Wait(Append(owner, key)));
    }
    earlier = owner;
  }
  CHECK(runner.Wait(Keys(store)) == expected);
  runner.Stop();
}

// The store carries a fence out and the response is lost. Guards against an owner that cannot take
// over since its repeated fence is refused, and against two records of it.
TEST_CASE("a fence whose response was lost can be repeated", "[store]") {
  const auto memory = GENERATE(values<standins::RepeatMemory>(
      {standins::RepeatMemory::kOfEpoch, standins::RepeatMemory::kAcrossEpochs,
       standins::RepeatMemory::kBeforeEpoch}));
  CAPTURE(NameOf(memory));
  testing::Runner runner;
  standins::StoreStandin standin(runner.pool(),
                                 standins::StoreStandinSettings({.repeat_memory = memory}));
  REQUIRE(standin.Start());
  const auto relay = standins::TcpRelay::Start(runner.pool(), {.host = "127.0.0.1", .port = 0},
                                               standin.address(), Duration(0));
  REQUIRE(relay);
  HttpClient http;
  StoreClient store(relay.value()->address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto owner = std::make_shared<RecordWriter>(store, kJobs, "owner", 7, log);
  relay.value()->BreakAtNextResponse([] {});
  CHECK_FALSE(runner.Wait(Fence(owner, 7)));
  CHECK(runner.Wait(Fence(owner, 7)));
  const PairOutcome outcome = runner.Wait(AppendPair(owner));
  CHECK_FALSE(outcome.error);
  CHECK(outcome.stored->first == 1);
  runner.Stop();
}

// Guards against any number that the store expects being taken for a lost response, or used again.
TEST_CASE("a sequence conflict shows a stored append only by the next number", "[store]") {
  struct Case {
    std::int64_t expected;  // The call had the number 40.
    bool may_be_stored;
    ConflictMeaning meaning;
  };
  const auto c = GENERATE(values<Case>({{41, true, ConflictMeaning::kStoredEarlier},
                                        {41, false, ConflictMeaning::kNotStored},
                                        {42, true, ConflictMeaning::kOutcomeUnknown},
                                        {42, false, ConflictMeaning::kNotStored},
                                        {40, true, ConflictMeaning::kOutcomeUnknown},
                                        {39, true, ConflictMeaning::kOutcomeUnknown},
                                        {39, false, ConflictMeaning::kNotStored},
                                        {0, true, ConflictMeaning::kOutcomeUnknown}}));
  CAPTURE(c.expected, c.may_be_stored);
  CHECK(MeaningOfConflict(40, c.expected, c.may_be_stored) == c.meaning);
}

// The store and a writer disagree about the writer's numbers. Guards against records that are
// reported as stored and are not, against an owner that goes on without knowing what is stored, and
// against an instance that can accept no further job.
TEST_CASE("a writer does not follow a sequence conflict that it cannot explain", "[store]") {
  using Responses = std::vector<ScriptedStore::Response>;
  struct Case {
    std::string name;
    std::int64_t epoch;
    Responses responses;
    std::error_code first;   // Error of the append that meets the conflict.
    std::error_code second;  // Error of the next append.
    GiveUpCause cause;
    // Producers of the calls, and their numbers less that of the first call, or less 1 for a
    // producer that is not the first one.
    std::vector<ScriptedStore::Sent> sent;
  };
  const ScriptedStore::Response lost{kOutcomeUnknown};
  const ScriptedStore::Response stored{200, StoredAt(0, 2)};
  const auto ahead = [](std::int64_t by) { return ScriptedStore::Response{.expects_ahead = by}; };
  const auto c = GENERATE_COPY(values<Case>({
      {"owner, stored by a lost attempt",
       7,
       {lost, ahead(1), stored},
       {},
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p", 0}, {"p", 1}}},
      {"owner, far ahead after a lost attempt",
       7,
       {lost, ahead(2), stored},
       Errc::kConflict,
       Errc::kConflict,
       GiveUpCause::kSequenceConflict,
       {{"p", 0}, {"p", 0}}},
      {"owner, behind after a lost attempt",
       7,
       {lost, ahead(-1), stored},
       Errc::kConflict,
       Errc::kConflict,
       GiveUpCause::kSequenceConflict,
       {{"p", 0}, {"p", 0}}},
      {"owner, one ahead, nothing lost",
       7,
       {ahead(1), stored},
       Errc::kConflict,
       Errc::kConflict,
       GiveUpCause::kSequenceConflict,
       {{"p", 0}}},
      {"owner, behind",
       7,
       {ahead(-1), stored},
       Errc::kConflict,
       Errc::kConflict,
       GiveUpCause::kSequenceConflict,
       {{"p", 0}}},
      {"owner, fenced",
       7,
       {{409, R"({"Reason":"fenced"})"}, stored},
       Errc::kConflict,
       Errc::kConflict,
       GiveUpCause::kFenced,
       {{"p", 0}}},
      {"instance, stored by a lost attempt",
       0,
       {lost, ahead(1), stored},
       {},
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p", 0}, {"p", 1}}},
      {"instance, far ahead after a lost attempt",
       0,
       {lost, ahead(2), stored},
       Errc::kTimeout,
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p", 0}, {"p.1", 0}}},
      {"instance, behind after a lost attempt",
       0,
       {lost, ahead(-1), stored},
       Errc::kTimeout,
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p", 0}, {"p.1", 0}}},
      {"instance, ahead",
       0,
       {ahead(3), stored, stored},
       {},
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p.1", 0}, {"p.1", 1}}},
      {"instance, behind",
       0,
       {ahead(-1), stored, stored},
       {},
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p.1", 0}, {"p.1", 1}}},
      {"instance, always",
       0,
       {ahead(3), ahead(3), ahead(3), stored},
       Errc::kUnavailable,
       {},
       GiveUpCause::kNone,
       {{"p", 0}, {"p.1", 0}, {"p.2", 0}, {"p.3", 0}}},
  }));
  CAPTURE(c.name);
  testing::Runner runner;
  ScriptedStore scripted(runner.pool(), c.responses);
  HttpClient http;
  StoreClient store(scripted.address(), platform::MakeStoreProtocol(), http);
  DecisionLog log("node");
  const auto writer = std::make_shared<RecordWriter>(store, kJobs, "p", c.epoch, log);
  CHECK(runner.Wait(AppendPair(writer)).error == c.first);
  CHECK(runner.Wait(AppendPair(writer)).error == c.second);
  CHECK(writer->give_up_cause() == c.cause);
  std::vector<ScriptedStore::Sent> sent = scripted.sent();
  const std::int64_t first = sent.front().sequence;
  for (ScriptedStore::Sent& call : sent) call.sequence -= call.producer == "p" ? first : 1;
  CHECK(sent == c.sent);
  runner.Stop();
}

}  // namespace
}  // namespace dn
