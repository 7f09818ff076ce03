#ifndef DAISYLANDING_ENTRY_OWNERSHIP_H
#define DAISYLANDING_ENTRY_OWNERSHIP_H

#include "config/JobSpec.h"
#include "entry/ClusterView.h"
#include "table/Table.h"

#include <optional>
#include <set>
#include <span>

namespace daisylanding::entry {

std::string memberToText(const Member &Entry, uint64_t HeartbeatCount);
Result<Member> memberFromText(std::string_view Text);

std::string shardToText(const ShardRow &Shard);
Result<ShardRow> shardFromRow(const table::Row &Row);
std::string shardRowKey(std::string_view Id);

/// The shard of a zone that an instance belongs to, by its rack, so that a
/// rack is never split.
uint32_t shardIndexOfRack(std::string_view Rack, uint32_t ShardsPerZone);

/// A shard whose instances, when empty, could hold \p Spec: all its tasks at
/// once, or one of a batch. Of several the job's id chooses, weighted by their
/// room, so that jobs spread. None when there is no such shard.
std::optional<std::string>
chooseShard(std::span<const table::Instance> Instances,
            const config::JobSpec &Spec, uint32_t ShardsPerZone,
            const std::set<std::string> &ExcludedZones);

/// Whether \p Zone is lost: it has entries, and none was heard of for
/// \p After beyond the time after which one counts as silent.
bool isZoneLost(std::string_view Zone, std::span<const Member> Members,
                Micros SilenceLimit, TimePoint Now);

/// Whether the process that owns \p Each was heard of lately.
bool isOwnerAlive(const ShardRow &Shard, std::span<const Member> Members);

/// Whether \p Self should take \p Each over: nobody owns it, its owner's
/// process is replaced, gone or silent, and of the zone's live entries
/// \p Self comes first for it.
bool shouldAcquire(const ShardRow &Shard, const Member &Self,
                   const ClusterView &View);

/// The entry that should own \p ShardId among live entries of the zone, by
/// rendezvous hashing. Null when there is none.
const Member *preferredOwner(std::string_view ShardId, std::string_view Zone,
                             std::span<const Member> Members);

/// Takes \p Each over by compare-and-set with the next epoch. Nothing when
/// another won or the table could not say.
std::optional<ShardRow> acquireShard(table::Table &Store, const ShardRow &Shard,
                                     const Member &Self);

/// Gives an owned shard up, so that another may take it at once.
bool releaseShard(table::Table &Store, const ShardRow &Shard);

} // namespace daisylanding::entry

#endif
