// Tests of faults that need real processes on loopback. Each scenario sends requests
// during its fault; the checker then looks for violated guarantees in the records.
#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/support/scenario.h"

namespace dn::testing {
namespace {

using standins::BackendFault;
using standins::LoadOutcome;

constexpr const char* kEntry = "entry-n1-0";
constexpr const char* kWorker = "n1-0";

Task<> KillEntry(Fleet& fleet) {
  fleet.Kill(kEntry);
  co_return;
}

Task<> RestartEntry(Fleet& fleet) {
  fleet.Kill(kEntry);
  co_await SleepFor(Duration(200));
  fleet.Start(kEntry);
}

Task<> PauseEntry(Fleet& fleet) {
  fleet.Signal(kEntry, SIGSTOP);
  co_await SleepFor(Duration(4500));
  fleet.Signal(kEntry, SIGCONT);
}

// The membership of the instance in the store's group expires, although the process is
// only paused.
Task<> PauseEntryUntilEvicted(Fleet& fleet) {
  fleet.Signal(kEntry, SIGSTOP);
  co_await SleepFor(Duration(16'000));
  fleet.Signal(kEntry, SIGCONT);
  co_await SleepFor(Duration(2000));
}

Task<> StoreFaultFor(Fleet& fleet, standins::StoreFault fault, Duration duration) {
  co_await fleet.Fault(fault);
  co_await SleepFor(duration);
  const standins::StoreFault none;
  co_await fleet.Fault(none);
}

constexpr const char* kStreams = "dn-";
constexpr const char* kRegistrations = "keyed.servers";

Task<> StreamsDown(Fleet& fleet) {
  const standins::StoreFault fault{.busy = true, .only = kStreams};
  co_await StoreFaultFor(fleet, fault, Duration(6000));
}
Task<> StreamsSlow(Fleet& fleet) {
  const standins::StoreFault fault{.delay = Duration(300), .only = kStreams};
  co_await StoreFaultFor(fleet, fault, Duration(4000));
}
Task<> StreamsLoseResponses(Fleet& fleet) {
  const standins::StoreFault fault{.lost_answers_percent = 100, .only = kStreams};
  co_await StoreFaultFor(fleet, fault, Duration(3000));
}

Task<> StoreDown(Fleet& fleet) {
  const standins::StoreFault fault{.busy = true};
  co_await StoreFaultFor(fleet, fault, Duration(8000));
}

Task<> StoreDownAndEntryKilled(Fleet& fleet) {
  fleet.Kill(kEntry);
  co_await StoreDown(fleet);
}

Task<> RegistrationsDown(Fleet& fleet) {
  const standins::StoreFault fault{.busy = true, .only = kRegistrations};
  co_await StoreFaultFor(fleet, fault, Duration(4000));
}

Task<> RegistrationsStale(Fleet& fleet) {
  const standins::StoreFault fault{.stale = true, .only = kRegistrations};
  co_await fleet.Fault(fault);
  co_await SleepFor(Duration(2000));
  co_await fleet.Leave(kWorker);
  co_await SleepFor(Duration(2000));
  const standins::StoreFault none;
  co_await fleet.Fault(none);
}

Task<> LinkCut(Fleet& fleet) {
  fleet.SetLink(standins::RelayMode::kRefuse);
  co_await SleepFor(Duration(5000));
  fleet.SetLink(standins::RelayMode::kPass);
}

Task<> LinkBlackHole(Fleet& fleet) {
  fleet.SetLink(standins::RelayMode::kBlackhole);
  co_await SleepFor(Duration(5000));
  fleet.SetLink(standins::RelayMode::kPass);
}

Task<> WorkerFaultFor(Fleet& fleet, standins::WorkerFault fault, Duration duration) {
  co_await fleet.Fault(fault);
  co_await SleepFor(duration);
  const standins::WorkerFault none{.worker = fault.worker};
  co_await fleet.Fault(none);
}

Task<> InjectBackendFault(Fleet& fleet, BackendFault backend) {
  const standins::WorkerFault fault{.worker = kWorker, .backend = backend};
  co_await WorkerFaultFor(fleet, fault, Duration(2500));
}
Task<> BackendSlow(Fleet& fleet) { co_await InjectBackendFault(fleet, BackendFault::kSlow); }
Task<> BackendSilent(Fleet& fleet) { co_await InjectBackendFault(fleet, BackendFault::kSilent); }
Task<> BackendTruncatesResponses(Fleet& fleet) {
  co_await InjectBackendFault(fleet, BackendFault::kCutShort);
}
Task<> BackendClosesEarly(Fleet& fleet) {
  co_await InjectBackendFault(fleet, BackendFault::kCloseEarly);
}
Task<> BackendSendsOtherResponse(Fleet& fleet) {
  co_await InjectBackendFault(fleet, BackendFault::kOtherAnswer);
}

// Stops every entry instance in turn with SIGTERM, waits until it ends and restarts it.
Task<> RollingRestart(Fleet& fleet) {
  for (const std::string& name : fleet.EntryNames()) {
    fleet.Signal(name, SIGTERM);
    const int status = co_await fleet.WaitExit(name, Duration(8000));
    if (status != 0)
      throw std::runtime_error(name + " did not exit with 0 within 8 s: status " +
                               std::to_string(status));
    fleet.Start(name);
    if (!co_await fleet.WaitServing(Duration(10'000)))
      throw std::runtime_error("entry instances did not serve within 10 s of a restart");
  }
}

TEST_CASE("guarantees hold during each fault", "[processes][matrix]") {
  const auto scenario = GENERATE(values<Scenario>({
      {.name = "none"},
      {.name = "entry killed",
       .inject_fault = &KillEntry,
       .max_not_answered = 0.05,
       .max_broken = 10},
      {.name = "entry restarted",
       .inject_fault = &RestartEntry,
       .max_not_answered = 0.05,
       .max_broken = 10},
      {.name = "entry paused",
       .inject_fault = &PauseEntry,
       .load = Duration(7000),
       .max_not_answered = 0.25,
       .max_broken = 250},
      {.name = "entry paused until evicted",
       .inject_fault = &PauseEntryUntilEvicted,
       .load = Duration(20'000),
       .rate = 60,
       .max_not_answered = 0.25,
       .max_broken = 300},
      {.name = "streams down",
       .inject_fault = &StreamsDown,
       .load = Duration(8000),
       .write_share = 0.02,
       .max_not_answered = 0.03},
      {.name = "streams slow",
       .inject_fault = &StreamsSlow,
       .load = Duration(6000),
       .max_not_answered = 0.1},
      {.name = "streams lose responses",
       .inject_fault = &StreamsLoseResponses,
       .max_not_answered = 0.02},
      {.name = "store down",
       .inject_fault = &StoreDown,
       .load = Duration(10'000),
       .write_share = 0,
       .max_not_answered = 0.01},
      {.name = "store down, entry killed",
       .inject_fault = &StoreDownAndEntryKilled,
       .load = Duration(10'000),
       .write_share = 0,
       .max_not_answered = 0.02,
       .max_broken = 10},
      {.name = "registrations down", .inject_fault = &RegistrationsDown},
      {.name = "registrations stale", .inject_fault = &RegistrationsStale},
      {.name = "link cut",
       .inject_fault = &LinkCut,
       .load = Duration(7000),
       .max_not_answered = 0.1},
      {.name = "link black hole",
       .inject_fault = &LinkBlackHole,
       .load = Duration(7000),
       .max_not_answered = 0.1},
      {.name = "backend server slow", .inject_fault = &BackendSlow},
      {.name = "backend server silent", .inject_fault = &BackendSilent, .max_not_answered = 0.05},
      {.name = "backend server truncates responses",
       .inject_fault = &BackendTruncatesResponses,
       .max_not_answered = 0.05,
       .max_broken = 20},
      {.name = "backend server closes early",
       .inject_fault = &BackendClosesEarly,
       .max_not_answered = 0.05},
      {.name = "backend server sends the response to another request",
       .inject_fault = &BackendSendsOtherResponse,
       .max_not_answered = 0.05},
      {.name = "rolling restart", .inject_fault = &RollingRestart, .load = Duration(30'000)},
  }));
  DYNAMIC_SECTION(scenario.name) {
    const ScenarioResult result = RunScenario(scenario);
    INFO(result.Summary());
    REQUIRE(result.served);
    CHECK(result.violations.empty());
    const auto total = static_cast<double>(result.callers.size());
    const auto answered = static_cast<double>(result.Count(LoadOutcome::kAnswered));
    CHECK(total > 0);
    CHECK(total - answered <= scenario.max_not_answered * total);
    CHECK(result.Count(LoadOutcome::kBroken) <= scenario.max_broken);
    CHECK(result.store.max_appends_per_second <= 200);
  }
}

}  // namespace
}  // namespace dn::testing
