// The calls of a shard's owner to one worker, and what they may still do there.
//
// A call names its worker by an identifier that outlives the worker's incarnations, and a call
// without a response may be carried out seconds later, by a later incarnation too. The owner
// therefore numbers its calls in series: a new one begins after each call without a response and
// with each incarnation, and its fencing token is higher. Once an incarnation has answered a
// renewal of a series, it refuses all calls of the earlier ones.
#pragma once

#include "scheduling/internal/orders.h"

namespace dn {

// How long after its sending a call without a response may still be carried out, as far as the
// platform delays it: that says "seconds", and calls have been seen to take 12 s. It is no bound of
// the time in the network, where a partition holds calls up for as long as it lasts; there, the
// reset of the connection (ResetWhenClosed) ends a call that is given up.
constexpr Duration kLateCallLimit{12'000};
// Time limit of an order, which a worker answers within one round trip.
constexpr Duration kOrderTimeout{1'000};
// Age from which a start is not sent any more: the owner may have been paused, or the worker does
// not respond, and the task is better placed anew. A fifth of the lease that the start carries.
constexpr Duration kMaxStartAge{1'000};

class WorkerCalls {
 public:
  // `first`: above all series of earlier calls of this owner to the worker.
  explicit WorkerCalls(CallSeries first = 0) : series_(first), renewal_series_(first) {}

  // Series of the calls that are sent now.
  CallSeries series() const { return series_; }
  // Series of the last renewal.
  CallSeries renewal_series() const { return renewal_series_; }
  // The incarnation that reported last refuses the calls of all series before this one.
  CallSeries refused_before() const { return refused_before_; }
  // Whether no call to the incarnation that reported last can be carried out late.
  bool settled() const { return refused_before_ == series_; }
  // Whether that incarnation refuses all calls that were sent before its first report. Those may
  // grant a lease by the clock of an earlier incarnation.
  bool knows_incarnation() const { return refused_before_ >= first_series_; }

  // A renewal is sent. The next one follows after its response or its failure.
  void RenewalSent() { renewal_series_ = series_; }
  // The incarnation that reported last has answered the renewal.
  void RenewalAnswered();
  // A call of `series` got no response.
  void Unanswered(CallSeries series);
  // A new incarnation has answered the renewal. Call it before RenewalAnswered().
  void Restarted();

 private:
  // Begins a new series. The last one never ends: its late calls are then refused by nobody, and
  // only their time limit tells that they are over.
  void BeginSeries();

  CallSeries series_;
  CallSeries renewal_series_;      // Of the last renewal; at most `series_`.
  CallSeries refused_before_ = 0;  // At most `series_`.
  CallSeries first_series_ = 0;    // Begun with the first report of the last incarnation.
};

}  // namespace dn
