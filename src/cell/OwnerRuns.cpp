#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <array>

/// The runs of tasks: from their place to their known end.
namespace daisylanding::cell {

using executor::EndKind;
using executor::OrderOutcome;

namespace {

std::string_view endName(EndKind How) {
  constexpr std::array<std::string_view, 6> Names = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return Names[static_cast<size_t>(How)];
}

bool isListed(const executor::RenewalAnswer &Answer,
              const executor::RunId &What) {
  return std::any_of(Answer.Running.begin(), Answer.Running.end(),
                     [&](const executor::RunStatus &Each) {
                       return Each.Id.Run == What.Run &&
                              Each.Id.Task == What.Task;
                     });
}

} // namespace

void CellOwner::place(const TaskKey &Key, ExecutorIndex On) {
  LiveTask &Task = Key.task();
  Task.Phase = TaskPhase::Placed;
  Task.On = On;
  Task.Charged = true;
  Pool.take(On, chargeOf(Key.spec()));
}

void CellOwner::unplace(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  if (Task.Charged)
    Pool.give(Task.On, chargeOf(Key.spec()));
  Task.Charged = false;
  Task.Phase = TaskPhase::Waiting;
  Task.On = NoExecutor;
}

void CellOwner::openRun(const TaskKey &Key) {
  growWithPool();
  LiveTask &Task = Key.task();
  OpenOn[Task.On].push_back(Key);
  ++Pool[Task.On].OpenRuns;
  ++Key.Job->OpenRuns;
}

/// Decides on a run that is then written; `Run` is set by the caller.
void CellOwner::record(const TaskKey &Key) {
  LiveTask &Task = Key.task();
  Task.Phase = TaskPhase::Recording;
  Task.OrderOut = false;
  Task.Unanswered = false;
  Task.Confirmed = false;
  Task.Inherited = false;
  Task.StopConfirmed = false;
  Task.Tries = 0;
  Task.Percent = 0;
  Task.Usage = 0;
  Task.Pace = 100;
  Task.SpeedSeen = false;
  Task.NextTry = {};
  if (Key.Job->Phase == JobPhase::Queued)
    Key.Job->Phase = JobPhase::Running;
  openRun(Key);
  changed(*Key.Job);
}

void CellOwner::closeRun(const TaskKey &Key, TaskPhase Next) {
  LiveTask &Task = Key.task();
  std::erase(OpenOn[Task.On], Key);
  --Pool[Task.On].OpenRuns;
  --Key.Job->OpenRuns;
  if (Task.Charged)
    Pool.give(Task.On, chargeOf(Key.spec()));
  Task.Charged = false;
  Task.Phase = Next;
  Task.On = NoExecutor;
  changed(*Key.Job);
}

/// Gives a start up that the executor refused. If an earlier try of it may
/// still be carried out, the run must be stopped first.
void CellOwner::abandon(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  if (Task.Unanswered) {
    beginStop(Key, Now);
    return;
  }
  endRun(Key, EndKind::Stopped, Now);
}

void CellOwner::beginStop(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  switch (Task.Phase) {
  case TaskPhase::Placed:
    unplace(Key);
    break;
  case TaskPhase::Recording:
    // Nobody was told of it yet.
    closeRun(Key, TaskPhase::Waiting);
    break;
  case TaskPhase::Starting:
  case TaskPhase::Running:
    Task.Phase = TaskPhase::Stopping;
    Task.StopConfirmed = false;
    Task.NextTry = Now;
    break;
  default:
    break;
  }
}

void CellOwner::countFailure(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  ++Task.Failures;
  ++Counts.EndsFailed;
  if (Key.spec().LongRunning || isFinal(Key.Job->Phase))
    return;
  const Queue *From = Config->queue(Key.Job->Spec.Queue);
  uint32_t Allowed = From ? From->MaxAttempts : 1;
  if (Task.Failures < Allowed)
    return;
  ++Counts.JobsFailed;
  logInfo("job-failed", "job={} task={} failures={} allowed={}",
          Key.Job->Spec.Id, Key.name(), Task.Failures, Allowed);
  finish(*Key.Job, JobPhase::Failed);
  stopAll(*Key.Job, Now);
}

/// A member's end decides for the whole gang: `done` for all, anything else
/// ends the run of all.
void CellOwner::onGangEnd(const TaskKey &Key, EndKind How, TimePoint Now) {
  LiveStep &Step = Key.step();
  uint32_t Run = Key.task().Run;
  if (How == EndKind::Failed && Step.GangFailedRun < Run) {
    Step.GangFailedRun = Run;
    TaskKey First = Key;
    First.At.Index = 0;
    countFailure(First, Now);
  }
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    TaskKey Other = Key;
    Other.At.Index = I;
    LiveTask &Member = Step.Tasks[I];
    if (I == Key.At.Index)
      continue;
    if (How != EndKind::Done) {
      beginStop(Other, Now);
      continue;
    }
    if (!isOpen(Member.Phase)) {
      Member.Phase = TaskPhase::Done;
      continue;
    }
    // Its room is given back when its executor no longer lists it.
    Pool[Member.On].Lingering.push_back(
        {{Other.name(), Member.Run}, chargeOf(Other.spec())});
    Member.Charged = false;
    closeRun(Other, TaskPhase::Done);
  }
}

