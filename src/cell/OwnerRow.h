#ifndef DAISYLANDING_CELL_OWNERROW_H
#define DAISYLANDING_CELL_OWNERROW_H

#include "cell/BacklogStatement.h"
#include "cell/EntryCapacity.h"
#include "cell/PendingJobs.h"
#include "cell/QueueStatement.h"
#include "common/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// Tables that hold the state of a cell. All rows of a service are in one
/// partition, named after the service.
constexpr const char *JobTable = "jobs";
constexpr const char *ProgressTable = "progress";
/// Jobs that have ended; their rows in the two tables above are removed, so
/// that a load doesn't read them.
constexpr const char *EndedTable = "ended";
constexpr const char *OwnerTable = "owners";
constexpr const char *OwnerKey = "owner";
constexpr const char *MemberTable = "members";
/// Capacity of each entry, by its name.
constexpr const char *CapacityTable = "capacities";

/// Key of the row that marks a job as cancelled. Sorts after the job's own row.
inline std::string cancelKey(std::string_view JobId) {
  return std::string(JobId) + "/cancel";
}

/// Distance between the epochs of one owner and the next, which leaves tokens
/// for that many lives of an executor under one owner.
constexpr uint64_t EpochStride = uint64_t{1} << 20;

/// The epoch of the owner that follows one whose highest token is given: the
/// next multiple of `EpochStride`.
constexpr uint64_t nextEpoch(uint64_t HighestToken) {
  return (HighestToken / EpochStride + 1) * EpochStride;
}

/// The owner of a service. Each commit of the owner rewrites the row, so that
/// its version is the precondition of the next commit.
struct OwnerRow {
  std::string Holder;       ///< Entry name and incarnation.
  std::string RelayAddress; ///< Address of the holder's relay; host:port.
  uint64_t Epoch = 0;       ///< Grows with each owner.
  /// The highest fencing token that the owner has issued; at least `Epoch`.
  /// Versions with one token for each owner take it for the epoch.
  uint64_t HighestToken = 0;
  uint64_t Sequence = 0;      ///< Commit count of this owner.
  bool Released = false;      ///< Any entry may acquire the service at once.
  EntryCapacity LargestEntry; ///< Of all entries that the owner knows.
  PendingJobs Pending;
  /// Store clock in ms at which all leases have expired that were granted by
  /// earlier owners, or by the holder before it writes the next row. None in
  /// rows of versions that don't tell.
  std::optional<int64_t> LeasesEndMs;
  /// Silent executors with open runs, and the store clock in ms at which all
  /// leases have expired there. The holder grants none there as long as they
  /// are listed.
  std::map<std::string, int64_t> SilentLeaseEnds;
  /// Executors that have restarted under their id, and the store clock in ms at
  /// which leases by an earlier incarnation's clock have expired there, if that
  /// is after `LeasesEndMs`. Empty in rows of versions that don't tell.
  std::map<std::string, int64_t> LongLeaseEnds;
  QueueStatement Queues;
  BacklogStatement Backlog;
};

std::string encodeOwnerRow(const OwnerRow &Row);
/// Errors: Malformed.
Result<OwnerRow> decodeOwnerRow(std::string_view Text);

} // namespace daisylanding::cell

#endif
