#include "cell/CellOwner.h"

#include <algorithm>

/// What an owner tells of itself, for logs, metrics and operators.
namespace daisylanding::cell {

OwnerState CellOwner::state(TimePoint Now) {
  OwnerState Out{.LiveJobs = Jobs.size(), .CommitMs = CommitMs};
  for (const Waiting &Each : waitingSteps(Now)) {
    const LiveStep &Step =
        Each.Job->Occurrences.at(Each.Occurrence).Steps[Each.Step];
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

/// Why the steps that have waited longest wait: how many executors could run
/// a task of theirs, are allowed to, may get work now, and have room.
std::vector<WaitingStep> CellOwner::longestWaits(size_t Most, Millis AtLeast,
                                                 TimePoint Now) {
  std::vector<WaitingStep> Out;
  for (const Waiting &Each : waitingSteps(Now)) {
    const LiveOccurrence &In = Each.Job->Occurrences.at(Each.Occurrence);
    if (Now < In.Begin + AtLeast)
      continue;
    const StepSpec &Spec = Each.Job->Spec.Steps[Each.Step];
    WaitingStep Told{.Job = Each.Job->Spec.Id,
                     .Step = Each.Step,
                     .Tasks = Spec.Count,
                     .Size = Spec.Size,
                     .Gang = Spec.Gang,
                     .Colocate = Spec.Colocate,
                     .Age = std::chrono::duration_cast<Millis>(Now - In.Begin),
                     .SlackMs = Each.SlackMs};
    const auto &Permissions = In.Steps[Each.Step].Permissions;
    const Queue *From = Config->queue(Each.Job->Spec.Queue);
    for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
      if (!Pool[I].Listed || !suits(Pool[I], Spec))
        continue;
      ++Told.Suitable;
      auto Found = Permissions.find(I);
      bool Allowed = !From || !From->Advice ||
                     (Found != Permissions.end() && Found->second.Allowed);
      if (!Allowed)
        continue;
      ++Told.Allowed;
      if (!Pool.usable(I, Now))
        continue;
      ++Told.Usable;
      Told.WithRoom += Pool.fits(I, chargeOf(Spec)) ? 1 : 0;
    }
    Out.push_back(std::move(Told));
  }
  std::sort(Out.begin(), Out.end(),
            [](const auto &A, const auto &B) { return A.Age > B.Age; });
  if (Out.size() > Most)
    Out.resize(Most);
  return Out;
}

} // namespace daisylanding::cell
