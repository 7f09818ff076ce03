#ifndef DAISYLANDING_POLICY_GANGPLANNER_H
#define DAISYLANDING_POLICY_GANGPLANNER_H

#include "policy/Placement.h"

#include <optional>
#include <span>
#include <vector>

namespace daisylanding::policy {

struct RunningTask {
  uint32_t Instance = 0;
  Resources Size;
  TimePoint ExpectedEnd; ///< max() for tasks of services.
};

/// Returns one instance index for each task of a gang, or nothing when they do
/// not all fit now. The pool is left unchanged.
std::optional<std::vector<uint32_t>> placeGang(InstancePool &Pool,
                                               const PlacementRequest &Request,
                                               uint32_t TaskCount);

/// Earliest start of a gang and the instances that it needs, estimated from the
/// expected ends of the running tasks.
struct AdvanceReservation {
  TimePoint Start;
  std::vector<uint32_t> Instances;
};

/// Returns the earliest time at which \p TaskCount tasks of \p Size fit
/// together, and the fewest instances that hold them. Returns nothing when they
/// do not fit even after every task with an expected end has ended. Expected
/// ends in the past count as \p Now.
std::optional<AdvanceReservation> planAdvanceReservation(
    const InstancePool &Pool, std::span<const RunningTask> Running,
    const Resources &Size, uint32_t TaskCount, TimePoint Now);

} // namespace daisylanding::policy

#endif
