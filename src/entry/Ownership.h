#ifndef DAISYLANDING_ENTRY_OWNERSHIP_H
#define DAISYLANDING_ENTRY_OWNERSHIP_H

#include "config/JobSpec.h"
#include "config/Settings.h"
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

/// Returns the index of the shard that the instances of a rack belong to. A
/// rack is never split between shards.
uint32_t shardIndexOfRack(std::string_view Rack, uint32_t ShardsPerZone);

/// Returns the id of a shard whose instances, when empty, have room for \p
/// Spec: for all its tasks at once or, for a batch job, for one task. Among
/// several, a hash of the job's id chooses, weighted by capacity, which spreads
/// jobs over shards. Returns nothing if no shard has room.
std::optional<std::string>
chooseShard(std::span<const table::Instance> Instances,
            const config::JobSpec &Spec, uint32_t ShardsPerZone,
            const std::set<std::string> &ExcludedZones);

/// Whether the rows of other entries were read lately, at \p LastRead. If not,
/// as after an outage of the platform or a pause of this process, their silence
/// since then proves nothing.
bool isObserving(TimePoint LastRead, const config::Settings &Options,
                 TimePoint Now);

/// Whether \p Zone is lost: it has entries, all of them are silent, and no row
/// of theirs has changed for at least \p SilenceLimit.
bool isZoneLost(std::string_view Zone, std::span<const Member> Members,
                Micros SilenceLimit, TimePoint Now);

/// Whether the process that owns \p Shard is alive.
bool isOwnerAlive(const ShardRow &Shard, std::span<const Member> Members);

/// Whether \p Self should acquire \p Shard: the shard has no owner, or the
/// owner's process was replaced, is gone or is silent, and \p Self is the
/// preferred owner among the live entries of the zone.
bool shouldAcquire(const ShardRow &Shard, const Member &Self,
                   const ClusterView &View);

/// Returns the entry that should own \p ShardId, chosen by rendezvous hashing
/// among the live entries of the zone that are not draining; null if there is
/// none.
const Member *preferredOwner(std::string_view ShardId, std::string_view Zone,
                             std::span<const Member> Members);

/// Acquires \p Shard by a compare-and-set to the next epoch. Returns nothing if
/// another entry was first or the outcome is unknown.
std::optional<ShardRow> acquireShard(table::Table &Store, const ShardRow &Shard,
                                     const Member &Self);

/// Clears the owner of \p Shard, so that another entry can acquire it at once.
/// Returns whether the write committed.
bool releaseShard(table::Table &Store, const ShardRow &Shard);

} // namespace daisylanding::entry

#endif
