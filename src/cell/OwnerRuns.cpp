#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <utility>

/// Runs of tasks, from placement to their confirmed end.
namespace daisylanding::cell {

using executor::EndKind;
using executor::OrderOutcome;

namespace {

int64_t millisSinceAnswer(const ExecutorState &Executor, TimePoint Now) {
  return millisSince(Executor.LastAnswerAt, Now);
}

} // namespace

/// Counts the capacity of a placed or open run on its executor, and for its
/// workspace.
void CellOwner::reserveCapacity(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  Task.CapacityReserved = true;
  Pool.reserve(Task.Executor, demandOf(Key.spec()));
  Caps.reserve(Key.Job->Spec.Workspace, Key.spec().Size);
}

void CellOwner::releaseCapacity(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  if (!std::exchange(Task.CapacityReserved, false))
    return;
  Pool.release(Task.Executor, demandOf(Key.spec()));
  Caps.release(Key.Job->Spec.Workspace, Key.spec().Size);
}

void CellOwner::placeTask(const TaskKey &Key, ExecutorIndex Index,
                          TimePoint Now) {
  LiveTask &Task = Key.task();
  Task.Phase = TaskPhase::Placed;
  Task.PlacedAt = Now;
  Task.Executor = Index;
  reserveCapacity(Key);
  markSuspect(Key);
}

void CellOwner::unplaceTask(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  clearSuspect(Key);
  releaseCapacity(Key);
  Task.Phase = TaskPhase::Waiting;
  Task.Executor = NoExecutor;
}

void CellOwner::openRun(const TaskKey &Key) {
  resizeExecutorTables();
  LiveTask &Task = Key.task();
  OpenRunsByExecutor[Task.Executor].push_back(Key);
  HasUnsettledRuns[Task.Executor] = true;
  addLoad(Key);
  ++Pool[Task.Executor].OpenRuns;
  ++Key.Job->OpenRuns;
}

/// Opens a run whose record the next commit stores. The caller has set `Run`.
void CellOwner::recordRun(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  Task.Phase = TaskPhase::Recording;
  Task.TicketedAt = Now;
  Task.OrderPending = false;
  Task.StartUnanswered = false;
  Task.Confirmed = false;
  Task.ListedRunning = false;
  Task.Inherited = false;
  Task.LostBefore.reset();
  Task.StopConfirmed = false;
  Task.StartAttempts = 0;
  Task.Percent = 0;
  Task.Usage = 0;
  Task.PacePercent = 100;
  Task.PaceRepeatAt = TimePoint::max();
  Task.SpeedRecorded = false;
  Task.NextOrderAt = {};
  if (Key.Job->Phase == JobPhase::Queued)
    Key.Job->Phase = JobPhase::Running;
  openRun(Key);
  markChanged(*Key.Job);
}

void CellOwner::closeRun(const TaskKey &Key, TaskPhase NextPhase) {
  LiveTask &Task = Key.task();
  clearSuspect(Key);
  std::erase(OpenRunsByExecutor[Task.Executor], Key);
  removeLoad(Key);
  --Pool[Task.Executor].OpenRuns;
  --Key.Job->OpenRuns;
  releaseCapacity(Key);
  Task.Phase = NextPhase;
  Task.Executor = NoExecutor;
  // A successor can't tell otherwise that no task is known to have begun.
  if (QueuesJobsAgain && isPending(*Key.Job) && Key.Job->OpenRuns == 0)
    Key.Job->Phase = JobPhase::Queued;
  markChanged(*Key.Job);
}

/// A task of the job has begun.
void CellOwner::noteBegun(LiveJob &Job) {
  Job.Started = true;
  if (Job.Phase != JobPhase::Queued)
    return;
  Job.Phase = JobPhase::Running;
  markChanged(Job);
}

/// Drops a start that the executor refused. If an earlier try may still be
/// carried out, the run must be stopped first.
void CellOwner::dropRefusedStart(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  if (Task.StartUnanswered) {
    beginStop(Key, Now);
    return;
  }
  endRun(Key, EndKind::Stopped, Now);
}

void CellOwner::beginStop(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  switch (Task.Phase) {
  case TaskPhase::Placed:
    unplaceTask(Key);
    break;
  case TaskPhase::Recording:
  case TaskPhase::Starting:
  case TaskPhase::Running:
    if (!mayHaveBegun(Task)) {
      closeRun(Key, TaskPhase::Waiting);
      break;
    }
    Task.Phase = TaskPhase::Stopping;
    HasUnsettledRuns[Task.Executor] = true;
    Task.StopConfirmed = false;
    Task.NextOrderAt = Now;
    break;
  default:
    break;
  }
}

/// Counts a failed run as an attempt of the task, or of its gang, for which the
/// first member stands. Returns whether it had not been counted before.
bool CellOwner::countFailure(const TaskKey &Key, uint32_t Run, TimePoint Now) {
  TaskKey Counted = Key;
  if (Key.spec().Gang)
    Counted.Position.Index = 0;
  LiveTask &Task = Counted.task();
  bool MayBeStored = Run <= Key.task().LastRunBeforeLoad;
  if (!Key.spec().LongRunning && !Task.KnownFailures.add(Run, MayBeStored))
    return false;
  ++Task.Failures;
  ++Counts.EndsFailed;
  failIfOutOfAttempts(Counted, Now);
  return true;
}

/// Applies the end of a member to the whole gang: after `Done` all members are
/// done; after any other end the runs of all members are stopped.
void CellOwner::onGangMemberEnd(const TaskKey &Key, EndKind Kind,
                                TimePoint Now) {
  LiveStep &Step = Key.step();
  if (Kind == EndKind::Failed && !isDoneEarlier(Key))
    countFailure(Key, Key.task().Run, Now);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskKey OtherMember = Key;
    OtherMember.Position.Index = I;
    if (I == Key.Position.Index)
      continue;
    if (Kind == EndKind::Done)
      takeForDone(OtherMember);
    else
      beginStop(OtherMember, Now);
  }
}

