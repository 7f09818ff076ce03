#include "cell/AdviceCandidates.h"

#include "executor/AdvicePort.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace daisylanding::cell {

namespace {

/// Before the first answer for a queue. Low, so that its first steps get enough
/// executors.
constexpr double InitialAllowedShare = 0.3;
constexpr double MinAllowedShare = 0.05;
constexpr double ShareWeight = 0.1;
/// Of the newest call's delay in the average of its queue.
constexpr double DelayWeight = 0.2;
/// Longer calls are timeouts or stand-stills, which don't foretell the next.
constexpr double MaxDelayFactor = 3;
/// Expected places named, as a multiple of the tasks: others may take some of
/// them before the answer.
constexpr double PlacesPerTask = 2;
/// Part of an occupied executor's places that counts.
constexpr double OccupiedPlaceWeight = 0.25;
/// Calls for free capacity on an executor that are open at a time. The policy
/// may refuse the first step, rarely both; others would find it taken.
constexpr uint32_t MaxOpenCallsPerExecutor = 2;
/// The fixed part of a call takes as long as tens of executors, so that fewer
/// save nothing.
constexpr size_t MinNamedExecutors = 16;

/// Capacity for tasks of a step in the long run.
Resources capacityBeside(const ExecutorLoad &Load, const Resources &Capacity) {
  auto Remaining = [](uint32_t Amount, uint32_t Used) {
    return Amount - std::min(Amount, Used);
  };
  const Resources &Held = Load.LongRunningDemand;
  return {.MilliCores = Remaining(Capacity.MilliCores, Held.MilliCores),
          .MemoryMb = Remaining(Capacity.MemoryMb, Held.MemoryMb),
          .Accelerators = Remaining(Capacity.Accelerators, Held.Accelerators)};
}

/// One executor that may be named; lower ranks are named first.
struct Candidate {
  ExecutorIndex Index = 0;
  bool IsRemote = false; ///< Not on the rack of the step's data.
  bool IsOccupied = false;
  uint64_t Order = 0;
  double Places = 0;

  auto rank() const { return std::tuple(IsRemote, IsOccupied, Order, Index); }
};

/// Members of a colocated gang need executors of one rack, so whole racks are
/// named.
uint64_t orderOf(const ExecutorState &Executor, const AdviceNeed &Need) {
  const std::string &Key =
      Need.Step->Colocate ? Executor.Info.Rack : Executor.Info.Id;
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Need.Seed);
}

/// Whether a step that looks for free capacity may find some there: not if the
/// executor is full, nor if the calls that name it already will fill it.
bool mayFindCapacity(const ExecutorPool &Pool, const AdviceNeed &Need,
                     ExecutorIndex Index) {
  bool IsTaken = Index < Need.OpenCalls.size() &&
                 Need.OpenCalls[Index] >= MaxOpenCallsPerExecutor;
  return !IsTaken && Pool.hasCapacityFor(Index, demandOf(*Need.Step));
}

bool isReserved(const AdviceNeed &Need, ExecutorIndex Index) {
  return Index < Need.Reservations.size() && Need.Reservations[Index].Active;
}

/// Whether enough of \p Places are expected to be allowed.
bool isWholeGangExpected(const AdviceNeed &Need, double Places) {
  uint32_t Missing = Need.Tasks - std::min(Need.Tasks, Need.FreeAllowedPlaces);
  return Places * Need.AllowedShare >= Missing;
}

} // namespace

void AllowedShares::record(const std::string &Queue, size_t Asked,
                           size_t Allowed) {
  if (Asked == 0)
    return;
  double Observed = static_cast<double>(Allowed) / static_cast<double>(Asked);
  auto [It, IsFirst] = Shares.try_emplace(Queue, Observed);
  if (!IsFirst)
    It->second += ShareWeight * (Observed - It->second);
}

double AllowedShares::share(const std::string &Queue) const {
  auto Found = Shares.find(Queue);
  return Found == Shares.end() ? InitialAllowedShare
                               : std::max(MinAllowedShare, Found->second);
}

