#include "entry/Ownership.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

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

Result<Shard> shardFromRow(const platform::Row &Row) {
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

bool shouldClaim(const Shard &Each, const Member &Self, const View &Seen) {
  if (Each.Owner == Self.Name && Each.OwnerIncarnation == Self.Incarnation)
    return false;
  auto Owner = std::find_if(Seen.Members.begin(), Seen.Members.end(),
                            [&](const Member &Other) {
                              return Other.Name == Each.Owner &&
                                     Other.Incarnation == Each.OwnerIncarnation;
                            });
  bool Orphaned = Owner == Seen.Members.end() || !Owner->Alive;
  const Member *Preferred =
      preferredOwner(Each.Id, Self.AvailabilityZone, Seen.Members);
  return Orphaned && Preferred && Preferred->Name == Self.Name;
}

std::optional<Shard> claimShard(platform::Table &Store, const Shard &Each,
                                const Member &Self) {
  Shard Next = Each;
  Next.Owner = Self.Name;
  Next.OwnerIncarnation = Self.Incarnation;
  Next.Epoch = Each.Epoch + 1;
  platform::Mutation Put{.Key = shardRowKey(Each.Id),
                         .Value = shardToText(Next),
                         .Expected = Each.RowVersion};
  auto Outcome = Store.commit({&Put, 1});
  // A lost answer is resolved by the next round, which reads the row.
  if (!Outcome || !Outcome->Committed)
    return std::nullopt;
  Next.RowVersion = Outcome->Versions.front();
  return Next;
}

bool releaseShard(platform::Table &Store, const Shard &Each) {
  Shard Next = Each;
  Next.Owner.clear();
  Next.OwnerIncarnation.clear();
  platform::Mutation Put{.Key = shardRowKey(Each.Id),
                         .Value = shardToText(Next),
                         .Expected = Each.RowVersion};
  auto Outcome = Store.commit({&Put, 1});
  return Outcome && Outcome->Committed;
}

} // namespace daisylanding::entry
