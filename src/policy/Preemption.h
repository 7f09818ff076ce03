#ifndef DAISYLANDING_POLICY_PREEMPTION_H
#define DAISYLANDING_POLICY_PREEMPTION_H

#include "policy/Placement.h"

#include <optional>
#include <span>
#include <vector>

namespace daisylanding::policy {

/// A running task that may be stopped with a checkpoint to make room.
struct PreemptionCandidate {
  uint32_t Instance = 0;
  Resources Size;
  Millis WaitingTarget{0};  ///< Of the task's class.
  uint32_t Preemptions = 0; ///< Earlier preemptions.
  Micros RunTime{0};        ///< Lost if the checkpoint fails.
};

struct PreemptionPlan {
  uint32_t Instance = 0;
  std::vector<size_t> Victims; ///< Indexes of candidates.
};

/// After this many preemptions a task runs to its end.
constexpr uint32_t MaxPreemptions = 3;

/// A task is preempted only if its class's waiting target is at least this many
/// times that of the waiting task.
constexpr int64_t PreemptionTargetFactor = 4;

/// Returns the instance on which the fewest tasks must stop so that \p Size
/// fits, and these tasks, the youngest first. \p Target is the waiting target
/// of the task to be placed. Returns nothing when no allowed set of victims
/// makes room.
std::optional<PreemptionPlan>
planPreemption(const InstancePool &Pool, const Resources &Size, Millis Target,
               std::span<const PreemptionCandidate> Candidates);

} // namespace daisylanding::policy

#endif
