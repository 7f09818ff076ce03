#include "cell/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace daisylanding::cell {

namespace {

/// Score of placing best-effort tasks beside tasks that serve users: any other
/// executor with capacity is preferred.
constexpr double InterferencePenalty = 10;
/// Executors slower than this get no tasks.
constexpr double MaxSlowness = 2.5;
/// Score per doubling of run times.
constexpr double SlownessWeight = 1.5;
/// Score of a rack other than the one nearest to the step's data.
constexpr double RemoteRackPenalty = 4;
/// Score per doubling of run times, for work that asks for a near place, if it
/// is known by how much far ones are slower. Outweighs how full executors are.
constexpr double NearWorkWeight = 4;
/// Score of using an executor with accelerators for work that needs none.
constexpr double AcceleratorPenalty = 2;
/// Score of an executor for which a long-running task needs a new ticket first.
constexpr double ExpiredTicketPenalty = 2;
/// Score of an executor other than the preferred ones; outweighs the rest.
constexpr double OtherExecutorPenalty = 20;
/// Score of an executor for which a long-running task that could start at once
/// elsewhere needs a new ticket; outweighs the preference.
constexpr double LateTicketPenalty = 25;

/// Whether the executor takes tasks of the request, as far as its state goes.
bool isOpenTo(const ExecutorPool &Pool, const ExecutorLoad &Load,
              const PlacementRequest &Request, ExecutorIndex Index,
              TimePoint Now) {
  if (Request.UsesLastResort)
    return Pool.isLastResort(Index, Now);
  return Pool.isUsable(Index, Now) && !isTooSlow(Load);
}

/// Whether the task can run on an executor that the policy allows.
bool isCandidate(const ExecutorPool &Pool, const ExecutorLoad &Load,
                 const PlacementRequest &Request, ExecutorIndex Index,
                 TimePoint Now) {
  const ExecutorState &Executor = Pool[Index];
  // Most executors are full when it matters how long this takes.
  if (!Pool.hasCapacityFor(Index, demandOf(*Request.Step)) ||
      !isOpenTo(Pool, Load, Request, Index, Now) ||
      !isSuitable(Executor, *Request.Step))
    return false;
  if (Index < Request.Reservations.size() &&
      Request.Reservations[Index].Active &&
      Request.ExpectedRunTime > Request.Reservations[Index].FreeAfter)
    return false;
  if (Request.KeptRoom && Pool.hasCapacityFor(Index, *Request.KeptRoom))
    return false;
  if (Request.AvoidSuspects && Executor.Suspects > 0)
    return false;
  if (Request.Step->LongRunning && !Pool.isLossKnownInTime(Index, Now))
    return false;
  if (!Request.Rack.empty() && Executor.Info.Rack != Request.Rack)
    return false;
  if (!Request.AvoidedRack.empty() && Executor.Info.Rack == Request.AvoidedRack)
    return false;
  return !Request.TasksByExecutor ||
         placesByAntiAffinity(*Request.Step, *Request.TasksByExecutor, Index) >
             0;
}

double freeShareAfter(uint32_t Free, uint32_t Reserved, uint32_t Total) {
  if (Total == 0)
    return 0;
  return static_cast<double>(Free - std::min(Free, Reserved)) /
         static_cast<double>(Total);
}

/// Score of the time that a task takes there.
double runTimeScoreOf(const PlacementRequest &Request, const ExecutorLoad &Load,
                      const std::string &Rack) {
  const StepSpec &Step = *Request.Step;
  bool IsFar = !Step.Affinity.empty() && Rack != Step.Affinity;
  double Doublings =
      Step.BestEffort ? 0 : std::log2(std::max(Load.Slowness, 0.25));
  if (Step.Affinity.empty() || Request.SpreadFactor <= 1)
    return SlownessWeight * Doublings + (IsFar ? RemoteRackPenalty : 0);
  double FarDoublings = IsFar ? std::log2(Request.SpreadFactor) : 0;
  return NearWorkWeight * (Doublings + FarDoublings);
}

/// Lower is better. Prefers the fullest executor that fits, to keep large
/// blocks of capacity free; best-effort tasks go where most is unused.
double scoreOf(const ExecutorPool &Pool, const ExecutorLoad &Load,
               const PlacementRequest &Request, ExecutorIndex Index) {
  const StepSpec &Step = *Request.Step;
  const ExecutorState &Executor = Pool[Index];
  Resources FreeCapacity = Pool.freeCapacity(Index);
  Resources Demand = demandOf(Step);
  const Resources &Total = Executor.Info.Capacity;
  double Score = 0;
  if (Step.BestEffort) {
    auto UnusedMilliCores = static_cast<double>(FreeCapacity.MilliCores);
    UnusedMilliCores -= static_cast<double>(Load.BestEffortMilliCores);
    Score = -UnusedMilliCores /
            std::max(1.0, static_cast<double>(Total.MilliCores));
    Score += Load.ServingTasks ? InterferencePenalty : 0;
  } else {
    Score =
        freeShareAfter(FreeCapacity.MilliCores, Demand.MilliCores,
                       Total.MilliCores) +
        freeShareAfter(FreeCapacity.MemoryMb, Demand.MemoryMb, Total.MemoryMb) /
            2;
    if (Step.TailLatencyTarget.count() > 0 && Load.BestEffortTasks)
      Score += InterferencePenalty;
  }
  if (Step.Size.Accelerators)
    Score += 2 * freeShareAfter(FreeCapacity.Accelerators, Demand.Accelerators,
                                Total.Accelerators);
  else if (Total.Accelerators)
    Score += AcceleratorPenalty;
  return Score + runTimeScoreOf(Request, Load, Executor.Info.Rack);
}

bool needsNewTicket(const PlacementRequest &Request, ExecutorIndex Index,
                    TimePoint Now) {
  if (!Request.Permissions)
    return false;
  auto Found = Request.Permissions->find(Index);
  return Found == Request.Permissions->end() || Found->second.ValidUntil <= Now;
}

bool isPreferred(const PlacementRequest &Request, ExecutorIndex Index) {
  return std::find(Request.Preferred.begin(), Request.Preferred.end(), Index) !=
         Request.Preferred.end();
}

/// Score of the time until a task of the step could start there.
double delayScoreOf(const PlacementRequest &Request, ExecutorIndex Index,
                    TimePoint Now) {
  double Score = 0;
  if (!Request.Preferred.empty() && !isPreferred(Request, Index))
    Score += OtherExecutorPenalty;
  if (Request.Step->LongRunning && needsNewTicket(Request, Index, Now))
    Score += Request.StartsAtOnce ? LateTicketPenalty : ExpiredTicketPenalty;
  return Score;
}

/// Calls \p Visit with the executors that the policy allows, until it returns
/// true.
template <typename Function>
void visitAllowed(const ExecutorPool &Pool, const PlacementRequest &Request,
                  Function Visit) {
  if (!Request.Permissions) {
    for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
      if (Visit(I))
        return;
    }
    return;
  }
  for (const auto &[Index, Entry] : *Request.Permissions) {
    if (Entry.Allowed && Visit(Index))
      return;
  }
}

