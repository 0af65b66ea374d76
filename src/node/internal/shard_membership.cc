// Membership in the group that deals shards. A member's name tells its address
// and its size, so that the list of owners says where to find them and which
// nodes may stand back.
#include "node/internal/shard_membership.h"

#include <charconv>

namespace dn {
namespace {

// Joins within the time to live: two may fail.
constexpr int kJoinsPerLife = 3;
// Age up to which the list of owners is used without asking again. An owner that
// was replaced cannot record anything, and a call that it does not answer drops
// the list.
constexpr Duration kOwnerAge{3'500};
// Age up to which the list of members is kept without asking again.
constexpr Duration kMembersAge{3'000};
// The same for a node that stands back, and is to notice when nobody owns.
constexpr Duration kStandbyAge{1'500};
// Pause after a read that failed.
constexpr Duration kRetryPause{500};
// Between looks at the members before the first join.
constexpr Duration kFirstLook{150};
constexpr double kThousandths = 1'000;

// Name of a member: "host:port/share in thousandths of a core/incarnation".
std::string NewMember(const Endpoint& address, double processor_share) {
  const auto thousandths = static_cast<std::int64_t>(processor_share * kThousandths);
  return address.ToString() + "/" + std::to_string(thousandths) + "/" +
         std::to_string(NewIncarnation());
}

struct MemberName {
  Endpoint address;
  double processor_share = 0;
};

Result<MemberName> ParseMember(const std::string& member) {
  const std::size_t slash = member.find('/');
  const std::size_t colon = member.rfind(':', slash);
  if (slash == std::string::npos || colon == std::string::npos) return Errc::kMalformed;
  MemberName out{.address = {.host = member.substr(0, colon), .port = 0}, .processor_share = 0};
  const char* const text = member.data();
  const auto port = std::from_chars(text + colon + 1, text + slash, out.address.port);
  if (port.ec != std::errc() || port.ptr != text + slash) return Errc::kMalformed;
  std::int64_t thousandths = 0;
  const auto share = std::from_chars(text + slash + 1, text + member.size(), thousandths);
  if (share.ec != std::errc()) return Errc::kMalformed;
  out.processor_share = static_cast<double>(thousandths) / kThousandths;
  return out;
}

}  // namespace

ShardMembership::ShardMembership(StoreClient& store, Endpoint own_address, double processor_share,
                                 Duration time_to_live, Events events)
    : store_(store),
      own_address_(std::move(own_address)),
      processor_share_(processor_share),
      time_to_live_(time_to_live),
      events_(std::move(events)),
      table_(Table{.member = NewMember(own_address_, processor_share),
                   .candidacy = Candidacy(processor_share)}) {}

Join ShardMembership::JoinOf(const Table& table) const {
  return Join({.group = kOwnerGroup,
               .member = table.member,
               .topic = kJobsTopic,
               .time_to_live = time_to_live_,
               .generation = table.generation});
}

Task<> ShardMembership::Run() {
  while (true) {
    const auto [leaving, joined, renew, offers, join] = table_.With([&](Table& table) {
      return std::make_tuple(table.leaving, table.joined, std::exchange(table.renew, false),
                             table.candidacy.IsCandidate(), JoinOf(table));
    });
    if (leaving) co_return;
    if (joined && (renew || !offers)) {
      if (!offers) events_.candidacy(false);
      co_await StepDown(join);
    } else if (offers) {
      co_await KeepJoined(join);
      co_await SleepFor(time_to_live_ / kJoinsPerLife);
    } else {
      auto read = co_await ReadOwners();
      const bool rivalled =
          table_.With([](Table& table) { return table.candidacy.SeesLargerMember(); });
      co_await SleepFor(!read ? kRetryPause : rivalled ? kStandbyAge : kFirstLook);
    }
  }
}

Task<> ShardMembership::KeepJoined(Join join) {
  const bool first = table_.With([](Table& table) { return !std::exchange(table.joined, true); });
  if (first) events_.candidacy(true);
  auto joined = co_await store_.JoinGroup(join);
  if (joined) Apply(joined.value());
  // Kept fresh for when the store turns this node away, and to step down for a
  // larger node.
  const bool old =
      table_.With([](Table& table) { return Now() - table.members_read > kMembersAge; });
  if (joined && old) co_await ReadOwners();
}

Task<> ShardMembership::StepDown(Join join) {
  Apply(Membership({.generation = join->generation, .partitions = {}}));
  co_await store_.LeaveGroup(join);
  table_.With([&](Table& table) {
    table.member = NewMember(own_address_, processor_share_);
    table.generation = 0;
    table.joined = false;
  });
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
  if (!owners) {
    table_.With([](Table& table) { table.candidacy.RecordReadFailure(); });
    co_return owners.error();
  }
  const Time now = Now();
  table_.With([&](Table& table) {
    table.owners.clear();
    std::vector<double> shares;
    for (const PartitionOwner& owner : owners.value()) {
      table.owners[owner->partition] = owner->member;
      const auto member = ParseMember(owner->member);
      if (member && member.value().address != own_address_) {
        shares.push_back(member.value().processor_share);
      }
    }
    table.candidacy.RecordMembers(shares, now);
    table.owners_read = now;
    table.members_read = now;
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
  auto parsed = ParseMember(*member);
  if (!parsed) return parsed.error();
  return parsed.value().address;
}

// All partitions are dealt, also those that no shard uses, so that their
// holders are all members.
std::vector<Endpoint> ShardMembership::OtherMembers() {
  const auto owners = table_.With([](Table& table) { return table.owners; });
  std::set<Endpoint> addresses;
  for (const auto& [partition, member] : owners) {
    const auto parsed = ParseMember(member);
    if (parsed && parsed.value().address != own_address_) addresses.insert(parsed.value().address);
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace dn
