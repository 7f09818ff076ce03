#include "entry/RescueLoop.h"

#include "common/Log.h"
#include "entry/Ownership.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::entry {

namespace {

constexpr Millis LookInterval{1'000};

bool mayMove(const shard::JobState &Each, const config::ClusterConfig &Config) {
  const config::WorkClass *Class = Config.findClass(Each.Spec.Class);
  if (!Class || Class->ZoneLoss != config::ZoneLossPolicy::Move ||
      Each.Stopping || !Each.Spec.AvailabilityZone.empty())
    return false;
  // A task without a lease may still run there.
  return std::all_of(Each.Tasks.begin(), Each.Tasks.end(),
                     [](const shard::TaskState &One) {
                       return One.Instance == shard::NoInstance || One.Leased;
                     });
}

shard::JobAccepted remainderOf(const shard::JobState &Each) {
  shard::JobAccepted Out{.Spec = Each.Spec, .WallMicros = wallMicros()};
  bool KeepsDone = Each.Spec.Kind == config::JobKind::Batch;
  for (uint32_t I = 0; I < Each.Tasks.size(); ++I) {
    Out.AttemptBase = std::max(Out.AttemptBase, Each.Tasks[I].Attempt);
    if (KeepsDone && Each.Tasks[I].Succeeded)
      Out.SucceededTasks.push_back(I);
  }
  return Out;
}

} // namespace

shard::JournalGroup planRescue(shard::ShardState &State,
                               std::span<const table::Instance> Instances,
                               const config::ClusterConfig &Config,
                               std::string_view LostZone,
                               uint32_t ShardsPerZone, TimePoint Now) {
  shard::JournalGroup Group;
  auto Record = [&](shard::Record Each) {
    State.apply(Each, Now);
    Group.Row.Records.push_back(std::move(Each));
  };
  std::vector<std::string> Movable;
  for (const auto &Each : State.Jobs) {
    if (mayMove(*Each.second, Config))
      Movable.push_back(Each.first);
  }
  for (const std::string &Id : Movable) {
    shard::JobState &Each = *State.findJob(Id);
    auto Target = chooseShard(Instances, Each.Spec, ShardsPerZone,
                              {std::string(LostZone)});
    if (!Target)
      continue; // No other zone could hold it.
    shard::JobAccepted Remainder = remainderOf(Each);
    for (uint32_t I = 0; I < Each.Tasks.size(); ++I) {
      if (Each.Tasks[I].Instance != shard::NoInstance)
        Record(shard::TaskEnded{.Id = Each.attemptId(I)});
    }
    Record(shard::JobMoved{Id});
    Group.MovedJobs.push_back({std::move(Remainder), *Target});
  }
  return Group;
}

void RescueLoop::run() {
  auto Platform = Shared.connectPlatform();
  while (!Loop.stopping()) {
    if (!Shared.Draining.load())
      lookForLostShards(*Platform);
    Wake.wait(LookInterval);
  }
}

/// The zone of \p Each if it is another than ours, lost, and this entry is the
/// one to act.
std::optional<std::string> RescueLoop::lostZoneOf(const Shard &Each,
                                                  const View &Seen,
                                                  TimePoint Now) const {
  std::string Zone = Each.Id.substr(0, Each.Id.rfind('.'));
  const std::string &Home = Shared.Options.AvailabilityZone;
  if (Zone == Home ||
      !zoneLost(Zone, Seen.Members, Shared.Options.ZoneLossTimeout, Now))
    return std::nullopt;
  const Member *First = preferredOwner(Each.Id, Home, Seen.Members);
  bool Mine = First && First->Name == Shared.Options.Name &&
              !ownerAlive(Each, Seen.Members);
  return Mine ? std::optional(Zone) : std::nullopt;
}

void RescueLoop::lookForLostShards(table::HttpPlatform &Platform) {
  auto Seen = Shared.Views.current();
  if (!Seen->Config || !Seen->PlatformReachable)
    return;
  TimePoint Now = monotonicNow();
  Member Self{.Name = Shared.Options.Name, .Incarnation = Shared.Incarnation};
  std::vector<std::pair<Shard, std::string>> Taken;
  for (const Shard &Each : Seen->Shards) {
    auto Zone = lostZoneOf(Each, *Seen, Now);
    if (!Zone) {
      Rescued.erase(Each.Id);
      continue;
    }
    if (Rescued.count(Each.Id))
      continue;
    // Where another entry was first, the next round will see.
    if (auto Claimed = claimShard(Platform, Each, Self)) {
      Taken.emplace_back(*Claimed, *Zone);
      Shared.Events.add("rescue-began", Each.Id,
                        fmt::format("epoch={}", Claimed->Epoch));
    }
  }
  if (Taken.empty())
    return;
  // The owners there renewed at most until just before the claims.
  TimePoint Over = monotonicNow() + Shared.Options.WorkerLeaseDuration +
                   Shared.Options.LeaseMargin;
  if (!waitUntil(Over))
    return;
  for (const auto &[Each, Zone] : Taken) {
    JournalStore Journal(Platform, Platform, Each);
    if (moveJobs(Journal, Zone))
      Rescued.insert(Each.Id);
    (void)Journal.release();
  }
}

bool RescueLoop::waitUntil(TimePoint When) {
  while (!Loop.stopping() && monotonicNow() < When)
    Wake.wait(When - monotonicNow());
  return !Loop.stopping();
}

bool RescueLoop::moveJobs(JournalStore &Journal, const std::string &Zone) {
  auto Content = Journal.load();
  if (!Content)
    return false;
  TimePoint Now = monotonicNow();
  auto Seen = Shared.Views.current();
  shard::ShardOwner Owner(
      {.Incarnation = Shared.Incarnation, .AcquiredAt = Now});
  if (Owner.load(Content->Snapshot, Content->Rows, Content->LastSequence, Now))
    return false;
  auto Inbox = Journal.readInbox();
  if (!Inbox)
    return false;
  std::vector<shard::Record> Commands;
  for (const shard::InboxItem &Each : *Inbox) {
    Commands.push_back(shard::toRecord(Each));
    Owner.State.apply(Commands.back(), Now);
  }
  shard::JournalGroup Group =
      planRescue(Owner.State, Seen->List.Instances, *Seen->Config, Zone,
                 Shared.Options.ShardsPerZone, Now);
  Group.Row.Records.insert(Group.Row.Records.begin(), Commands.begin(),
                           Commands.end());
  if (Group.Row.Records.empty())
    return true;
  Group.ConsumedItems = std::move(*Inbox);
  Group.Sequence = Content->LastSequence + 1;
  Group.Row.Token =
      fmt::format("{}:rescue:{}", Shared.Incarnation, Group.Sequence);
  Group.Row.ListVersion = Seen->List.Version;
  while (std::error_code Failure = Journal.append(Group)) {
    if (Failure == Errc::Fenced || Loop.stopping())
      return false;
    Wake.wait(LookInterval);
  }
  Shared.Events.add("rescue-moved", Zone,
                    fmt::format("jobs={}", Group.MovedJobs.size()));
  logInfo("rescue-moved", "zone={} jobs={}", Zone, Group.MovedJobs.size());
  return true;
}

} // namespace daisylanding::entry