void AdviceDelays::record(const std::string &Queue, double ExpectedMs,
                          Micros Took) {
  if (ExpectedMs <= 0)
    return;
  double Observed =
      std::clamp(toSeconds(Took) * 1e3 / ExpectedMs, 1.0, MaxDelayFactor);
  auto [It, IsFirst] = Factors.try_emplace(Queue, Observed);
  if (!IsFirst)
    It->second += DelayWeight * (Observed - It->second);
}

double AdviceDelays::factor(const std::string &Queue) const {
  auto Found = Factors.find(Queue);
  return Found == Factors.end() ? 1 : Found->second;
}

std::vector<ExecutorIndex>
chooseAdviceCandidates(const ExecutorPool &Pool,
                       std::span<const ExecutorLoad> Loads,
                       const AdviceNeed &Need, TimePoint Now) {
  const StepSpec &Step = *Need.Step;
  Resources Demand = demandOf(Step);
  std::vector<Candidate> Candidates;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    const ExecutorState &Executor = Pool[I];
    if (Need.OnlyWithFreeCapacity && !mayFindCapacity(Pool, Need, I))
      continue;
    if (!Executor.Listed || Executor.Ended || Executor.Info.Draining ||
        !isSuitable(Executor, Step) || Need.Known->count(I))
      continue;
    uint32_t MaxPlaces = placesByAntiAffinity(Step, {}, I);
    uint32_t FreePlaces = placesIn(Pool.freeCapacity(I), Demand, MaxPlaces);
    bool IsOccupied = FreePlaces == 0 || !Pool.isUsable(I, Now) ||
                      isTooSlow(Loads[I]) || isReserved(Need, I);
    if (IsOccupied && Need.OnlyWithFreeCapacity)
      continue;
    Candidate Next{.Index = I,
                   .IsRemote = !Step.Affinity.empty() &&
                               Executor.Info.Rack != Step.Affinity,
                   .IsOccupied = IsOccupied,
                   .Order = orderOf(Executor, Need)};
    Resources LaterRoom = capacityBeside(Loads[I], Executor.Info.Capacity);
    Next.Places = IsOccupied ? OccupiedPlaceWeight *
                                   placesIn(LaterRoom, Demand, MaxPlaces)
                             : FreePlaces;
    Candidates.push_back(Next);
  }
  double NeededPlaces = PlacesPerTask * Need.Tasks / Need.AllowedShare;
  double Places = 0;
  std::vector<ExecutorIndex> Named;
  // Few of many are named, so that a heap is cheaper than sorting them all.
  auto RanksAfter = [](const Candidate &Left, const Candidate &Right) {
    return Left.rank() > Right.rank();
  };
  std::make_heap(Candidates.begin(), Candidates.end(), RanksAfter);
  while (!Candidates.empty()) {
    bool IsEnough = Places >= NeededPlaces && Named.size() >= MinNamedExecutors;
    if (IsEnough || Named.size() == executor::MaxExecutorsPerAdviceCall)
      break;
    std::pop_heap(Candidates.begin(), Candidates.end(), RanksAfter);
    Named.push_back(Candidates.back().Index);
    Places += Candidates.back().Places;
    Candidates.pop_back();
  }
  if (Need.OnlyForWholeGang && !isWholeGangExpected(Need, Places))
    return {};
  return Named;
}

AllowedPlaces countAllowedPlaces(const ExecutorPool &Pool,
                                 std::span<const ExecutorLoad> Loads,
                                 const StepSpec &Step,
                                 const StepPermissions &Permissions,
                                 const TaskCounts &TasksByExecutor,
                                 TimePoint Now) {
  AllowedPlaces Places;
  Resources Demand = demandOf(Step);
  for (const auto &[Index, Entry] : Permissions) {
    if (!Entry.Allowed || !Pool.isUsable(Index, Now))
      continue;
    uint32_t MaxPlaces = placesByAntiAffinity(Step, TasksByExecutor, Index);
    Places.Free += placesIn(Pool.freeCapacity(Index), Demand, MaxPlaces);
    Resources LaterRoom =
        capacityBeside(Loads[Index], Pool[Index].Info.Capacity);
    Places.Total += placesIn(LaterRoom, Demand, MaxPlaces);
  }
  return Places;
}

} // namespace daisylanding::cell
