#include "cell/CellOwner.h"
#include "cell/LeavingExecutors.h"

#include "common/Log.h"

#include <algorithm>

/// Long-running tasks on executors that have announced that they leave. Each is
/// stopped once its next place is prepared, and starts there when its executor
/// has listed the end: waiting until the executor has left would cost a lease.
namespace daisylanding::cell {

/// Whether the run is to be moved off an executor that leaves, or is being
/// moved. What runs on a silent one is lost with its lease instead.
bool CellOwner::isLeaving(const LiveTask &Run) const {
  if (!isOpen(Run.Phase))
    return false;
  const ExecutorState &Executor = Pool[Run.Executor];
  if (!Executor.Info.Draining || Executor.Ended)
    return false;
  bool IsSilent = !Executor.TokenConfirmed || Executor.RenewalFailed;
  bool IsAtWork = Run.Phase == TaskPhase::Running && Run.Confirmed &&
                  !Run.Inherited && !IsSilent;
  return IsAtWork || Run.Phase == TaskPhase::Stopping;
}

bool CellOwner::hasLeavingTask(const LiveStep &Step) const {
  return std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [&](const LiveTask &Task) { return isLeaving(Task); });
}

/// Stops runs on executors that leave, no more than there are prepared places
/// beyond those for tasks without a run. \p ToRestart counts all tasks for
/// which places are prepared.
void CellOwner::stopLeavingRuns(const WaitingStepRef &Waiting,
                                const Queue *JobQueue, uint32_t ToRestart,
                                TimePoint Now) {
  LiveStep &Step = Waiting.step();
  auto IsAtWork = [&](const LiveTask &Task) {
    return Task.Phase != TaskPhase::Stopping && isLeaving(Task);
  };
  bool NeedsTickets = JobQueue && JobQueue->Advice;
  auto IsReady = [&](ExecutorIndex Index) {
    return !NeedsTickets ||
           hasValidTicket(Step, Index, Now + moveTime(*JobQueue->Advice));
  };
  auto Ready = std::count_if(Step.PreparedExecutors.begin(),
                             Step.PreparedExecutors.end(), IsReady);
  auto Awaited = static_cast<ptrdiff_t>(ToRestart) -
                 std::count_if(Step.Tasks.begin(), Step.Tasks.end(), IsAtWork);
  for (uint32_t I = 0; I < Step.Tasks.size() && Awaited < Ready; ++I) {
    const LiveTask &Task = Step.Tasks[I];
    if (!IsAtWork(Task))
      continue;
    TaskKey Key = Waiting.task(I);
    logInfo("run-evacuated",
            "task={} run={} executor={} why=executor-draining places={} "
            "awaited={}",
            Key.name(), Task.Run, Pool[Task.Executor].Info.Id, Ready, Awaited);
    ++Awaited;
    beginStop(Key, Now);
  }
}

} // namespace daisylanding::cell
