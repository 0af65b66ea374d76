// Defines helpers for state machines: a Boost.MSM front end that records events
// without a transition, and the dispatch of events by an index. Only sources that
// define a transition table include this file.
#pragma once

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>

namespace dn {

// Base of a machine's definition.
template <class Definition>
struct MachineDefinition : boost::msm::front::state_machine_def<Definition> {
  template <class Event, class Machine>
  void no_transition(const Event&, Machine&, int) {
    rejected = true;
  }
  bool rejected = false;  // The last event had no transition.
};

// Processes an event of type Event.
template <class Machine, class Event>
void Feed(Machine& machine) {
  machine.process_event(Event{});
}

// Processes the event at `index` of `feeders`. Returns true if the state changed, and
// false, without a change, if the event has no transition from the current state.
template <class Machine, std::size_t kEvents>
bool ProcessEvent(Machine& machine, const std::array<void (*)(Machine&), kEvents>& feeders,
                  std::size_t index) {
  const int before = machine.current_state()[0];
  machine.rejected = false;
  feeders.at(index)(machine);
  return !machine.rejected && machine.current_state()[0] != before;
}

}  // namespace dn