void CellOwner::endRun(const TaskKey &Key, EndKind Kind, TimePoint Now) {
  const StepSpec &Spec = Key.spec();
  ExecutorIndex Index = Key.task().Executor;
  if (Kind == EndKind::Done) {
    ++Counts.EndsDone;
    learnRunTime(Key, Now);
    Pool.recordSuccess(Index);
  } else if (Kind == EndKind::Failed) {
    Pool.recordFailure(Index, Now);
  } else {
    ++Counts.EndsOther;
  }
  bool IsDone = !Spec.LongRunning && Kind == EndKind::Done;
  closeRun(Key, IsDone ? TaskPhase::Done : TaskPhase::Waiting);
  Key.task().LastRunEndedAt = Now;
  if (Spec.Gang)
    onGangMemberEnd(Key, Kind, Now);
  else if (Kind == EndKind::Failed && !isDoneEarlier(Key))
    countFailure(Key, Key.task().Run, Now);
  if (IsDone)
    completeIfDone(*Key.Job, Key.Position.Occurrence, Now);
}

/// The next run resumes from the checkpoint, if there is one; all members of a
/// gang from the same.
void CellOwner::keepCheckpoint(const TaskKey &Key,
                               const std::string &Checkpoint) {
  if (Checkpoint.empty())
    return;
  if (!Key.spec().Gang) {
    Key.task().Checkpoint = Checkpoint;
    return;
  }
  for (LiveTask &Member : Key.step().Tasks)
    Member.Checkpoint = Checkpoint;
}

