#include "policy/GangPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

std::optional<std::vector<uint32_t>>
placeGang(InstancePool &Pool, const PlacementRequest &Request, uint32_t Tasks) {
  if (Pool.countFitting(Request.Size, Request.OwnsReservation) < Tasks)
    return std::nullopt;
  std::vector<uint32_t> Places;
  Places.reserve(Tasks);
  while (Places.size() < Tasks) {
    auto Place = Pool.choose(Request);
    if (!Place)
      break;
    Pool.take(*Place, Request.Size);
    Places.push_back(*Place);
  }
  for (uint32_t Place : Places)
    Pool.give(Place, Request.Size);
  if (Places.size() < Tasks)
    return std::nullopt;
  return Places;
}

namespace {

/// Tasks of \p Size that each usable instance could hold.
uint64_t totalFitting(const InstancePool &Pool, std::span<const Resources> Free,
                      const Resources &Size) {
  uint64_t Sum = 0;
  for (uint32_t I = 0; I < Free.size(); ++I) {
    if (Pool.usable(I))
      Sum += fittingTasks(Free[I], Size, UINT32_MAX);
  }
  return Sum;
}

/// The fewest instances that hold the gang, those that fit most first.
std::vector<uint32_t> smallestSet(const InstancePool &Pool,
                                  std::span<const Resources> Free,
                                  const Resources &Size, uint32_t Tasks) {
  std::vector<std::pair<uint64_t, uint32_t>> Fitting;
  for (uint32_t I = 0; I < Free.size(); ++I) {
    uint64_t Count = fittingTasks(Free[I], Size, Tasks);
    if (Pool.usable(I) && Count > 0)
      Fitting.emplace_back(Count, I);
  }
  std::sort(Fitting.begin(), Fitting.end(), std::greater<>());
  std::vector<uint32_t> Out;
  uint64_t Sum = 0;
  for (const auto &[Count, Index] : Fitting) {
    if (Sum >= Tasks)
      break;
    Out.push_back(Index);
    Sum += Count;
  }
  return Out;
}

} // namespace

std::optional<Reservation> planReservation(const InstancePool &Pool,
                                           std::span<const RunningTask> Running,
                                           const Resources &Size,
                                           uint32_t Tasks, TimePoint Now) {
  std::vector<Resources> Free;
  for (uint32_t I = 0; I < Pool.size(); ++I)
    Free.push_back(Pool.free(I));
  uint64_t Fitting = totalFitting(Pool, Free, Size);
  std::vector<RunningTask> ByEnd(Running.begin(), Running.end());
  std::sort(ByEnd.begin(), ByEnd.end(),
            [](const RunningTask &Left, const RunningTask &Right) {
              return Left.ExpectedEnd < Right.ExpectedEnd;
            });
  TimePoint Start = Now;
  for (const RunningTask &Each : ByEnd) {
    if (Fitting >= Tasks || Each.ExpectedEnd == TimePoint::max())
      break;
    Resources &There = Free[Each.Instance];
    uint64_t Before = fittingTasks(There, Size, UINT32_MAX);
    There += Each.Size;
    if (Pool.usable(Each.Instance))
      Fitting += fittingTasks(There, Size, UINT32_MAX) - Before;
    Start = std::max(Start, Each.ExpectedEnd);
  }
  if (Fitting < Tasks)
    return std::nullopt;
  return Reservation{.Start = Start,
                     .Instances = smallestSet(Pool, Free, Size, Tasks)};
}

} // namespace daisylanding::policy
