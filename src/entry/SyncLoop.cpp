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

SyncLoop::SyncLoop(Context &Shared)
    : FromPeers(RingCapacity, [this] { Wake.wake(); }), Shared(Shared) {}

void SyncLoop::run() {
  auto Platform = Shared.connectPlatform(table::WritePriority::Heartbeat);
  while (!Loop.stopping()) {
    TimePoint Now = monotonicNow();
    std::string Text;
    while (FromPeers.pop(Text))
      offerConfig(Text);
    if (Now >= NextList) {
      pollList(*Platform);
      NextList = Now + Shared.Options.ListPollInterval;
    }
    if (Now >= NextConfig) {
      pollConfig(*Platform);
      NextConfig = Now + Shared.Options.ConfigPollInterval;
    }
    if (Now >= NextBeat) {
      beat(*Platform, Now);
      NextBeat = Now + Shared.Options.HeartbeatInterval;
    }
    Wake.wait(TickInterval);
  }
}

void SyncLoop::publish() {
  Shared.Views.publish(std::make_shared<View>(Draft));
}

void SyncLoop::pollList(table::InstanceList &List) {
  auto Snapshot = List.snapshot();
  bool Reachable = static_cast<bool>(Snapshot);
  if (Reachable != Draft.PlatformReachable) {
    Draft.PlatformReachable = Reachable;
    Shared.Events.add(Reachable ? "platform-reached" : "platform-lost",
                      "platform");
    publish();
  }
  if (!Snapshot || (Snapshot->Version <= Draft.List.Version &&
                    !Draft.List.Instances.empty()))
    return;
  Draft.List = std::move(*Snapshot);
  Shared.Events.add("list-applied", "instances",
                    fmt::format("version={}", Draft.List.Version));
  publish();
}

void SyncLoop::pollConfig(table::Table &Store) {
  auto Row = Store.read(ConfigKey);
  if (Row && Row->Version != table::AbsentVersion)
    offerConfig(Row->Value);
}

/// Applies a committed configuration if its version is higher.
void SyncLoop::offerConfig(std::string_view Text) {
  if (Text == ConfigText)
    return;
  auto Parsed = config::configFromText(Text);
  if (!Parsed) {
    logError("config-unreadable", "error={}", Parsed.error().message());
    return;
  }
  if (Draft.Config && Parsed->Version <= Draft.Config->Version)
    return;
  ConfigText = Text;
  Draft.Config = std::make_shared<config::ClusterConfig>(std::move(*Parsed));
  Shared.Events.add("config-applied", "config",
                    fmt::format("version={}", Draft.Config->Version));
  publish();
}

/// One round: tell that we live, see who does, take what is orphaned.
void SyncLoop::beat(table::Table &Store, TimePoint Now) {
  if (!writeHeartbeat(Store))
    return;
  readMembers(Store, Now);
  claimShards(Store, Now);
  publish();
}

bool SyncLoop::writeHeartbeat(table::Table &Store) {
  Member Self{.Name = Shared.Options.Name,
              .Incarnation = Shared.Incarnation,
              .AvailabilityZone = Shared.Options.AvailabilityZone,
              .PeerAddress = Shared.Options.PeerAddress.text(),
              .OperatorAddress = Shared.Options.OperatorAddress.text(),
              .ConfigVersion = Draft.Config ? Draft.Config->Version : 0,
              .ListVersion = Draft.List.Version,
              .Draining = Shared.Draining.load()};
  table::Mutation Put{.Key = std::string(MemberPrefix) + Self.Name,
                      .Value = memberToText(Self, ++HeartbeatCount),
                      .ExpectedVersion = HeartbeatVersion};
  auto Outcome = Store.commit({&Put, 1});
  if (!Outcome)
    return false;
  if (Outcome->Committed) {
    HeartbeatVersion = Outcome->Versions.front();
    return true;
  }
  // The row of an earlier process, or of a write whose answer was lost.
  HeartbeatVersion = Outcome->Conflicts.front().Version;
  Put.ExpectedVersion = HeartbeatVersion;
  Outcome = Store.commit({&Put, 1});
  if (!Outcome || !Outcome->Committed)
    return false;
  HeartbeatVersion = Outcome->Versions.front();
  return true;
}

void SyncLoop::readMembers(table::Table &Store, TimePoint Now) {
  auto Rows = Store.scan(MemberPrefix);
  if (!Rows)
    return;
  // After an outage of the platform, or a pause of this process, nobody has
  // been silent yet.
  bool Watching = Now - LastRound < Shared.Options.TakeoverTimeout / 2 +
                                        Shared.Options.HeartbeatInterval;
  LastRound = Now;
  std::vector<Member> Next;
  for (const table::Row &Row : *Rows) {
    auto Each = memberFromText(Row.Value);
    if (!Each)
      continue;
    auto Known = std::find_if(
        Draft.Members.begin(), Draft.Members.end(),
        [&](const Member &Other) { return Other.Name == Each->Name; });
    uint64_t &LastVersion = MemberRowVersions[Each->Name];
    bool Changed = LastVersion != Row.Version;
    LastVersion = Row.Version;
    bool Fresh = Changed || !Watching || Known == Draft.Members.end();
    Each->LastChange = Fresh ? Now : Known->LastChange;
    Each->Alive = Now - Each->LastChange < Shared.Options.TakeoverTimeout;
    Next.push_back(std::move(*Each));
  }
  Draft.Members = std::move(Next);
}

/// All shards in the table, and those of the home zone that it has no row of.
std::optional<std::vector<Shard>>
SyncLoop::readShards(table::Table &Store) const {
  auto Rows = Store.scan("shard/");
  if (!Rows)
    return std::nullopt;
  std::vector<Shard> All;
  std::set<std::string> Known;
  for (const table::Row &Row : *Rows) {
    auto Each = shardFromRow(Row);
    if (!Each)
      continue;
    Known.insert(Each->Id);
    All.push_back(std::move(*Each));
  }
  for (uint32_t I = 0; I < Shared.Options.ShardsPerZone; ++I) {
    std::string Id = fmt::format("{}.{}", Shared.Options.AvailabilityZone, I);
    if (!Known.count(Id))
      All.push_back({.Id = Id});
  }
  return All;
}

void SyncLoop::claimShards(table::Table &Store, TimePoint Now) {
  auto All = readShards(Store);
  if (!All)
    return;
  std::string HomePrefix = Shared.Options.AvailabilityZone + ".";
  Member Self{.Name = Shared.Options.Name,
              .Incarnation = Shared.Incarnation,
              .AvailabilityZone = Shared.Options.AvailabilityZone};
  Draft.Owned.clear();
  for (Shard &Each : *All) {
    // A shard of another zone is held only to move its work away.
    if (!Each.Id.starts_with(HomePrefix))
      continue;
    if (!Shared.Draining.load() && shouldClaim(Each, Self, Draft))
      claim(Store, Each, Self);
    if (Each.Owner == Self.Name && Each.OwnerIncarnation == Self.Incarnation)
      Draft.Owned.push_back(Each);
  }
  Draft.Shards = std::move(*All);
  Draft.Confirmed = Now;
}

void SyncLoop::claim(table::Table &Store, Shard &Each, const Member &Self) {
  auto Taken = claimShard(Store, Each, Self);
  if (!Taken)
    return;
  Each = *Taken;
  Shared.Events.add("shard-taken", Each.Id,
                    fmt::format("epoch={}", Each.Epoch));
  logInfo("shard-taken", "shard={} epoch={}", Each.Id, Each.Epoch);
}

} // namespace daisylanding::entry
