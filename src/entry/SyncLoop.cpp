#include "entry/SyncLoop.h"

#include "common/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace daisylanding::entry {

namespace {

constexpr size_t RingCapacity = 64;
constexpr Millis TickInterval{20};
constexpr std::string_view ConfigKey = "config";
constexpr std::string_view MemberPrefix = "entry/";

} // namespace

SyncLoop::SyncLoop(EntryContext &Context)
    : PeerConfigs(RingCapacity, [this] { Wake.wake(); }), Context(Context) {}

void SyncLoop::run() {
  auto Platform = Context.connectPlatform(table::WritePriority::Heartbeat);
  while (!Loop.stopping()) {
    TimePoint Now = monotonicNow();
    std::string Text;
    while (PeerConfigs.pop(Text))
      applyConfig(Text);
    if (Now >= NextListPoll) {
      pollList(*Platform);
      NextListPoll = Now + Context.Options.ListPollInterval;
    }
    if (Now >= NextConfigPoll) {
      pollConfig(*Platform);
      NextConfigPoll = Now + Context.Options.ConfigPollInterval;
    }
    if (Now >= NextHeartbeat) {
      syncMembership(*Platform, Now);
      NextHeartbeat = Now + Context.Options.HeartbeatInterval;
    }
    Wake.wait(TickInterval);
  }
}

void SyncLoop::publish() {
  Context.Views.publish(std::make_shared<ClusterView>(WorkingView));
}

void SyncLoop::pollList(table::InstanceList &List) {
  auto Snapshot = List.snapshot();
  bool Reachable = static_cast<bool>(Snapshot);
  if (Reachable != WorkingView.PlatformReachable) {
    WorkingView.PlatformReachable = Reachable;
    Context.Events.add(Reachable ? "platform-reached" : "platform-lost",
                       "platform");
    publish();
  }
  if (!Snapshot || (Snapshot->Version <= WorkingView.List.Version &&
                    !WorkingView.List.Instances.empty()))
    return;
  WorkingView.List = std::move(*Snapshot);
  Context.Events.add("list-applied", "instances",
                     fmt::format("version={}", WorkingView.List.Version));
  publish();
}

void SyncLoop::pollConfig(table::Table &Store) {
  auto Row = Store.read(ConfigKey);
  if (Row && Row->Version != table::AbsentVersion)
    applyConfig(Row->Value);
}

/// Applies a committed configuration if its version is higher than the current
/// one.
void SyncLoop::applyConfig(std::string_view Text) {
  if (Text == ConfigText)
    return;
  auto Parsed = config::configFromText(Text);
  if (!Parsed) {
    logError("config-unreadable", "error={}", Parsed.error().message());
    return;
  }
  if (WorkingView.Config && Parsed->Version <= WorkingView.Config->Version)
    return;
  ConfigText = Text;
  WorkingView.Config =
      std::make_shared<config::ClusterConfig>(std::move(*Parsed));
  Context.Events.add("config-applied", "config",
                     fmt::format("version={}", WorkingView.Config->Version));
  publish();
}

/// One round: write the heartbeat, read those of the others, acquire shards
/// without a live owner.
void SyncLoop::syncMembership(table::Table &Store, TimePoint Now) {
  if (!writeHeartbeat(Store))
    return;
  readMembers(Store, Now);
  acquireShards(Store, Now);
  publish();
}

bool SyncLoop::writeHeartbeat(table::Table &Store) {
  Member Self{.Name = Context.Options.Name,
              .Incarnation = Context.Incarnation,
              .AvailabilityZone = Context.Options.AvailabilityZone,
              .PeerAddress = Context.Options.PeerAddress.text(),
              .OperatorAddress = Context.Options.OperatorAddress.text(),
              .ConfigVersion =
                  WorkingView.Config ? WorkingView.Config->Version : 0,
              .ListVersion = WorkingView.List.Version,
              .Draining = Context.Draining.load()};
  table::Mutation Write{.Key = std::string(MemberPrefix) + Self.Name,
                        .Value = memberToText(Self, ++HeartbeatCount),
                        .ExpectedVersion = HeartbeatVersion};
  auto Outcome = Store.commit({&Write, 1});
  if (!Outcome)
    return false;
  if (Outcome->Committed) {
    HeartbeatVersion = Outcome->Versions.front();
    return true;
  }
  // The row is that of an earlier process, or of a write whose answer was lost.
  HeartbeatVersion = Outcome->Conflicts.front().Version;
  Write.ExpectedVersion = HeartbeatVersion;
  Outcome = Store.commit({&Write, 1});
  if (!Outcome || !Outcome->Committed)
    return false;
  HeartbeatVersion = Outcome->Versions.front();
  return true;
}