/// Whether those executors of the allowed ones for which \p IsOpen returns true
/// could hold \p Count tasks, if only lasting tasks were there.
template <typename Predicate>
bool canHold(const ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
             const PlacementRequest &Request, uint32_t Count,
             Predicate IsOpen) {
  auto Remaining = [](uint32_t Amount, uint32_t Used) {
    return Amount - std::min(Amount, Used);
  };
  Resources Demand = demandOf(*Request.Step);
  uint32_t Places = 0;
  visitAllowed(Pool, Request, [&](ExecutorIndex Index) {
    if (!IsOpen(Index) || !isSuitable(Pool[Index], *Request.Step))
      return false;
    const Resources &Total = Pool[Index].Info.Capacity;
    const Resources &Held = Loads[Index].LongRunningDemand;
    Resources Room{.MilliCores = Remaining(Total.MilliCores, Held.MilliCores),
                   .MemoryMb = Remaining(Total.MemoryMb, Held.MemoryMb),
                   .Accelerators =
                       Remaining(Total.Accelerators, Held.Accelerators)};
    uint32_t MaxPlaces =
        Request.TasksByExecutor
            ? placesByAntiAffinity(*Request.Step, *Request.TasksByExecutor,
                                   Index)
            : std::numeric_limits<uint32_t>::max();
    Places += placesIn(Room, Demand, MaxPlaces);
    return Places >= Count;
  });
  return Places >= Count;
}

/// Whether the tasks find all their places, some time, without a last resort.
bool canDoWithoutLastResort(const ExecutorPool &Pool,
                            std::span<const ExecutorLoad> Loads,
                            const PlacementRequest &Request, uint32_t Count,
                            TimePoint Now) {
  return canHold(Pool, Loads, Request, Count, [&](ExecutorIndex Index) {
    return isOpenTo(Pool, Loads[Index], Request, Index, Now);
  });
}

/// The best candidate, if any.
std::optional<ExecutorIndex>
chooseCandidate(const ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                const PlacementRequest &Request, TimePoint Now) {
  std::optional<ExecutorIndex> Best;
  double BestScore = 0;
  visitAllowed(Pool, Request, [&](ExecutorIndex Index) {
    if (!isCandidate(Pool, Loads[Index], Request, Index, Now))
      return false;
    double Score = scoreOf(Pool, Loads[Index], Request, Index) +
                   delayScoreOf(Request, Index, Now);
    if (!Best || Score < BestScore) {
      Best = Index;
      BestScore = Score;
    }
    return false;
  });
  return Best;
}

