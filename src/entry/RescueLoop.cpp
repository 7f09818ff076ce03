#include "entry/RescueLoop.h"

#include "common/Log.h"
#include "entry/Ownership.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::entry {

namespace {

constexpr Millis ScanInterval{1'000};

bool isMovable(const shard::JobState &Job,
               const config::ClusterConfig &Config) {
  const config::WorkClass *Class = Config.findClass(Job.Spec.Class);
  if (!Class || Class->ZoneLoss != config::ZoneLossPolicy::Move ||
      Job.Stopping || !Job.Spec.AvailabilityZone.empty())
    return false;
  // A task without a lease may still be running in the lost zone.
  return std::all_of(Job.Tasks.begin(), Job.Tasks.end(),
                     [](const shard::TaskState &Task) {
                       return Task.Instance == shard::NoInstance || Task.Leased;
                     });
}

shard::JobAccepted remainingJob(const shard::JobState &Job) {
  shard::JobAccepted Remainder{.Spec = Job.Spec, .WallMicros = wallMicros()};
  bool KeepsSucceeded = Job.Spec.Kind == config::JobKind::Batch;
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
    Remainder.AttemptBase =
        std::max(Remainder.AttemptBase, Job.Tasks[I].Attempt);
    if (KeepsSucceeded && Job.Tasks[I].Succeeded)
      Remainder.SucceededTasks.push_back(I);
  }
  return Remainder;
}

} // namespace

shard::JournalGroup planRescue(shard::ShardState &State,
                               std::span<const table::Instance> Instances,
                               const config::ClusterConfig &Config,
                               std::string_view LostZone,
                               uint32_t ShardsPerZone, TimePoint Now) {
  shard::JournalGroup Group;
  auto AddRecord = [&](shard::Record Record) {
    State.apply(Record, Now);
    Group.Row.Records.push_back(std::move(Record));
  };
  std::vector<std::string> Movable;
  for (const auto &Entry : State.Jobs) {
    if (isMovable(*Entry.second, Config))
      Movable.push_back(Entry.first);
  }
  for (const std::string &Id : Movable) {
    shard::JobState &Job = *State.findJob(Id);
    auto Target = chooseShard(Instances, Job.Spec, ShardsPerZone,
                              {std::string(LostZone)});
    if (!Target)
      continue; // No other zone has room for it.
    shard::JobAccepted Remainder = remainingJob(Job);
    for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
      if (Job.Tasks[I].Instance != shard::NoInstance)
        AddRecord(shard::TaskEnded{.Id = Job.attemptId(I)});
    }
    AddRecord(shard::JobMoved{Id});
    Group.MovedJobs.push_back({std::move(Remainder), *Target});
  }
  return Group;
}

void RescueLoop::run() {
  auto Platform = Context.connectPlatform();
  while (!Loop.stopping()) {
    if (!Context.Draining.load())
      rescueLostShards(*Platform);
    Wake.wait(ScanInterval);
  }
}

/// Returns the zone of \p Shard if it is another zone than this entry's, is
/// lost, and this entry is the one to rescue the shard.
std::optional<std::string> RescueLoop::lostZone(const ShardRow &Shard,
                                                const ClusterView &View,
                                                TimePoint Now) const {
  std::string Zone = Shard.Id.substr(0, Shard.Id.rfind('.'));
  const std::string &Home = Context.Options.AvailabilityZone;
  if (Zone == Home ||
      !isZoneLost(Zone, View.Members, Context.Options.ZoneLossTimeout, Now))
    return std::nullopt;
  const Member *Preferred = preferredOwner(Shard.Id, Home, View.Members);
  bool Responsible = Preferred && Preferred->Name == Context.Options.Name &&
                     !isOwnerAlive(Shard, View.Members);
  return Responsible ? std::optional(Zone) : std::nullopt;
}

void RescueLoop::rescueLostShards(table::HttpPlatform &Platform) {
  auto View = Context.Views.current();
  TimePoint Now = monotonicNow();
  if (!View->Config || !View->PlatformReachable ||
      !isObserving(View->OwnershipConfirmedAt, Context.Options, Now))
    return;
  Member Self{.Name = Context.Options.Name, .Incarnation = Context.Incarnation};
  std::vector<std::pair<ShardRow, std::string>> AcquiredShards;
  for (const ShardRow &Shard : View->Shards) {
    auto Zone = lostZone(Shard, *View, Now);
    if (!Zone) {
      RescuedShards.erase(Shard.Id);
      continue;
    }
    if (RescuedShards.count(Shard.Id))
      continue;
    // If another entry was first, the next round reads its row.
    if (auto Acquired = acquireShard(Platform, Shard, Self)) {
      AcquiredShards.emplace_back(*Acquired, *Zone);
      Context.Events.add("rescue-began", Shard.Id,
                         fmt::format("epoch={}", Acquired->Epoch));
    }
  }
  if (AcquiredShards.empty())
    return;
  // The previous owners can't have renewed leases after the shards were
  // acquired.
  TimePoint LeasesEnd = monotonicNow() + Context.Options.WorkerLeaseDuration +
                        Context.Options.LeaseMargin;
  if (!waitUntil(LeasesEnd))
    return;
  for (const auto &[Shard, Zone] : AcquiredShards) {
    JournalStore Journal(Platform, Platform, Shard);
    if (moveJobs(Journal, Zone))
      RescuedShards.insert(Shard.Id);
    (void)Journal.release();
  }
}

bool RescueLoop::waitUntil(TimePoint Until) {
  while (!Loop.stopping() && monotonicNow() < Until)
    Wake.wait(Until - monotonicNow());
  return !Loop.stopping();
}

bool RescueLoop::moveJobs(JournalStore &Journal, const std::string &Zone) {
  auto Content = Journal.load();
  if (!Content)
    return false;
  TimePoint Now = monotonicNow();
  auto View = Context.Views.current();
  shard::ShardOwner Owner(
      {.Incarnation = Context.Incarnation, .AcquiredAt = Now});
  if (Owner.load(Content->Snapshot, Content->Rows, Content->LastSequence, Now))
    return false;
  auto Inbox = Journal.readInbox();
  if (!Inbox)
    return false;
  std::vector<shard::Record> InboxRecords;
  for (const shard::InboxItem &Item : *Inbox) {
    InboxRecords.push_back(shard::toRecord(Item));
    Owner.State.apply(InboxRecords.back(), Now);
  }
  shard::JournalGroup Group =
      planRescue(Owner.State, View->List.Instances, *View->Config, Zone,
                 Context.Options.ShardsPerZone, Now);
  Group.Row.Records.insert(Group.Row.Records.begin(), InboxRecords.begin(),
                           InboxRecords.end());
  if (Group.Row.Records.empty())
    return true;
  Group.ConsumedItems = std::move(*Inbox);
  Group.Sequence = Content->LastSequence + 1;
  Group.Row.Token =
      fmt::format("{}:rescue:{}", Context.Incarnation, Group.Sequence);
  Group.Row.ListVersion = View->List.Version;
  while (std::error_code Failure = Journal.append(Group)) {
    if (Failure == Errc::Fenced || Loop.stopping())
      return false;
    Wake.wait(ScanInterval);
  }
  Context.Events.add("rescue-moved", Zone,
                     fmt::format("jobs={}", Group.MovedJobs.size()));
  logInfo("rescue-moved", "zone={} jobs={}", Zone, Group.MovedJobs.size());
  return true;
}

} // namespace daisylanding::entry