void CellOwner::onRunEnd(ExecutorIndex Index, const executor::RunEnd &End,
                         TimePoint Now) {
  ExecutorState &Executor = Pool[Index];
  if (End.Sequence <= Executor.LastProcessedEnd)
    return;
  Executor.LastProcessedEnd = End.Sequence;
  auto Key = findOpenRun(End.Id, Index);
  if (!Key) {
    ListedEnd Late = onLateEnd(Index, End, Now);
    Pool[Index].UnacknowledgedEnds.push_back(std::move(Late));
    return;
  }
  LiveTask &Task = Key->task();
  keepCheckpoint(*Key, End.Checkpoint);
  // An end that comes with an answer given at once may be as old as the time
  // without a renewal at the executor.
  logInfo("run-ended",
          "task={} run={} executor={} how={} number={} after_ms={} "
          "unheard_ms={} renewal_ms={}",
          End.Id.Task, End.Id.Run, Executor.Info.Id,
          executor::endName(End.Kind), End.Sequence,
          Task.Confirmed ? toMillis(Now - Task.RunningSince) : -1,
          toMillis(Executor.RenewalSentAt - Executor.RenewalAnsweredAt),
          toMillis(Now - Executor.RenewalSentAt));
  noteBegun(*Key->Job);
  endRun(*Key, End.Kind, Now);
  Pool[Index].UnacknowledgedEnds.push_back({.Number = End.Sequence,
                                            .JobId = Key->Job->Spec.Id,
                                            .JobRevision = Key->Job->Revision});
}

/// Stops a listed run that is not open here. Unless it ends with its gang, it
/// was carried out late, and nobody has counted it.
void CellOwner::stopUnknownRun(ExecutorIndex Index, const executor::RunId &Id,
                               TimePoint Now) {
  emitStopOf(Id, Index);
  ExecutorState &Executor = Pool[Index];
  bool IsLingering =
      std::any_of(Executor.LingeringRuns.begin(), Executor.LingeringRuns.end(),
                  [&](const LingeringRun &Run) { return Run.Id == Id; });
  if (IsLingering || Executor.UnknownRunsSince)
    return;
  Executor.UnknownRunsSince = Now;
  logInfo("run-unknown", "task={} run={} executor={} born={} token={}", Id.Task,
          Id.Run, Executor.Info.Id, Executor.Info.Born, Executor.FencingToken);
}

/// Whether the answer lists no run but those that the owner has.
bool CellOwner::areRunsKnown(ExecutorIndex Index,
                             const executor::RenewalAnswer &Answer) {
  return std::all_of(Answer.Running.begin(), Answer.Running.end(),
                     [&](const executor::RunStatus &Running) {
                       return findOpenRun(Running.Id, Index).has_value();
                     });
}

void CellOwner::onRunningTask(ExecutorIndex Index,
                              const executor::RunStatus &Running,
                              TimePoint Now) {
  auto Key = findOpenRun(Running.Id, Index);
  if (!Key) {
    stopUnknownRun(Index, Running.Id, Now);
    return;
  }
  LiveTask &Task = Key->task();
  Task.Percent = Running.Percent;
  Task.Usage = Running.Usage;
  Task.ListedRunning = true;
  Task.LostBefore.reset();
  if (!Task.Confirmed) {
    Task.Confirmed = true;
    Task.ConfirmedAt = Now;
    Task.RunningSince = Now;
    noteBegun(*Key->Job);
  }
  Task.Inherited = false;
  if (Task.Phase == TaskPhase::Starting)
    Task.Phase = TaskPhase::Running;
  keepCheckpoint(*Key, Running.Checkpoint);
}

/// Logs what tells a run that its executor never had, or has lost, from one
/// whose end was acknowledged unheard.
void CellOwner::logAbsence(const TaskKey &Key) const {
  const LiveTask &Task = Key.task();
  const ExecutorState &Executor = Pool[Task.Executor];
  logInfo("run-absent",
          "task={} run={} executor={} born={} confirmed={} stopped={} "
          "inherited={} acknowledged={} newest_end={} epoch={}",
          Key.name(), Task.Run, Executor.Info.Id, Executor.Info.Born,
          Task.Confirmed, Task.StopConfirmed, Task.Inherited,
          Executor.AcknowledgementSent, Executor.LastProcessedEnd, Row.Epoch);
}

