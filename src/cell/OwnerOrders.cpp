#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>

/// What executors are told, and what they answer to it.
namespace daisylanding::cell {

using executor::OrderOutcome;

namespace {

/// Between two tries of an order that got no answer or was refused for now.
constexpr Millis OrderRetry{60};
constexpr Millis StopRetry{300};
/// A start that can't be sent so often in a row is given up.
constexpr uint32_t MaxStartTries = 6;
/// How long an executor that refused a start is left alone.
constexpr Millis RefusalPause{300};

} // namespace

executor::ExecutorTarget CellOwner::targetOf(ExecutorIndex Index) const {
  return {.Address = Pool[Index].Info.Address, .Id = Pool[Index].Info.Id};
}

void CellOwner::emitStart(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  auto LeaseEnd = Pool.leaseEnd(Task.On, Now);
  if (!LeaseEnd)
    return;
  Task.OrderOut = true;
  ++Counts.Starts;
  StartCommand Command{.On = Task.On};
  Command.Order = {.Target = targetOf(Task.On),
                   .Id = {Key.name(), Task.Run},
                   .Spec = Key.Job->Spec.Spec,
                   .LeaseEndMs = *LeaseEnd,
                   .FencingToken = Row.Epoch,
                   .Checkpoint = Task.Checkpoint};
  auto Permitted = Key.step().Permissions.find(Task.On);
  if (Permitted != Key.step().Permissions.end())
    Command.Order.Ticket = Permitted->second.Ticket;
  Out.Starts.push_back(std::move(Command));
}

void CellOwner::emitStop(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  Task.OrderOut = true;
  Task.NextTry = Now + StopRetry;
  Out.Stops.push_back({.On = Task.On,
                       .Order = {.Target = targetOf(Task.On),
                                 .Id = {Key.name(), Task.Run},
                                 .FencingToken = Row.Epoch}});
}

void CellOwner::emitOrders(TimePoint Now) {
  for (ExecutorIndex I = 0; I < OpenOn.size(); ++I) {
    if (Pool[I].Info.Address.empty() || Pool[I].Over)
      continue;
    for (const TaskKey &Key : OpenOn[I]) {
      LiveTask &Task = Key.task();
      if (Task.OrderOut || Now < Task.NextTry)
        continue;
      bool Startable = Task.Phase == TaskPhase::Starting && !Task.Inherited;
      if (Startable && mayStart(Now))
        emitStart(Key, Now);
      if (Task.Phase == TaskPhase::Stopping && !Task.StopConfirmed)
        emitStop(Key, Now);
    }
  }
}

void CellOwner::emitHolds(TimePoint Now) {
  /// While ends can't be recorded, an executor would answer each hold at once.
  constexpr Millis UnrecordedGap{300};
  bool Renewing = Now < LastConfirmed + Options.Contact.OwnershipHorizon;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    Executor &Each = Pool[I];
    bool Wanted = Each.Listed || Each.OpenRuns > 0;
    if (!Wanted || Each.Over || Each.HoldOpen || Each.Info.Address.empty() ||
        Now < Each.NextHold)
      continue;
    if (!Each.Ends.empty() && Now < Each.Heard + UnrecordedGap)
      continue;
    HoldCommand Command{.Index = I};
    Command.Call = {.Target = targetOf(I),
                    .FencingToken = Row.Epoch,
                    .AcknowledgedEnd = Each.AcknowledgedEnd};
    if (Renewing)
      Command.Call.LeaseEndMs = Pool.leaseEnd(I, Now);
    if (Each.Greeted)
      Command.Call.MaxWait = Each.OpenRuns > 0 ? Options.Contact.BusyHoldWait
                                               : Options.Contact.IdleHoldWait;
    Each.HoldOpen = true;
    Each.HoldSent = Now;
    Out.Holds.push_back(std::move(Command));
  }
}

