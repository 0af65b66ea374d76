// Membership in the group that assigns shards. The name of a member contains its
// address, its processor share and its distance to the store, so that the owner list is
// sufficient to reach the owners and to decide which nodes withdraw their candidacy.
#include "node/internal/shard_membership.h"

#include <charconv>
#include <random>

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
// Pause after the first read that failed, and the longest one.
constexpr Duration kRetryPause{300};
constexpr Duration kMaxRetryPause{800};
// Pause between reads of the members before the first join.
constexpr Duration kFirstReadPause{150};
// The name of a member states the processor share in thousandths of a core.
constexpr double kThousandths = 1'000;

// Name of a member: "host:port/share in thousandths of a core/incarnation/round trip to the store
// in ms". Earlier versions end with the incarnation and ignore what follows it. The last field is
// left out while the round trip is not known.
std::string NewMemberName(const Endpoint& address, double processor_share,
                          std::optional<Duration> round_trip) {
  const auto thousandths = static_cast<std::int64_t>(processor_share * kThousandths);
  return address.ToString() + "/" + std::to_string(thousandths) + "/" +
         std::to_string(NewIncarnation()) +
         (round_trip ? "/" + std::to_string(round_trip->count()) : "");
}

struct MemberName {
  Endpoint address;
  GroupMember member;
};

// Returns the number that `field` begins with; nothing if it begins with none or a negative one.
std::optional<std::int64_t> NumberOf(std::string_view field) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(field.data(), field.data() + field.size(), number);
  if (parsed.ec != std::errc() || number < 0) return std::nullopt;
  return number;
}

// Returns the field after the `index`th slash, up to the next one; empty if there is none.
std::string_view FieldOf(std::string_view name, int index) {
  for (; index > 0; --index) {
    const std::size_t slash = name.find('/');
    if (slash == std::string_view::npos) return {};
    name.remove_prefix(slash + 1);
  }
  return name.substr(0, name.find('/'));
}

// kMalformed: `member` does not have the format of NewMemberName.
Result<MemberName> ParseMemberName(const std::string& member) {
  const std::string_view address = FieldOf(member, 0);
  const std::size_t colon = address.rfind(':');
  const auto thousandths = NumberOf(FieldOf(member, 1));
  if (colon == std::string_view::npos || !thousandths) return Errc::kMalformed;
  Endpoint endpoint{.host = std::string(address.substr(0, colon)), .port = 0};
  const char* const end = address.data() + address.size();
  const auto port = std::from_chars(address.data() + colon + 1, end, endpoint.port);
  if (port.ec != std::errc() || port.ptr != end) return Errc::kMalformed;
  GroupMemberFields fields{.processor_share = static_cast<double>(*thousandths) / kThousandths,
                           .store_round_trip = {}};
  if (const auto ms = NumberOf(FieldOf(member, 3))) fields.store_round_trip = Duration(*ms);
  return MemberName{.address = std::move(endpoint), .member = GroupMember(fields)};
}

}  // namespace

ShardMembership::ShardMembership(StoreClient& store, Endpoint own_address, double processor_share,
                                 Duration time_to_live, Events events)
    : store_(store),
      own_address_(std::move(own_address)),
      processor_share_(processor_share),
      time_to_live_(time_to_live),
      events_(std::move(events)),
      read_retries_(kRetryPause, kMaxRetryPause, std::random_device{}()),
      table_(Table{.member = NewMemberName(own_address_, processor_share, std::nullopt),
                   .assignment = ShardAssignment(time_to_live),
                   .candidacy = Candidacy(processor_share)}) {}

Join ShardMembership::MakeJoin(const Table& table) const {
  return Join({.group = kOwnerGroup,
               .member = table.member,
               .topic = kJobsTopic,
               .time_to_live = time_to_live_,
               .generation = table.assignment.generation()});
}