/// Ends runs that are missing from a renewal answer, if the executor had
/// confirmed the run or its stop before the renewal was sent.
void CellOwner::endAbsentRuns(ExecutorIndex Index,
                              const executor::RenewalAnswer &Answer,
                              TimePoint RenewalSentAt, TimePoint Now) {
  std::vector<TaskKey> AbsentRuns;
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    LiveTask &Task = Key.task();
    bool Confirmed = Task.Confirmed && Task.ConfirmedAt < RenewalSentAt;
    bool Stopped = Task.Phase == TaskPhase::Stopping && Task.StopConfirmed &&
                   Task.StopConfirmedAt < RenewalSentAt;
    // What was sent with lower tokens is fenced by this renewal.
    if (!Confirmed && !Stopped && !Task.Inherited)
      continue;
    if (!Answer.lists({Key.name(), Task.Run}))
      AbsentRuns.push_back(Key);
  }
  for (const TaskKey &Key : AbsentRuns) {
    if (!isOpen(Key.task().Phase) || Key.task().Executor != Index)
      continue; // Ended with another member of its gang.
    logAbsence(Key);
    auto LostBefore = std::exchange(Key.task().LostBefore, std::nullopt);
    endRun(Key, EndKind::Expired, Now);
    if (LostBefore)
      countCrash(Index, {&*LostBefore, 1}, Now);
  }
}

void CellOwner::releaseLingeringRun(ExecutorIndex Index,
                                    const LingeringRun &Run) {
  Pool.release(Index, Run.Size);
  Caps.release(Run.Workspace, Run.WorkspaceUse);
}

void CellOwner::releaseLingeringRuns(ExecutorIndex Index,
                                     const executor::RenewalAnswer &Answer) {
  auto &Runs = Pool[Index].LingeringRuns;
  std::erase_if(Runs, [&](const LingeringRun &Run) {
    bool IsListed = Answer.lists(Run.Id);
    if (!IsListed)
      releaseLingeringRun(Index, Run);
    return !IsListed;
  });
}

void CellOwner::onRenewal(ExecutorIndex Index,
                          const executor::RenewalAnswer &Answer,
                          TimePoint Now) {
  ExecutorState &Executor = Pool[Index];
  Executor.RenewalPending = false;
  Executor.NextRenewalAt = Now + Options.Leases.MinRenewalInterval;
  if (Answer.Outcome == OrderOutcome::Fenced) {
    onFenced(Index, !Pool.isNewest(Index));
    return;
  }
  if (Answer.Outcome == OrderOutcome::Replaced) {
    onIncarnationEnded(Index, Now);
    return;
  }
  if (Answer.Outcome != OrderOutcome::Done) {
    constexpr Millis RenewalRetryDelay{150};
    Executor.RenewalMissed = true;
    Executor.RenewalMissedAt = Now;
    if (Answer.Outcome == OrderOutcome::NotSent ||
        Answer.Outcome == OrderOutcome::Unknown) {
      Executor.RenewalFailed = true;
      Pool.recordUnanswered(Index, Now);
    }
    Executor.NextRenewalAt = Now + RenewalRetryDelay;
    return;
  }
  if (isFromSameLife(Index, Answer, Now))
    onRenewalDone(Index, Answer, Now);
}

void CellOwner::onRenewalDone(ExecutorIndex Index,
                              const executor::RenewalAnswer &Answer,
                              TimePoint Now) {
  if (!Pool[Index].TokenConfirmed)
    greet(Index, Answer, Now);
  Pool.recordOwnAnswer(Index, Answer.ClockMs, Now, Pool[Index].RenewalSentAt);
  ExecutorState &Executor = Pool[Index];
  TimePoint RenewalSentAt = Executor.RenewalSentAt;
  Executor.InDoubt &= RenewalSentAt <= Executor.DoubtedAt;
  Executor.OtherClockRead &= Executor.InDoubt;
  Executor.LapsedRuns.clear(); // It was cut off, not lost.
  Executor.RenewalFailed = false;
  Executor.RenewalMissed = false;
  RowOutdated |= isListedAsSilent(Index);
  for (const executor::RunEnd &End : Answer.Ended)
    onRunEnd(Index, End, Now);
  if (Executor.UnknownRunsSince && areRunsKnown(Index, Answer))
    Executor.UnknownRunsSince.reset();
  for (const executor::RunStatus &Running : Answer.Running)
    onRunningTask(Index, Running, Now);
  if (Answer.Ended.size() < executor::MaxRunEndsPerAnswer)
    endAbsentRuns(Index, Answer, RenewalSentAt, Now);
  Pool[Index].RenewalAnsweredAt = Now;
  releaseLingeringRuns(Index, Answer);
  clearProvenSuspects(Index);
  restartStragglers(Index, Now);
  adjustPace(Index, Now);
}

