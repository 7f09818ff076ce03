#include "policy/Placement.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

constexpr TimePoint NoAdvanceReservation = TimePoint::max();

/// Score penalty for placing a task without accelerators on an instance that
/// has some; 1 is the load of a full instance.
constexpr double AcceleratorPenalty = 2;

/// Score penalty for each task of the same service in the rack.
constexpr double RackPenalty = 0.2;

double share(uint32_t Part, uint32_t Whole) {
  return Whole ? static_cast<double>(Part) / Whole : 0;
}

/// Returns the utilization of the fullest resource after placement, 0 to 1.
double loadAfter(const Resources &Free, const Resources &Capacity,
                 const Resources &Size) {
  double Cores =
      1 - share(Free.MilliCores - Size.MilliCores, Capacity.MilliCores);
  double Memory = 1 - share(Free.MemoryMb - Size.MemoryMb, Capacity.MemoryMb);
  double Accelerators = 0;
  if (Capacity.Accelerators)
    Accelerators =
        1 - share(Free.Accelerators - Size.Accelerators, Capacity.Accelerators);
  return std::max({Cores, Memory, Accelerators});
}

/// Returns the difference between the free shares of cores and memory after
/// placement. Capacity left in only one of them is unusable for most tasks.
double imbalanceAfter(const Resources &Free, const Resources &Capacity,
                      const Resources &Size) {
  double Cores = share(Free.MilliCores - Size.MilliCores, Capacity.MilliCores);
  double Memory = share(Free.MemoryMb - Size.MemoryMb, Capacity.MemoryMb);
  return Cores > Memory ? Cores - Memory : Memory - Cores;
}

/// Whether the capacity left beside the task suffices for the free
/// accelerators.
bool leavesHeadroom(const Resources &Free, const Resources &Size,
                    const Resources &HeadroomPerAccelerator) {
  uint64_t AcceleratorCount = Free.Accelerators;
  return Free.MilliCores - Size.MilliCores >=
             AcceleratorCount * HeadroomPerAccelerator.MilliCores &&
         Free.MemoryMb - Size.MemoryMb >=
             AcceleratorCount * HeadroomPerAccelerator.MemoryMb;
}

} // namespace

uint64_t fittingTasks(const Resources &Free, const Resources &Size,
                      uint64_t Limit) {
  uint64_t Count = Limit;
  if (Size.MilliCores)
    Count = std::min<uint64_t>(Count, Free.MilliCores / Size.MilliCores);
  if (Size.MemoryMb)
    Count = std::min<uint64_t>(Count, Free.MemoryMb / Size.MemoryMb);
  if (Size.Accelerators)
    Count = std::min<uint64_t>(Count, Free.Accelerators / Size.Accelerators);
  return Count;
}

uint32_t InstancePool::add(const Resources &Capacity, uint32_t Rack) {
  FreeCapacities.push_back(Capacity);
  Capacities.push_back(Capacity);
  RackIndexes.push_back(Rack);
  UsableFlags.push_back(1);
  AdvanceReservedFrom.push_back(NoAdvanceReservation);
  return static_cast<uint32_t>(FreeCapacities.size() - 1);
}

bool InstancePool::reserve(uint32_t Index, const Resources &Size) {
  if (!Size.fitsIn(FreeCapacities[Index]))
    return false;
  FreeCapacities[Index] -= Size;
  return true;
}

void InstancePool::release(uint32_t Index, const Resources &Size) {
  FreeCapacities[Index] += Size;
}

void InstancePool::setAdvanceReservation(uint32_t Index, TimePoint Start) {
  AdvanceReservedFrom[Index] = Start;
}

void InstancePool::clearAdvanceReservations() {
  std::fill(AdvanceReservedFrom.begin(), AdvanceReservedFrom.end(),
            NoAdvanceReservation);
}

bool InstancePool::accepts(uint32_t Index,
                           const PlacementRequest &Request) const {
  if (!UsableFlags[Index] || !Request.Size.fitsIn(FreeCapacities[Index]))
    return false;
  if (!Request.Size.Accelerators &&
      !leavesHeadroom(FreeCapacities[Index], Request.Size,
                      Request.HeadroomPerAccelerator))
    return false;
  return Request.OwnsAdvanceReservation ||
         AdvanceReservedFrom[Index] == NoAdvanceReservation ||
         Request.ExpectedEnd <= AdvanceReservedFrom[Index];
}

/// Lower is better.
double InstancePool::score(uint32_t Index,
                           const PlacementRequest &Request) const {
  const Resources &Free = FreeCapacities[Index];
  const Resources &Capacity = Capacities[Index];
  double Load = loadAfter(Free, Capacity, Request.Size);
  double Spread = Load;
  double Pack = 1 - Load + imbalanceAfter(Free, Capacity, Request.Size);
  double Score = (1 - Request.Tightness) * Spread + Request.Tightness * Pack;
  if (Capacity.Accelerators && !Request.Size.Accelerators)
    Score += AcceleratorPenalty;
  if (!Request.TasksPerRack.empty())
    Score += RackPenalty * Request.TasksPerRack[RackIndexes[Index]];
  return Score;
}

std::optional<uint32_t>
InstancePool::chooseInstance(const PlacementRequest &Request) const {
  std::optional<uint32_t> Best;
  double Lowest = 0;
  for (uint32_t Index = 0; Index < FreeCapacities.size(); ++Index) {
    if (!accepts(Index, Request))
      continue;
    double Score = score(Index, Request);
    if (Best && Score >= Lowest)
      continue;
    Best = Index;
    Lowest = Score;
  }
  return Best;
}

bool InstancePool::fitsWithoutAccelerators(const Resources &Size) const {
  return std::any_of(Capacities.begin(), Capacities.end(),
                     [&](const Resources &Capacity) {
                       return !Capacity.Accelerators && Size.fitsIn(Capacity);
                     });
}

uint64_t InstancePool::countFitting(const Resources &Size,
                                    bool OwnsAdvanceReservation) const {
  uint64_t TaskCount = 0;
  PlacementRequest Request{.Size = Size,
                           .OwnsAdvanceReservation = OwnsAdvanceReservation};
  for (uint32_t Index = 0; Index < FreeCapacities.size(); ++Index) {
    if (accepts(Index, Request))
      TaskCount += fittingTasks(FreeCapacities[Index], Size, UINT32_MAX);
  }
  return TaskCount;
}

} // namespace daisylanding::policy