void SyncLoop::readMembers(table::Table &Store, TimePoint Now) {
  auto Rows = Store.scan(MemberPrefix);
  if (!Rows)
    return;
  // Otherwise no entry counts as silent.
  bool WasObserving = isObserving(LastMemberRead, Context.Options, Now);
  LastMemberRead = Now;
  std::vector<Member> Members;
  for (const table::Row &Row : *Rows) {
    auto Entry = memberFromText(Row.Value);
    if (!Entry)
      continue;
    auto Previous = std::find_if(
        WorkingView.Members.begin(), WorkingView.Members.end(),
        [&](const Member &Other) { return Other.Name == Entry->Name; });
    uint64_t &LastRowVersion = MemberRowVersions[Entry->Name];
    bool Changed = LastRowVersion != Row.Version;
    LastRowVersion = Row.Version;
    bool Fresh =
        Changed || !WasObserving || Previous == WorkingView.Members.end();
    Entry->LastChangeAt = Fresh ? Now : Previous->LastChangeAt;
    Entry->Alive = Now - Entry->LastChangeAt < Context.Options.TakeoverTimeout;
    Members.push_back(std::move(*Entry));
  }
  WorkingView.Members = std::move(Members);
}

/// Reads all shard rows and adds the shards of the home zone that have no row.
std::optional<std::vector<ShardRow>>
SyncLoop::readShards(table::Table &Store) const {
  auto Rows = Store.scan("shard/");
  if (!Rows)
    return std::nullopt;
  std::vector<ShardRow> Shards;
  std::set<std::string> KnownIds;
  for (const table::Row &Row : *Rows) {
    auto Shard = shardFromRow(Row);
    if (!Shard)
      continue;
    KnownIds.insert(Shard->Id);
    Shards.push_back(std::move(*Shard));
  }
  for (uint32_t I = 0; I < Context.Options.ShardsPerZone; ++I) {
    std::string Id = fmt::format("{}.{}", Context.Options.AvailabilityZone, I);
    if (!KnownIds.count(Id))
      Shards.push_back({.Id = Id});
  }
  return Shards;
}

void SyncLoop::acquireShards(table::Table &Store, TimePoint Now) {
  auto Shards = readShards(Store);
  if (!Shards)
    return;
  std::string HomePrefix = Context.Options.AvailabilityZone + ".";
  Member Self{.Name = Context.Options.Name,
              .Incarnation = Context.Incarnation,
              .AvailabilityZone = Context.Options.AvailabilityZone};
  WorkingView.OwnedShards.clear();
  for (ShardRow &Shard : *Shards) {
    // A shard of another zone is owned only while its jobs are moved away.
    if (!Shard.Id.starts_with(HomePrefix))
      continue;
    if (!Context.Draining.load() && shouldAcquire(Shard, Self, WorkingView))
      acquire(Store, Shard, Self);
    if (Shard.Owner == Self.Name && Shard.OwnerIncarnation == Self.Incarnation)
      WorkingView.OwnedShards.push_back(Shard);
  }
  WorkingView.Shards = std::move(*Shards);
  WorkingView.OwnershipConfirmedAt = Now;
}

void SyncLoop::acquire(table::Table &Store, ShardRow &Shard,
                       const Member &Self) {
  auto Acquired = acquireShard(Store, Shard, Self);
  if (!Acquired)
    return;
  Shard = *Acquired;
  Context.Events.add("shard-taken", Shard.Id,
                     fmt::format("epoch={}", Shard.Epoch));
  logInfo("shard-taken", "shard={} epoch={}", Shard.Id, Shard.Epoch);
}

} // namespace daisylanding::entry
