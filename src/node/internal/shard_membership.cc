// Membership in the group that deals shards. A member's name starts with its
// address, so that the list of owners tells where to find them.
#include "node/internal/shard_membership.h"

#include <charconv>

namespace dn {
namespace {

// Joins within the time to live: two may fail.
constexpr int kJoinsPerLife = 3;
// Age up to which the list of owners is used without asking again.
constexpr Duration kOwnerAge{1'000};
// Age up to which the list of members is kept without asking again.
constexpr Duration kMembersAge{3'000};

std::string NewMember(const Endpoint& address) {
  return address.ToString() + "/" + std::to_string(NewIncarnation());
}

Result<Endpoint> AddressOf(const std::string& member) {
  const std::size_t slash = member.find('/');
  const std::size_t colon = member.rfind(':', slash);
  if (slash == std::string::npos || colon == std::string::npos) return Errc::kMalformed;
  Endpoint out{.host = member.substr(0, colon), .port = 0};
  const auto [end, error] =
      std::from_chars(member.data() + colon + 1, member.data() + slash, out.port);
  if (error != std::errc() || end != member.data() + slash) return Errc::kMalformed;
  return out;
}

}  // namespace

ShardMembership::ShardMembership(StoreClient& store, Endpoint own_address, Duration time_to_live,
                                 Events events)
    : store_(store),
      own_address_(std::move(own_address)),
      time_to_live_(time_to_live),
      events_(std::move(events)) {
  table_.With([&](Table& table) { table.member = NewMember(own_address_); });
}

Join ShardMembership::JoinOf(const Table& table) const {
  return Join({.group = kOwnerGroup,
               .member = table.member,
               .topic = kJobsTopic,
               .time_to_live = time_to_live_,
               .generation = table.generation});
}

Task<> ShardMembership::Run() {
  while (true) {
    const auto [leaving, renew, join] = table_.With([&](Table& table) {
      return std::make_tuple(table.leaving, std::exchange(table.renew, false), JoinOf(table));
    });
    if (leaving) co_return;
    if (renew) {
      Apply(Membership({.generation = join->generation, .partitions = {}}));
      co_await store_.LeaveGroup(join);
      table_.With([&](Table& table) {
        table.member = NewMember(own_address_);
        table.generation = 0;
      });
      continue;
    }
    auto joined = co_await store_.JoinGroup(join);
    if (joined) Apply(joined.value());
    // Kept fresh for when the store turns this node away.
    const bool old =
        table_.With([](Table& table) { return Now() - table.members_read > kMembersAge; });
    if (joined && old) co_await ReadOwners();
    co_await SleepFor(time_to_live_ / kJoinsPerLife);
  }
}

void ShardMembership::Apply(const Membership& membership) {
  std::vector<int> gained;
  std::vector<int> lost;
  table_.With([&](Table& table) {
    if (table.leaving) return;
    table.generation = membership->generation;
    std::set<int> now_held;
    for (const int shard : membership->partitions) {
      if (shard < kShardCount) now_held.insert(shard);
    }
    for (const int shard : now_held) {
      if (table.held.count(shard) == 0) gained.push_back(shard);
    }
    for (const int shard : table.held) {
      if (now_held.count(shard) == 0) lost.push_back(shard);
    }
    table.held = std::move(now_held);
  });
  for (const int shard : lost) events_.lost(shard);
  for (const int shard : gained) events_.gained(shard, membership->generation);
}

Task<> ShardMembership::Leave() {
  auto [join, held] = table_.With([&](Table& table) {
    table.leaving = true;
    return std::make_pair(JoinOf(table), std::exchange(table.held, {}));
  });
  for (const int shard : held) events_.lost(shard);
  co_await store_.LeaveGroup(join);
}

void ShardMembership::Renew() {
  table_.With([](Table& table) { table.renew = true; });
}

void ShardMembership::ForgetOwners() {
  table_.With([](Table& table) { table.owners_read = Time(); });
}

Task<Result<Endpoint>> ShardMembership::OwnerOf(int shard) {
  const Time now = Now();
  const bool stale = table_.With([&](Table& table) { return now - table.owners_read > kOwnerAge; });
  if (stale) {
    auto read = co_await ReadOwners();
    if (!read) co_return read.error();
  }
  co_return FindOwner(shard);
}

Task<Result<>> ShardMembership::ReadOwners() {
  auto owners = co_await store_.Owners(kOwnerGroup, kJobsTopic);
  if (!owners) co_return owners.error();
  table_.With([&](Table& table) {
    table.owners.clear();
    for (const PartitionOwner& owner : owners.value()) {
      table.owners[owner->partition] = owner->member;
    }
    table.owners_read = Now();
    table.members_read = Now();
  });
  co_return boost::outcome_v2::success();
}

Result<Endpoint> ShardMembership::KnownOwnerOf(int shard) {
  const Time now = Now();
  const bool held = table_.With([&](Table& table) { return table.held.count(shard) > 0; });
  if (held) return own_address_;
  const bool stale = table_.With([&](Table& table) { return now - table.owners_read > kOwnerAge; });
  if (stale) return Errc::kUnavailable;
  return FindOwner(shard);
}

Result<Endpoint> ShardMembership::FindOwner(int shard) {
  const auto member = table_.With([&](Table& table) -> std::optional<std::string> {
    const auto found = table.owners.find(shard);
    if (found == table.owners.end()) return std::nullopt;
    return found->second;
  });
  if (!member) return Errc::kNotFound;
  return AddressOf(*member);
}

// All partitions are dealt, also those that no shard uses, so that their
// holders are all members.
std::vector<Endpoint> ShardMembership::OtherMembers() {
  const auto owners = table_.With([](Table& table) { return table.owners; });
  std::set<Endpoint> addresses;
  for (const auto& [partition, member] : owners) {
    const auto address = AddressOf(member);
    if (address && address.value() != own_address_) addresses.insert(address.value());
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace dn
