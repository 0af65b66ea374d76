// Defines the state machine of one request, which determines what a failure means
// for the caller and whether the request may be retried. Boost.MSM implements it.
#pragma once

#include <memory>
#include <string_view>

#include "core/core.h"

namespace dn {

// Events of a request.
enum class RequestEvent {
  kSlotGranted,       // A slot has been acquired.
  kKeyClaimed,        // The claim of the idempotency key was accepted.
  kBytesSent,         // The first byte was sent to a backend server or a sibling.
  kHeadReceived,      // Status line and headers of the response are complete.
  kResponseComplete,  // The whole response was forwarded to the caller.
  kRefused,           // No slot was free, the claim was rejected, or a peer reported "not-run".
  kFailed,            // The connection failed or the time limit was exceeded.
  kRetry,             // A new attempt starts.
};

// States of a request.
enum class RequestState {
  kReceived,    // No slot has been acquired.
  kAdmitted,    // A slot has been acquired.
  kClaimed,     // The idempotency key has been claimed as well.
  kDispatched,  // Data has been sent; the request may run.
  kAnswering,   // The response is being forwarded to the caller.
  kAnswered,    // The response was forwarded completely.
  kNotRun,      // The request did not run.
  kUnknown,     // The request may have run; no response was received.
  kCutShort,    // The response was forwarded in part; the connection is aborted.
};
template <>
struct EnumNames<RequestState> {
  static constexpr std::array<EnumName<RequestState>, 9> kNames = {
      {{RequestState::kReceived, "received"},
       {RequestState::kAdmitted, "admitted"},
       {RequestState::kClaimed, "claimed"},
       {RequestState::kDispatched, "dispatched"},
       {RequestState::kAnswering, "answering"},
       {RequestState::kAnswered, "answered"},
       {RequestState::kNotRun, "not-run"},
       {RequestState::kUnknown, "unknown"},
       {RequestState::kCutShort, "cut-short"}}};
};

// State machine of one request.
class RequestMachine {
 public:
  // `idempotent` states whether the request may run more than once.
  explicit RequestMachine(bool idempotent);
  ~RequestMachine();
  RequestMachine(const RequestMachine&) = delete;
  RequestMachine& operator=(const RequestMachine&) = delete;

  // Processes `event`. Returns false, without a change of state, if the event has no
  // transition from the current state.
  bool Process(RequestEvent event);
  RequestState state() const;
  // Returns whether the current attempt has ended.
  bool ended() const;
  // Returns whether a new attempt is allowed: the request did not run, or its outcome
  // is unknown and it may run more than once.
  bool AllowsRetry() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dn
