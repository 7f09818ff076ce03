#include "cell/Placement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisylanding::cell {

namespace {

/// Score of putting users' tasks and fillers on one executor: any other place
/// with room goes first.
constexpr double MixPenalty = 10;
/// Work waits rather than go to an executor that takes so many times as long.
constexpr double MaxSlowness = 2.5;
/// Score of each doubling of run times.
constexpr double SlownessWeight = 1.5;
/// Score of leaving the rack near the step's data.
constexpr double FarPenalty = 4;
/// Score of taking accelerators' executors for work that needs none.
constexpr double AcceleratorPenalty = 2;

bool open(const ExecutorPool &Pool, const ExecutorLoad &Load,
          const PlacementAsk &Ask, ExecutorIndex Index, TimePoint Now) {
  const Executor &Each = Pool[Index];
  if (!Pool.usable(Index, Now) || !suits(Each, *Ask.Step))
    return false;
  if (Index < Ask.Kept.size() && Ask.Kept[Index].Held &&
      Ask.Expected > Ask.Kept[Index].FreeIn)
    return false;
  if (Load.Slowness > MaxSlowness)
    return false;
  if (!Ask.Rack.empty() && Each.Info.Rack != Ask.Rack)
    return false;
  if (!allows(Ask.Permissions, Index))
    return false;
  if (Ask.Step->AntiAffinity && Ask.OfStep) {
    auto Found = Ask.OfStep->find(Index);
    if (Found != Ask.OfStep->end() && Found->second >= Ask.Step->AntiAffinity)
      return false;
  }
  return Pool.fits(Index, chargeOf(*Ask.Step));
}

double shareLeft(uint32_t Free, uint32_t Taken, uint32_t Total) {
  if (Total == 0)
    return 0;
  return static_cast<double>(Free - std::min(Free, Taken)) /
         static_cast<double>(Total);
}

/// Lower is better: the fullest executor that fits, so that large holes stay
/// whole; a filler goes where most is left unused.
double score(const ExecutorPool &Pool, const ExecutorLoad &Load,
             const StepSpec &Step, ExecutorIndex Index) {
  const Executor &Each = Pool[Index];
  Resources Free = Pool.free(Index);
  Resources Size = chargeOf(Step);
  const Resources &Total = Each.Info.Capacity;
  double Out = 0;
  if (Step.Filler) {
    auto Unused = static_cast<double>(Free.MilliCores);
    Unused -= static_cast<double>(Load.FillerMilliCores);
    Out = -Unused / std::max(1.0, static_cast<double>(Total.MilliCores));
    Out += Load.ServingTasks ? MixPenalty : 0;
  } else {
    Out = shareLeft(Free.MilliCores, Size.MilliCores, Total.MilliCores) +
          shareLeft(Free.MemoryMb, Size.MemoryMb, Total.MemoryMb) / 2;
    if (Step.ServingTarget.count() > 0 && Load.Fillers)
      Out += MixPenalty;
  }
  if (!Step.Filler)
    Out += SlownessWeight * std::log2(std::max(Load.Slowness, 0.25));
  if (Step.Size.Accelerators)
    Out +=
        2 * shareLeft(Free.Accelerators, Size.Accelerators, Total.Accelerators);
  else if (Total.Accelerators)
    Out += AcceleratorPenalty;
  if (!Step.Affinity.empty() && Each.Info.Rack != Step.Affinity)
    Out += FarPenalty;
  return Out;
}

std::optional<std::vector<ExecutorIndex>>
fillGang(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
         PlacementAsk Ask, uint32_t Count, TimePoint Now) {
  std::map<ExecutorIndex, uint32_t> OfStep;
  if (Ask.OfStep)
    OfStep = *Ask.OfStep;
  Ask.OfStep = &OfStep;
  Resources Size = chargeOf(*Ask.Step);
  std::vector<ExecutorIndex> Out;
  while (Out.size() < Count) {
    auto Best = choose(Pool, Loads, Ask, Now);
    if (!Best)
      break;
    Pool.take(*Best, Size);
    ++OfStep[*Best];
    Out.push_back(*Best);
  }
  for (ExecutorIndex Each : Out)
    Pool.give(Each, Size);
  if (Out.size() < Count)
    return std::nullopt;
  return Out;
}

} // namespace

const std::map<ExecutorIndex, Permission> *permissionsOf(const LiveStep &Step,
                                                         const Queue *From) {
  return From && From->Advice ? &Step.Permissions : nullptr;
}

bool allows(const std::map<ExecutorIndex, Permission> *Permissions,
            ExecutorIndex Index) {
  if (!Permissions)
    return true;
  auto Found = Permissions->find(Index);
  return Found != Permissions->end() && Found->second.Allowed;
}

bool suits(const Executor &Each, const StepSpec &Step) {
  if (!chargeOf(Step).fitsIn(Each.Info.Capacity))
    return false;
  if (Step.Constraint.empty())
    return true;
  return std::find(Each.Info.Labels.begin(), Each.Info.Labels.end(),
                   Step.Constraint) != Each.Info.Labels.end();
}

std::optional<ExecutorIndex> choose(const ExecutorPool &Pool,
                                    std::span<const ExecutorLoad> Loads,
                                    const PlacementAsk &Ask, TimePoint Now) {
  std::optional<ExecutorIndex> Best;
  double BestScore = 0;
  auto Consider = [&](ExecutorIndex Index) {
    if (!open(Pool, Loads[Index], Ask, Index, Now))
      return;
    double Score = score(Pool, Loads[Index], *Ask.Step, Index);
    if (Best && Score >= BestScore)
      return;
    Best = Index;
    BestScore = Score;
  };
  if (Ask.Permissions) {
    for (const auto &Each : *Ask.Permissions)
      Consider(Each.first);
    return Best;
  }
  for (ExecutorIndex I = 0; I < Pool.size(); ++I)
    Consider(I);
  return Best;
}

std::optional<std::vector<ExecutorIndex>>
chooseGang(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
           const PlacementAsk &Ask, uint32_t Count, TimePoint Now) {
  if (Ask.Step->Colocate) {
    std::set<std::string> Racks;
    for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
      if (Pool.usable(I, Now))
        Racks.insert(Pool[I].Info.Rack);
    }
    for (const std::string &Rack : Racks) {
      PlacementAsk Within = Ask;
      Within.Rack = Rack;
      if (auto Found = fillGang(Pool, Loads, Within, Count, Now))
        return Found;
    }
  }
  return fillGang(Pool, Loads, Ask, Count, Now);
}

} // namespace daisylanding::cell
