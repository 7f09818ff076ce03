#ifndef DAISYLANDING_ENTRY_JOURNALSTORE_H
#define DAISYLANDING_ENTRY_JOURNALSTORE_H

#include "entry/ClusterView.h"
#include "policy/QuotaPlanner.h"
#include "shard/ShardOwner.h"
#include "table/Table.h"

#include <map>
#include <optional>
#include <set>

namespace daisylanding::entry {

std::string inboxPrefix(std::string_view ShardId);
std::string inboxAcceptText(const shard::JobAccepted &Job);
std::string inboxStopText(std::string_view Job);
Result<shard::InboxItem> inboxFromRow(const table::Row &Row);
std::string jobRowKey(std::string_view Job);
std::string jobRowText(std::string_view ShardId, const config::JobSpec &Spec,
                       std::string_view State);

/// What a new owner reads of a shard.
struct LoadedShard {
  std::string Snapshot;
  std::vector<shard::JournalRow> Rows;
  uint64_t LastSequence = 0;
};

/// One owned shard's rows in the table. Every write checks in the same
/// transaction that the ownership row still carries this owner's epoch.
class JournalStore {
public:
  JournalStore(table::Table &Store, table::ObjectStore &Objects,
               ShardRow OwnedShard);

  /// Errors: the table's; Fenced when the shard has another owner; Malformed.
  Result<LoadedShard> load();

  /// Writes a group. Ok means it is written, now or by an earlier try whose
  /// answer was lost. Errors: Fenced (final), or the table's (try again).
  std::error_code append(const shard::JournalGroup &Group);

  /// Folds the journal into a snapshot and deletes what it covers.
  std::error_code compact(const std::string &Snapshot, uint64_t Sequence);
  /// Rows appended since the last snapshot.
  uint64_t journalLength() const {
    return LastSequence - OwnedShard.SnapshotSequence;
  }

  Result<std::vector<shard::InboxItem>> readInbox();

  /// Moves this shard's share of a team's quota towards \p Demand.
  Result<table::Resources> adjustShare(const std::string &Team,
                                       const table::Resources &Quota,
                                       const shard::QuotaDemand &Demand);

  std::error_code release();

private:
  std::string rowKey(uint64_t Sequence) const;
  table::Mutation ownershipCheck() const;
  std::error_code refreshOwnership();
  Result<bool> isWritten(const shard::JournalGroup &Group);
  std::error_code addJobMoveWrites(const shard::JournalGroup &Group,
                                   std::vector<table::Mutation> &Mutations);
  std::error_code addJobStateWrites(const shard::JournalGroup &Group,
                                    std::vector<table::Mutation> &Mutations);

  table::Table &Store;
  table::ObjectStore &Objects;
  ShardRow OwnedShard;
  uint64_t LastSequence = 0;
  std::map<uint64_t, uint64_t> RowVersions; ///< By sequence, for deletion.
  /// Teams with a share write whose fate is open; only another write that
  /// commits or conflicts settles it, since the first may still arrive.
  std::set<std::string> UnresolvedShares;
};

} // namespace daisylanding::entry

#endif