void CellOwner::onStart(const executor::RunId &What, ExecutorIndex On,
                        const executor::OrderAnswer &Answer, TimePoint Now) {
  if (Answer.Outcome != OrderOutcome::NotSent &&
      Answer.Outcome != OrderOutcome::Unknown &&
      Answer.Outcome != OrderOutcome::Replaced)
    Pool.heard(On, Answer.ClockMs, Now);
  if (Answer.Outcome == OrderOutcome::Fenced)
    Deposed = true;
  if (Answer.Outcome == OrderOutcome::Replaced)
    onLifeOver(On, Now);
  auto Found = findOpen(What, On);
  if (!Found)
    return;
  const TaskKey &Key = *Found;
  LiveTask &Task = Key.task();
  Task.OrderOut = false;
  if (Answer.Outcome != OrderOutcome::Done)
    logInfo("start-not-confirmed", "task={} run={} executor={} outcome={}",
            What.Task, What.Run, Pool[On].Info.Id,
            executor::outcomeName(Answer.Outcome));
  switch (Answer.Outcome) {
  case OrderOutcome::Done:
    Task.Unanswered = false;
    Task.Confirmed = true;
    Key.Job->Begun = true;
    Task.ConfirmedAt = Now;
    Task.RunningSince = Now;
    if (Task.Phase == TaskPhase::Starting)
      Task.Phase = TaskPhase::Running;
    break;
  case OrderOutcome::RunTooLow:
    // It ended there already; the next list of the executor tells how.
    Task.Confirmed = true;
    Key.Job->Begun = true;
    Task.ConfirmedAt = Now;
    Task.NextTry = TimePoint::max();
    break;
  case OrderOutcome::LeaseTooLate:
    Task.NextTry = Now + OrderRetry;
    break;
  case OrderOutcome::NoRoom:
    ++Counts.RoomRefusals;
    Pool[On].AvoidUntil = std::max(Pool[On].AvoidUntil, Now + RefusalPause);
    abandon(Key, Now);
    break;
  case OrderOutcome::TicketInvalid: {
    ++Counts.TicketRefusals;
    Key.step().Permissions[On].ValidUntil = {};
    abandon(Key, Now);
    break;
  }
  case OrderOutcome::Rejected:
  case OrderOutcome::Unhealthy:
    Pool.failed(On, Now);
    Pool[On].AvoidUntil = std::max(Pool[On].AvoidUntil, Now + RefusalPause);
    abandon(Key, Now);
    break;
  case OrderOutcome::NotSent:
    Pool.unanswered(On, Now);
    Task.NextTry = Now + OrderRetry;
    if (++Task.Tries >= MaxStartTries) {
      Pool.failed(On, Now);
      abandon(Key, Now);
    }
    break;
  case OrderOutcome::Unknown:
    Pool.unanswered(On, Now);
    Task.Unanswered = true;
    Task.NextTry = Now + OrderRetry;
    break;
  case OrderOutcome::Fenced:
  case OrderOutcome::Replaced:
    break;
  }
}

void CellOwner::onStop(const executor::RunId &What, ExecutorIndex On,
                       const executor::OrderAnswer &Answer, TimePoint Now) {
  if (Answer.Outcome == OrderOutcome::Done)
    Pool.heard(On, Answer.ClockMs, Now);
  if (Answer.Outcome == OrderOutcome::Fenced)
    Deposed = true;
  if (Answer.Outcome == OrderOutcome::Replaced)
    onLifeOver(On, Now);
  auto Key = findOpen(What, On);
  if (!Key || Key->task().Phase != TaskPhase::Stopping)
    return;
  LiveTask &Task = Key->task();
  Task.OrderOut = false;
  Task.NextTry = Now + StopRetry;
  if (Answer.Outcome != OrderOutcome::Done)
    return;
  Task.StopConfirmed = true;
  Task.StopConfirmedAt = Now;
  // The stop's end shows in the next list; don't wait out a long hold.
  Pool[On].NextHold = std::min(Pool[On].NextHold, Now);
}

} // namespace daisylanding::cell