std::optional<std::vector<ExecutorIndex>>
placeGang(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
          PlacementRequest Request, uint32_t Count, TimePoint Now) {
  TaskCounts TasksByExecutor;
  if (Request.TasksByExecutor)
    TasksByExecutor = *Request.TasksByExecutor;
  Request.TasksByExecutor = &TasksByExecutor;
  Resources Demand = demandOf(*Request.Step);
  std::vector<ExecutorIndex> Members;
  while (Members.size() < Count) {
    auto Best = chooseCandidate(Pool, Loads, Request, Now);
    if (!Best)
      break;
    Pool.reserve(*Best, Demand);
    ++TasksByExecutor[*Best];
    Members.push_back(*Best);
  }
  for (ExecutorIndex Index : Members)
    Pool.release(Index, Demand);
  if (Members.size() < Count)
    return std::nullopt;
  return Members;
}

} // namespace

bool isTooSlow(const ExecutorLoad &Load) { return Load.Slowness > MaxSlowness; }

const StepPermissions *permissionsOf(const LiveStep &Step,
                                     const Queue *JobQueue) {
  return JobQueue && JobQueue->Advice ? &Step.Permissions : nullptr;
}

bool isAllowed(const StepPermissions *Permissions, ExecutorIndex Index) {
  if (!Permissions)
    return true;
  auto Found = Permissions->find(Index);
  return Found != Permissions->end() && Found->second.Allowed;
}

TaskCounts countTasksByExecutor(const LiveStep &Step, const StepSpec &Spec) {
  TaskCounts Counts;
  if (Spec.AntiAffinity == 0)
    return Counts;
  for (const LiveTask &Task : Step.Tasks) {
    if (Task.Executor != NoExecutor)
      ++Counts[Task.Executor];
  }
  return Counts;
}

uint32_t placesByAntiAffinity(const StepSpec &Step,
                              const TaskCounts &TasksByExecutor,
                              ExecutorIndex Index) {
  if (Step.AntiAffinity == 0)
    return std::numeric_limits<uint32_t>::max();
  auto Found = TasksByExecutor.find(Index);
  uint32_t Used = Found == TasksByExecutor.end() ? 0 : Found->second;
  return Step.AntiAffinity - std::min(Step.AntiAffinity, Used);
}

uint32_t placesIn(const Resources &Room, const Resources &Demand,
                  uint32_t MaxPlaces) {
  constexpr uint32_t NoLimit = 1'000;
  uint32_t Places = std::min(MaxPlaces, NoLimit);
  auto Limit = [&](uint32_t Free, uint32_t Needed) {
    if (Needed > 0)
      Places = std::min(Places, Free / Needed);
  };
  Limit(Room.MilliCores, Demand.MilliCores);
  Limit(Room.MemoryMb, Demand.MemoryMb);
  Limit(Room.Accelerators, Demand.Accelerators);
  return Places;
}

bool isSuitable(const ExecutorState &Executor, const StepSpec &Step) {
  if (!demandOf(Step).fitsIn(Executor.Info.Capacity))
    return false;
  if (Step.Constraint.empty())
    return true;
  return std::find(Executor.Info.Labels.begin(), Executor.Info.Labels.end(),
                   Step.Constraint) != Executor.Info.Labels.end();
}

bool canEverHold(const ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                 const PlacementRequest &Request, uint32_t Count,
                 TimePoint Now) {
  /// One that has been silent for longer is not expected back.
  constexpr Millis MaxSilence{10'000};
  return canHold(Pool, Loads, Request, Count, [&](ExecutorIndex Index) {
    const ExecutorState &Executor = Pool[Index];
    return Executor.Listed && !Executor.Ended && !Executor.Info.Draining &&
           Now < Executor.LastAnswerAt + MaxSilence;
  });
}

std::optional<ExecutorIndex> chooseExecutor(const ExecutorPool &Pool,
                                            std::span<const ExecutorLoad> Loads,
                                            const PlacementRequest &Request,
                                            TimePoint Now) {
  auto Best = chooseCandidate(Pool, Loads, Request, Now);
  if (Best || canDoWithoutLastResort(Pool, Loads, Request, 1, Now))
    return Best;
  PlacementRequest LastResort = Request;
  LastResort.UsesLastResort = true;
  return chooseCandidate(Pool, Loads, LastResort, Now);
}

std::optional<std::vector<ExecutorIndex>>
chooseGangExecutors(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                    const PlacementRequest &Request, uint32_t Count,
                    TimePoint Now) {
  if (Request.Step->Colocate) {
    std::set<std::string> Racks;
    for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
      if (Pool.isUsable(I, Now))
        Racks.insert(Pool[I].Info.Rack);
    }
    for (const std::string &Rack : Racks) {
      PlacementRequest OnRack = Request;
      OnRack.Rack = Rack;
      if (auto Found = placeGang(Pool, Loads, OnRack, Count, Now))
        return Found;
    }
  }
  auto Found = placeGang(Pool, Loads, Request, Count, Now);
  if (Found || canDoWithoutLastResort(Pool, Loads, Request, Count, Now))
    return Found;
  PlacementRequest LastResort = Request;
  LastResort.UsesLastResort = true;
  return placeGang(Pool, Loads, LastResort, Count, Now);
}

} // namespace daisylanding::cell
