// Reading of streams, applying of configurations, and control calls, for operators.
#include "operators/internal/operator_client.h"

#include <iostream>

namespace dn {
namespace {

constexpr Duration kCallTimeout{3000};
constexpr Duration kApplyRetryInterval{300};

}  // namespace

template <class Record, class Fold>
Task<Result<Fold>> OperatorClient::ReadAll(std::string stream) {
  Fold fold;
  Offset next = 0;
  bool begun = false;
  while (true) {
    const auto page = co_await store_.Read(PartitionOf(stream), next, Duration(0));
    if (!page) co_return page.error();
    if (page.value()->expired) next = page.value()->oldest;
    if (page.value()->expired || !begun) fold.Begin(next);
    begun = true;
    if (page.value()->expired) continue;
    const auto skip = [&](Offset offset) {
      std::cerr << "unreadable record skipped: " << stream << '@' << offset << '\n';
    };
    for (const auto& record : DecodePage<Record>(page.value(), skip)) fold.Apply(record);
    next = page.value()->next;
    if (next >= page.value()->end) break;
  }
  if (!fold.ready()) co_return Errc::kExpired;
  co_return fold;
}

Task<Result<ConfigurationState>> OperatorClient::ReadConfiguration() {
  auto fold = co_await ReadAll<ConfigurationRecord, ConfigurationFold>(kConfigurationStream);
  if (!fold) co_return fold.error();
  co_return fold.value().state();
}

Task<Result<MembershipState>> OperatorClient::ReadMembership() {
  auto fold = co_await ReadAll<MembershipRecord, MembershipFold>(kMembershipStream);
  if (!fold) co_return fold.error();
  co_return fold.value().state();
}

Task<Result<Applied>> OperatorClient::ApplyConfiguration(RecordId id, Offset base,
                                                         Configuration configuration,
                                                         Time deadline) {
  const ConfigurationRecord record(
      {.apply = Apply({.id = id, .base = base, .configuration = std::move(configuration)})});
  const std::vector<StoreRecord> records(1, StoreRecord({.value = EncodeText(record)}));
  while (true) {
    // The record may have been appended even if the append failed, so the stream is read in any
    // case. A repeated append has the same `id` and therefore does not count as a second change.
    const auto appended =
        co_await store_.Append(PartitionOf(kConfigurationStream), std::nullopt, records);
    const auto state = co_await ReadConfiguration();
    if (state) {
      if (const auto result = state.value().ApplyResultOf(id)) {
        co_return Applied{.result = *result, .base_revision = base};
      }
    }
    if (Now() >= deadline) co_return appended ? Errc::kTimeout : appended.error();
    co_await SleepFor(kApplyRetryInterval);
  }
}

Task<Result<HttpReply>> OperatorClient::Call(Instance instance, HttpCall call) {
  co_return co_await http_.Call(instance->sibling_address, std::move(call), kCallTimeout,
                                TrafficKind::kOperator);
}

Task<Result<Status>> OperatorClient::StatusOf(Instance instance) {
  HttpCall call{.method = HttpMethod::kGet, .path = "/status", .query = {}, .body = {}};
  const auto reply = co_await Call(std::move(instance), std::move(call));
  if (!reply) co_return reply.error();
  co_return DecodeMessage<Status>(reply.value().body);
}

Task<Result<std::vector<Event>>> OperatorClient::EventsOf(Instance instance, std::int64_t after) {
  HttpCall call{.method = HttpMethod::kGet,
                .path = "/events",
                .query = {{"after", std::to_string(after)}},
                .body = {}};
  const auto reply = co_await Call(std::move(instance), std::move(call));
  if (!reply) co_return reply.error();
  co_return DecodeMessage<std::vector<Event>>(reply.value().body);
}

}  // namespace dn