void CellOwner::endRun(const TaskKey &Key, EndKind How, TimePoint Now) {
  const StepSpec &Spec = Key.spec();
  ExecutorIndex On = Key.task().On;
  if (How == EndKind::Done) {
    ++Counts.EndsDone;
    learnEnd(Key, Now);
    Pool.succeeded(On);
  } else if (How == EndKind::Failed) {
    Pool.failed(On, Now);
  } else {
    ++Counts.EndsOther;
  }
  bool Over = How == EndKind::Done && !Spec.LongRunning;
  closeRun(Key, Over ? TaskPhase::Done : TaskPhase::Waiting);
  if (Spec.Gang)
    onGangEnd(Key, How, Now);
  else if (How == EndKind::Failed)
    countFailure(Key, Now);
  if (Over)
    checkEnd(*Key.Job, Key.At.Occurrence, Now);
}

void CellOwner::onEnd(ExecutorIndex Index, const executor::RunEnd &End,
                      TimePoint Now) {
  Executor &Each = Pool[Index];
  if (End.Sequence <= Each.SeenEnd)
    return;
  Each.SeenEnd = End.Sequence;
  ListedEnd Listed{.Number = End.Sequence};
  if (auto Key = findOpen(End.Id, Index)) {
    LiveTask &Task = Key->task();
    if (!End.Checkpoint.empty())
      Task.Checkpoint = End.Checkpoint;
    logInfo("run-ended", "task={} run={} executor={} how={} after_ms={}",
            End.Id.Task, End.Id.Run, Each.Info.Id, endName(End.Kind),
            Task.Confirmed ? toMillis(Now - Task.RunningSince) : -1);
    Key->Job->Begun = true;
    endRun(*Key, End.Kind, Now);
    Listed.JobId = Key->Job->Spec.Id;
    Listed.RecordMark = Key->Job->Changed;
  }
  Pool[Index].Ends.push_back(std::move(Listed));
}

void CellOwner::onRunning(ExecutorIndex Index, const executor::RunStatus &Each,
                          TimePoint Now) {
  auto Key = findOpen(Each.Id, Index);
  if (!Key) {
    Out.Stops.push_back({.On = Index,
                         .Order = {.Target = targetOf(Index),
                                   .Id = Each.Id,
                                   .FencingToken = Row.Epoch}});
    return;
  }
  LiveTask &Task = Key->task();
  Task.Percent = Each.Percent;
  Task.Usage = Each.Usage;
  if (!Task.Confirmed) {
    Task.Confirmed = true;
    Task.ConfirmedAt = Now;
    Task.RunningSince = Now;
    Key->Job->Begun = true;
  }
  Task.Inherited = false;
  if (Task.Phase == TaskPhase::Starting)
    Task.Phase = TaskPhase::Running;
  if (Each.Checkpoint.empty())
    return;
  if (!Key->spec().Gang) {
    Task.Checkpoint = Each.Checkpoint;
    return;
  }
  // All members of a gang must resume from the same point.
  for (LiveTask &Member : Key->step().Tasks)
    Member.Checkpoint = Each.Checkpoint;
}