/// Run times of best-effort tasks depend on the capacity left over, so they are
/// not recorded.
void CellOwner::learnRunTime(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  const StepSpec &Spec = Key.spec();
  if (!Task.Confirmed || Task.Run > 1 || Spec.LongRunning || Spec.BestEffort)
    return;
  Task.RunTime = Millis(toMillis(Now - Task.RunningSince));
  if (!Task.SpeedRecorded)
    recordRunTime(Key, Task.RunTime, Now);
}

/// As it would be at a near place.
void CellOwner::recordRunTime(const TaskKey &Key, Millis RunTime,
                              TimePoint Now) {
  double NearMs = static_cast<double>(RunTime.count()) / spreadOf(Key);
  Times.record({.Executor = Key.task().Executor,
                .Work = runTimeClassOf(Key),
                .Declared = Key.spec().Estimate,
                .Taken = Millis(static_cast<int64_t>(NearMs))},
               Now);
}

/// Whether the run is expected to end sooner if it is restarted on another
/// executor.
bool CellOwner::isStraggler(const TaskKey &Key, TimePoint Now) {
  constexpr uint32_t MaxRestarts = 2;
  /// Of the executor, relative to others.
  constexpr double SlowExecutorFactor = 2;
  /// Of the run, relative to its expected time.
  constexpr double OverdueFactor = 2;
  constexpr double MinGainFactor = 1.5;
  /// Stop, advice call, commit and start.
  constexpr int64_t RestartCostMs = 300;
  LiveTask &Task = Key.task();
  const StepSpec &Spec = Key.spec();
  bool IsEligible = Task.Phase == TaskPhase::Running && Task.Confirmed &&
                    !Task.Inherited && !Spec.Gang && !Spec.LongRunning &&
                    !Spec.BestEffort && Task.Run <= MaxRestarts;
  if (!IsEligible)
    return false;
  double ElapsedMs = static_cast<double>(toMillis(Now - Task.RunningSince));
  Millis Expected =
      Times.speeds().expectedRunTime(Key.Job->Spec.Queue, Spec.Estimate);
  double ExpectedMs = spreadOf(Key) * static_cast<double>(Expected.count());
  if (ElapsedMs < OverdueFactor * ExpectedMs)
    return false;
  double Percent = std::max(1.0, static_cast<double>(Task.Percent));
  double PredictedMs = ElapsedMs * 100 / Percent;
  if (!Task.SpeedRecorded && Task.Run == 1) {
    Task.SpeedRecorded = true;
    recordRunTime(Key, Millis(static_cast<int64_t>(PredictedMs)), Now);
  }
  double ElsewhereMs = ExpectedMs;
  bool HasComparison = false;
  for (const LiveTask &Other : Key.step().Tasks) {
    double RunTimeMs = static_cast<double>(Other.RunTime.count());
    if (Other.Phase == TaskPhase::Running && Other.Executor != Task.Executor &&
        Other.Percent > 0)
      RunTimeMs = static_cast<double>(toMillis(Now - Other.RunningSince)) *
                  100 / Other.Percent;
    if (RunTimeMs <= 0)
      continue;
    ElsewhereMs = HasComparison ? std::min(ElsewhereMs, RunTimeMs) : RunTimeMs;
    HasComparison = true;
  }
  if (!HasComparison &&
      Times.speeds().slowness(Task.Executor, Now) < SlowExecutorFactor)
    return false;
  double LeftMs = PredictedMs - ElapsedMs;
  return LeftMs > MinGainFactor * ElsewhereMs + RestartCostMs;
}

void CellOwner::restartStragglers(ExecutorIndex Index, TimePoint Now) {
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    if (isFinal(Key.Job->Phase) || !isStraggler(Key, Now))
      continue;
    ++Counts.Stragglers;
    logInfo("straggler",
            "task={} run={} executor={} percent={} slowness={:.1f}", Key.name(),
            Key.task().Run, Pool[Index].Info.Id, Key.task().Percent,
            Times.speeds().slowness(Index, Now));
    beginStop(Key, Now);
  }
}

