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

/// A shard's stored state, as loaded by a new owner.
struct LoadedShard {
  std::string Snapshot;
  std::vector<shard::JournalRow> Rows;
  uint64_t LastSequence = 0;
};

/// The rows of one owned shard in the table. Each write checks in the same
/// transaction that the ownership row is unchanged, so that a deposed owner
/// can't write.
class JournalStore {
public:
  JournalStore(table::Table &Store, table::ObjectStore &Objects,
               ShardRow OwnedShard);

  /// Errors: those of the table; Fenced if the shard has another owner;
  /// Malformed if a row can't be parsed.
  Result<LoadedShard> load();

  /// Writes a group. Success means that it is stored, by this call or by an
  /// earlier one whose answer was lost. Errors: Fenced, which is final; those
  /// of the table, after which the caller retries.
  std::error_code append(const shard::JournalGroup &Group);

  /// Stores a snapshot up to \p Sequence and deletes the journal rows that it
  /// includes.
  std::error_code compact(const std::string &Snapshot, uint64_t Sequence);
  /// Rows appended since the last snapshot.
  uint64_t journalLength() const {
    return LastSequence - OwnedShard.SnapshotSequence;
  }

  Result<std::vector<shard::InboxItem>> readInbox();

  /// Moves this shard's share of a team's quota towards \p Demand and returns
  /// the new share.
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
  /// By sequence; needed to delete the rows.
  std::map<uint64_t, uint64_t> RowVersions;
  /// Teams with a share write of unknown outcome. The write may still arrive,
  /// so only another write that commits or conflicts resolves it.
  std::set<std::string> UnresolvedShares;
};

} // namespace daisylanding::entry

#endif
