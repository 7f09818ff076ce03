#include "cell/CellOwner.h"

#include <algorithm>

/// Status of an owner for logs, metrics and operators.
namespace daisylanding::cell {

namespace {

constexpr uint32_t MilliCoresPerCore = 1'000;

} // namespace

OwnerStatus CellOwner::status(TimePoint Now) {
  OwnerStatus Status{.Loading = Loading,
                     .LiveJobs = Jobs.size(),
                     .JobReadingAge = jobReadingAge(Now),
                     .CommitMs = AverageCommitMs};
  for (const auto &[Id, Job] : Jobs) {
    Status.OfferedJobs += Job.Stored ? 0 : 1;
    Status.PendingJobs += isPending(Job) ? 1 : 0;
  }
  uint64_t PlacedMilliCores = 0;
  uint64_t TotalMilliCores = 0;
  uint64_t ReservedMilliCores = 0;
  std::vector<WaitingStepRef> Steps = waitingSteps(Now);
  Status.Workspaces = workspaceStatuses(Steps, Now);
  for (const WaitingStepRef &Waiting : Steps) {
    const LiveStep &Step = Waiting.step();
    const Queue *JobQueue = queueOf(*Waiting.Job);
    ++Status.WaitingSteps;
    if (JobQueue && JobQueue->Advice && Step.Permissions.empty())
      ++Status.StepsWithoutAdvice;
    auto Placed = static_cast<uint32_t>(std::count_if(
        Step.Tasks.begin(), Step.Tasks.end(),
        [](const LiveTask &Task) { return Task.Phase == TaskPhase::Placed; }));
    Status.PlacedTasks += Placed;
    PlacedMilliCores += uint64_t{Placed} * demandOf(Waiting.spec()).MilliCores;
  }
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    Status.OpenRuns += Pool[I].OpenRuns;
    Status.Executors += Pool[I].Listed ? 1 : 0;
    ReservedMilliCores += Pool[I].Reserved.MilliCores;
    if (Pool[I].Listed)
      TotalMilliCores += Pool[I].Info.Capacity.MilliCores;
    Status.Usable += Pool.isUsable(I, Now) ? 1 : 0;
  }
  auto ToCores = [](uint64_t MilliCores) {
    return static_cast<uint32_t>(MilliCores / MilliCoresPerCore);
  };
  Status.TotalCores = ToCores(TotalMilliCores);
  Status.ReservedCores = ToCores(ReservedMilliCores);
  Status.PlacedCores = ToCores(PlacedMilliCores);
  return Status;
}

WaitingStepReport CellOwner::reportOf(const WaitingStepRef &Waiting,
                                      TimePoint Now) const {
  const StepSpec &Spec = Waiting.spec();
  WaitingStepReport Report{.Job = Waiting.Job->Spec.Id,
                           .Step = Waiting.Step,
                           .Tasks = Spec.Count,
                           .Size = Spec.Size,
                           .Gang = Spec.Gang,
                           .Colocate = Spec.Colocate,
                           .Age = std::chrono::duration_cast<Millis>(
                               Now - Waiting.occurrence().BeginsAt),
                           .SlackMs = Waiting.SlackMs};
  const auto *Permissions =
      permissionsOf(Waiting.step(), queueOf(*Waiting.Job));
  TaskCounts TasksByExecutor = countTasksByExecutor(Waiting.step(), Spec);
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (!Pool[I].Listed || !isSuitable(Pool[I], Spec))
      continue;
    ++Report.Suitable;
    if (!isAllowed(Permissions, I))
      continue;
    ++Report.Allowed;
    if (!Pool.isUsable(I, Now))
      continue;
    ++Report.Usable;
    bool HasPlace = Pool.hasCapacityFor(I, demandOf(Spec)) &&
                    placesByAntiAffinity(Spec, TasksByExecutor, I) > 0;
    Report.WithFreeCapacity += HasPlace ? 1 : 0;
  }
  return Report;
}

std::vector<WaitingStepReport>
CellOwner::longestWaitingSteps(size_t MaxCount, Millis MinAge, TimePoint Now) {
  std::vector<WaitingStepRef> Steps = waitingSteps(Now);
  std::erase_if(Steps, [&](const WaitingStepRef &Waiting) {
    return Now < Waiting.occurrence().BeginsAt + MinAge;
  });
  std::sort(Steps.begin(), Steps.end(),
            [](const WaitingStepRef &Left, const WaitingStepRef &Right) {
              return Left.occurrence().BeginsAt < Right.occurrence().BeginsAt;
            });
  if (Steps.size() > MaxCount)
    Steps.resize(MaxCount);
  std::vector<WaitingStepReport> Reports;
  Reports.reserve(Steps.size());
  for (const WaitingStepRef &Waiting : Steps)
    Reports.push_back(reportOf(Waiting, Now));
  return Reports;
}

} // namespace daisylanding::cell
