// Sends heartbeats over JSON-RPC.
#include "sibling/internal/heartbeat_sender.h"

#include "sibling/internal/rpc_codec.h"

namespace dn {

Task<> HeartbeatSender::SendTo(Instance sibling, Heartbeat heartbeat) {
  HttpCall call{.method = HttpMethod::kPost,
                .path = kRpcPath,
                .query = {},
                .body = EncodeRpcCall(kHeartbeatMethod, EncodeText(heartbeat))};
  const Time sent = Now();
  metrics_.Add(Counter::kHeartbeatsSent);
  auto response = co_await http_.Call(sibling->sibling_address, std::move(call), kHeartbeatTimeout,
                                      TrafficKind::kSibling);
  if (!response || response.value().status != 200) co_return;
  const auto returned = DecodeMessage<Heartbeat>(DecodeRpcResponse(response.value().body));
  if (returned) on_response_(returned.value(), sent);
}

Task<> HeartbeatSender::Run() {
  while (true) {
    const std::uint64_t ticket = wake_.Ticket();
    const std::vector<Instance> siblings = siblings_();
    for (const Instance& sibling : siblings) pool_.Spawn(SendTo(sibling, make_heartbeat_()));
    co_await wake_.Wait(ticket, Now() + HeartbeatPeriod(siblings.size()));
  }
}

}  // namespace dn
