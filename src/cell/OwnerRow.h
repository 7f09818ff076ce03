#ifndef DAISYLANDING_CELL_OWNERROW_H
#define DAISYLANDING_CELL_OWNERROW_H

#include "cell/EntryCapacity.h"
#include "common/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// Tables that hold the state of a cell. All rows of a service are in one
/// partition, named after the service.
constexpr const char *JobTable = "jobs";
constexpr const char *ProgressTable = "progress";
constexpr const char *OwnerTable = "owners";
constexpr const char *OwnerKey = "owner";
constexpr const char *MemberTable = "members";
/// Capacity of each entry, by its name.
constexpr const char *CapacityTable = "capacities";

/// Key of the row that marks a job as cancelled. Sorts after the job's own row.
inline std::string cancelKey(std::string_view JobId) {
  return std::string(JobId) + "/cancel";
}

/// The owner of a service. Each commit of the owner rewrites the row, so that
/// its version is the precondition of the next commit.
struct OwnerRow {
  std::string Holder;         ///< Entry name and incarnation.
  std::string RelayAddress;   ///< Address of the holder's relay; host:port.
  uint64_t Epoch = 0;         ///< Fencing token; grows with each owner.
  uint64_t Sequence = 0;      ///< Commit count of this owner.
  bool Released = false;      ///< Any entry may acquire the service at once.
  EntryCapacity LargestEntry; ///< Of all entries that the owner knows.
  std::map<std::string, uint64_t> PendingJobs; ///< Jobs not started, by queue.
  /// Executors with open runs that have not answered this owner, and the store
  /// clock in ms at which all leases from earlier owners have expired there.
  std::map<std::string, int64_t> InheritedLeaseEnds;
};

std::string encodeOwnerRow(const OwnerRow &Row);
/// Errors: Malformed.
Result<OwnerRow> decodeOwnerRow(std::string_view Text);

} // namespace daisylanding::cell

#endif
