// Membership in the group that assigns shards. The name of a member contains its
// address and its processor share, so that the owner list is sufficient to reach the
// owners and to decide which nodes withdraw their candidacy.
#include "node/internal/shard_membership.h"

#include <charconv>

namespace dn {
namespace {

// Number of joins within the time to live. Two consecutive ones may fail before the
// store evicts this node.
constexpr int kJoinsPerTimeToLive = 3;
// Longest time between the sending of two joins, so that an owner with a long time to
// live stays confirmed, too.
constexpr Duration kMaxJoinPeriod = kMaxViewAge / 3;
// Shortest pause between a response and the next join: a round trip between two regions.
constexpr Duration kMinJoinPause{40};
// Maximum age of the cached owner list. A stale entry is safe: an owner that
// was replaced is fenced, and a failed call to it invalidates the list.
constexpr Duration kMaxOwnersAge{3'500};
// A list of owners that is younger than this is not read again, although a call to the
// owner failed: many requests can fail at the same time.
constexpr Duration kMinOwnersAge{100};
// Maximum age of the list of members while this node is a member.
constexpr Duration kMaxMembersAge{3'000};
// Pause between reads of a node that has withdrawn its candidacy; it must notice
// when a shard has no owner.
constexpr Duration kStandbyReadPause{1'500};
// Pause after a read that failed.
constexpr Duration kRetryPause{500};
// Pause between reads of the members before the first join.
constexpr Duration kFirstReadPause{150};
// The name of a member states the processor share in thousandths of a core.
constexpr double kThousandths = 1'000;

// Name of a member: "host:port/share in thousandths of a core/incarnation".
std::string NewMemberName(const Endpoint& address, double processor_share) {
  const auto thousandths = static_cast<std::int64_t>(processor_share * kThousandths);
  return address.ToString() + "/" + std::to_string(thousandths) + "/" +
         std::to_string(NewIncarnation());
}

struct MemberName {
  Endpoint address;
  double processor_share = 0;
};

// kMalformed: `member` does not have the format of NewMemberName.
Result<MemberName> ParseMemberName(const std::string& member) {
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
      table_(Table{.member = NewMemberName(own_address_, processor_share),
                   .candidacy = Candidacy(processor_share)}) {}

Join ShardMembership::MakeJoin(const Table& table) const {
  return Join({.group = kOwnerGroup,
               .member = table.member,
               .topic = kJobsTopic,
               .time_to_live = time_to_live_,
               .generation = table.generation});
}

Task<> ShardMembership::Run() {
  while (true) {
    const auto [leaving, joined, rejoin, is_candidate, join] = table_.With([&](Table& table) {
      return std::make_tuple(table.leaving, table.joined, std::exchange(table.rejoin, false),
                             table.candidacy.IsCandidate(), MakeJoin(table));
    });
    if (leaving) co_return;
    if (joined && (rejoin || !is_candidate)) {
      if (!is_candidate) events_.candidacy(false);
      co_await StepDown(join);
    } else if (is_candidate) {
      const Time next = Now() + std::min(time_to_live_ / kJoinsPerTimeToLive, kMaxJoinPeriod);
      co_await RenewMembership(join);
      co_await SleepFor(std::max(next - Now(), kMinJoinPause));
    } else {
      auto read = co_await ReadOwners();
      const bool has_larger_member =
          table_.With([](Table& table) { return table.candidacy.SeesLargerMember(); });
      co_await SleepFor(!read               ? kRetryPause
                        : has_larger_member ? kStandbyReadPause
                                            : kFirstReadPause);
    }
  }
}

Task<> ShardMembership::RenewMembership(Join join) {
  const bool first_join =
      table_.With([](Table& table) { return !std::exchange(table.joined, true); });
  if (first_join) events_.candidacy(true);
  const Time sent = Now();
  auto joined = co_await store_.JoinGroup(join);
  if (joined) ApplyAssignment(joined.value(), sent);
  // OtherMembers needs a recent list when the store rejects this node, and the
  // candidacy needs one to withdraw in favour of a larger node.
  const bool stale =
      table_.With([](Table& table) { return Now() - table.members_read > kMaxMembersAge; });
  if (joined && stale) co_await ReadOwners();
}

Task<> ShardMembership::StepDown(Join join) {
  ApplyAssignment(Membership({.generation = join->generation, .partitions = {}}), Time());
  co_await store_.LeaveGroup(join);
  table_.With([&](Table& table) {
    table.member = NewMemberName(own_address_, processor_share_);
    table.generation = 0;
    table.joined = false;
  });
}

void ShardMembership::ApplyAssignment(const Membership& membership, Time sent) {
  std::vector<int> gained;
  std::vector<int> lost;
  table_.With([&](Table& table) {
    if (table.leaving) return;
    const bool has_run_out = table.confirmed != Time() && sent - table.confirmed >= time_to_live_ &&
                             membership->generation != table.generation;
    const std::map<int, FencingToken> before = std::exchange(table.owned, {});
    for (const int shard : membership->partitions) {
      if (shard >= kShardCount) continue;
      const auto known = before.find(shard);
      const bool kept = known != before.end() && !has_run_out;
      table.owned[shard] = kept ? known->second : membership->generation;
      if (!kept) gained.push_back(shard);
    }
    for (const auto& [shard, token] : before) {
      if (table.owned.count(shard) == 0 || has_run_out) lost.push_back(shard);
    }
    table.generation = membership->generation;
    table.confirmed = sent;
  });
  for (const int shard : lost) events_.lost(shard);
  for (const int shard : gained) events_.gained(shard, membership->generation);
}

Task<> ShardMembership::Leave() {
  auto [join, owned] = table_.With([&](Table& table) {
    table.leaving = true;
    return std::make_pair(MakeJoin(table), std::exchange(table.owned, {}));
  });
  for (const auto& entry : owned) events_.lost(entry.first);
  co_await store_.LeaveGroup(join);
}

void ShardMembership::Rejoin() {
  table_.With([](Table& table) { table.rejoin = true; });
}

void ShardMembership::InvalidateOwners() {
  table_.With([](Table& table) { table.owners_read = Time(); });
}

Time ShardMembership::last_confirmed(int shard, FencingToken token) {
  return table_.With([&](Table& table) {
    const auto found = table.owned.find(shard);
    const bool owned = found != table.owned.end() && found->second == token;
    return owned ? table.confirmed : Time();
  });
}

Task<Result<Endpoint>> ShardMembership::OwnerOf(int shard) {
  const Time now = Now();
  const bool stale = table_.With([&](Table& table) {
    return now - table.owners_read > kMaxOwnersAge && now - table.members_read > kMinOwnersAge;
  });
  if (stale) {
    auto read = co_await ReadOwners();
    if (!read) co_return read.error();
  }
  co_return FindOwner(shard);
}

Task<Result<>> ShardMembership::ReadOwners() {
  const Time sent = Now();
  auto owners = co_await store_.Owners(kOwnerGroup, kJobsTopic);
  if (!owners) {
    table_.With([](Table& table) { table.candidacy.RecordReadFailure(); });
    co_return owners.error();
  }
  table_.With([&](Table& table) {
    // A response that arrives late is older than the list that is known.
    if (sent < table.members_read) return;
    table.owners.clear();
    std::vector<double> shares;
    for (const PartitionOwner& owner : owners.value()) {
      table.owners[owner->partition] = owner->member;
      if (owner->member != table.member) table.earlier_owners[owner->partition] = owner->member;
      const auto member = ParseMemberName(owner->member);
      if (member && member.value().address != own_address_) {
        shares.push_back(member.value().processor_share);
      }
    }
    table.candidacy.RecordMembers(shares, sent);
    table.owners_read = sent;
    table.members_read = sent;
  });
  co_return boost::outcome_v2::success();
}

Result<Endpoint> ShardMembership::CachedOwnerOf(int shard) {
  const Time now = Now();
  const bool owned = table_.With([&](Table& table) {
    return table.owned.count(shard) > 0 && now - table.confirmed < time_to_live_;
  });
  if (owned) return own_address_;
  const bool stale =
      table_.With([&](Table& table) { return now - table.owners_read > kMaxOwnersAge; });
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
  auto parsed = ParseMemberName(*member);
  if (!parsed) return parsed.error();
  return parsed.value().address;
}

std::string ShardMembership::EarlierOwnerOf(int shard) {
  return table_.With([&](Table& table) {
    const auto found = table.earlier_owners.find(shard);
    return found == table.earlier_owners.end() ? std::string() : found->second;
  });
}

// The group assigns all partitions of the topic, including those that no shard uses,
// so that the owner list contains every member.
std::vector<Endpoint> ShardMembership::OtherMembers() {
  const auto owners = table_.With([](Table& table) { return table.owners; });
  std::set<Endpoint> addresses;
  for (const auto& [partition, member] : owners) {
    const auto parsed = ParseMemberName(member);
    if (parsed && parsed.value().address != own_address_) addresses.insert(parsed.value().address);
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace dn
