// Take-over of a shard, and the loops of its owner.
#include "node/internal/shard_owner.h"

#include <random>

namespace dn {
namespace {

// Maximum time between two plans: throttling and the treatment of waiting tasks
// depend on time.
constexpr Duration kMaxPlanInterval{50};
// Minimum pause between two plans, so that one plan covers many events.
constexpr Duration kMinPlanPause{8};
// Pause between attempts of a take-over step.
constexpr Duration kRetryPause{100};
// Pause between reads of worker registrations, which are renewed every 1.5 s; one
// read returns the registrations of many workers.
constexpr Duration kWorkerPause{350};
// Wait time of a long poll for worker registrations.
constexpr Duration kFollowWait{300};
// Maximum age of the registrations with which a start is sent: a worker may have given notice
// since. The platform allows 2.5 s from the notice on; the difference covers the way of the start.
// One read without a response stays below it: the pause, the wait, the timeout of a call (1 s)
// and a retry.
constexpr Duration kMaxRegistrationAge{2'000};
// Wait time of a long poll for submitted jobs. Just before a poll ends, the latest
// complete read is two polls old, which must be below kMaxViewAge.
constexpr Duration kJobsWait{700};
// Time limit of a read before a response to a caller: two responses of a slow store of 0.4 s, since
// a read may already be in flight.
constexpr Duration kViewReadTimeout{800};
// Interval of records of the learned interference, which are one or two kilobytes.
constexpr Duration kInterferencePeriod{2'000};
// Interval of log lines of the shard's load.
constexpr Duration kLoadPeriod{2'000};
// Interval of the search for tasks without a live run, which takes seconds to become notable.
constexpr Duration kRunGapPeriod{1'000};
// Used where no time limit is wanted: progress must be recorded however long the store
// is unavailable, or it would be lost. No process runs unattended for that long.
constexpr Duration kUnlimited{24 * 3'600'000};

RecordWriter::Limits NoLimits() {
  const Time limit = Now() + kUnlimited;
  return {.send_by = limit, .deadline = limit};
}

}  // namespace

ShardOwner::ShardOwner(Context context, int shard, FencingToken token)
    : context_(std::move(context)),
      shard_(shard),
      token_(token),
      table_(Table{.shard = Shard(context_.policy, token), .links = {}}),
      settled_(context_.policy),
      since_ms_(WallMs()),
      progress_(std::make_shared<RecordWriter>(context_.store, ProgressOf(shard), "owner", token,
                                               context_.log)),
      job_cleaner_(std::make_shared<RecordWriter>(
          context_.store, JobsOf(shard), "cleaner-" + std::to_string(token), 0, context_.log)),
      jobs_(context_.store, JobsOf(shard), {.wait = kJobsWait, .pause = Duration(0)}, context_.log,
            [this](const auto& records, bool) { HandleJobs(records); }),
      registrations_(context_.adapter.registry, context_.log),
      workers_(context_.store, context_.adapter.registry.records,
               {.wait = kFollowWait, .pause = kWorkerPause}, context_.log,
               [this](const auto& records, bool complete) { HandleWorkers(records, complete); }) {}

void ShardOwner::Drop(std::string_view cause) {
  if (!active_.exchange(false)) return;
  open_ = false;
  context_.log.Write("shard-dropped", std::to_string(shard_),
                     "token=" + std::to_string(token_) + " cause=" + std::string(cause));
  changed_.NotifyAll();
  recorded_.NotifyAll();
  jobs_read_ended_.NotifyAll();
}

Task<> ShardOwner::Run() {
  const auto self = shared_from_this();
  context_.log.Write("shard-take-over", std::to_string(shard_), "token=" + std::to_string(token_));
  const Time started = Now();
  if (!co_await TakeOver()) co_return;
  opened_ms_ = Now().time_since_epoch().count();
  open_ = true;
  const auto [jobs, workers] = table_.With(
      [](Table& table) { return std::make_pair(table.shard.jobs(), table.shard.workers()); });
  context_.log.Write("shard-open", std::to_string(shard_),
                     "token=" + std::to_string(token_) + " jobs=" + std::to_string(jobs) +
                         " workers=" + std::to_string(workers) +
                         " took_ms=" + std::to_string((Now() - started).count()));
  context_.metrics.RecordLatency(Latency::kTakeOver, Now() - started);
  context_.pool.Spawn(FollowJobs());
  context_.pool.Spawn(FollowWorkers());
  context_.pool.Spawn(RecordLoop());
  OpenLinks();
  co_await PlanLoop();
}

StoreRecord ShardOwner::OwnershipRecord(std::int64_t settled_end) const {
  const Ownership ownership({.instance = context_.instance,
                             .token = token_,
                             .since_ms = since_ms_,
                             .member = context_.member,
                             .settled_end = settled_end});
  return StoreRecord({.key = OwnershipKeyOf(token_), .value = EncodeText(ownership)});
}

Task<Time> ShardOwner::ExpectEarlierOwners(RecordedProgress progress, Time fenced_at) {
  const std::optional<Ownership> last = LastBefore(progress->ownerships, token_);
  auto owners = co_await context_.store.Owners(kOwnerGroup, kJobsTopic);
  const bool have_ended = owners && HaveEnded(progress->ownerships, token_, owners.value(),
                                              context_.time_to_live, WallMs());
  context_.log.Write("earlier-owner", std::to_string(shard_),
                     "token=" + std::to_string(token_) +
                         (last ? " instance=" + (*last)->instance + " member=" + (*last)->member +
                                     " earlier_token=" + std::to_string((*last)->token) +
                                     " age_ms=" + std::to_string(WallMs() - (*last)->since_ms)
                               : " member=") +
                         " gone=" + (have_ended ? "yes" : "no"));
  const Time now = Now();
  const Time ends = EndOfEarlierOwners(fenced_at, context_.time_to_live, have_ended, now);
  const std::int64_t ends_ms = WallMs() + (ends - now).count();
  table_.With([&](Table& table) { table.shard.ExpectEarlierOrders(ends, ends_ms); });
  co_return ends;
}

Task<NewestCursor> ShardOwner::ReadProgress(std::int64_t fence_end) {
  // The fence keeps the progress unchanged between the pages, so that an interrupted read may be
  // resumed after any time.
  NewestCursor progress(fence_end);
  ReadPacing pacing(std::random_device{}());
  while (active_) {
    const auto read = co_await context_.store.Newest(ProgressOf(shard_), progress, pacing);
    if (read) break;
    progress.Interrupt();
    const Duration pause = pacing.RecordFailure(read.error());
    context_.log.Write("read-interrupted", kProgressTopic, ToText(progress, read.error(), pause));
    co_await SleepFor(pause);
  }
  co_return progress;
}

Task<bool> ShardOwner::TakeOver() {
  // Fencing comes first: afterwards no earlier owner can change the progress that is
  // read next.
  const StoreRecord fence = OwnershipRecord(0);
  std::int64_t fence_end = 0;
  while (active_) {
    auto fenced = co_await progress_->Fence(fence);
    if (fenced) {
      fence_end = fenced.value()->end;
      context_.log.Write("shard-fenced", std::to_string(shard_),
                         "epoch=" + std::to_string(token_) +
                             " sequence=" + std::to_string(fenced.value()->sequence) +
                             " first=" + std::to_string(fenced.value()->first) +
                             " end=" + std::to_string(fence_end));
      break;
    }
    if (fenced.error() == Errc::kConflict) {
      Drop(NameOf(progress_->give_up_cause()));
      context_.on_fenced(shard_);
      co_return false;
    }
    co_await SleepFor(kRetryPause);
  }
  const Time fenced_at = Now();
  const NewestCursor read = co_await ReadProgress(fence_end);
  if (!active_) co_return false;
  const RecordedProgress progress = DecodeProgress(read.records());
  const Time earlier_end = co_await ExpectEarlierOwners(progress, fenced_at);
  settled_.SettledBefore(progress->settled_end);
  settled_.Stored(fence_end, earlier_end);
  for (const auto& [key, earlier] : progress->ownerships) {
    if (earlier->token < token_) earlier_ownerships_.push_back(key);
  }
  co_await jobs_.LoadWhile([this] { return active_.load(); });
  co_await workers_.LoadWhile([this] { return active_.load(); });
  if (!active_) co_return false;
  const auto [jobs, workers] = table_.With(
      [](Table& table) { return std::make_pair(table.shard.jobs(), table.shard.workers()); });
  context_.log.Write("take-over-read", std::to_string(shard_),
                     ToText(CountProgress({.token = token_,
                                           .fence_end = fence_end,
                                           .progress_end = read.end(),
                                           .progress_records = read.records().size(),
                                           .jobs_end = jobs_.position(),
                                           .jobs = jobs,
                                           .workers = workers},
                                          progress)));
  RestoreProgress(progress);
  co_return true;
}

void ShardOwner::RestoreProgress(const RecordedProgress& progress) {
  const Time now = Now();
  for (const std::string& key : progress->unreadable) {
    context_.log.Write("record-skipped", key, "topic=progress");
    // A record of a later format, if an instance of a later version owned the shard before.
    if (const auto id = ParseJobId(key)) {
      table_.With([&](Table& table) { table.shard.HoldBack(id.value()); });
    }
  }
  if (progress->interference) {
    table_.With([&](Table& table) { table.shard.RestoreInterference(*progress->interference); });
  }
  // One call a job: with many jobs, the table would be locked for too long.
  for (const JobProgress& job : progress->jobs) {
    const bool settled = progress->settled.count(job->id) > 0;
    table_.With([&](Table& table) { table.shard.Restore(job, now, settled); });
  }
  for (const JobCrashes& job : progress->crashes) {
    table_.With([&](Table& table) { table.shard.RestoreCrashes(job, now); });
  }
}

void ShardOwner::HandleJobs(const std::vector<StoreRecord>& records) {
  const Time now = Now();
  for (const StoreRecord& record : records) {
    if (!record->value) {
      if (const auto id = ParseJobId(record->key)) {
        table_.With([&](Table& table) { table.shard.Deleted(id.value()); });
      }
      continue;
    }
    const auto job = DecodeAcceptedJob(*record->value);
    if (!job) {
      context_.log.Write("record-skipped", record->key, "topic=jobs");
      continue;
    }
    table_.With([&](Table& table) { table.shard.Accept(job.value(), now); });
  }
  changed_.NotifyAll();
}

void ShardOwner::HandleWorkers(const std::vector<StoreRecord>& records, bool complete) {
  const Time now = Now();
  // Of the reads before this one: see KeyedFollower::Handler. Reads of this follower don't overlap.
  const std::int64_t known_end = workers_.position();
  const Time last_read = workers_.last_complete();
  std::set<WorkerId> listed;
  for (const StoreRecord& record : records) {
    const WorkerId id{record->key};
    const std::optional<WorkerEntry> entry = registrations_.Read(record);
    table_.With([&](Table& table) {
      if (entry) {
        const Time written_after = record->offset >= known_end ? last_read : Time();
        table.shard.WorkerListed(*entry, now, written_after);
      } else {
        table.shard.WorkerUnlisted(id, now);
      }
    });
    if (entry) listed.insert(id);
  }
  if (complete) {
    table_.With([&](Table& table) {
      for (const WorkerEntry& known : table.shard.ManagedWorkers()) {
        if (listed.count(known->id) == 0) table.shard.WorkerUnlisted(known->id, now);
      }
    });
  }
  if (open_) OpenLinks();
  changed_.NotifyAll();
}

Task<> ShardOwner::FollowJobs() {
  const auto self = shared_from_this();
  co_await jobs_.Follow([this] { return active_.load(); });
}

Task<> ShardOwner::FollowWorkers() {
  const auto self = shared_from_this();
  co_await workers_.Follow([this] { return active_.load(); });
}

void ShardOwner::OpenLinks() {
  std::vector<std::shared_ptr<WorkerLink>> opened;
  std::vector<WorkerId> ids;
  table_.With([&](Table& table) {
    for (const WorkerEntry& entry : table.shard.ManagedWorkers()) {
      if (table.links.count(entry->id) > 0) continue;
      auto link = std::make_shared<WorkerLink>(entry->id, shared_from_this(),
                                               context_.adapter.workers, context_.http,
                                               context_.exchanges, context_.pool, context_.log);
      table.links.emplace(entry->id, link);
      opened.push_back(std::move(link));
      ids.push_back(entry->id);
    }
  });
  for (std::size_t i = 0; i < opened.size(); ++i) {
    context_.pool.Spawn(RunLink(opened[i], ids[i]));
  }
}

Task<> ShardOwner::RunLink(std::shared_ptr<WorkerLink> link, WorkerId worker) {
  const auto self = shared_from_this();
  co_await link->Run();
  table_.With([&](Table& table) { table.links.erase(worker); });
}

std::optional<WorkerEntry> ShardOwner::EntryOf(const WorkerId& worker) {
  if (!active_) return std::nullopt;
  return table_.With([&](Table& table) { return table.shard.ManagedWorker(worker); });
}

Time ShardOwner::OwnedUntil() const { return context_.last_confirmed() + context_.time_to_live; }

Time ShardOwner::StartsUntil() const {
  return std::min(OwnedUntil(), workers_.last_complete() + kMaxRegistrationAge);
}

template <class Function>
auto ShardOwner::WithOwned(Time until, Function&& function) {
  const Evacuations evacuations = context_.evacuations();
  return table_.With([&](Table& table) {
    table.shard.OwnUntil(until);
    table.shard.SetEvacuations(evacuations, Now());
    return function(table);
  });
}

void ShardOwner::ShowOwnership(Time now) {
  const Time confirmed = context_.last_confirmed();
  const bool owned = now < confirmed + context_.time_to_live;
  if (owned == owned_) return;
  owned_ = owned;
  // An owner without a confirmation in its time to live may have been replaced.
  context_.log.Write(owned ? "ownership-regained" : "ownership-run-out", std::to_string(shard_),
                     "token=" + std::to_string(token_) +
                         " confirmed_age_ms=" + std::to_string((now - confirmed).count()));
}

void ShardOwner::ShowEvacuations(Time now) {
  const Evacuations evacuations = context_.evacuations();
  const bool known = now < dn::StartsUntil(evacuations, context_.policy->evacuation_limit);
  if (known == evacuations_known_) return;
  evacuations_known_ = known;
  context_.log.Write(known ? "evacuations-known" : "evacuations-outdated", std::to_string(shard_),
                     "token=" + std::to_string(token_) +
                         " read_age_ms=" + std::to_string((now - evacuations->read).count()));
}

Renewal ShardOwner::NextRenewal(const WorkerId& worker) {
  return WithOwned(OwnedUntil(),
                   [&](Table& table) { return table.shard.NextRenewal(worker, Now()); });
}

bool ShardOwner::MayStart(const StartOrder& order) {
  if (!active_) return false;
  return WithOwned(StartsUntil(), [&](Table& table) { return table.shard.MayStart(order, Now()); });
}

void ShardOwner::OnRenewalResponse(const WorkerId& worker, const OrderResponse& response,
                                   Time sent) {
  if (!active_) return;
  table_.With([&](Table& table) { table.shard.Reported(worker, response, sent, Now()); });
  changed_.NotifyAll();
}

void ShardOwner::OnRenewalFailure(const WorkerId& worker, bool timed_out) {
  if (!active_) return;
  table_.With([&](Table& table) { table.shard.RenewalFailed(worker, timed_out, Now()); });
}

void ShardOwner::OnStartResponse(const StartOrder& order,
                                 const std::optional<OrderResponse>& response) {
  if (!active_) return;
  WithOwned(StartsUntil(),
            [&](Table& table) { table.shard.StartAnswered(order, response, Now()); });
}

void ShardOwner::OnStopResponse(const StopOrder& order,
                                const std::optional<OrderResponse>& response) {
  if (!active_) return;
  table_.With([&](Table& table) { table.shard.StopAnswered(order, response, Now()); });
}

void ShardOwner::OnThrottleResponse(const ThrottleOrder& order,
                                    const std::optional<OrderResponse>& response) {
  if (!active_) return;
  table_.With([&](Table& table) { table.shard.ThrottleAnswered(order, response, Now()); });
}

void ShardOwner::OnFenced(const WorkerId& worker, FencingToken token) {
  if (!active_) return;
  if (!table_.With([&](Table& table) { return table.shard.IsFenced(worker, token); })) return;
  context_.log.Write("fenced-by-worker", worker.value, "token=" + std::to_string(token));
  Drop("fenced");
  context_.on_fenced(shard_);
}

void ShardOwner::LogDecisions(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (decision->waited) context_.metrics.RecordLatency(Latency::kFirstStart, *decision->waited);
    context_.log.Write(decision->kind, decision->subject, decision->detail);
  }
}

void ShardOwner::ShowRunGaps(const RunGaps& gaps) {
  context_.metrics.Set(Gauge::kTasksWithoutRunWaiting, gaps->waiting);
  context_.metrics.Set(Gauge::kTasksWithoutRunPlaced, gaps->placed);
  context_.metrics.Set(Gauge::kLongestWithoutRunMs, gaps->longest.count());
  for (const RunGap& gap : gaps->due) {
    context_.log.Write("task-without-run", FormatTaskKey(gap->task), ToText(gap));
  }
  if (!gaps->due.empty()) {
    context_.log.Write("tasks-without-run", std::to_string(shard_), ToText(gaps));
  }
}

void ShardOwner::ShowIdleJobs(const IdleJobs& idle) {
  context_.metrics.Set(Gauge::kJobsWithoutRun, idle->count);
  for (const IdleJob& job : idle->due) {
    context_.log.Write("job-without-run", FormatJobId(job->job),
                       ToText(job) + " jobs=" + std::to_string(idle->count));
  }
}

ExchangeWaits ShardOwner::ShowExchangeWaits() {
  const ExchangeWaits waits =
      context_.exchanges.With([](ExchangeBudget& budget) { return budget.WaitsAt(Now()); });
  context_.metrics.Set(Gauge::kProcessorWaitMs, waits.processor.count());
  context_.metrics.Set(Gauge::kLinkWaitMs, waits.link.count());
  return waits;
}

void ShardOwner::SendOrders(const Orders& orders) {
  const auto link_of = [&](const WorkerId& worker) {
    return table_.With([&](Table& table) -> std::shared_ptr<WorkerLink> {
      const auto found = table.links.find(worker);
      return found == table.links.end() ? nullptr : found->second;
    });
  };
  const auto send = [&](const auto& list, auto on_response) {
    for (const auto& order : list) {
      if (const auto link = link_of(order->worker)) {
        link->Send(order);
      } else {
        (this->*on_response)(order, std::nullopt);
      }
    }
  };
  send(orders.starts, &ShardOwner::OnStartResponse);
  send(orders.stops, &ShardOwner::OnStopResponse);
  send(orders.throttles, &ShardOwner::OnThrottleResponse);
}

Task<> ShardOwner::PlanLoop() {
  Time load_logged = Now();
  Time run_gaps_checked = Now();
  while (active_) {
    const std::uint64_t ticket = changed_.Ticket();
    const auto began = BootClock::now();
    const Time now = Now();
    const std::int64_t wall = WallMs();
    ShowOwnership(now);
    ShowEvacuations(now);
    FollowQueues();
    auto [orders, decisions] = WithOwned(StartsUntil(), [&](Table& table) {
      table.shard.Plan(now, wall);
      return std::make_pair(table.shard.TakeOrders(now), table.shard.TakeDecisions());
    });
    LogDecisions(decisions);
    if (now - load_logged >= kLoadPeriod) {
      load_logged = now;
      const ShardLoad load = table_.With([&](Table& table) { return table.shard.Load(now); });
      const ExchangeWaits waits = ShowExchangeWaits();
      context_.log.Write("load", std::to_string(shard_),
                         ToText(load) +
                             " processor_wait_ms=" + std::to_string(waits.processor.count()) +
                             " link_wait_ms=" + std::to_string(waits.link.count()));
    }
    if (now - run_gaps_checked >= kRunGapPeriod) {
      run_gaps_checked = now;
      ShowRunGaps(table_.With([&](Table& table) { return table.shard.CheckRunGaps(now, wall); }));
      ShowIdleJobs(table_.With([&](Table& table) { return table.shard.FindIdleJobs(now); }));
      context_.metrics.SetTasksInEvacuatedZones(
          table_.With([](Table& table) { return table.shard.TasksInEvacuatedZones(); }));
      context_.metrics.Set(Gauge::kJobsDelayed,
                           table_.With([](Table& table) { return table.shard.delayed_jobs(); }));
    }
    if (!orders.empty()) SendOrders(orders);
    recorded_.NotifyAll();
    context_.metrics.RecordLatency(Latency::kPlan,
                                   std::chrono::ceil<Duration>(BootClock::now() - began));
    co_await SleepFor(kMinPlanPause);
    co_await changed_.Wait(ticket, now + kMaxPlanInterval);
  }
  // The gauges tell about owned shards only.
  ShowRunGaps(RunGaps());
  ShowIdleJobs(IdleJobs());
  context_.metrics.SetTasksInEvacuatedZones({});
  context_.metrics.Set(Gauge::kJobsDelayed, 0);
  context_.metrics.Set(Gauge::kProcessorWaitMs, 0);
  context_.metrics.Set(Gauge::kLinkWaitMs, 0);
}

void ShardOwner::LogStored(const StoredAppend& stored, const RecordBatch& batch) {
  if (batch.intents.empty() && batch.ends.empty()) return;
  context_.log.Write("records-stored", std::to_string(shard_),
                     "epoch=" + std::to_string(token_) +
                         " sequence=" + std::to_string(stored->sequence) +
                         " first=" + std::to_string(stored->first) +
                         " end=" + std::to_string(stored->end) + " " + ToText(batch));
}

Task<> ShardOwner::RecordLoop() {
  const auto self = shared_from_this();
  Time interference_recorded = Now();
  while (active_) {
    const std::uint64_t ticket = recorded_.Ticket();
    const RecordBatch batch = table_.With([](Table& table) { return table.shard.TakeBatch(); });
    std::optional<std::int64_t> settled_end;
    if (const Time now = Now(); settled_.IsDue(now)) {
      settled_end = settled_.Settle(
          now, table_.With([&](Table& table) { return table.shard.OpenStartsSince(now); }));
    }
    if (batch.empty() && !settled_end) {
      co_await recorded_.Wait(ticket, Now() + kMaxPlanInterval);
      continue;
    }
    std::vector<StoreRecord> records;
    for (const JobCrashes& crashes : batch.crashes) {
      records.emplace_back(
          StoreRecordFields{.key = CrashesKey(crashes->id), .value = EncodeJobCrashes(crashes)});
    }
    for (const JobProgress& progress : batch.records) {
      records.emplace_back(StoreRecordFields{.key = FormatJobId(progress->id),
                                             .value = EncodeJobProgress(progress)});
    }
    if (Now() - interference_recorded >= kInterferencePeriod) {
      interference_recorded = Now();
      const auto learned =
          table_.With([](Table& table) { return table.shard.LearnedInterference(); });
      records.emplace_back(
          StoreRecordFields{.key = kInterferenceKey, .value = EncodeInterference(learned)});
    }
    if (settled_end) records.push_back(OwnershipRecord(*settled_end));
    for (std::string& key : std::exchange(earlier_ownerships_, {})) {
      records.emplace_back(StoreRecordFields{.key = std::move(key), .value = std::nullopt});
    }
    std::vector<StoreRecord> deletions;
    for (const JobId id : batch.expired) {
      deletions.emplace_back(StoreRecordFields{.key = FormatJobId(id), .value = std::nullopt});
    }
    // Jobs are deleted before their progress: progress without a job is ignored,
    // whereas a job without progress would run again.
    if (!deletions.empty()) {
      auto cleaned = co_await job_cleaner_->Append(deletions, NoLimits());
      if (cleaned) records.insert(records.end(), deletions.begin(), deletions.end());
      for (const JobId id : batch.expired_crashes) {
        records.emplace_back(StoreRecordFields{.key = CrashesKey(id), .value = std::nullopt});
      }
    }
    std::int64_t end = -1;
    if (!records.empty()) {
      const Time started = Now();
      auto stored = co_await progress_->Append(std::move(records), NoLimits());
      if (!active_) co_return;
      if (!stored) {
        Drop(NameOf(progress_->give_up_cause()));
        context_.on_fenced(shard_);
        co_return;
      }
      context_.metrics.RecordLatency(Latency::kRecord, Now() - started);
      end = stored.value()->end;
      LogStored(stored.value(), batch);
    }
    const Time now = Now();
    const Orders orders = WithOwned(StartsUntil(), [&](Table& table) {
      table.shard.Recorded(batch, now);
      return table.shard.TakeOrders(now);
    });
    SendOrders(orders);
    if (!batch.records.empty()) settled_.Stored(end, Now());
    recorded_.NotifyAll();
  }
}

OwnerView ShardOwner::View() const {
  return OwnerView({.confirmed = context_.last_confirmed(),
                    .jobs_read = jobs_.last_complete(),
                    .time_to_live = context_.time_to_live});
}

Task<Result<>> ShardOwner::EnsureCurrentView(Time deadline) {
  if (!open_) co_return Errc::kUnavailable;
  ViewStatus status = StatusOf(View(), Now());
  if (status == ViewStatus::kLagging) {
    co_await ReadSubmittedJobs(deadline);
    if (!open_) co_return Errc::kUnavailable;
    status = StatusOf(View(), Now());
  }
  if (status != ViewStatus::kCurrent) co_return RefuseOutdated();
  co_return boost::outcome_v2::success();
}

Errc ShardOwner::RefuseOutdated() {
  context_.log.Write("view-outdated", std::to_string(shard_),
                     ToText(View(), Now()) + " token=" + std::to_string(token_));
  return Errc::kOutdated;
}

Task<bool> ShardOwner::ReadSubmittedJobs(Time deadline) {
  const auto self = shared_from_this();
  deadline = std::min(deadline, Now() + kViewReadTimeout);
  const std::uint64_t wanted = jobs_reads_started_ + 1;
  while (true) {
    const std::uint64_t ticket = jobs_read_ended_.Ticket();
    if (jobs_read_completed_ >= wanted) co_return true;
    if (!active_ || jobs_read_failed_ >= wanted || Now() >= deadline) co_return false;
    if (!reading_jobs_.exchange(true)) context_.pool.Spawn(RunJobsRead(++jobs_reads_started_));
    co_await jobs_read_ended_.Wait(ticket, deadline);
  }
}

Task<> ShardOwner::RunJobsRead(std::uint64_t number) {
  const auto self = shared_from_this();
  Result<bool> complete = false;
  while (active_ && complete && !complete.value()) complete = co_await jobs_.Poll(Duration(0));
  (complete ? jobs_read_completed_ : jobs_read_failed_) = number;
  reading_jobs_ = false;
  jobs_read_ended_.NotifyAll();
}

Task<Result<JobState>> ShardOwner::StateOf(JobId id, Time deadline) {
  if (!open_) co_return Errc::kUnavailable;
  const auto read_state = [&] {
    return table_.With([&](Table& table) { return table.shard.StateOf(id); });
  };
  const JobState state = read_state();
  if (HasEnded(state)) co_return state;
  // An unknown job may have been accepted since the last read.
  if (state == JobState::kUnknown && !co_await ReadSubmittedJobs(deadline)) {
    co_return Errc::kOutdated;
  }
  // Later submissions do not change the state of a known job, but a later owner may have.
  if (StatusOf(View(), Now()) == ViewStatus::kUnconfirmed) co_return RefuseOutdated();
  if (!open_) co_return Errc::kUnavailable;
  // The job exists, but this owner cannot tell its state.
  if (table_.With([&](Table& table) { return table.shard.IsHeld(id); })) {
    co_return Errc::kOutdated;
  }
  co_return read_state();
}

Task<Result<bool>> ShardOwner::Cancel(JobId id, Time deadline) {
  if (!open_) co_return Errc::kUnavailable;
  const auto read_state = [&] {
    return table_.With([&](Table& table) { return table.shard.StateOf(id); });
  };
  // A known job is cancelled however old the view is: the store rejects the record if a
  // later owner exists.
  if (read_state() == JobState::kUnknown) {
    auto state = co_await StateOf(id, deadline);
    if (!state) co_return state.error();
    if (state.value() == JobState::kUnknown) co_return false;
  }
  table_.With([&](Table& table) { table.shard.Cancel(id, Now()); });
  changed_.NotifyAll();
  recorded_.NotifyAll();
  while (open_) {
    const std::uint64_t ticket = recorded_.Ticket();
    const JobState state = read_state();
    if (HasEnded(state) || state == JobState::kUnknown) co_return true;
    if (Now() >= deadline) break;
    co_await recorded_.Wait(ticket, deadline);
  }
  co_return Errc::kUnavailable;
}

Task<Result<std::int64_t>> ShardOwner::WaitingOf(std::string queue, Time deadline) {
  auto current = co_await EnsureCurrentView(deadline);
  if (!current) co_return current.error();
  const auto [waiting, starts] = table_.With([&](Table& table) {
    return std::make_pair(table.shard.WaitingOf(queue), table.shard.CountStarts(queue));
  });
  const Time now = Now();
  const Duration open_for = now - Time(Duration(opened_ms_.load()));
  context_.log.Write("waiting-counted", queue,
                     "count=" + std::to_string(waiting) + " " + ToText(starts) + " " +
                         ToText(View(), now) + " open_for_ms=" + std::to_string(open_for.count()) +
                         " token=" + std::to_string(token_));
  co_return waiting;
}

}  // namespace dn