Task<> ShardMembership::Run() {
  while (true) {
    const auto [leaving, joined, rejoin, is_candidate, join] = table_.With([&](Table& table) {
      return std::make_tuple(table.leaving, table.joined, std::exchange(table.rejoin, false),
                             table.candidacy.IsCandidate(), MakeJoin(table));
    });
    if (leaving) co_return;
    if (joined && (rejoin || !is_candidate)) {
      if (!is_candidate) ReportCandidacy();
      co_await StepDown(join);
    } else if (is_candidate) {
      const Time next = Now() + std::min(time_to_live_ / kJoinsPerTimeToLive, kMaxJoinPeriod);
      co_await RenewMembership(join);
      co_await SleepFor(std::max(next - Now(), kMinJoinPause));
    } else {
      auto read = co_await ReadOwners();
      const bool stands_by =
          table_.With([](Table& table) { return table.candidacy.SeesPreferredMember(); });
      if (read) read_retries_.Reset();
      co_await SleepFor(!read       ? read_retries_.Next()
                        : stands_by ? kStandbyReadPause
                                    : kFirstReadPause);
    }
  }
}

Task<> ShardMembership::RenewMembership(Join join) {
  const bool first_join =
      table_.With([](Table& table) { return !std::exchange(table.joined, true); });
  if (first_join) {
    ReportCandidacy();
    join = table_.With([&](Table& table) {
      // The name stays as long as the membership lasts; the distance is known from the reads.
      table.member =
          NewMemberName(own_address_, processor_share_, table.candidacy.store_round_trip());
      return MakeJoin(table);
    });
  }
  const Time sent = Now();
  auto joined = co_await store_.JoinGroup(join);
  if (joined) {
    RecordRoundTrip(sent);
    ApplyAssignment(joined.value(), sent);
  }
  // OtherMembers needs a recent list when the store rejects this node, and the
  // candidacy needs one to withdraw in favour of a larger node.
  const bool stale =
      table_.With([](Table& table) { return Now() - table.members_read > kMaxMembersAge; });
  if (joined && stale) co_await ReadOwners();
}

void ShardMembership::ReportCandidacy() {
  events_.candidacy(table_.With([](Table& table) { return table.candidacy; }));
}

void ShardMembership::RecordRoundTrip(Time sent) {
  const Duration took = Now() - sent;
  table_.With([took](Table& table) { table.candidacy.RecordRoundTrip(took); });
}

Task<> ShardMembership::StepDown(Join join) {
  Report(table_.With([](Table& table) { return table.assignment.Release(); }));
  co_await store_.LeaveGroup(join);
  table_.With([&](Table& table) {
    table.member =
        NewMemberName(own_address_, processor_share_, table.candidacy.store_round_trip());
    table.assignment = ShardAssignment(time_to_live_);
    table.joined = false;
  });
}

void ShardMembership::ApplyAssignment(const Membership& membership, Time sent) {
  Report(table_.With([&](Table& table) {
    return table.leaving ? AssignmentChanges() : table.assignment.Apply(membership, sent);
  }));
}

void ShardMembership::Report(const AssignmentChanges& changes) {
  for (const int shard : changes->lost) events_.lost(shard);
  for (const int shard : changes->gained) events_.gained(shard, changes->token);
}

Task<> ShardMembership::Leave() {
  const auto [join, changes] = table_.With([&](Table& table) {
    table.leaving = true;
    return std::make_pair(MakeJoin(table), table.assignment.Release());
  });
  Report(changes);
  co_await store_.LeaveGroup(join);
}

void ShardMembership::Rejoin() {
  table_.With([](Table& table) { table.rejoin = true; });
}

void ShardMembership::InvalidateOwners() {
  table_.With([](Table& table) { table.owners_read = Time(); });
}

Time ShardMembership::last_confirmed(int shard, FencingToken token) {
  return table_.With([&](Table& table) { return table.assignment.last_confirmed(shard, token); });
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
  RecordRoundTrip(sent);
  table_.With([&](Table& table) {
    // A response that arrives late is older than the list that is known.
    if (sent < table.members_read) return;
    table.owners.clear();
    std::vector<GroupMember> others;
    for (const PartitionOwner& owner : owners.value()) {
      table.owners[owner->partition] = owner->member;
      const auto member = ParseMemberName(owner->member);
      if (member && member.value().address != own_address_) {
        others.push_back(member.value().member);
      }
    }
    table.candidacy.RecordMembers(others, sent);
    table.owners_read = sent;
    table.members_read = sent;
  });
  co_return boost::outcome_v2::success();
}

Result<Endpoint> ShardMembership::CachedOwnerOf(int shard) {
  const Time now = Now();
  const bool owned = table_.With([&](Table& table) { return table.assignment.Owns(shard, now); });
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

std::string ShardMembership::member() {
  return table_.With([](Table& table) { return table.member; });
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
