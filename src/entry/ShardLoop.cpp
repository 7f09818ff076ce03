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

/// The journal is folded into a snapshot after this many rows.
constexpr uint64_t CompactAfterRows = 200;

/// A share is given back only when it was unchanged for this long.
constexpr Millis ShareSettleTime{10'000};

bool belongsTo(const table::Instance &Each, const Shard &Owned,
               const config::Settings &Options) {
  if (Each.Kind != table::Role::Worker ||
      Each.AvailabilityZone != Options.AvailabilityZone)
    return false;
  uint32_t Index = shardOfRack(Each.Rack, Options.ShardsPerZone);
  return Owned.Id == fmt::format("{}.{}", Each.AvailabilityZone, Index);
}

} // namespace

ShardLoop::ShardLoop(Context &Shared)
    : Queries(QueryCapacity, [this] { Wake.wake(); }), Shared(Shared),
      Journal(Shared, [this] { Wake.wake(); }),
      Workers(Shared.Options.WorkerSyncInterval * 2, [this] { Wake.wake(); }) {}

void ShardLoop::start() {
  Journal.start();
  Workers.start();
  Loop.start("shards", [this] { run(); });
}

void ShardLoop::stop(Millis Longest) {
  TimePoint Until = monotonicNow() + Longest;
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
    takeMessages(Now);
    for (auto &Each : Shards)
      advance(Each.second, Now);
    publishMetrics(Now);
    OwnedCount.store(Shards.size());
    Wake.wait(TickInterval);
  }
}

void ShardLoop::open(const Shard &Each) {
  auto Known = Shards.find(Each.Id);
  if (Known != Shards.end() && Known->second.Owned.Epoch == Each.Epoch) {
    Known->second.Owned.RowVersion = Each.RowVersion;
    return;
  }
  if (Shared.Draining.load() || !Journal.Calls.push(OpenJournal{Each}))
    return;
  Running &Next = Shards[Each.Id];
  Next = {};
  Next.Owned = Each;
}

void ShardLoop::applyView(TimePoint Now) {
  auto Current = Shared.Views.current();
  if (Current == Seen || !Current->Config)
    return;
  Seen = Current;
  for (const Shard &Each : Seen->Owned)
    open(Each);
  for (auto &Each : Shards)
    feedView(Each.second, Now);
}

void ShardLoop::feedView(Running &Each, TimePoint Now) {
  if (!Each.Owner)
    return;
  std::vector<table::Instance> Mine;
  for (const table::Instance &Instance : Seen->List.Instances) {
    if (belongsTo(Instance, Each.Owned, Shared.Options))
      Mine.push_back(Instance);
  }
  Each.Owner->applyView(Mine, Seen->List.Version, Seen->Config, Now);
  for (const Shard &Owned : Seen->Owned) {
    if (Owned.Id == Each.Owned.Id && Owned.Epoch == Each.Owned.Epoch)
      Each.Owner->confirmOwnership(Seen->Confirmed);
  }
}

void ShardLoop::takeMessages(TimePoint Now) {
  JournalReply Reply;
  while (Journal.Replies.pop(Reply))
    onJournal(std::move(Reply), Now);
  worker::SyncResult Done;
  while (Workers.Results.pop(Done)) {
    auto Found = Shards.find(Done.Shard);
    bool Current = Found != Shards.end() && Found->second.Owner &&
                   Found->second.Owned.Epoch == Done.Epoch;
    if (Current)
      Found->second.Owner->onSyncResult(Done.Instance, Done.Report, Now);
  }
  ShardQuery Query;
  while (Queries.pop(Query))
    answer(Query);
}

