#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <set>

/// Tasks whose executors crash: counts the crashes and gives tasks up.
namespace daisylanding::cell {

namespace {

/// The members of a gang start together, as one.
std::string startedWith(const TaskKey &Key) {
  if (!Key.spec().Gang)
    return Key.name();
  return stepName({.Job = Key.Job->Spec.Id,
                   .Occurrence = Key.Position.Occurrence,
                   .Step = Key.Position.Step});
}

} // namespace

/// Whether a crash of its executor counts for the open run.
bool CellOwner::mayHaveCrashed(const LiveTask &Run) const {
  // What an earlier owner has sent isn't known.
  if (Run.Confirmed || Run.Inherited)
    return true;
  if (!Run.OrderPending && !Run.StartUnanswered)
    return false;
  UnconfirmedStart Start{.SentAt = Run.StartSentAt,
                         .LastAnswerAt = Pool[Run.Executor].LastAnswerAt,
                         .IsRefused = Run.StopConfirmed};
  return Start.mayHaveCrashed();
}

/// The run as it stands when its executor is lost.
LostRun CellOwner::lostRun(const TaskKey &Key) const {
  const LiveTask &Task = Key.task();
  LostRun Run{.Id = {Key.name(), Task.Run}, .IsConfirmed = Task.Confirmed};
  if (Task.Confirmed)
    Run.KnownRunTime =
        std::max(Micros(0),
                 Micros(Pool[Task.Executor].LastAnswerAt - Task.RunningSince));
  return Run;
}

/// The open runs on the executor that it may have begun.
std::vector<LostRun> CellOwner::lostRunsOn(ExecutorIndex Index) const {
  std::vector<LostRun> Runs;
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    if (mayHaveCrashed(Key.task()))
      Runs.push_back(lostRun(Key));
  }
  return Runs;
}

/// Counts the crash of an executor for the tasks of the runs lost with it.
void CellOwner::countCrash(ExecutorIndex Index, std::span<const LostRun> Runs,
                           TimePoint Now) {
  // It was about to end, whatever ran there.
  if (Pool[Index].Info.Draining)
    return;
  std::set<std::string> YoungSuspects;
  for (const LostRun &Run : Runs) {
    auto Key = findTask(Run.Id);
    if (Key && Run.isYoung() && Key->task().Crashes > 0)
      YoungSuspects.insert(startedWith(*Key));
  }
  for (const LostRun &Run : Runs)
    countCrashOf(Run, Index, static_cast<uint32_t>(YoungSuspects.size()), Now);
}

void CellOwner::countCrashOf(const LostRun &Run, ExecutorIndex Index,
                             uint32_t YoungSuspects, TimePoint Now) {
  auto Key = findTask(Run.Id);
  if (!Key || isFinal(Key->Job->Phase) || Key->task().Phase == TaskPhase::Done)
    return;
  LiveTask &Task = Key->task();
  if (Run.isProven()) {
    Task.Crashes = 0;
    Task.UnconfirmedCrashes = 0;
  } else {
    ++Task.Crashes;
    Task.UnconfirmedCrashes += Run.IsConfirmed ? 0 : 1;
  }
  markChanged(*Key->Job);
  uint32_t Allowed = maxCrashes({.IsYoung = Run.IsConfirmed && Run.isYoung(),
                                 .YoungSuspects = YoungSuspects,
                                 .Unconfirmed = Task.UnconfirmedCrashes,
                                 .IsLate = Run.HasLapsed});
  logInfo("run-crashed",
          "task={} run={} executor={} confirmed={} ran_ms={} lapsed={} "
          "suspects={} crashes={} allowed={}",
          Run.Id.Task, Run.Id.Run, Pool[Index].Info.Id, Run.IsConfirmed,
          toMillis(Run.KnownRunTime), Run.HasLapsed, YoungSuspects,
          Task.Crashes, Allowed);
  if (Task.Crashes >= Allowed && !isDoneEarlier(*Key))
    giveUpCrashingTask(*Key, Now);
}

void CellOwner::giveUpCrashingTask(const TaskKey &Key, TimePoint Now) {
  if (isFinal(Key.Job->Phase))
    return;
  ++Counts.JobsFailed;
  logInfo("job-given-up", "job={} task={} runs={} crashes={}", Key.Job->Spec.Id,
          Key.name(), Key.task().Run, Key.task().Crashes);
  setFinalPhase(*Key.Job, JobPhase::Failed);
  stopAllRuns(*Key.Job, Now);
}

/// Runs that lapsed on an executor whose address has gone to \p Index since
/// were lost in a crash.
void CellOwner::countLateCrashes(ExecutorIndex Index, TimePoint Now) {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    ExecutorState &Earlier = Pool[I];
    if (I == Index || Earlier.LapsedRuns.empty() ||
        Earlier.Info.Address != Pool[Index].Info.Address)
      continue;
    std::vector<LostRun> Runs = std::move(Earlier.LapsedRuns);
    Earlier.LapsedRuns.clear();
    countCrash(I, Runs, Now);
  }
}

/// To be called when the task is placed.
void CellOwner::markSuspect(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  if (Task.Crashes == 0 || Task.IsSuspect)
    return;
  Task.IsSuspect = true;
  ++Pool[Task.Executor].Suspects;
}

/// To be called before the task leaves its executor.
void CellOwner::clearSuspect(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  if (!Task.IsSuspect)
    return;
  Task.IsSuspect = false;
  --Pool[Task.Executor].Suspects;
}

void CellOwner::clearProvenSuspects(ExecutorIndex Index) {
  if (Pool[Index].Suspects == 0)
    return;
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    if (!lostRun(Key).isYoung())
      clearSuspect(Key);
  }
}

/// Whether the task has waited long enough for an executor without suspects.
bool CellOwner::mayJoinSuspects(const TaskKey &Key, TimePoint Now) {
  return Key.spec().LongRunning ||
         Now >= Key.task().LastRunEndedAt + MaxSeparationWait;
}

} // namespace daisylanding::cell
