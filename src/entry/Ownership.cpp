#include "entry/Ownership.h"

#include "policy/Placement.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace daisylanding::entry {

using nlohmann::json;

std::string memberToText(const Member &Entry, uint64_t HeartbeatCount) {
  json Document = {{"name", Entry.Name},
                   {"incarnation", Entry.Incarnation},
                   {"zone", Entry.AvailabilityZone},
                   {"peer", Entry.PeerAddress},
                   {"operator", Entry.OperatorAddress},
                   {"config_version", Entry.ConfigVersion},
                   {"list_version", Entry.ListVersion},
                   {"draining", Entry.Draining},
                   {"beat", HeartbeatCount}};
  return Document.dump();
}

Result<Member> memberFromText(std::string_view Text) {
  try {
    json Document = json::parse(Text);
    return Member{.Name = Document.at("name"),
                  .Incarnation = Document.at("incarnation"),
                  .AvailabilityZone = Document.at("zone"),
                  .PeerAddress = Document.at("peer"),
                  .OperatorAddress = Document.at("operator"),
                  .ConfigVersion = Document.at("config_version"),
                  .ListVersion = Document.at("list_version"),
                  .Draining = Document.at("draining")};
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string shardRowKey(std::string_view Id) {
  return fmt::format("shard/{}", Id);
}

std::string shardToText(const ShardRow &Shard) {
  json Document = {{"id", Shard.Id},
                   {"owner", Shard.Owner},
                   {"incarnation", Shard.OwnerIncarnation},
                   {"epoch", Shard.Epoch},
                   {"snapshot", Shard.Snapshot},
                   {"snapshot_sequence", Shard.SnapshotSequence}};
  return Document.dump();
}

Result<ShardRow> shardFromRow(const table::Row &Row) {
  try {
    json Document = json::parse(Row.Value);
    return ShardRow{.Id = Document.at("id"),
                    .Owner = Document.at("owner"),
                    .OwnerIncarnation = Document.at("incarnation"),
                    .Epoch = Document.at("epoch"),
                    .RowVersion = Row.Version,
                    .Snapshot = Document.at("snapshot"),
                    .SnapshotSequence = Document.at("snapshot_sequence")};
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

uint32_t shardIndexOfRack(std::string_view Rack, uint32_t ShardsPerZone) {
  return static_cast<uint32_t>(XXH64(Rack.data(), Rack.size(), 0) %
                               ShardsPerZone);
}

const Member *preferredOwner(std::string_view ShardId, std::string_view Zone,
                             std::span<const Member> Members) {
  const Member *Best = nullptr;
  uint64_t HighestRank = 0;
  for (const Member &Entry : Members) {
    if (!Entry.Alive || Entry.Draining || Entry.AvailabilityZone != Zone)
      continue;
    uint64_t Seed = XXH64(ShardId.data(), ShardId.size(), 0);
    uint64_t Rank = XXH64(Entry.Name.data(), Entry.Name.size(), Seed);
    if (Best && Rank <= HighestRank)
      continue;
    Best = &Entry;
    HighestRank = Rank;
  }
  return Best;
}

std::optional<std::string>
chooseShard(std::span<const table::Instance> Instances,
            const config::JobSpec &Spec, uint32_t ShardsPerZone,
            const std::set<std::string> &ExcludedZones) {
  std::map<std::string, uint64_t> FittingTasks; ///< By shard, when empty.
  for (const table::Instance &Instance : Instances) {
    bool InZone = Spec.AvailabilityZone.empty() ||
                  Spec.AvailabilityZone == Instance.AvailabilityZone;
    if (Instance.Kind != table::Role::Worker || Instance.Leaving || !InZone ||
        ExcludedZones.count(Instance.AvailabilityZone))
      continue;
    uint32_t Index = shardIndexOfRack(Instance.Rack, ShardsPerZone);
    FittingTasks[fmt::format("{}.{}", Instance.AvailabilityZone, Index)] +=
        policy::fittingTasks(Instance.Capacity, Spec.Size, Spec.Tasks);
  }
  uint64_t MinTasks = Spec.Kind == config::JobKind::Batch ? 1 : Spec.Tasks;
  std::optional<std::string> Best;
  double HighestScore = 0;
  for (const auto &[ShardId, Fitting] : FittingTasks) {
    if (Fitting < MinTasks)
      continue;
    std::string HashInput = ShardId + Spec.Id;
    constexpr double BucketCount = 1'024;
    auto HashBucket =
        static_cast<double>(XXH64(HashInput.data(), HashInput.size(), 0) %
                            static_cast<uint64_t>(BucketCount));
    // Weighted rendezvous hashing: the probability of a shard is proportional
    // to its capacity in tasks.
    double Score = -static_cast<double>(Fitting) /
                   std::log((HashBucket + 0.5) / BucketCount);
    if (Best && Score <= HighestScore)
      continue;
    Best = ShardId;
    HighestScore = Score;
  }
  return Best;
}

bool isObserving(TimePoint LastRead, const config::Settings &Options,
                 TimePoint Now) {
  return Now - LastRead <
         Options.TakeoverTimeout / 2 + Options.HeartbeatInterval;
}

bool isZoneLost(std::string_view Zone, std::span<const Member> Members,
                Micros SilenceLimit, TimePoint Now) {
  bool HasEntries = false;
  for (const Member &Entry : Members) {
    if (Entry.AvailabilityZone != Zone)
      continue;
    HasEntries = true;
    if (Entry.Alive || Now - Entry.LastChangeAt < SilenceLimit)
      return false;
  }
  return HasEntries;
}

bool isOwnerAlive(const ShardRow &Shard, std::span<const Member> Members) {
  return std::any_of(Members.begin(), Members.end(), [&](const Member &Entry) {
    return Entry.Alive && Entry.Name == Shard.Owner &&
           Entry.Incarnation == Shard.OwnerIncarnation;
  });
}

bool shouldAcquire(const ShardRow &Shard, const Member &Self,
                   const ClusterView &View) {
  if (Shard.Owner == Self.Name && Shard.OwnerIncarnation == Self.Incarnation)
    return false;
  const Member *Preferred =
      preferredOwner(Shard.Id, Self.AvailabilityZone, View.Members);
  return Preferred && Preferred->Name == Self.Name &&
         !isOwnerAlive(Shard, View.Members);
}

std::optional<ShardRow> acquireShard(table::Table &Store, const ShardRow &Shard,
                                     const Member &Self) {
  ShardRow Acquired = Shard;
  Acquired.Owner = Self.Name;
  Acquired.OwnerIncarnation = Self.Incarnation;
  Acquired.Epoch = Shard.Epoch + 1;
  table::Mutation Write{.Key = shardRowKey(Shard.Id),
                        .Value = shardToText(Acquired),
                        .ExpectedVersion = Shard.RowVersion};
  auto Outcome = Store.commit({&Write, 1});
  // After a lost answer the next round reads the row and learns the outcome.
  if (!Outcome || !Outcome->Committed)
    return std::nullopt;
  Acquired.RowVersion = Outcome->Versions.front();
  return Acquired;
}

bool releaseShard(table::Table &Store, const ShardRow &Shard) {
  ShardRow Released = Shard;
  Released.Owner.clear();
  Released.OwnerIncarnation.clear();
  table::Mutation Write{.Key = shardRowKey(Shard.Id),
                        .Value = shardToText(Released),
                        .ExpectedVersion = Shard.RowVersion};
  auto Outcome = Store.commit({&Write, 1});
  return Outcome && Outcome->Committed;
}

} // namespace daisylanding::entry