void ShardLoop::onJournal(JournalReply Reply, TimePoint Now) {
  auto Found = Shards.find(Reply.Shard);
  if (Found == Shards.end() || Found->second.Owned.Epoch != Reply.Epoch)
    return;
  Running &Each = Found->second;
  if (const auto *Opened = std::get_if<JournalOpened>(&Reply.Content))
    onOpened(Each, Opened->Content, Now);
  else if (const auto *Written = std::get_if<GroupWritten>(&Reply.Content))
    onWritten(Each, *Written, Now);
  else if (const auto *Inbox = std::get_if<InboxRead>(&Reply.Content))
    Each.Owner->onInbox(Inbox->Items);
  else if (const auto *Moved = std::get_if<ShareMoved>(&Reply.Content)) {
    Each.SharesAsked.erase(Moved->Team);
    if (Moved->Share)
      Each.Owner->TaskScheduler.QuotaShares[Moved->Team] = *Moved->Share;
  } else if (std::holds_alternative<JournalFenced>(Reply.Content))
    Shards.erase(Found);
}

void ShardLoop::onOpened(Running &Each, const LoadedShard &Content,
                         TimePoint Now) {
  auto Owner = std::make_unique<shard::ShardOwner>(shard::ShardOwnerOptions{
      .Id = Each.Owned.Id,
      .Incarnation = Shared.Incarnation,
      .Epoch = Each.Owned.Epoch,
      .SyncInterval = Shared.Options.WorkerSyncInterval,
      .Lease = Shared.Options.WorkerLeaseDuration,
      .LeaseMargin = Shared.Options.LeaseMargin,
      .Seed =
          XXH64(Each.Owned.Id.data(), Each.Owned.Id.size(), Each.Owned.Epoch),
      .AcquiredAt = Now});
  Each.Owner = std::move(Owner);
  feedView(Each, Now);
  auto Failure = Each.Owner->load(Content.Snapshot, Content.Rows,
                                  Content.LastSequence, Now);
  if (Failure) {
    logError("shard-unreadable", "shard={} error={}", Each.Owned.Id,
             Failure.message());
    Each.Owner.reset();
    return;
  }
  feedView(Each, Now);
  Shared.Events.add("shard-loaded", Each.Owned.Id,
                    fmt::format("epoch={} sequence={} jobs={}",
                                Each.Owned.Epoch, Content.LastSequence,
                                Each.Owner->State.Jobs.size()));
}

void ShardLoop::note(const Running &Each, const shard::StartNotice &Notice) {
  constexpr double MicrosPerMilli = 1'000;
  Shared.Numbers.observe(
      fmt::format("task_waiting_ms{{class=\"{}\"}}", Notice.Class),
      static_cast<double>(Notice.Waited.count()) / MicrosPerMilli);
  Shared.Numbers.count("task_starts_total");
  Shared.Events.add(
      "task-started", fmt::format("{}/{}", Notice.Id.Job, Notice.Id.Index),
      fmt::format("attempt={} instance={} shard={}", Notice.Id.Attempt,
                  Notice.Instance, Each.Owned.Id));
}

void ShardLoop::onWritten(Running &Each, const GroupWritten &Written,
                          TimePoint Now) {
  Each.Owner->onGroupWritten(Now);
  for (const shard::StartNotice &Notice : Each.Owner->takeStartNotices())
    note(Each, Notice);
  if (Written.JournalLength < CompactAfterRows)
    Each.Compacting = false;
  // No group is under way here, so the state is exactly the journal's.
  if (Written.JournalLength >= CompactAfterRows && !Each.Compacting &&
      Each.Owner->isFullyWritten())
    Each.Compacting = Journal.Calls.push(
        CompactJournal{Each.Owned.Id, Each.Owned.Epoch,
                       Each.Owner->snapshotText(), Written.Sequence});
}

void ShardLoop::release(Running &Each) {
  if (!Each.Releasing)
    Each.Releasing =
        Journal.Calls.push(ReleaseJournal{Each.Owned.Id, Each.Owned.Epoch});
}

void ShardLoop::advance(Running &Each, TimePoint Now) {
  if (!Each.Owner || Each.Releasing)
    return;
  if (Shared.Draining.load()) {
    if (!Each.Owner->isWriting())
      release(Each);
    return;
  }
  if (auto Group = Each.Owner->nextGroup(Now)) {
    // The ring holds more than one call a shard; it can't be full here.
    (void)Journal.Calls.push(
        AppendGroup{Each.Owned.Id, Each.Owned.Epoch, std::move(*Group)});
  }
  for (shard::WorkerCall &Call : Each.Owner->dueSyncs(Now)) {
    worker::SyncCall Sync{Each.Owned.Id, Each.Owned.Epoch, Call.Instance,
                          Call.Address, std::move(Call.Request)};
    if (!Workers.Calls.push(std::move(Sync)))
      Each.Owner->onSyncResult(Call.Instance, Errc::QueueFull, Now);
  }
  askShares(Each, Now);
}

