#include "cell/CellOwner.h"

#include <algorithm>

/// The pace of best-effort tasks beside tasks that serve users.
namespace daisylanding::cell {

/// The pace of best-effort tasks on the executor: lowered at once when the
/// users' tail latency nears its target, and raised in steps when it is far
/// below.
CellOwner::PaceState &CellOwner::updatePace(ExecutorIndex Index,
                                            TimePoint Now) {
  /// Tail latency as a share of its target.
  constexpr double SlowDownRatio = 0.8;
  constexpr double SpeedUpRatio = 0.55;
  constexpr uint32_t MinPercent = 10;
  constexpr uint32_t PercentStep = 15;
  constexpr Millis MinSlowDownInterval{250};
  constexpr Millis MinSpeedUpInterval{700};
  double WorstRatio = 0;
  bool ServesUsers = false;
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    const StepSpec &Spec = Key.spec();
    const LiveTask &Task = Key.task();
    if (Spec.TailLatencyTarget.count() <= 0 || Task.Phase != TaskPhase::Running)
      continue;
    ServesUsers = true;
    WorstRatio = std::max(
        WorstRatio,
        Task.Usage / static_cast<double>(Spec.TailLatencyTarget.count()));
  }
  PaceState &Pace = PaceByExecutor[Index];
  if (!ServesUsers) {
    Pace.Percent = 100;
  } else if (WorstRatio > SlowDownRatio &&
             Now >= Pace.ChangedAt + MinSlowDownInterval) {
    uint32_t HalvedPercent = Pace.Percent / 2;
    Pace.Percent = HalvedPercent < MinPercent ? 0 : HalvedPercent;
    Pace.ChangedAt = Now;
  } else if (WorstRatio < SpeedUpRatio && Pace.Percent < 100 &&
             Now >= Pace.ChangedAt + MinSpeedUpInterval) {
    Pace.Percent = std::min(100U, Pace.Percent + PercentStep);
    Pace.ChangedAt = Now;
  }
  return Pace;
}

/// Orders the pace of best-effort tasks that have another one, an unknown one,
/// or one that a late copy of an order may have changed.
void CellOwner::adjustPace(ExecutorIndex Index, TimePoint Now) {
  const PaceState &Pace = updatePace(Index, Now);
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    LiveTask &Task = Key.task();
    bool IsRepeatDue = Now > Task.PaceRepeatAt;
    bool NeedsOrder = Key.spec().BestEffort &&
                      Task.Phase == TaskPhase::Running &&
                      (Task.PacePercent != Pace.Percent || IsRepeatDue);
    if (!NeedsOrder)
      continue;
    if (IsRepeatDue)
      Task.PaceRepeatAt = TimePoint::max();
    Task.PacePercent = Pace.Percent;
    Pool[Index].TokenUsed = true;
    Commands.PaceChanges.push_back(
        {.Executor = Index,
         .Order = {.Target = targetOf(Index),
                   .Id = {Key.name(), Task.Run},
                   .Percent = Pace.Percent,
                   .FencingToken = Pool[Index].FencingToken}});
  }
}

void CellOwner::onPace(const executor::RunId &Id, ExecutorIndex Index,
                       const executor::OrderAnswer &Answer, TimePoint Now) {
  using executor::OrderOutcome;
  if (Answer.Outcome == OrderOutcome::Done) {
    recordOrderAnswer(Index, Answer, Now);
    return;
  }
  auto Key = findTask(Id);
  if (!Key || Key->task().Run != Id.Run)
    return;
  LiveTask &Task = Key->task();
  Task.PacePercent = UnknownPace;
  if (Answer.Outcome == OrderOutcome::Unknown)
    Task.PaceRepeatAt = Now + MaxOrderDelay;
}

} // namespace daisylanding::cell
