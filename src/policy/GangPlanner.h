#ifndef DAISYLANDING_POLICY_GANGPLANNER_H
#define DAISYLANDING_POLICY_GANGPLANNER_H

#include "policy/Placement.h"

#include <optional>
#include <span>
#include <vector>

namespace daisylanding::policy {

/// A running task as the planner needs it.
struct RunningTask {
  uint32_t Instance = 0;
  Resources Size;
  TimePoint ExpectedEnd; ///< max() for services.
};

/// Instances for all tasks of a gang, one entry a task; nothing when they do
/// not all fit now. The pool is left as it was.
std::optional<std::vector<uint32_t>> placeGang(InstancePool &Pool,
                                               const PlacementRequest &Request,
                                               uint32_t TaskCount);

/// When and where a gang can start, judged from the expected ends of what is
/// running.
struct AdvanceReservation {
  TimePoint Start;
  std::vector<uint32_t> Instances;
};

/// The earliest time at which \p TaskCount tasks of \p Size fit together, and
/// the instances they need. Nothing when they don't fit even after every task
/// with an end has ended. Expected ends in the past count as \p Now.
std::optional<AdvanceReservation> planAdvanceReservation(
    const InstancePool &Pool, std::span<const RunningTask> Running,
    const Resources &Size, uint32_t TaskCount, TimePoint Now);

} // namespace daisylanding::policy

#endif
