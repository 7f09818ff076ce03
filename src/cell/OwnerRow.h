#ifndef DAISYLANDING_CELL_OWNERROW_H
#define DAISYLANDING_CELL_OWNERROW_H

#include "common/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// The tables that the cell keeps its state in. A service's rows share a
/// partition, named for it.
constexpr const char *JobTable = "jobs";
constexpr const char *ProgressTable = "progress";
constexpr const char *OwnerTable = "owners";
constexpr const char *OwnerKey = "owner";
constexpr const char *MemberTable = "members";

/// Marks, beside a job's row, that it was cancelled. Sorts behind the job.
inline std::string cancelKey(std::string_view JobId) {
  return std::string(JobId) + "/cancel";
}

/// Who decides for a service. Rewritten with every commit of the owner, so
/// that each commit is conditioned on the one before it.
struct OwnerRow {
  std::string Holder;    ///< Entry name and incarnation.
  std::string Relay;     ///< Where the holder takes calls; host:port.
  uint64_t Epoch = 0;    ///< The fencing token; grows with each owner.
  uint64_t Sequence = 0; ///< Counts one owner's commits.
  bool Released = false; ///< Any entry may take it at once.
  std::map<std::string, uint64_t> Pending; ///< Jobs not begun, by queue.
  /// Executors with open runs that this owner has not heard of: when the
  /// leases that earlier owners gave them have ended, on the store's clock.
  std::map<std::string, int64_t> InheritedLeaseEnds;
};

std::string encodeOwnerRow(const OwnerRow &Row);
/// Errors: Malformed.
Result<OwnerRow> decodeOwnerRow(std::string_view Text);

} // namespace daisylanding::cell

#endif