void ShardLoop::askShares(Running &Each, TimePoint Now) {
  auto &Decisions = Each.Owner->TaskScheduler;
  for (const auto &[Team, Demand] : Decisions.QuotaDemands) {
    table::Resources &Share = Decisions.QuotaShares[Team];
    bool Short = !Demand.Wanted.fitsIn(Share);
    bool Spare = Demand.Wanted != Share && !Short;
    TimePoint &Changed = Each.ShareChanged[Team];
    if (Each.SharesAsked.count(Team) || (!Short && !Spare))
      continue;
    if (Spare && Now - Changed < ShareSettleTime)
      continue;
    const config::Team *Known = Seen->Config->findTeam(Team);
    if (!Known || !Journal.Calls.push(MoveShare{Each.Owned.Id, Each.Owned.Epoch,
                                                Team, Known->Quota, Demand}))
      continue;
    Each.SharesAsked.insert(Team);
    Changed = Now;
    // What is given back is not spent from here on.
    if (Spare)
      Share = Demand.Wanted;
  }
}

ShardReport ShardLoop::report(const Running &Each) const {
  ShardReport Out{.Id = Each.Owned.Id, .Epoch = Each.Owned.Epoch};
  if (!Each.Owner)
    return Out;
  Out.Jobs = Each.Owner->State.Jobs.size();
  for (const auto &Job : Each.Owner->State.Jobs) {
    Out.Pending += Job.second->PendingTasks;
    Out.Running += Job.second->ActiveTasks;
  }
  for (const auto &Instance : Each.Owner->State.Instances)
    Out.Instances += !Instance.Gone;
  Out.EjectedWorkers = Each.Owner->ejectedWorkers();
  Out.Packing = Each.Owner->State.packing();
  return Out;
}

void ShardLoop::answer(const ShardQuery &Query) {
  ShardAnswer Out;
  for (const auto &Each : Shards) {
    Out.Shards.push_back(report(Each.second));
    if (!Each.second.Owner)
      continue;
    for (const auto &Job : Each.second.Owner->State.Jobs) {
      if (Query.Job.empty() || Job.first == Query.Job)
        Out.Jobs.push_back(*Each.second.Owner->status(Job.first));
    }
  }
  Query.Answer(std::move(Out));
}

/// What control costs: this process, and its exchanges with workers.
void ShardLoop::publishCost() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Time) {
    constexpr double MicrosPerSecond = 1e6;
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / MicrosPerSecond;
  };
  constexpr double BytesPerKilobyte = 1'024;
  Shared.Numbers.gauge("process_cpu_seconds_total",
                       Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime));
  Shared.Numbers.gauge("process_peak_resident_bytes",
                       static_cast<double>(Usage.ru_maxrss) * BytesPerKilobyte);
  Shared.Numbers.gauge("worker_sync_bytes_total",
                       static_cast<double>(Workers.bodyBytes()));
  Shared.Numbers.gauge("worker_syncs_total",
                       static_cast<double>(Workers.syncCount()));
}

void ShardLoop::publishMetrics(TimePoint Now) {
  if (Now < NextMetrics)
    return;
  NextMetrics = Now + MetricsInterval;
  publishCost();
  for (const auto &Each : Shards) {
    ShardReport Now = report(Each.second);
    auto Name = [&](std::string_view Base) {
      return fmt::format("{}{{shard=\"{}\"}}", Base, Each.first);
    };
    Shared.Numbers.gauge(Name("shard_packing"), Now.Packing);
    Shared.Numbers.gauge(Name("shard_tasks_pending"),
                         static_cast<double>(Now.Pending));
    Shared.Numbers.gauge(Name("shard_tasks_running"),
                         static_cast<double>(Now.Running));
  }
}

} // namespace daisylanding::entry
