#include "policy/Placement.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

constexpr TimePoint NotReserved = TimePoint::max();

/// What it costs to put work that needs no accelerator on an instance that
/// has some, in units of a whole instance's load.
constexpr double AcceleratorPenalty = 2;

/// What a further task of the same service in a rack costs.
constexpr double RackPenalty = 0.2;

double share(uint32_t Part, uint32_t Whole) {
  return Whole ? static_cast<double>(Part) / Whole : 0;
}

/// The fullest dimension of an instance after the task is placed, 0 to 1.
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

/// How unevenly the dimensions are used: what is left of one and not of the
/// other is lost to most tasks.
double imbalanceAfter(const Resources &Free, const Resources &Capacity,
                      const Resources &Size) {
  double Cores = share(Free.MilliCores - Size.MilliCores, Capacity.MilliCores);
  double Memory = share(Free.MemoryMb - Size.MemoryMb, Capacity.MemoryMb);
  return Cores > Memory ? Cores - Memory : Memory - Cores;
}

/// Whether what is left beside a task serves the free accelerators.
bool leavesRoom(const Resources &Free, const Resources &Size,
                const Resources &KeepPerAccelerator) {
  uint64_t Count = Free.Accelerators;
  return Free.MilliCores - Size.MilliCores >=
             Count * KeepPerAccelerator.MilliCores &&
         Free.MemoryMb - Size.MemoryMb >= Count * KeepPerAccelerator.MemoryMb;
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
  Frees.push_back(Capacity);
  Capacities.push_back(Capacity);
  Racks.push_back(Rack);
  Usables.push_back(1);
  ReservedFrom.push_back(NotReserved);
  return static_cast<uint32_t>(Frees.size() - 1);
}

bool InstancePool::take(uint32_t Index, const Resources &Size) {
  if (!Size.fitsIn(Frees[Index]))
    return false;
  Frees[Index] -= Size;
  return true;
}

void InstancePool::give(uint32_t Index, const Resources &Size) {
  Frees[Index] += Size;
}

void InstancePool::reserve(uint32_t Index, TimePoint Start) {
  ReservedFrom[Index] = Start;
}

void InstancePool::clearReservations() {
  std::fill(ReservedFrom.begin(), ReservedFrom.end(), NotReserved);
}

bool InstancePool::open(uint32_t Index, const PlacementRequest &Request) const {
  if (!Usables[Index] || !Request.Size.fitsIn(Frees[Index]))
    return false;
  if (!Request.Size.Accelerators &&
      !leavesRoom(Frees[Index], Request.Size, Request.KeepPerAccelerator))
    return false;
  return Request.OwnsReservation || ReservedFrom[Index] == NotReserved ||
         Request.ExpectedEnd <= ReservedFrom[Index];
}

/// Lower is better.
double InstancePool::score(uint32_t Index,
                           const PlacementRequest &Request) const {
  const Resources &Free = Frees[Index];
  const Resources &Capacity = Capacities[Index];
  double Load = loadAfter(Free, Capacity, Request.Size);
  double Spread = Load;
  double Pack = 1 - Load + imbalanceAfter(Free, Capacity, Request.Size);
  double Score = (1 - Request.Tightness) * Spread + Request.Tightness * Pack;
  if (Capacity.Accelerators && !Request.Size.Accelerators)
    Score += AcceleratorPenalty;
  if (!Request.RackLoad.empty())
    Score += RackPenalty * Request.RackLoad[Racks[Index]];
  return Score;
}

std::optional<uint32_t>
InstancePool::choose(const PlacementRequest &Request) const {
  std::optional<uint32_t> Best;
  double Lowest = 0;
  for (uint32_t I = 0; I < Frees.size(); ++I) {
    if (!open(I, Request))
      continue;
    double Score = score(I, Request);
    if (Best && Score >= Lowest)
      continue;
    Best = I;
    Lowest = Score;
  }
  return Best;
}

bool InstancePool::fitsWithoutAccelerators(const Resources &Size) const {
  return std::any_of(Capacities.begin(), Capacities.end(),
                     [&](const Resources &Each) {
                       return !Each.Accelerators && Size.fitsIn(Each);
                     });
}

uint64_t InstancePool::countFitting(const Resources &Size,
                                    bool OwnsReservation) const {
  uint64_t Sum = 0;
  PlacementRequest Request{.Size = Size, .OwnsReservation = OwnsReservation};
  for (uint32_t I = 0; I < Frees.size(); ++I) {
    if (open(I, Request))
      Sum += fittingTasks(Frees[I], Size, UINT32_MAX);
  }
  return Sum;
}

} // namespace daisylanding::policy
