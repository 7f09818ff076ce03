#include "cell/CellOwner.h"

#include <algorithm>

/// Reservations: which executors are kept free for steps that find no places.
namespace daisylanding::cell {

namespace {

/// Whether a task needs more than half of an executor in some dimension. A
/// stream of small tasks would never leave room for it.
bool isWide(const Resources &Size, const Resources &Capacity) {
  constexpr uint32_t WideDivisor = 2;
  return Size.MilliCores > Capacity.MilliCores / WideDivisor ||
         Size.MemoryMb > Capacity.MemoryMb / WideDivisor ||
         Size.Accelerators > Capacity.Accelerators / WideDivisor;
}

} // namespace

/// Expected time until the executor has free capacity for a task of the step;
/// none if long-running tasks are in the way.
std::optional<Millis> CellOwner::timeUntilFree(ExecutorIndex Index,
                                               const StepSpec &Spec,
                                               TimePoint Now) const {
  Resources FreeCapacity = Pool.freeCapacity(Index);
  std::vector<std::pair<Millis, Resources>> RunEnds;
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    if (Key.spec().LongRunning)
      continue;
    const LiveTask &Task = Key.task();
    Millis ExpectedTime = Times.speeds().expectedRunTime(Key.Job->Spec.Queue,
                                                         Key.spec().Estimate);
    Millis Elapsed(Task.Confirmed ? toMillis(Now - Task.RunningSince) : 0);
    RunEnds.emplace_back(std::max(Millis(0), ExpectedTime - Elapsed),
                         demandOf(Key.spec()));
  }
  std::sort(RunEnds.begin(), RunEnds.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  Millis Delay{0};
  for (const auto &[TimeLeft, Demand] : RunEnds) {
    if (demandOf(Spec).fitsIn(FreeCapacity))
      break;
    Delay = TimeLeft;
    FreeCapacity += Demand;
  }
  if (!demandOf(Spec).fitsIn(FreeCapacity))
    return std::nullopt;
  return Delay;
}

/// Reserves the executors that will have free capacity soonest for a gang, for
/// wide tasks, or for long-running tasks that have run before. Less urgent work
/// is kept off them: a stream of small tasks would starve the step. Members of
/// a gang start together, so that each of its executors may be used until the
/// last of them is free. Only on \p Rack, if set.
void CellOwner::reserveExecutors(const WaitingStepRef &Waiting, size_t Count,
                                 TimePoint Now, std::string_view Rack) {
  const LiveStep &Step = Waiting.step();
  const StepSpec &Spec = Waiting.spec();
  const auto *Permissions = permissionsOf(Step, queueOf(*Waiting.Job));
  if (ReservedExecutors >= MaxReservedExecutors)
    return;
  bool ForAnySize = Spec.Gang || (Spec.LongRunning && hasRun(Step));
  TaskCounts TasksByExecutor = countTasksByExecutor(Step, Spec);
  std::vector<std::pair<Millis, ExecutorIndex>> Candidates;
  auto Consider = [&](ExecutorIndex I) {
    bool NeedsReservation =
        ForAnySize || isWide(demandOf(Spec), Pool[I].Info.Capacity);
    if (!NeedsReservation || Reservations[I].Active ||
        !isAllowed(Permissions, I) ||
        (!Rack.empty() && Pool[I].Info.Rack != Rack) ||
        !Pool.isUsable(I, Now) || !isSuitable(Pool[I], Spec) ||
        placesByAntiAffinity(Spec, TasksByExecutor, I) == 0)
      return;
    if (auto Delay = timeUntilFree(I, Spec, Now))
      Candidates.emplace_back(*Delay, I);
  };
  if (Permissions) {
    for (const auto &Entry : *Permissions)
      Consider(Entry.first);
  } else {
    for (ExecutorIndex I = 0; I < Pool.size(); ++I)
      Consider(I);
  }
  std::sort(Candidates.begin(), Candidates.end());
  size_t Reserved = std::min(
      {Count, Candidates.size(), MaxReservedExecutors - ReservedExecutors});
  for (size_t I = 0; I < Reserved; ++I) {
    size_t LastNeeded = Spec.Gang ? Reserved - 1 : I;
    Reservations[Candidates[I].second] = {
        .Active = true, .FreeAfter = Candidates[LastNeeded].first};
  }
  ReservedExecutors += Reserved;
}

} // namespace daisylanding::cell
