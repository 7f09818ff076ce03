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

std::string memberToText(const Member &Each, uint64_t Beat) {
  json Out = {{"name", Each.Name},
              {"incarnation", Each.Incarnation},
              {"zone", Each.AvailabilityZone},
              {"peer", Each.PeerAddress},
              {"operator", Each.OperatorAddress},
              {"config_version", Each.ConfigVersion},
              {"list_version", Each.ListVersion},
              {"draining", Each.Draining},
              {"beat", Beat}};
  return Out.dump();
}

Result<Member> memberFromText(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    return Member{.Name = Source.at("name"),
                  .Incarnation = Source.at("incarnation"),
                  .AvailabilityZone = Source.at("zone"),
                  .PeerAddress = Source.at("peer"),
                  .OperatorAddress = Source.at("operator"),
                  .ConfigVersion = Source.at("config_version"),
                  .ListVersion = Source.at("list_version"),
                  .Draining = Source.at("draining")};
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string shardRowKey(std::string_view Id) {
  return fmt::format("shard/{}", Id);
}

std::string shardToText(const Shard &Each) {
  json Out = {{"id", Each.Id},
              {"owner", Each.Owner},
              {"incarnation", Each.OwnerIncarnation},
              {"epoch", Each.Epoch},
              {"snapshot", Each.Snapshot},
              {"snapshot_sequence", Each.SnapshotSequence}};
  return Out.dump();
}

Result<Shard> shardFromRow(const table::Row &Row) {
  try {
    json Source = json::parse(Row.Value);
    return Shard{.Id = Source.at("id"),
                 .Owner = Source.at("owner"),
                 .OwnerIncarnation = Source.at("incarnation"),
                 .Epoch = Source.at("epoch"),
                 .RowVersion = Row.Version,
                 .Snapshot = Source.at("snapshot"),
                 .SnapshotSequence = Source.at("snapshot_sequence")};
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

uint32_t shardOfRack(std::string_view Rack, uint32_t ShardsPerZone) {
  return static_cast<uint32_t>(XXH64(Rack.data(), Rack.size(), 0) %
                               ShardsPerZone);
}

const Member *preferredOwner(std::string_view ShardId, std::string_view Zone,
                             std::span<const Member> Members) {
  const Member *Best = nullptr;
  uint64_t Highest = 0;
  for (const Member &Each : Members) {
    if (!Each.Alive || Each.Draining || Each.AvailabilityZone != Zone)
      continue;
    uint64_t Seed = XXH64(ShardId.data(), ShardId.size(), 0);
    uint64_t Rank = XXH64(Each.Name.data(), Each.Name.size(), Seed);
    if (Best && Rank <= Highest)
      continue;
    Best = &Each;
    Highest = Rank;
  }
  return Best;
}

std::optional<std::string>
chooseShard(std::span<const table::Instance> Instances,
            const config::JobSpec &Spec, uint32_t ShardsPerZone,
            const std::set<std::string> &ExcludedZones) {
  std::map<std::string, uint64_t> Room; ///< Tasks that fit when empty.
  for (const table::Instance &Each : Instances) {
    bool InZone = Spec.AvailabilityZone.empty() ||
                  Spec.AvailabilityZone == Each.AvailabilityZone;
    if (Each.Kind != table::Role::Worker || Each.Leaving || !InZone ||
        ExcludedZones.count(Each.AvailabilityZone))
      continue;
    uint32_t Index = shardOfRack(Each.Rack, ShardsPerZone);
    Room[fmt::format("{}.{}", Each.AvailabilityZone, Index)] +=
        policy::fittingTasks(Each.Capacity, Spec.Size, Spec.Tasks);
  }
  uint64_t AtOnce = Spec.Kind == config::JobKind::Batch ? 1 : Spec.Tasks;
  std::optional<std::string> Best;
  double Highest = 0;
  for (const auto &[Shard, Fitting] : Room) {
    if (Fitting < AtOnce)
      continue;
    std::string Name = Shard + Spec.Id;
    constexpr double Buckets = 1'024;
    auto Draw = static_cast<double>(XXH64(Name.data(), Name.size(), 0) %
                                    static_cast<uint64_t>(Buckets));
    // Weighted rendezvous: the chance of each grows with its room.
    double Score =
        -static_cast<double>(Fitting) / std::log((Draw + 0.5) / Buckets);
    if (Best && Score <= Highest)
      continue;
    Best = Shard;
    Highest = Score;
  }
  return Best;
}

bool zoneLost(std::string_view Zone, std::span<const Member> Members,
              Micros After, TimePoint Now) {
  bool Known = false;
  for (const Member &Each : Members) {
    if (Each.AvailabilityZone != Zone)
      continue;
    Known = true;
    if (Each.Alive || Now - Each.LastChange < After)
      return false;
  }
  return Known;
}

bool ownerAlive(const Shard &Each, std::span<const Member> Members) {
  return std::any_of(Members.begin(), Members.end(), [&](const Member &Other) {
    return Other.Alive && Other.Name == Each.Owner &&
           Other.Incarnation == Each.OwnerIncarnation;
  });
}

bool shouldClaim(const Shard &Each, const Member &Self, const View &Seen) {
  if (Each.Owner == Self.Name && Each.OwnerIncarnation == Self.Incarnation)
    return false;
  const Member *Preferred =
      preferredOwner(Each.Id, Self.AvailabilityZone, Seen.Members);
  return Preferred && Preferred->Name == Self.Name &&
         !ownerAlive(Each, Seen.Members);
}

std::optional<Shard> claimShard(table::Table &Store, const Shard &Each,
                                const Member &Self) {
  Shard Next = Each;
  Next.Owner = Self.Name;
  Next.OwnerIncarnation = Self.Incarnation;
  Next.Epoch = Each.Epoch + 1;
  table::Mutation Put{.Key = shardRowKey(Each.Id),
                      .Value = shardToText(Next),
                      .ExpectedVersion = Each.RowVersion};
  auto Outcome = Store.commit({&Put, 1});
  // A lost answer is resolved by the next round, which reads the row.
  if (!Outcome || !Outcome->Committed)
    return std::nullopt;
  Next.RowVersion = Outcome->Versions.front();
  return Next;
}

bool releaseShard(table::Table &Store, const Shard &Each) {
  Shard Next = Each;
  Next.Owner.clear();
  Next.OwnerIncarnation.clear();
  table::Mutation Put{.Key = shardRowKey(Each.Id),
                      .Value = shardToText(Next),
                      .ExpectedVersion = Each.RowVersion};
  auto Outcome = Store.commit({&Put, 1});
  return Outcome && Outcome->Committed;
}

} // namespace daisylanding::entry
