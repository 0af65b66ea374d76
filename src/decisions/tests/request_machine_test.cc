// Tests the transitions of the request machine. A wrong transition could send a
// request twice or report a wrong outcome to its caller.
#include <catch2/catch.hpp>

#include "decisions/decisions.h"

namespace dn {
namespace {

using E = RequestEvent;
using S = RequestState;

TEST_CASE("request machine reaches the expected state", "[decisions][request]") {
  struct Case {
    bool idempotent;
    std::vector<E> events;
    S state;
    bool may_try_again;
  };
  const auto c = GENERATE(values<Case>({
      {true, {}, S::kReceived, false},
      {true, {E::kRefused}, S::kNotRun, true},
      {true, {E::kSlotGranted}, S::kAdmitted, false},
      {false, {E::kSlotGranted, E::kKeyClaimed}, S::kClaimed, false},
      {false, {E::kSlotGranted, E::kRefused}, S::kNotRun, true},
      {false, {E::kSlotGranted, E::kKeyClaimed, E::kFailed}, S::kNotRun, true},
      {true, {E::kSlotGranted, E::kBytesSent}, S::kDispatched, false},
      {true, {E::kSlotGranted, E::kBytesSent, E::kFailed}, S::kUnknown, true},
      {false, {E::kSlotGranted, E::kKeyClaimed, E::kBytesSent, E::kFailed}, S::kUnknown, false},
      {false, {E::kSlotGranted, E::kKeyClaimed, E::kBytesSent, E::kRefused}, S::kNotRun, true},
      {true, {E::kSlotGranted, E::kBytesSent, E::kHeadReceived}, S::kAnswering, false},
      {true, {E::kSlotGranted, E::kBytesSent, E::kHeadReceived, E::kFailed}, S::kCutShort, false},
      {true,
       {E::kSlotGranted, E::kBytesSent, E::kHeadReceived, E::kResponseComplete},
       S::kAnswered,
       false},
      {true, {E::kSlotGranted, E::kBytesSent, E::kFailed, E::kRetry}, S::kReceived, false},
  }));
  RequestMachine machine(c.idempotent);
  for (const E event : c.events) REQUIRE(machine.Process(event));
  CHECK(machine.state() == c.state);
  CHECK(machine.AllowsRetry() == c.may_try_again);
}

TEST_CASE("request machine rejects events without a transition", "[decisions][request]") {
  struct Case {
    bool idempotent;
    std::vector<E> events;
    E rejected;
  };
  const auto c = GENERATE(values<Case>({
      // A request that must not run twice is never sent without a claim.
      {false, {E::kSlotGranted}, E::kBytesSent},
      // No request is sent without a slot.
      {true, {}, E::kBytesSent},
      // A request that must not run twice is not retried after an unknown outcome.
      {false, {E::kSlotGranted, E::kKeyClaimed, E::kBytesSent, E::kFailed}, E::kRetry},
      // A request is not retried after its caller has received part of a response.
      {true, {E::kSlotGranted, E::kBytesSent, E::kHeadReceived, E::kFailed}, E::kRetry},
      // A request that is being answered cannot be refused.
      {true, {E::kSlotGranted, E::kBytesSent, E::kHeadReceived}, E::kRefused},
  }));
  RequestMachine machine(c.idempotent);
  for (const E event : c.events) REQUIRE(machine.Process(event));
  const S before = machine.state();
  CHECK_FALSE(machine.Process(c.rejected));
  CHECK(machine.state() == before);
}

}  // namespace
}  // namespace dn
