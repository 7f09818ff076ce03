#include "cell/CellOwner.h"

#include <algorithm>

/// What an owner tells of itself, for logs, metrics and operators.
namespace daisylanding::cell {

OwnerState CellOwner::state(TimePoint Now) {
  OwnerState Out{.LiveJobs = Jobs.size(), .CommitMs = CommitMs};
  for (const Waiting &Each : waitingSteps(Now)) {
    const LiveStep &Step = Each.step();
    const Queue *From = Config->queue(Each.Job->Spec.Queue);
    ++Out.WaitingSteps;
    if (From && From->Advice && Step.Permissions.empty())
      ++Out.StepsWithoutAdvice;
  }
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    Out.OpenRuns += Pool[I].OpenRuns;
    Out.Executors += Pool[I].Listed ? 1 : 0;
    Out.Usable += Pool.usable(I, Now) ? 1 : 0;
  }
  return Out;
}

/// Why a step waits: how many executors could run a task of it, are allowed
/// to, may get work now, and have room.
WaitingStep CellOwner::reasonOf(const Waiting &Which, TimePoint Now) const {
  const StepSpec &Spec = Which.spec();
  WaitingStep Out{
      .Job = Which.Job->Spec.Id,
      .Step = Which.Step,
      .Tasks = Spec.Count,
      .Size = Spec.Size,
      .Gang = Spec.Gang,
      .Colocate = Spec.Colocate,
      .Age = std::chrono::duration_cast<Millis>(Now - Which.occurrence().Begin),
      .SlackMs = Which.SlackMs};
  const auto *Permissions =
      permissionsOf(Which.step(), Config->queue(Which.Job->Spec.Queue));
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (!Pool[I].Listed || !suits(Pool[I], Spec))
      continue;
    ++Out.Suitable;
    if (!allows(Permissions, I))
      continue;
    ++Out.Allowed;
    if (!Pool.usable(I, Now))
      continue;
    ++Out.Usable;
    Out.WithRoom += Pool.fits(I, chargeOf(Spec)) ? 1 : 0;
  }
  return Out;
}

std::vector<WaitingStep> CellOwner::longestWaits(size_t Most, Millis AtLeast,
                                                 TimePoint Now) {
  std::vector<Waiting> Longest = waitingSteps(Now);
  std::erase_if(Longest, [&](const Waiting &Each) {
    return Now < Each.occurrence().Begin + AtLeast;
  });
  std::sort(Longest.begin(), Longest.end(),
            [](const Waiting &Left, const Waiting &Right) {
              return Left.occurrence().Begin < Right.occurrence().Begin;
            });
  if (Longest.size() > Most)
    Longest.resize(Most);
  std::vector<WaitingStep> Out;
  Out.reserve(Longest.size());
  for (const Waiting &Each : Longest)
    Out.push_back(reasonOf(Each, Now));
  return Out;
}

} // namespace daisylanding::cell
