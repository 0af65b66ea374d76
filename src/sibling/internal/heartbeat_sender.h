// Sends heartbeats to the siblings of this instance's region.
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

// Period that keeps heartbeats to a stated part of an instance's 6 KB/s.
inline Duration HeartbeatPeriod(std::size_t siblings) {
  constexpr Duration kShortest{500};
  constexpr Duration kPerSibling{200};  // About 500 bytes for each, with reply.
  return std::max(kShortest, kPerSibling * static_cast<int>(siblings));
}

class HeartbeatSender {
 public:
  using Siblings = std::function<std::vector<Instance>()>;
  using Make = std::function<Heartbeat()>;
  using Heard = std::function<void(const Heartbeat&, Time sent)>;

  // The answer to a heartbeat is the sibling's own heartbeat: `heard` gets it,
  // with the time at which the call was sent.
  HeartbeatSender(WorkerPool& pool, HttpClient& http, Metrics& metrics, Siblings siblings,
                  Make make, Heard heard)
      : pool_(pool),
        http_(http),
        metrics_(metrics),
        siblings_(std::move(siblings)),
        make_(std::move(make)),
        heard_(std::move(heard)) {}

  // Sends at the period above, and at once after SendNow.
  Task<> Run();
  void SendNow() { wake_.NotifyAll(); }

 private:
  Task<> SendTo(Instance sibling, Heartbeat heartbeat);

  WorkerPool& pool_;
  HttpClient& http_;
  Metrics& metrics_;
  const Siblings siblings_;
  const Make make_;
  const Heard heard_;
  Notifier wake_;
};

}  // namespace dn
