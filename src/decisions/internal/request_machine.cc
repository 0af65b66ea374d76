// Implements the transition table of a request.
#include "decisions/internal/request_machine.h"

#include "decisions/internal/msm_support.h"

namespace dn {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct SlotGranted {};
struct KeyClaimed {};
struct BytesSent {};
struct HeadReceived {};
struct ResponseComplete {};
struct Refused {};
struct Failed {};
struct Retry {};

struct Received : msm::front::state<> {};
struct Admitted : msm::front::state<> {};
struct Claimed : msm::front::state<> {};
struct Dispatched : msm::front::state<> {};
struct Answering : msm::front::state<> {};
struct Answered : msm::front::state<> {};
struct NotRun : msm::front::state<> {};
struct Unknown : msm::front::state<> {};
struct CutShort : msm::front::state<> {};

// Guard: the request may run more than once.
struct Idempotent {
  template <class Event, class Machine, class Source, class Target>
  bool operator()(const Event&, Machine& machine, Source&, Target&) const {
    return machine.idempotent;
  }
};

struct Definition : MachineDefinition<Definition> {
  using initial_state = Received;
  bool idempotent = false;

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT(readability-identifier-naming)
      //  source      event             target      action guard
      Row<Received,   SlotGranted,      Admitted,   none,  none>,
      Row<Received,   Refused,          NotRun,     none,  none>,
      Row<Received,   Failed,           NotRun,     none,  none>,
      Row<Admitted,   KeyClaimed,       Claimed,    none,  none>,
      Row<Admitted,   BytesSent,        Dispatched, none,  Idempotent>,
      Row<Admitted,   Refused,          NotRun,     none,  none>,
      Row<Admitted,   Failed,           NotRun,     none,  none>,
      Row<Claimed,    BytesSent,        Dispatched, none,  none>,
      Row<Claimed,    Refused,          NotRun,     none,  none>,
      Row<Claimed,    Failed,           NotRun,     none,  none>,
      Row<Dispatched, HeadReceived,     Answering,  none,  none>,
      Row<Dispatched, Refused,          NotRun,     none,  none>,
      Row<Dispatched, Failed,           Unknown,    none,  none>,
      Row<Answering,  ResponseComplete, Answered,   none,  none>,
      Row<Answering,  Failed,           CutShort,   none,  none>,
      Row<NotRun,     Retry,            Received,   none,  none>,
      Row<Unknown,    Retry,            Received,   none,  Idempotent>
  > {};
  // clang-format on
};

using Machine = msm::back::state_machine<Definition>;

// Indexed by RequestEvent.
constexpr std::array<void (*)(Machine&), 8> kFeeders = {
    &Feed<Machine, SlotGranted>,      &Feed<Machine, KeyClaimed>,
    &Feed<Machine, BytesSent>,        &Feed<Machine, HeadReceived>,
    &Feed<Machine, ResponseComplete>, &Feed<Machine, Refused>,
    &Feed<Machine, Failed>,           &Feed<Machine, Retry>};

// Indexed by MSM's state numbers. MSM numbers the states in the order in which the
// table lists them as sources and then as targets.
constexpr std::array<RequestState, 9> kStateOrder = {
    RequestState::kReceived,   RequestState::kAdmitted,  RequestState::kClaimed,
    RequestState::kDispatched, RequestState::kAnswering, RequestState::kNotRun,
    RequestState::kUnknown,    RequestState::kAnswered,  RequestState::kCutShort};

}  // namespace

struct RequestMachine::Impl {
  Machine machine;
};

RequestMachine::RequestMachine(bool idempotent) : impl_(std::make_unique<Impl>()) {
  impl_->machine.idempotent = idempotent;
  impl_->machine.start();
}

RequestMachine::~RequestMachine() = default;

bool RequestMachine::Process(RequestEvent event) {
  return ProcessEvent(impl_->machine, kFeeders, static_cast<std::size_t>(event));
}

RequestState RequestMachine::state() const {
  return kStateOrder.at(static_cast<std::size_t>(impl_->machine.current_state()[0]));
}

bool RequestMachine::ended() const {
  switch (state()) {
    case RequestState::kAnswered:
    case RequestState::kNotRun:
    case RequestState::kUnknown:
    case RequestState::kCutShort:
      return true;
    default:
      return false;
  }
}

bool RequestMachine::AllowsRetry() const {
  return state() == RequestState::kNotRun ||
         (state() == RequestState::kUnknown && impl_->machine.idempotent);
}

}  // namespace dn
