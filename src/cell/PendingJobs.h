#ifndef DAISYLANDING_CELL_PENDINGJOBS_H
#define DAISYLANDING_CELL_PENDINGJOBS_H

#include <cstdint>
#include <map>
#include <string>

namespace daisylanding::cell {

/// The jobs of a service of which no task has started, as an owner has counted
/// them. Jobs with a schedule aren't counted.
struct PendingJobs {
  std::map<std::string, uint64_t> ByQueue; ///< Without those that have none.
  /// Epoch of the owner that counted; 0 if not known, as in rows of versions
  /// that don't tell.
  uint64_t CountedBy = 0;
  /// Time on the store's clock, in ms: that of the count, or that at which the
  /// owner's reading of the stored jobs was last confirmed, if that was before.
  /// 0 if not known.
  int64_t AsOfMs = 0;

  bool operator==(const PendingJobs &) const = default;
};

} // namespace daisylanding::cell

#endif