/// Drops recorded starts on executors that are silent and get none. Nothing was
/// sent for them, so that their tasks can start elsewhere.
void CellOwner::dropUnsentStarts(TimePoint Now) {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].OpenRuns == 0 || !HasUnsettledRuns[I] ||
        !(isListedAsSilent(I) || isSilent(I, Now)))
      continue;
    std::vector<TaskKey> Runs = OpenRunsByExecutor[I];
    for (const TaskKey &Key : Runs) {
      const LiveTask &Task = Key.task();
      if (Task.Phase != TaskPhase::Starting || Task.Executor != I ||
          mayHaveBegun(Task))
        continue;
      logInfo("start-not-sent", "task={} run={} executor={} heard_ms_ago={}",
              Key.name(), Task.Run, Pool[I].Info.Id,
              millisSinceAnswer(Pool[I], Now));
      endRun(Key, EndKind::Stopped, Now);
    }
  }
}

/// Logs why no later lease was granted to the run's executor.
void CellOwner::logLapse(const TaskKey &Key, TimePoint Now) const {
  ExecutorIndex Index = Key.task().Executor;
  const ExecutorState &Executor = Pool[Index];
  logInfo("run-lapsed",
          "task={} run={} executor={} heard_ms_ago={} leases_of={} "
          "clock_ms={} lease_end_ms={} lease_sent_ms_ago={} "
          "renewal_sent_ms_ago={} renewal_pending={} renewal_failed={} "
          "unacknowledged_ends={} row_allows_lease={}",
          Key.name(), Key.task().Run, Executor.Info.Id,
          millisSinceAnswer(Executor, Now),
          Pool.isInheritedWaitLonger(Index) ? "earlier-owners" : "this-owner",
          Executor.ClockMs, Executor.MaxLeaseEndSent,
          millisSince(Executor.LeaseExtendedAt, Now),
          millisSince(Executor.RenewalSentAt, Now), Executor.RenewalPending,
          Executor.RenewalFailed, Executor.UnacknowledgedEnds.size(),
          mayGrantLease(Index, Now));
}

/// Whether the executor was asked of late and did not answer, or is not to be
/// asked. One that nobody has asked in time may have ends to tell of.
bool CellOwner::isAskedInVain(ExecutorIndex Index, TimePoint Now) const {
  /// Renewals to a silent executor fail more often than this.
  constexpr Millis MaxMissAge{2'000};
  const ExecutorState &Executor = Pool[Index];
  bool IsMissed =
      Executor.RenewalMissed && Now <= Executor.RenewalMissedAt + MaxMissAge;
  return Executor.Ended || IsMissed || Executor.Info.Address.empty() ||
         Pool.isOfOtherService(Index);
}

void CellOwner::expireRuns(TimePoint Now) {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].OpenRuns == 0 || !Pool.areLeasesExpired(I, Now))
      continue;
    if (!isAskedInVain(I, Now)) {
      Pool[I].NextRenewalAt = std::min(Pool[I].NextRenewalAt, Now);
      continue;
    }
    std::vector<TaskKey> LostRuns = OpenRunsByExecutor[I];
    for (const TaskKey &Key : LostRuns) {
      if (!isOpen(Key.task().Phase) || Key.task().Executor != I ||
          !mayHaveBegun(Key.task()))
        continue;
      ++Counts.ExpiredRuns;
      logLapse(Key, Now);
      bool MayHaveCrashed = mayHaveCrashed(Key.task());
      if (MayHaveCrashed) {
        Pool[I].LapsedRuns.push_back(lostRun(Key));
        Pool[I].LapsedRuns.back().HasLapsed = true;
      }
      endRun(Key, EndKind::Expired, Now);
      // Whether this executor has crashed may show only after the next start.
      if (MayHaveCrashed && Key.task().Crashes + 1 >= MaxCrashesOfAnyCause &&
          !isDoneEarlier(Key))
        giveUpCrashingTask(Key, Now);
    }
  }
}

} // namespace daisylanding::cell
