#ifndef DAISYLANDING_POLICY_PREEMPTION_H
#define DAISYLANDING_POLICY_PREEMPTION_H

#include "policy/Placement.h"

#include <optional>
#include <span>
#include <vector>

namespace daisylanding::policy {

/// A running task that might be checkpointed to make room.
struct PreemptionCandidate {
  uint32_t Instance = 0;
  Resources Size;
  Millis WaitingTarget{0};  ///< Of its class.
  uint32_t Preemptions = 0; ///< How often it was preempted before.
  Micros RunTime{0};        ///< Work that a failed checkpoint would lose.
};

struct PreemptionPlan {
  uint32_t Instance = 0;
  std::vector<size_t> Victims; ///< Indexes into the candidates.
};

/// A task is preempted at most this often, then runs to its end.
constexpr uint32_t MaxPreemptions = 3;

/// Only classes that may wait this many times longer give way.
constexpr int64_t PreemptionTargetFactor = 4;

/// The instance and the fewest, youngest tasks that must stop so that \p Size
/// fits there. Nothing when no allowed set of victims makes room.
std::optional<PreemptionPlan>
planPreemption(const InstancePool &Pool, const Resources &Size, Millis Target,
               std::span<const PreemptionCandidate> Candidates);

} // namespace daisylanding::policy

#endif
