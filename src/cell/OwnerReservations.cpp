#include "cell/CellOwner.h"

#include <algorithm>
#include <utility>

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

/// A time that can't be told. Any work that ends may use a reserved executor
/// until then; only lasting tasks are kept off.
constexpr Millis UntilAnyEnd = Millis::max() - Millis(1);

} // namespace

/// Notes the step's tasks that are placed and have no open run yet.
void CellOwner::notePlacedTasks(const WaitingStepRef &Waiting) {
  const LiveStep &Step = Waiting.step();
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const LiveTask &Task = Step.Tasks[I];
    if (Task.Phase == TaskPhase::Placed)
      PlacedByExecutor[Task.Executor].push_back(Waiting.task(I));
  }
}

/// The times until capacity is expected to be released on the executor, the
/// first before others. Long-running tasks release none.
std::vector<std::pair<Millis, Resources>>
CellOwner::expectedReleases(ExecutorIndex Index, TimePoint Now) const {
  std::vector<std::pair<Millis, Resources>> Releases;
  auto Add = [&](const TaskKey &Key) {
    if (Key.spec().LongRunning)
      return;
    const LiveTask &Task = Key.task();
    Millis ExpectedTime = Times.speeds().expectedRunTime(Key.Job->Spec.Queue,
                                                         Key.spec().Estimate);
    bool IsRunning = isOpen(Task.Phase) && Task.Confirmed;
    Millis Elapsed(IsRunning ? toMillis(Now - Task.RunningSince) : 0);
    Releases.emplace_back(std::max(Millis(0), ExpectedTime - Elapsed),
                          demandOf(Key.spec()));
  };
  for (const TaskKey &Key : OpenRunsByExecutor[Index])
    Add(Key);
  for (const TaskKey &Key : PlacedByExecutor[Index]) {
    const LiveTask &Task = Key.task();
    if (Task.Phase == TaskPhase::Placed && Task.Executor == Index)
      Add(Key);
  }
  std::sort(Releases.begin(), Releases.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  return Releases;
}

/// Adds when the executor is expected to have free capacity for one task of the
/// step, for a second one beside it and so on, up to \p MaxPlaces, but not
/// before \p NotBefore. Where long-running tasks are in the way there are
/// fewer.
void CellOwner::addExpectedPlaces(ExecutorIndex Index, const StepSpec &Spec,
                                  uint32_t MaxPlaces, Millis NotBefore,
                                  TimePoint Now,
                                  std::vector<ExpectedPlaces> &Places) const {
  Resources Demand = demandOf(Spec);
  Resources FreeCapacity = Pool.freeCapacity(Index);
  uint32_t Found = 0;
  auto AddFreeFrom = [&](Millis FreeIn) {
    uint32_t Before =
        std::exchange(Found, placesIn(FreeCapacity, Demand, MaxPlaces));
    if (Found > Before)
      Places.push_back({.FreeIn = std::max(FreeIn, NotBefore),
                        .Executor = Index,
                        .Count = Found - Before});
  };
  AddFreeFrom(Millis(0));
  if (Found == MaxPlaces)
    return;
  for (const auto &[TimeLeft, Released] : expectedReleases(Index, Now)) {
    FreeCapacity += Released;
    AddFreeFrom(TimeLeft);
  }
}

/// The first \p Count places for tasks of the step that are known to become
/// free; all, if there are fewer. Members of a gang may share an executor, and
/// wait for others that have reserved it.
std::vector<CellOwner::ExpectedPlaces>
CellOwner::expectedPlaces(const WaitingStepRef &Waiting, size_t Count,
                          std::string_view Rack, bool UsesLastResort,
                          TimePoint Now) const {
  const LiveStep &Step = Waiting.step();
  const StepSpec &Spec = Waiting.spec();
  const auto *Permissions = permissionsOf(Step, queueOf(*Waiting.Job));
  bool ForAnySize = Spec.Gang || (Spec.LongRunning && hasRun(Step));
  auto MaxPlaces = static_cast<uint32_t>(Spec.Gang ? Count : 1);
  TaskCounts TasksByExecutor = countTasksByExecutor(Step, Spec);
  std::vector<ExpectedPlaces> Places;
  auto Consider = [&](ExecutorIndex I) {
    bool NeedsReservation =
        ForAnySize || isWide(demandOf(Spec), Pool[I].Info.Capacity);
    bool IsOpen = UsesLastResort ? Pool.isLastResort(I, Now)
                                 : Pool.isUsable(I, Now) &&
                                       !(Spec.Gang && isTooSlow(Loads[I]));
    bool IsTaken = Reservations[I].Active &&
                   (!Spec.Gang || ReservedUntil[I] == UntilAnyEnd);
    if (!NeedsReservation || IsTaken || !IsOpen || !isAllowed(Permissions, I) ||
        (!Rack.empty() && Pool[I].Info.Rack != Rack) ||
        !isSuitable(Pool[I], Spec))
      return;
    uint32_t MaxHere =
        std::min(MaxPlaces, placesByAntiAffinity(Spec, TasksByExecutor, I));
    addExpectedPlaces(I, Spec, MaxHere, ReservedUntil[I], Now, Places);
  };
  if (Permissions) {
    for (const auto &Entry : *Permissions)
      Consider(Entry.first);
  } else {
    for (ExecutorIndex I = 0; I < Pool.size(); ++I)
      Consider(I);
  }
  std::sort(Places.begin(), Places.end(),
            [](const ExpectedPlaces &Left, const ExpectedPlaces &Right) {
              return std::pair(Left.FreeIn, Left.Executor) <
                     std::pair(Right.FreeIn, Right.Executor);
            });
  size_t Found = 0;
  auto FirstNotNeeded =
      std::find_if(Places.begin(), Places.end(), [&](const auto &Next) {
        bool IsEnough = Found >= Count;
        Found += Next.Count;
        return IsEnough;
      });
  Places.erase(FirstNotNeeded, Places.end());
  return Places;
}

size_t CellOwner::countPlaces(std::span<const ExpectedPlaces> Places) {
  size_t Count = 0;
  for (const ExpectedPlaces &Next : Places)
    Count += Next.Count;
  return Count;
}

/// Reserves the executors that will have free capacity soonest for a gang, for
/// wide tasks, or for long-running tasks that have run before. Less urgent work
/// is kept off them: a stream of small tasks would starve the step. Members of
/// a gang start together, so that each of its executors may be used until all
/// of its places are expected to be free, also those that can't be reserved.
/// Only on \p Rack, if set.
void CellOwner::reserveExecutors(const WaitingStepRef &Waiting, size_t Count,
                                 TimePoint Now, std::string_view Rack) {
  if (ReservedExecutors >= MaxReservedExecutors)
    return;
  const StepSpec &Spec = Waiting.spec();
  bool IsGang = Spec.Gang;
  Millis RunTime =
      Times.speeds().expectedRunTime(Waiting.Job->Spec.Queue, Spec.Estimate);
  auto Places = expectedPlaces(Waiting, Count, Rack, false, Now);
  if (IsGang && countPlaces(Places) < Count) {
    // A gang is placed there if no others can hold it.
    auto LastResort = expectedPlaces(Waiting, Count, Rack, true, Now);
    if (countPlaces(LastResort) >= Count)
      Places = std::move(LastResort);
  }
  Millis GangStart =
      countPlaces(Places) < Count ? UntilAnyEnd : Places.back().FreeIn;
  for (const ExpectedPlaces &Next : Places) {
    Reservation &Reserved = Reservations[Next.Executor];
    if (Reserved.Active)
      continue; // For another member, or other work.
    if (ReservedExecutors >= MaxReservedExecutors)
      break;
    Millis Start = IsGang ? GangStart : Next.FreeIn;
    bool EndsAtKnownTime = Start < UntilAnyEnd - RunTime && !Spec.LongRunning;
    Reserved = {.Active = true, .FreeAfter = Start};
    ReservedUntil[Next.Executor] =
        EndsAtKnownTime ? Start + RunTime : UntilAnyEnd;
    ++ReservedExecutors;
  }
}

} // namespace daisylanding::cell
