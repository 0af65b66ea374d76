// Sends heartbeats to the siblings of this instance, the other members of its
// region.
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "core/core.h"
#include "runtime/runtime.h"

namespace dn {

inline constexpr const char* kHeartbeatMethod = "heartbeat";
inline constexpr const char* kRpcPath = "/rpc";
inline constexpr Duration kHeartbeatTimeout{1000};

// Returns the period at which an instance with this number of siblings sends its
// heartbeats. The period grows with the number of siblings, so that heartbeats use
// a fixed part of the instance's traffic budget of 6 KB/s.
inline Duration HeartbeatPeriod(std::size_t siblings) {
  constexpr Duration kShortest{500};
  constexpr Duration kPerSibling{200};  // A heartbeat with its response is about 500 bytes.
  return std::max(kShortest, kPerSibling * static_cast<int>(siblings));
}

// Periodically sends a heartbeat to each sibling.
class HeartbeatSender {
 public:
  using Siblings = std::function<std::vector<Instance>()>;
  using HeartbeatFactory = std::function<Heartbeat()>;
  using OnResponse = std::function<void(const Heartbeat&, Time sent)>;

  // A sibling responds to a heartbeat with its own heartbeat. `on_response` is
  // called with that heartbeat and the time at which the call was sent.
  HeartbeatSender(WorkerPool& pool, HttpClient& http, Metrics& metrics, Siblings siblings,
                  HeartbeatFactory make_heartbeat, OnResponse on_response)
      : pool_(pool),
        http_(http),
        metrics_(metrics),
        siblings_(std::move(siblings)),
        make_heartbeat_(std::move(make_heartbeat)),
        on_response_(std::move(on_response)) {}

  // Sends heartbeats at HeartbeatPeriod until the pool stops.
  Task<> Run();
  // Makes Run send the next heartbeats immediately.
  void SendNow() { wake_.NotifyAll(); }

 private:
  Task<> SendTo(Instance sibling, Heartbeat heartbeat);

  WorkerPool& pool_;
  HttpClient& http_;
  Metrics& metrics_;
  const Siblings siblings_;
  const HeartbeatFactory make_heartbeat_;
  const OnResponse on_response_;
  Notifier wake_;
};

}  // namespace dn
