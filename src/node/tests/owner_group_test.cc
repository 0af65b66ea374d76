// Plays members of a group that assigns one shard in virtual time, with faults that a seed
// determines, through the decisions of the node: who owns the shard, and until when a successor
// takes earlier owners to act.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>

#include "node/internal/group_list.h"
#include "node/internal/ownership.h"
#include "node/internal/shard_assignment.h"
#include "tests/support/seeds.h"

namespace dn {
namespace {

constexpr int kPartitions = 16;
constexpr int kShard = 0;
constexpr Duration kTimeToLive{1'800};
constexpr Duration kJoinPeriod{600};
constexpr Duration kMinJoinPause{40};
constexpr Duration kCallTimeout{1'000};
constexpr Duration kRetryPause{100};
constexpr Duration kTick{5};
constexpr Duration kFaultsBegin{5'000};
constexpr Duration kPlayTime{60'000};
constexpr std::int64_t kBeginMs = 1'000'000'000;  // Unix milliseconds at the beginning of a play.

// Mean time between faults of a kind; 0: none.
struct Faults {
  Duration restarts{0};     // A member is killed and comes back.
  Duration owner_kills{0};  // The owner is.
  Duration leaves{0};       // A member leaves the group and joins it under a new name.
  Duration cuts{0};         // A member does not reach the store.
  Duration reassignments{0};
  int reassigned = 1;                // Number of reassignments within a join period.
  bool reassigned_at_joins = false;  // A reassignment follows soon after a member comes back.
  int lost_percent = 0;              // Calls of the group that get no response.
  int late_percent = 0;              // Calls of the group that are carried out seconds late.
  // The store carries out no call for a time, and lets the holder's membership expire early.
  Duration outages{0};
  std::pair<int, int> outage_ms{0, 0};
  bool keeps_shares = false;  // See Group.
  bool slow_reads = false;    // The read of the progress takes up to 3 s.
};

// The group of the store, which assigns the partitions.
class Group {
 public:
  struct Member {
    Time last_join;
    std::int64_t generation = 0;  // Sent with the last join.
  };

  // What is not known of the store.
  struct Traits {
    // A response lists a partition until the member has given it up, although it is already
    // assigned to another one.
    bool lists_released = false;
    // A member gives up no partition for a new one while it has no more than its share, rounded up,
    // so that a new one may hold none.
    bool keeps_shares = false;
  };

  Group(const Traits& traits, std::uint64_t seed) : traits_(traits), random_(seed) {}

  Membership Join(const std::string& name, std::int64_t generation, Time now) {
    Expire(now);
    const bool known = members_.count(name) > 0;
    members_[name] = {.last_join = now, .generation = generation};
    if (!known) Change();
    HandOver();
    MembershipFields response{.generation = generation_, .partitions = {}};
    for (int i = 0; i < kPartitions; ++i) {
      if (holders_[i] == name && (traits_.lists_released || assigned_[i] == name)) {
        response.partitions.push_back(i);
      }
    }
    return Membership(std::move(response));
  }

  void Leave(const std::string& name, Time now) {
    Expire(now);
    if (members_.erase(name) > 0) Change();
  }

  void Expire(Time now) {
    const auto expired = std::erase_if(
        members_, [&](const auto& entry) { return now - entry.second.last_join > kTimeToLive; });
    if (expired > 0) Change();
  }

  // Each member takes the partitions of the one before it at once.
  void Reassign() {
    if (members_.empty()) return;
    for (std::string& holder : holders_) {
      auto next = members_.upper_bound(holder);
      if (next == members_.end()) next = members_.begin();
      holder = next->first;
    }
    assigned_ = holders_;
    ++generation_;
  }

  std::vector<PartitionOwner> List(Time now) {
    Expire(now);
    std::vector<PartitionOwner> rows;
    for (int i = 0; i < kPartitions; ++i) {
      if (holders_[i].empty()) continue;
      rows.emplace_back(PartitionOwnerFields{.partition = i, .member = holders_[i]});
    }
    return rows;
  }

  const std::string& holder() const { return holders_[kShard]; }

 private:
  // The members have changed.
  void Change() {
    ++generation_;
    for (std::string& holder : holders_) {
      if (members_.count(holder) == 0) holder.clear();
    }
    if (members_.empty()) return;
    std::map<std::string, int> counts;
    for (const auto& [name, member] : members_) counts[name] = 0;
    const int members = static_cast<int>(counts.size());
    const int most = (kPartitions + members - 1) / members;
    // Number of members that may have one partition more than the others.
    int larger = traits_.keeps_shares ? members : kPartitions - (most - 1) * members;
    std::array<int, kPartitions> order{};
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    std::vector<int> free;
    for (const int i : order) {
      const auto found = counts.find(assigned_[i]);
      const bool stays = found != counts.end() &&
                         (found->second < most - 1 || (found->second < most && larger-- > 0));
      if (stays) {
        ++found->second;
      } else {
        free.push_back(i);
      }
    }
    for (const int i : free) {
      const auto least =
          std::min_element(counts.begin(), counts.end(),
                           [](const auto& a, const auto& b) { return a.second < b.second; });
      ++least->second;
      assigned_[i] = least->first;
    }
  }

  void HandOver() {
    for (int i = 0; i < kPartitions; ++i) {
      const auto holder = members_.find(holders_[i]);
      if (holder == members_.end() || holder->second.generation >= generation_) {
        holders_[i] = assigned_[i];
      }
    }
  }

  const Traits traits_;
  std::mt19937_64 random_;
  std::int64_t generation_ = 0;
  std::map<std::string, Member> members_;
  std::array<std::string, kPartitions> holders_;
  std::array<std::string, kPartitions> assigned_;
};

// One ownership of the shard.
struct Owner {
  FencingToken token = 0;
  std::string member;
  std::int64_t since_ms = 0;
  bool active = true;
  bool open = false;
  Time last_act{};                   // Time() if it never acted.
  bool earlier_ended = false;        // It found that earlier owners had ended.
  Time earlier_end{};                // When earlier owners have ended, by its assumption.
  std::vector<std::string> earlier;  // Keys of their records.
};

// Number of pairs of owners that break the rule.
struct Outcome {
  int found_ended = 0;  // The earlier one acted after it was found to have ended.
  int outlived = 0;     // The earlier one acted for longer than its time to live after the fence.
  int same_token = 0;   // Both have the same token.

  bool operator==(const Outcome&) const = default;
};

class Play {
 public:
  Play(const Faults& faults, std::uint64_t seed)
      : faults_(faults),
        random_(seed),
        group_({.lists_released = Draw(0, 1) == 1, .keeps_shares = faults.keeps_shares}, seed) {
    const int members = Draw(2, 11);
    for (int i = 0; i < members; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->index = i;
      nodes_.back()->clock_error_ms = Draw(-5'000, 5'000);
      After(Duration(Draw(0, 600)), [this, i] { Start(*nodes_[i]); });
    }
    Arm(faults.restarts, [this] { Restart(AnyNode()); });
    Arm(faults.owner_kills, [this] {
      if (Node* const owner = Holder()) Restart(*owner);
    });
    Arm(faults.leaves, [this] { AnyNode().rejoin = true; });
    Arm(faults.cuts, [this] {
      Node& node = Draw(0, 1) == 0 || Holder() == nullptr ? AnyNode() : *Holder();
      node.cut_until = now_ + Duration(Draw(300, 4'000));
    });
    Arm(faults.reassignments, [this] {
      for (int i = 0; i < faults_.reassigned; ++i) {
        After(Duration(i == 0 ? 0 : Draw(50, 500)), [this] { group_.Reassign(); });
      }
    });
    Arm(faults.outages, [this] {
      down_until_ = now_ + Duration(Draw(faults_.outage_ms.first, faults_.outage_ms.second));
      After(Duration(Draw(0, static_cast<int>((down_until_ - now_).count()))),
            [this] { group_.Leave(group_.holder(), now_); });
    });
  }

  Outcome Run() {
    for (; now_ < kBegin + kPlayTime; now_ += kTick) {
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto function = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        function();
      }
      for (const auto& node : nodes_) {
        const auto& owner = node->owner;
        if (!owner || !owner->active || !owner->open) continue;
        if (now_ < node->assignment.last_confirmed(kShard, owner->token) + kTimeToLive) {
          owner->last_act = now_;
        }
      }
    }
    Outcome broken;
    for (const auto& successor : owners_) {
      if (!successor->open) continue;
      for (const auto& other : owners_) {
        if (other == successor || other->last_act == Time()) continue;
        const bool acts_on =
            other->token < successor->token && other->last_act > successor->earlier_end;
        if (other->token == successor->token) ++broken.same_token;
        if (acts_on) ++(successor->earlier_ended ? broken.found_ended : broken.outlived);
      }
    }
    return broken;
  }

  int take_overs() const {
    return static_cast<int>(std::count_if(owners_.begin(), owners_.end(),
                                          [](const auto& owner) { return owner->open; }));
  }
  // Number of take-overs that did not wait for the time to live.
  int short_take_overs() const { return short_take_overs_; }

 private:
  static constexpr Time kBegin{Duration(100'000)};

  struct Node {
    int index = 0;
    int incarnation = 0;  // Of the process.
    int names = 0;        // Number of names that it has used in the group.
    std::int64_t clock_error_ms = 0;
    bool up = false;
    bool rejoin = false;
    Time cut_until{};
    std::string name;
    ShardAssignment assignment{kTimeToLive};
    std::shared_ptr<Owner> owner;
  };

  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  void After(Duration pause, std::function<void()> function) {
    events_.emplace(now_ + pause, std::move(function));
  }
  // Calls `fault` at random times; `mean`: time between two.
  void Arm(Duration mean, std::function<void()> fault, Duration first = kFaultsBegin) {
    if (mean == Duration(0)) return;
    const Duration pause = first + Duration(Draw(1, 2 * static_cast<int>(mean.count())));
    After(pause, [this, mean, fault] {
      fault();
      Arm(mean, fault, Duration(0));
    });
  }
  Node& AnyNode() { return *nodes_[Draw(0, static_cast<int>(nodes_.size()) - 1)]; }
  Node* Holder() {
    for (const auto& node : nodes_) {
      if (node->up && node->name == group_.holder()) return node.get();
    }
    return nullptr;
  }
  std::int64_t WallMs(const Node& node) const {
    return kBeginMs + (now_ - kBegin).count() + node.clock_error_ms;
  }

  void Start(Node& node) {
    if (faults_.reassigned_at_joins && now_ >= kBegin + kFaultsBegin) {
      After(Duration(Draw(20, 600)), [this] { group_.Reassign(); });
    }
    node.up = true;
    node.rejoin = false;
    node.assignment = ShardAssignment(kTimeToLive);
    Rename(node);
    JoinLoop(node);
  }
  void Rename(Node& node) {
    node.name = "m" + std::to_string(node.index) + "/" + std::to_string(++node.names);
  }
  void Restart(Node& node) {
    if (!node.up) return;
    node.up = false;
    ++node.incarnation;
    if (node.owner) node.owner->active = false;
    node.owner = nullptr;
    After(Duration(Draw(200, 5'000)), [this, &node] { Start(node); });
  }

  // A call to the store. `carry_out` is called when the store carries it out, and the function that
  // it returns when the node receives the response; `fail` if the node receives none in time.
  void Call(Node& node, bool of_group, std::function<std::function<void()>()> carry_out,
            std::function<void()> fail) {
    const int incarnation = node.incarnation;
    const auto alive = [&node, incarnation](std::function<void()> function) {
      return [&node, incarnation, function] {
        if (node.up && node.incarnation == incarnation) function();
      };
    };
    const bool down = now_ < node.cut_until || now_ < down_until_;
    const bool late = of_group && Draw(1, 100) <= faults_.late_percent;
    const bool lost = of_group && Draw(1, 100) <= faults_.lost_percent;
    if (down || late) {
      if (late) After(Duration(Draw(1'000, 8'000)), [carry_out] { carry_out(); });
      // A store that is down refuses the call or does not answer.
      const bool refused = down && !late && Draw(0, 1) == 0;
      After(refused ? Duration(1) : kCallTimeout, alive(fail));
      return;
    }
    After(Duration(Draw(1, 30)), [this, carry_out, fail, lost, alive] {
      const auto respond = carry_out();
      if (lost) {
        After(kCallTimeout, alive(fail));
      } else {
        After(Duration(Draw(1, 30)), alive(respond));
      }
    });
  }

  void JoinLoop(Node& node) {
    if (std::exchange(node.rejoin, false)) {
      Apply(node, node.assignment.Release());
      const auto next = [this, &node] {
        Rename(node);
        node.assignment = ShardAssignment(kTimeToLive);
        JoinLoop(node);
      };
      Call(
          node, true,
          [this, name = node.name, next] {
            group_.Leave(name, now_);
            return next;
          },
          next);
      return;
    }
    const Time sent = now_;
    const auto next = [this, &node, sent] {
      const int incarnation = node.incarnation;
      After(std::max(sent + kJoinPeriod - now_, kMinJoinPause), [this, &node, incarnation] {
        if (node.up && node.incarnation == incarnation) JoinLoop(node);
      });
    };
    Call(
        node, true,
        [this, &node, sent, next, name = node.name, generation = node.assignment.generation()] {
          const Membership response = group_.Join(name, generation, now_);
          return [this, &node, sent, next, response] {
            Apply(node, node.assignment.Apply(response, sent));
            next();
          };
        },
        next);
  }

  void Apply(Node& node, const AssignmentChanges& changes) {
    if (!changes->lost.empty()) Drop(node, node.owner);
    if (changes->gained.empty()) return;
    node.owner = std::make_shared<Owner>();
    node.owner->token = changes->token;
    node.owner->member = node.name;
    node.owner->since_ms = WallMs(node);
    owners_.push_back(node.owner);
    Fence(node, node.owner);
  }

  void Drop(Node& node, const std::shared_ptr<Owner>& owner) {
    if (owner) owner->active = false;
    if (node.owner == owner) node.owner = nullptr;
  }

  void OnFenced(Node& node, const std::shared_ptr<Owner>& owner) {
    if (!owner->active) return;
    owner->active = false;
    node.rejoin = true;
  }

  // Appends to the progress. `edit` changes the records; `on_stored` is called with the response.
  void Append(Node& node, std::shared_ptr<Owner> owner, std::function<void()> edit,
              std::function<void()> on_stored) {
    const auto repeat = [this, &node, owner, edit, on_stored] {
      After(kRetryPause, [this, &node, owner, edit, on_stored] {
        if (owner->active) Append(node, owner, edit, on_stored);
      });
    };
    Call(
        node, false,
        [this, &node, owner, edit, on_stored]() -> std::function<void()> {
          // The store takes one producer for each epoch.
          if (owner->token < epoch_ || (owner->token == epoch_ && owner != producer_))
            return [this, &node, owner] { OnFenced(node, owner); };
          epoch_ = owner->token;
          producer_ = owner;
          edit();
          return [owner, on_stored] {
            if (owner->active) on_stored();
          };
        },
        repeat);
  }

  void Record(const Owner& owner) {
    records_.insert_or_assign(OwnershipKeyOf(owner.token), Ownership({.instance = owner.member,
                                                                      .token = owner.token,
                                                                      .since_ms = owner.since_ms,
                                                                      .member = owner.member}));
  }

  void Fence(Node& node, std::shared_ptr<Owner> owner) {
    Append(
        node, owner, [this, owner] { Record(*owner); },
        [this, &node, owner] {
          const Time fenced_at = now_;
          const Duration pause(faults_.slow_reads ? Draw(10, 3'000) : Draw(10, 200));
          After(pause, [this, &node, owner, fenced_at] {
            if (owner->active) ExpectEarlier(node, owner, fenced_at);
          });
        });
  }

  void ExpectEarlier(Node& node, std::shared_ptr<Owner> owner, Time fenced_at) {
    const std::map<std::string, Ownership> ownerships = records_;
    const auto expect = [this, &node, owner, fenced_at,
                         ownerships](const std::optional<std::vector<PartitionOwner>>& list) {
      if (!owner->active) return;
      const bool have_ended =
          list && HaveEnded(ownerships, owner->token, *list, kTimeToLive, WallMs(node));
      if (have_ended) ++short_take_overs_;
      owner->earlier_ended = have_ended;
      owner->earlier_end = EndOfEarlierOwners(fenced_at, kTimeToLive, have_ended, now_);
      for (const auto& [key, earlier] : ownerships) {
        if (earlier->token < owner->token) owner->earlier.push_back(key);
      }
      After(Duration(Draw(50, 400)), [this, &node, owner] {
        if (!owner->active) return;
        owner->open = true;
        RecordLoop(node, owner);
      });
    };
    Call(
        node, false,
        [this, expect] { return [expect, list = group_.List(now_)] { expect(list); }; },
        [expect] { expect(std::nullopt); });
  }

  void RecordLoop(Node& node, std::shared_ptr<Owner> owner) {
    // An owner that has nothing to record appends nothing.
    const Duration pause(Draw(0, 3) == 0 ? Draw(1'000, 10'000) : Draw(20, 1'000));
    After(pause, [this, &node, owner] {
      if (!owner->active) return;
      const std::vector<std::string> earlier = std::exchange(owner->earlier, {});
      Append(
          node, owner,
          [this, owner, earlier] {
            Record(*owner);
            for (const std::string& key : earlier) records_.erase(key);
          },
          [this, &node, owner] { RecordLoop(node, owner); });
    });
  }

  const Faults faults_;
  std::mt19937_64 random_;
  Time now_ = kBegin;
  std::multimap<Time, std::function<void()>> events_;
  Group group_;
  std::vector<std::unique_ptr<Node>> nodes_;
  Time down_until_{};                         // The store carries out no call.
  std::int64_t epoch_ = 0;                    // Of the progress.
  std::shared_ptr<Owner> producer_;           // That has appended with `epoch_`.
  std::map<std::string, Ownership> records_;  // Of owners, by key.
  std::vector<std::shared_ptr<Owner>> owners_;
  int short_take_overs_ = 0;
};

constexpr std::size_t kSeeds = 100;  // For each row.

struct Case {
  std::string name;
  Faults faults;
};

void Check(const Case& c, std::size_t seed_count) {
  int red = 0;
  int plays = 0;
  int take_overs = 0;
  int short_take_overs = 0;
  int found_ended = 0;
  int outlived = 0;
  int same_token = 0;
  std::string seeds;
  for (const std::uint64_t seed : testing::Seeds(seed_count)) {
    Play play(c.faults, seed);
    ++plays;
    if (const Outcome outcome = play.Run(); outcome != Outcome()) {
      ++red;
      found_ended += outcome.found_ended;
      outlived += outcome.outlived;
      same_token += outcome.same_token;
      seeds += " " + std::to_string(seed);
    }
    take_overs += play.take_overs();
    short_take_overs += play.short_take_overs();
  }
  INFO(c.name << ": " << red << " of " << plays << " plays red; found ended " << found_ended
              << ", outlived " << outlived << ", same token " << same_token << "; take-overs "
              << take_overs << ", " << short_take_overs << " without the time to live; seeds"
              << seeds.substr(0, 80));
  CHECK(red == 0);
  // Guards against plays that test nothing.
  CHECK(take_overs > plays);
}

// Guards against runs of a task by two owners: an owner that still grants leases after its
// successor has counted them as over.
TEST_CASE("no owner acts after its successor takes it for ended", "[node][owner-group]") {
  using std::chrono::seconds;
  const auto c = GENERATE(values<Case>({
      {"kills of the owner", {.owner_kills = seconds(15)}},
      {"restarts", {.restarts = seconds(3)}},
      {"kills and restarts", {.restarts = seconds(5), .owner_kills = seconds(15)}},
      {"leaves", {.leaves = seconds(3)}},
      {"cuts", {.cuts = seconds(4)}},
      {"reassignments", {.reassignments = seconds(6)}},
      {"two reassignments at once", {.reassignments = seconds(12), .reassigned = 2}},
      {"members without a partition",
       {.restarts = seconds(8), .reassignments = seconds(16), .keeps_shares = true}},
      {"members without a partition for a moment",
       {.restarts = seconds(14), .reassigned_at_joins = true}},
      {"lost joins", {.owner_kills = seconds(15), .cuts = seconds(8), .lost_percent = 15}},
      {"late joins", {.owner_kills = seconds(15), .cuts = seconds(8), .late_percent = 15}},
      {"restarts and reassignments", {.restarts = seconds(3), .reassignments = seconds(13)}},
      {"slow reads",
       {.restarts = seconds(5),
        .owner_kills = seconds(15),
        .cuts = seconds(5),
        .slow_reads = true}},
      {"all",
       {.restarts = seconds(6),
        .owner_kills = seconds(15),
        .leaves = seconds(10),
        .cuts = seconds(6),
        .reassignments = seconds(9),
        .reassigned = 2,
        .lost_percent = 5,
        .late_percent = 5}},
  }));
  Check(c, kSeeds);
}

// The store lets memberships expire early while it is down. Guards against the same failure.
TEST_CASE("no owner acts after its successor takes it for ended when memberships expire early",
          "[node][owner-group]") {
  using std::chrono::seconds;
  const auto c = GENERATE(values<Case>({
      {"early expiry, 1 to 2 s down", {.outages = seconds(15), .outage_ms = {1'000, 2'000}}},
      {"early expiry, less than 0.4 s down", {.outages = seconds(15), .outage_ms = {50, 400}}},
      {"early expiry, not down", {.outages = seconds(15), .outage_ms = {0, 0}}},
  }));
  Check(c, kSeeds);
}

}  // namespace
}  // namespace dn