/// Closes runs that the executor no longer has, by a list that was asked for
/// after it had confirmed them or their stop.
void CellOwner::settleAbsent(ExecutorIndex Index,
                             const executor::RenewalAnswer &Answer,
                             TimePoint HoldSent, TimePoint Now) {
  std::vector<TaskKey> Gone;
  for (const TaskKey &Key : OpenOn[Index]) {
    LiveTask &Task = Key.task();
    bool Confirmed = Task.Confirmed && Task.ConfirmedAt < HoldSent;
    bool Stopped = Task.Phase == TaskPhase::Stopping && Task.StopConfirmed &&
                   Task.StopConfirmedAt < HoldSent;
    // Orders of earlier owners are fenced off by this hold.
    if (!Confirmed && !Stopped && !Task.Inherited)
      continue;
    if (!isListed(Answer, {Key.name(), Task.Run}))
      Gone.push_back(Key);
  }
  for (const TaskKey &Key : Gone) {
    if (!isOpen(Key.task().Phase) || Key.task().On != Index)
      continue; // Ended along with another of its gang.
    logInfo("run-absent", "task={} run={} executor={}", Key.name(),
            Key.task().Run, Pool[Index].Info.Id);
    endRun(Key, EndKind::Expired, Now);
  }
}

void CellOwner::releaseLingering(ExecutorIndex Index,
                                 const executor::RenewalAnswer &Answer) {
  auto &Lingering = Pool[Index].Lingering;
  std::erase_if(Lingering, [&](const LingeringRun &Each) {
    bool Listed = isListed(Answer, Each.What);
    if (!Listed)
      Pool.give(Index, Each.Size);
    return !Listed;
  });
}

void CellOwner::onHold(ExecutorIndex Index,
                       const executor::RenewalAnswer &Answer, TimePoint Now) {
  Executor &Each = Pool[Index];
  Each.HoldOpen = false;
  Each.NextHold = Now + Options.Contact.HoldGap;
  if (Answer.Outcome == OrderOutcome::Fenced) {
    Deposed = true;
    return;
  }
  if (Answer.Outcome == OrderOutcome::Replaced) {
    onLifeOver(Index, Now);
    return;
  }
  if (Answer.Outcome != OrderOutcome::Done) {
    constexpr Millis HoldRetry{150};
    if (Answer.Outcome == OrderOutcome::NotSent ||
        Answer.Outcome == OrderOutcome::Unknown)
      Pool.unanswered(Index, Now);
    Each.NextHold = Now + HoldRetry;
    return;
  }
  Pool.heard(Index, Answer.ClockMs, Now);
  if (!Each.Greeted) {
    Each.Greeted = true;
    Each.InheritedEnd = {};
    // Leases given by earlier owners reach no further than this.
    Micros Left = std::max(Micros(0), Options.InheritedLeaseEnd - Now);
    Each.LeaseBound = Each.ClockMs + toMillis(Left);
    logInfo("executor-greeted", "executor={} running={} ended={}", Each.Info.Id,
            Answer.Running.size(), Answer.Ended.size());
  }
  TimePoint HoldSent = Each.HoldSent;
  for (const executor::RunEnd &End : Answer.Ended)
    onEnd(Index, End, Now);
  for (const executor::RunStatus &Running : Answer.Running)
    onRunning(Index, Running, Now);
  if (Answer.Ended.size() < executor::MaxRunEndsPerAnswer)
    settleAbsent(Index, Answer, HoldSent, Now);
  releaseLingering(Index, Answer);
  restartStragglers(Index, Now);
  controlPace(Index, Now);
}

/// Fillers run on what is left, so their run times tell nothing.
void CellOwner::learnEnd(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  const StepSpec &Spec = Key.spec();
  if (!Task.Confirmed || Task.Run > 1 || Spec.LongRunning || Spec.Filler)
    return;
  Task.Took = Millis(toMillis(Now - Task.RunningSince));
  if (!Task.SpeedSeen)
    Speeds.saw(Task.On, Key.Job->Spec.Queue, Spec.Estimate, Task.Took, Now);
}

