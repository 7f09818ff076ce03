#include "policy/Preemption.h"

#include <algorithm>
#include <map>

namespace daisylanding::policy {

namespace {

bool isPreemptible(const PreemptionCandidate &Candidate, Millis Target) {
  return Candidate.Preemptions < MaxPreemptions &&
         Candidate.WaitingTarget >= Target * PreemptionTargetFactor;
}

/// Returns the youngest candidates on one instance that must stop so that
/// \p Size fits, or nothing if it does not fit even without all of them.
std::optional<std::vector<size_t>>
chooseVictims(const Resources &Free, const Resources &Size,
              std::span<const PreemptionCandidate> Candidates,
              std::vector<size_t> &Order) {
  std::sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return Candidates[Left].RunTime < Candidates[Right].RunTime;
  });
  Resources Available = Free;
  std::vector<size_t> Victims;
  for (size_t Index : Order) {
    if (Size.fitsIn(Available))
      break;
    Available += Candidates[Index].Size;
    Victims.push_back(Index);
  }
  if (!Size.fitsIn(Available))
    return std::nullopt;
  return Victims;
}

} // namespace

std::optional<PreemptionPlan>
planPreemption(const InstancePool &Pool, const Resources &Size, Millis Target,
               std::span<const PreemptionCandidate> Candidates) {
  std::map<uint32_t, std::vector<size_t>> ByInstance;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    if (isPreemptible(Candidates[I], Target) &&
        Pool.isUsable(Candidates[I].Instance))
      ByInstance[Candidates[I].Instance].push_back(I);
  }
  std::optional<PreemptionPlan> Best;
  for (auto &[Instance, Order] : ByInstance) {
    auto Victims =
        chooseVictims(Pool.freeCapacity(Instance), Size, Candidates, Order);
    if (!Victims || (Best && Victims->size() >= Best->Victims.size()))
      continue;
    Best = PreemptionPlan{.Instance = Instance, .Victims = *Victims};
  }
  return Best;
}

} // namespace daisylanding::policy
