#ifndef DAISYLANDING_CELL_RENEWALTURN_H
#define DAISYLANDING_CELL_RENEWALTURN_H

#include "cell/ExecutorPool.h"
#include "common/Time.h"

#include <cstddef>
#include <vector>

/// Which of the renewals that are due one turn of an owner requests. Each takes
/// time that the owner needs for its commits.
namespace daisylanding::cell {

/// Renewals that any turn may request. A new owner renews on every executor at
/// once; its row must be renewed in between, also where a connection takes
/// milliseconds.
constexpr size_t MinRenewalLimit = 32;

/// A renewal that could be sent now.
struct DueRenewal {
  ExecutorIndex Executor = NoExecutor;
  TimePoint SentAt{};    ///< The one before.
  bool IsFirst = false;  ///< The executor has not answered to this owner.
  bool HasRuns = false;  ///< Recorded ones that are not over.
  bool EndsRuns = false; ///< One of them should have ended.
};

/// Removes those that can wait if they are more than the turn may request. The
/// limit follows from the number of due renewals and the time since the last
/// turn, so that an owner that comes round late still renews all leases in
/// time.
/// \return whether any were removed.
bool keepMostUrgent(std::vector<DueRenewal> &Due, const LeaseOptions &Options,
                    Micros SinceLastTurn, TimePoint Now);

} // namespace daisylanding::cell

#endif