/// Whether the run would be over sooner if it began anew elsewhere.
bool CellOwner::isStraggler(const TaskKey &Key, TimePoint Now) {
  constexpr uint32_t MaxRestarts = 2;
  constexpr double SlowFactor = 2;    ///< Of an executor, against others.
  constexpr double SuspectFactor = 2; ///< Of a run, against its expectation.
  constexpr double GainFactor = 1.5;
  constexpr int64_t RestartMs = 300; ///< A stop, advice, a write and a start.
  LiveTask &Task = Key.task();
  const StepSpec &Spec = Key.spec();
  bool Eligible = Task.Phase == TaskPhase::Running && Task.Confirmed &&
                  !Task.Inherited && !Spec.Gang && !Spec.LongRunning &&
                  !Spec.Filler && Task.Run <= MaxRestarts;
  if (!Eligible)
    return false;
  double Elapsed = static_cast<double>(toMillis(Now - Task.RunningSince));
  auto Expected = static_cast<double>(
      Speeds.expected(Key.Job->Spec.Queue, Spec.Estimate).count());
  if (Elapsed < SuspectFactor * Expected)
    return false;
  double Percent = std::max(1.0, static_cast<double>(Task.Percent));
  double Total = Elapsed * 100 / Percent;
  if (!Task.SpeedSeen && Task.Run == 1) {
    Task.SpeedSeen = true;
    Speeds.saw(Task.On, Key.Job->Spec.Queue, Spec.Estimate,
               Millis(static_cast<int64_t>(Total)), Now);
  }
  double Elsewhere = Expected;
  bool Known = false;
  for (const LiveTask &Other : Key.step().Tasks) {
    double Took = static_cast<double>(Other.Took.count());
    if (Other.Phase == TaskPhase::Running && Other.On != Task.On &&
        Other.Percent > 0)
      Took = static_cast<double>(toMillis(Now - Other.RunningSince)) * 100 /
             Other.Percent;
    if (Took <= 0)
      continue;
    Elsewhere = Known ? std::min(Elsewhere, Took) : Took;
    Known = true;
  }
  if (!Known && Speeds.slowness(Task.On, Now) < SlowFactor)
    return false;
  double Left = Total - Elapsed;
  return Left > GainFactor * Elsewhere + RestartMs;
}

void CellOwner::restartStragglers(ExecutorIndex Index, TimePoint Now) {
  for (const TaskKey &Key : OpenOn[Index]) {
    if (isFinal(Key.Job->Phase) || !isStraggler(Key, Now))
      continue;
    ++Counts.Stragglers;
    logInfo("straggler",
            "task={} run={} executor={} percent={} slowness={:.1f}", Key.name(),
            Key.task().Run, Pool[Index].Info.Id, Key.task().Percent,
            Speeds.slowness(Index, Now));
    beginStop(Key, Now);
  }
}

void CellOwner::onLifeOver(ExecutorIndex Index, TimePoint Now) {
  Executor &Each = Pool[Index];
  if (!Each.Over)
    logInfo("executor-over", "executor={} open_runs={}", Each.Info.Id,
            Each.OpenRuns);
  Each.Over = true;
  for (const LingeringRun &Run : Each.Lingering)
    Pool.give(Index, Run.Size);
  Each.Lingering.clear();
  Each.Ends.clear();
  std::vector<TaskKey> Lost = OpenOn[Index];
  for (const TaskKey &Key : Lost) {
    if (isOpen(Key.task().Phase) && Key.task().On == Index)
      endRun(Key, EndKind::Expired, Now);
  }
}

void CellOwner::lapseRuns(TimePoint Now) {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].OpenRuns == 0 || !Pool.lapsed(I, Now))
      continue;
    std::vector<TaskKey> Lost = OpenOn[I];
    for (const TaskKey &Key : Lost) {
      // What was not told to the executor has no lease that could end.
      if (!isOpen(Key.task().Phase) || Key.task().On != I ||
          Key.task().Phase == TaskPhase::Recording)
        continue;
      ++Counts.Lapses;
      logInfo("run-lapsed", "task={} run={} executor={} heard_ms_ago={}",
              Key.name(), Key.task().Run, Pool[I].Info.Id,
              toMillis(Now - Pool[I].Heard));
      endRun(Key, EndKind::Expired, Now);
    }
  }
}

} // namespace daisylanding::cell
