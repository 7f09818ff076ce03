#include "entry/ShardLoop.h"

#include "common/Log.h"
#include "entry/Ownership.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <sys/resource.h>

namespace daisylanding::entry {

namespace {

constexpr size_t QueryCapacity = 256;
constexpr Millis TickInterval{10};
constexpr Millis MetricsInterval{1'000};

/// The journal is compacted into a snapshot after this many rows.
constexpr uint64_t CompactAfterRows = 200;

/// Surplus quota is returned only after the share was unchanged for this long.
constexpr Millis ShareReturnDelay{10'000};

bool belongsTo(const table::Instance &Instance, const ShardRow &OwnedShard,
               const config::Settings &Options) {
  if (Instance.Kind != table::Role::Worker ||
      Instance.AvailabilityZone != Options.AvailabilityZone)
    return false;
  uint32_t Index = shardIndexOfRack(Instance.Rack, Options.ShardsPerZone);
  return OwnedShard.Id ==
         fmt::format("{}.{}", Instance.AvailabilityZone, Index);
}

} // namespace

ShardLoop::ShardLoop(EntryContext &Context)
    : Queries(QueryCapacity, [this] { Wake.wake(); }), Context(Context),
      Journal(Context, [this] { Wake.wake(); }),
      Workers(Context.Options.WorkerSyncInterval * 2, [this] { Wake.wake(); }) {
}

void ShardLoop::start() {
  Journal.start();
  Workers.start();
  Loop.start("shards", [this] { run(); });
}

void ShardLoop::stop(Millis Limit) {
  TimePoint Until = monotonicNow() + Limit;
  while (OwnedCount.load() > 0 && monotonicNow() < Until)
    std::this_thread::sleep_for(TickInterval);
  Loop.requestStop();
  Wake.wake();
  Loop.join();
  Journal.stop();
  Workers.stop();
}

void ShardLoop::run() {
  while (!Loop.stopping()) {
    TimePoint Now = monotonicNow();
    applyView(Now);
    handleMessages(Now);
    for (auto &Entry : Shards)
      advance(Entry.second, Now);
    publishMetrics(Now);
    OwnedCount.store(Shards.size());
    Wake.wait(TickInterval);
  }
}

void ShardLoop::openShard(const ShardRow &Shard) {
  auto Existing = Shards.find(Shard.Id);
  if (Existing != Shards.end() &&
      Existing->second.OwnedShard.Epoch == Shard.Epoch) {
    Existing->second.OwnedShard.RowVersion = Shard.RowVersion;
    return;
  }
  if (Context.Draining.load() || !Journal.Calls.push(OpenJournal{Shard}))
    return;
  RunningShard &Opened = Shards[Shard.Id];
  Opened = {};
  Opened.OwnedShard = Shard;
}

void ShardLoop::applyView(TimePoint Now) {
  auto Current = Context.Views.current();
  if (Current == View || !Current->Config)
    return;
  View = Current;
  for (const ShardRow &Shard : View->OwnedShards)
    openShard(Shard);
  for (auto &Entry : Shards)
    applyViewTo(Entry.second, Now);
}

void ShardLoop::applyViewTo(RunningShard &Shard, TimePoint Now) {
  if (!Shard.Owner)
    return;
  std::vector<table::Instance> ShardInstances;
  for (const table::Instance &Instance : View->List.Instances) {
    if (belongsTo(Instance, Shard.OwnedShard, Context.Options))
      ShardInstances.push_back(Instance);
  }
  Shard.Owner->applyView(ShardInstances, View->List.Version, View->Config, Now);
  for (const ShardRow &OwnedShard : View->OwnedShards) {
    if (OwnedShard.Id == Shard.OwnedShard.Id &&
        OwnedShard.Epoch == Shard.OwnedShard.Epoch)
      Shard.Owner->confirmOwnership(View->OwnershipConfirmedAt);
  }
}

void ShardLoop::handleMessages(TimePoint Now) {
  JournalReply Reply;
  while (Journal.Replies.pop(Reply))
    onJournal(std::move(Reply), Now);
  worker::SyncResult SyncResult;
  while (Workers.Results.pop(SyncResult)) {
    auto Found = Shards.find(SyncResult.Shard);
    bool Current = Found != Shards.end() && Found->second.Owner &&
                   Found->second.OwnedShard.Epoch == SyncResult.Epoch;
    if (Current)
      Found->second.Owner->onSyncResult(SyncResult.Instance, SyncResult.Report,
                                        Now);
  }
  ShardQuery Query;
  while (Queries.pop(Query))
    answerQuery(Query);
}

void ShardLoop::onJournal(JournalReply Reply, TimePoint Now) {
  auto Found = Shards.find(Reply.ShardId);
  if (Found == Shards.end() || Found->second.OwnedShard.Epoch != Reply.Epoch)
    return;
  RunningShard &Shard = Found->second;
  if (const auto *Opened = std::get_if<JournalOpened>(&Reply.Content))
    onJournalOpened(Shard, Opened->Content, Now);
  else if (const auto *Written = std::get_if<GroupWritten>(&Reply.Content))
    onGroupWritten(Shard, *Written, Now);
  else if (const auto *Inbox = std::get_if<InboxRead>(&Reply.Content))
    Shard.Owner->onInbox(Inbox->Items);
  else if (const auto *Adjusted = std::get_if<ShareAdjusted>(&Reply.Content)) {
    Shard.RequestedShares.erase(Adjusted->Team);
    if (Adjusted->Share)
      Shard.Owner->TaskScheduler.QuotaShares[Adjusted->Team] = *Adjusted->Share;
  } else if (std::holds_alternative<JournalFenced>(Reply.Content))
    Shards.erase(Found);
}

void ShardLoop::onJournalOpened(RunningShard &Shard, const LoadedShard &Content,
                                TimePoint Now) {
  auto Owner = std::make_unique<shard::ShardOwner>(shard::ShardOwnerOptions{
      .Id = Shard.OwnedShard.Id,
      .Incarnation = Context.Incarnation,
      .Epoch = Shard.OwnedShard.Epoch,
      .SyncInterval = Context.Options.WorkerSyncInterval,
      .Lease = Context.Options.WorkerLeaseDuration,
      .LeaseMargin = Context.Options.LeaseMargin,
      .Seed = XXH64(Shard.OwnedShard.Id.data(), Shard.OwnedShard.Id.size(),
                    Shard.OwnedShard.Epoch),
      .AcquiredAt = Now});
  Shard.Owner = std::move(Owner);
  applyViewTo(Shard, Now);
  auto Failure = Shard.Owner->load(Content.Snapshot, Content.Rows,
                                   Content.LastSequence, Now);
  if (Failure) {
    logError("shard-unreadable", "shard={} error={}", Shard.OwnedShard.Id,
             Failure.message());
    Shard.Owner.reset();
    return;
  }
  applyViewTo(Shard, Now);
  Context.Events.add("shard-loaded", Shard.OwnedShard.Id,
                     fmt::format("epoch={} sequence={} jobs={}",
                                 Shard.OwnedShard.Epoch, Content.LastSequence,
                                 Shard.Owner->State.Jobs.size()));
}

void ShardLoop::recordStart(const RunningShard &Shard,
                            const shard::StartNotice &Notice) {
  constexpr double MicrosPerMilli = 1'000;
  Context.ProcessMetrics.observe(
      fmt::format("task_waiting_ms{{class=\"{}\"}}", Notice.Class),
      static_cast<double>(Notice.Waited.count()) / MicrosPerMilli);
  Context.ProcessMetrics.count("task_starts_total");
  Context.Events.add(
      "task-started", fmt::format("{}/{}", Notice.Id.Job, Notice.Id.Index),
      fmt::format("attempt={} instance={} shard={}", Notice.Id.Attempt,
                  Notice.Instance, Shard.OwnedShard.Id));
}

void ShardLoop::onGroupWritten(RunningShard &Shard, const GroupWritten &Written,
                               TimePoint Now) {
  Shard.Owner->onGroupWritten(Now);
  for (const shard::StartNotice &Notice : Shard.Owner->takeStartNotices())
    recordStart(Shard, Notice);
  if (Written.JournalLength < CompactAfterRows)
    Shard.Compacting = false;
  // No group is being written, so the state equals that of the journal.
  if (Written.JournalLength >= CompactAfterRows && !Shard.Compacting &&
      Shard.Owner->isFullyWritten())
    Shard.Compacting = Journal.Calls.push(
        CompactJournal{Shard.OwnedShard.Id, Shard.OwnedShard.Epoch,
                       Shard.Owner->snapshotText(), Written.Sequence});
}

void ShardLoop::requestRelease(RunningShard &Shard) {
  if (!Shard.Releasing)
    Shard.Releasing = Journal.Calls.push(
        ReleaseJournal{Shard.OwnedShard.Id, Shard.OwnedShard.Epoch});
}

void ShardLoop::advance(RunningShard &Shard, TimePoint Now) {
  if (!Shard.Owner || Shard.Releasing)
    return;
  if (Context.Draining.load()) {
    if (!Shard.Owner->isWriting())
      requestRelease(Shard);
    return;
  }
  if (auto Group = Shard.Owner->nextGroup(Now)) {
    // The ring holds more calls than one per shard, so it can't be full here.
    (void)Journal.Calls.push(AppendGroup{
        Shard.OwnedShard.Id, Shard.OwnedShard.Epoch, std::move(*Group)});
  }
  for (shard::WorkerCall &Call : Shard.Owner->dueSyncs(Now)) {
    worker::SyncCall Sync{Shard.OwnedShard.Id, Shard.OwnedShard.Epoch,
                          Call.Instance, Call.Address, std::move(Call.Request)};
    if (!Workers.Calls.push(std::move(Sync)))
      Shard.Owner->onSyncResult(Call.Instance, Errc::QueueFull, Now);
  }
  requestShares(Shard, Now);
}

void ShardLoop::requestShares(RunningShard &Shard, TimePoint Now) {
  auto &Decisions = Shard.Owner->TaskScheduler;
  for (const auto &[Team, Demand] : Decisions.QuotaDemands) {
    table::Resources &Share = Decisions.QuotaShares[Team];
    bool NeedsMore = !Demand.Wanted.fitsIn(Share);
    bool HasSurplus = Demand.Wanted != Share && !NeedsMore;
    TimePoint &ChangedAt = Shard.ShareChangedAt[Team];
    if (Shard.RequestedShares.count(Team) || (!NeedsMore && !HasSurplus))
      continue;
    if (HasSurplus && Now - ChangedAt < ShareReturnDelay)
      continue;
    const config::Team *TeamConfig = View->Config->findTeam(Team);
    if (!TeamConfig || !Journal.Calls.push(AdjustShare{
                           Shard.OwnedShard.Id, Shard.OwnedShard.Epoch, Team,
                           TeamConfig->Quota, Demand}))
      continue;
    Shard.RequestedShares.insert(Team);
    ChangedAt = Now;
    // Surplus is not available to the scheduler from here on.
    if (HasSurplus)
      Share = Demand.Wanted;
  }
}

ShardReport ShardLoop::report(const RunningShard &Shard) const {
  ShardReport Report{.Id = Shard.OwnedShard.Id,
                     .Epoch = Shard.OwnedShard.Epoch};
  if (!Shard.Owner)
    return Report;
  Report.Jobs = Shard.Owner->State.Jobs.size();
  for (const auto &Job : Shard.Owner->State.Jobs) {
    Report.Pending += Job.second->PendingTasks;
    Report.Running += Job.second->ActiveTasks;
  }
  for (const auto &Instance : Shard.Owner->State.Instances)
    Report.Instances += !Instance.Gone;
  Report.EjectedWorkers = Shard.Owner->ejectedWorkers();
  Report.Packing = Shard.Owner->State.packing();
  return Report;
}

void ShardLoop::answerQuery(const ShardQuery &Query) {
  ShardAnswer Answer;
  for (const auto &Entry : Shards) {
    Answer.Shards.push_back(report(Entry.second));
    if (!Entry.second.Owner)
      continue;
    for (const auto &Job : Entry.second.Owner->State.Jobs) {
      if (Query.Job.empty() || Job.first == Query.Job)
        Answer.Jobs.push_back(*Entry.second.Owner->status(Job.first));
    }
  }
  Query.Done(std::move(Answer));
}

/// Publishes the cost of scheduling: the resources that this process uses and
/// its traffic with workers.
void ShardLoop::publishProcessMetrics() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Time) {
    constexpr double MicrosPerSecond = 1e6;
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / MicrosPerSecond;
  };
  constexpr double BytesPerKilobyte = 1'024;
  Context.ProcessMetrics.gauge("process_cpu_seconds_total",
                               Seconds(Usage.ru_utime) +
                                   Seconds(Usage.ru_stime));
  Context.ProcessMetrics.gauge("process_peak_resident_bytes",
                               static_cast<double>(Usage.ru_maxrss) *
                                   BytesPerKilobyte);
  Context.ProcessMetrics.gauge("worker_sync_bytes_total",
                               static_cast<double>(Workers.bodyBytes()));
  Context.ProcessMetrics.gauge("worker_syncs_total",
                               static_cast<double>(Workers.syncCount()));
}

void ShardLoop::publishMetrics(TimePoint Now) {
  if (Now < NextMetricsAt)
    return;
  NextMetricsAt = Now + MetricsInterval;
  publishProcessMetrics();
  for (const auto &Entry : Shards) {
    ShardReport Report = report(Entry.second);
    auto MetricName = [&](std::string_view Base) {
      return fmt::format("{}{{shard=\"{}\"}}", Base, Entry.first);
    };
    Context.ProcessMetrics.gauge(MetricName("shard_packing"), Report.Packing);
    Context.ProcessMetrics.gauge(MetricName("shard_tasks_pending"),
                                 static_cast<double>(Report.Pending));
    Context.ProcessMetrics.gauge(MetricName("shard_tasks_running"),
                                 static_cast<double>(Report.Running));
  }
}

} // namespace daisylanding::entry
