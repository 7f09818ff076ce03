#include "policy/GangPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

std::optional<std::vector<uint32_t>> placeGang(InstancePool &Pool,
                                               const PlacementRequest &Request,
                                               uint32_t TaskCount) {
  if (Pool.countFitting(Request.Size, Request.OwnsAdvanceReservation) <
      TaskCount)
    return std::nullopt;
  std::vector<uint32_t> Instances;
  Instances.reserve(TaskCount);
  while (Instances.size() < TaskCount) {
    auto Instance = Pool.chooseInstance(Request);
    if (!Instance)
      break;
    Pool.reserve(*Instance, Request.Size);
    Instances.push_back(*Instance);
  }
  for (uint32_t Instance : Instances)
    Pool.release(Instance, Request.Size);
  if (Instances.size() < TaskCount)
    return std::nullopt;
  return Instances;
}

namespace {

/// Returns how many tasks of \p Size the usable instances hold together.
uint64_t countFittingTasks(const InstancePool &Pool,
                           std::span<const Resources> Free,
                           const Resources &Size) {
  uint64_t Sum = 0;
  for (uint32_t I = 0; I < Free.size(); ++I) {
    if (Pool.isUsable(I))
      Sum += fittingTasks(Free[I], Size, UINT32_MAX);
  }
  return Sum;
}

/// Returns the fewest instances that hold the gang, those that fit most tasks
/// first.
std::vector<uint32_t> chooseFewestInstances(const InstancePool &Pool,
                                            std::span<const Resources> Free,
                                            const Resources &Size,
                                            uint32_t TaskCount) {
  std::vector<std::pair<uint64_t, uint32_t>> Candidates;
  for (uint32_t I = 0; I < Free.size(); ++I) {
    uint64_t Count = fittingTasks(Free[I], Size, TaskCount);
    if (Pool.isUsable(I) && Count > 0)
      Candidates.emplace_back(Count, I);
  }
  std::sort(Candidates.begin(), Candidates.end(), std::greater<>());
  std::vector<uint32_t> Instances;
  uint64_t CoveredTasks = 0;
  for (const auto &[Count, Index] : Candidates) {
    if (CoveredTasks >= TaskCount)
      break;
    Instances.push_back(Index);
    CoveredTasks += Count;
  }
  return Instances;
}

} // namespace

std::optional<AdvanceReservation> planAdvanceReservation(
    const InstancePool &Pool, std::span<const RunningTask> Running,
    const Resources &Size, uint32_t TaskCount, TimePoint Now) {
  std::vector<Resources> FreeCapacities;
  for (uint32_t I = 0; I < Pool.size(); ++I)
    FreeCapacities.push_back(Pool.freeCapacity(I));
  uint64_t FittingTasks = countFittingTasks(Pool, FreeCapacities, Size);
  std::vector<RunningTask> ByEnd(Running.begin(), Running.end());
  std::sort(ByEnd.begin(), ByEnd.end(),
            [](const RunningTask &Left, const RunningTask &Right) {
              return Left.ExpectedEnd < Right.ExpectedEnd;
            });
  TimePoint Start = Now;
  for (const RunningTask &Task : ByEnd) {
    if (FittingTasks >= TaskCount || Task.ExpectedEnd == TimePoint::max())
      break;
    Resources &InstanceFree = FreeCapacities[Task.Instance];
    uint64_t Before = fittingTasks(InstanceFree, Size, UINT32_MAX);
    InstanceFree += Task.Size;
    if (Pool.isUsable(Task.Instance))
      FittingTasks += fittingTasks(InstanceFree, Size, UINT32_MAX) - Before;
    Start = std::max(Start, Task.ExpectedEnd);
  }
  if (FittingTasks < TaskCount)
    return std::nullopt;
  return AdvanceReservation{.Start = Start,
                            .Instances = chooseFewestInstances(
                                Pool, FreeCapacities, Size, TaskCount)};
}

} // namespace daisylanding::policy
