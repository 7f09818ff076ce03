#include "cell/CellOwner.h"
#include "cell/StartTimes.h"

#include "common/Log.h"

#include <fmt/format.h>

#include <algorithm>

/// Start and stop orders, lease renewals, and the answers to orders.
namespace daisylanding::cell {

using executor::OrderOutcome;

namespace {

/// Between two tries of a start that got no answer or was refused for now.
constexpr Millis OrderRetryDelay{60};
constexpr Millis StopRetryDelay{300};
/// A start is dropped after this many tries without a connection.
constexpr uint32_t MaxStartAttempts = 6;
/// No starts are sent to an executor for this long after it refused one.
constexpr Millis RefusalPause{300};

/// Voids the ticket of a start that was sent at \p SentAt and refused. One that
/// was granted since may be valid.
void voidTicket(LiveStep &Step, ExecutorIndex Index, TimePoint SentAt) {
  auto Found = Step.Permissions.find(Index);
  if (Found != Step.Permissions.end() && Found->second.GrantedAt <= SentAt)
    Found->second.ValidUntil = {};
}

} // namespace

executor::ExecutorTarget CellOwner::targetOf(ExecutorIndex Index) const {
  return {.Address = Pool[Index].Info.Address, .Id = Pool[Index].Info.Id};
}

/// Whether the row in the store tells successors when the leases there have
/// expired, or will with the commit in flight.
bool CellOwner::isListedAsSilent(ExecutorIndex Index) const {
  const std::string &Id = Pool[Index].Info.Id;
  return Row.SilentLeaseEnds.count(Id) ||
         (InFlight && InFlight->Row.SilentLeaseEnds.count(Id));
}

/// Whether renewals have failed there for so long that it is not expected to
/// answer soon.
bool CellOwner::isSilent(ExecutorIndex Index, TimePoint Now) const {
  const ExecutorState &Executor = Pool[Index];
  return Executor.RenewalFailed && Now >= Executor.LastAnswerAt +
                                              Options.Leases.IdleRenewalWait +
                                              Options.Leases.SilenceTimeout;
}

/// Whether a lease granted there now ends as the row in the store states.
bool CellOwner::mayGrantLease(ExecutorIndex Index, TimePoint Now) const {
  bool IsReleased = InFlight && InFlight->Row.Released;
  return Now < LeasesGrantedUntil && !IsReleased && !isListedAsSilent(Index);
}

/// Logs a start that is about to be sent: by what a later owner or a late copy
/// can be told from it, and what is known of the place.
void CellOwner::logStart(const TaskKey &Key, TimePoint Now) const {
  const LiveTask &Task = Key.task();
  const ExecutorState &Executor = Pool[Task.Executor];
  const executor::ExecutorInfo &Info = Executor.Info;
  bool IsFirstTry = Task.StartSentAt < Task.TicketedAt;
  const std::vector<LiveTask> &Tasks = Key.step().Tasks;
  auto RunsThere =
      std::count_if(Tasks.begin(), Tasks.end(), [&](const LiveTask &Other) {
        return Other.Executor == Task.Executor;
      });
  logInfo("start-sent",
          "task={} run={} executor={} born={} epoch={} row_version={} first={} "
          "service={} labels={} wanted_label={} listed={} list_ms_ago={} "
          "step_runs_there={} anti_affinity={} token={} clock_ms={} "
          "clock_read_ms_ago={} lease_end_ms={}",
          Key.name(), Task.Run, Info.Id, Info.Born, Row.Epoch, RowVersion,
          IsFirstTry, Info.Service, fmt::join(Info.Labels, ","),
          Key.spec().Constraint, Executor.Listed,
          toMillis(Now - InstanceListConfirmedAt), RunsThere,
          Key.spec().AntiAffinity, Executor.FencingToken, Executor.ClockMs,
          millisSince(Executor.ClockReadAt, Now), Executor.MaxLeaseEndSent);
}

void CellOwner::emitStart(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  if (!mayGrantLease(Task.Executor, Now))
    return;
  auto LeaseEnd = Pool.extendLease(Task.Executor, Now);
  if (!LeaseEnd)
    return;
  logStart(Key, Now);
  Task.OrderPending = true;
  Task.StartSentAt = Now;
  Pool[Task.Executor].TokenUsed = true;
  ++Counts.Starts;
  StartCommand Command{.Executor = Task.Executor};
  Command.Order = {.Target = targetOf(Task.Executor),
                   .Id = {Key.name(), Task.Run},
                   .Spec = Key.Job->Spec.Payload,
                   .LeaseEndMs = *LeaseEnd,
                   .FencingToken = Pool[Task.Executor].FencingToken,
                   .Checkpoint = Task.Checkpoint};
  auto Found = Key.step().Permissions.find(Task.Executor);
  if (Found != Key.step().Permissions.end())
    Command.Order.Ticket = Found->second.Ticket;
  Commands.Starts.push_back(std::move(Command));
}

void CellOwner::emitStop(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  Task.OrderPending = true;
  Task.NextOrderAt = Now + StopRetryDelay;
  emitStopOf({Key.name(), Task.Run}, Task.Executor);
}

void CellOwner::emitStopOf(const executor::RunId &Id, ExecutorIndex Index) {
  Commands.Stops.push_back(
      {.Executor = Index,
       .Order = {.Target = targetOf(Index),
                 .Id = Id,
                 .FencingToken = Pool[Index].FencingToken}});
}

/// An executor refuses what was sent with a lower token than its newest, which
/// is never carried out; only a refusal of the newest tells of another owner.
void CellOwner::onFenced(ExecutorIndex Index, bool IsOfLowerToken) {
  if (IsOfLowerToken) {
    logInfo("late-order-refused", "executor={} born={} token={}",
            Pool[Index].Info.Id, Pool[Index].Info.Born,
            Pool[Index].FencingToken);
    return;
  }
  logWarn("owner-fenced", "service={} executor={} token={}", Options.Service,
          Pool[Index].Info.Id, Pool[Index].FencingToken);
  Deposed = true;
}

/// Drops recorded starts that no longer fit on executors whose capacity has
/// shrunk. A start that may have been carried out is stopped.
void CellOwner::dropStartsBeyondCapacity(
    std::span<const ExecutorIndex> Unsettled, TimePoint Now) {
  for (ExecutorIndex I : Unsettled) {
    if (!Pool.isOvercommitted(I))
      continue;
    // What is being stopped holds its capacity until it has ended.
    Resources Kept = Pool[I].Reserved;
    std::vector<TaskKey> Runs = OpenRunsByExecutor[I];
    for (const TaskKey &Key : Runs) {
      const LiveTask &Task = Key.task();
      if (Kept.fitsIn(Pool[I].Info.Capacity))
        break;
      if (Task.Phase != TaskPhase::Starting || Task.Executor != I ||
          Task.Inherited || Task.Confirmed || Task.OrderPending)
        continue;
      logInfo("start-beyond-capacity", "task={} run={} executor={}", Key.name(),
              Task.Run, Pool[I].Info.Id);
      Kept -= demandOf(Key.spec());
      dropRefusedStart(Key, Now);
    }
  }
}

/// Drops recorded starts on executors that have announced since that they
/// leave, or that the list names in another service since. A start that may
/// have been carried out is stopped.
void CellOwner::dropStartsOnLeavingExecutors(
    std::span<const ExecutorIndex> Unsettled, TimePoint Now) {
  for (ExecutorIndex I : Unsettled) {
    if (!Pool[I].Info.Draining && !Pool[I].InOtherService)
      continue;
    std::vector<TaskKey> Runs = OpenRunsByExecutor[I];
    for (const TaskKey &Key : Runs) {
      const LiveTask &Task = Key.task();
      if (Task.Phase != TaskPhase::Starting || Task.Executor != I ||
          Task.Inherited || Task.Confirmed || Task.OrderPending)
        continue;
      logInfo("start-on-leaving-executor", "task={} run={} executor={}",
              Key.name(), Task.Run, Pool[I].Info.Id);
      dropRefusedStart(Key, Now);
    }
  }
}

/// Executors with open runs that are recorded, starting or stopping. What runs
/// needs no order.
std::vector<ExecutorIndex> CellOwner::unsettledExecutors() {
  std::vector<ExecutorIndex> Unsettled;
  auto IsUnsettled = [](const TaskKey &Key) {
    return Key.task().Phase != TaskPhase::Running;
  };
  for (ExecutorIndex I = 0; I < OpenRunsByExecutor.size(); ++I) {
    if (!HasUnsettledRuns[I])
      continue;
    const std::vector<TaskKey> &Runs = OpenRunsByExecutor[I];
    HasUnsettledRuns[I] = std::any_of(Runs.begin(), Runs.end(), IsUnsettled);
    if (HasUnsettledRuns[I])
      Unsettled.push_back(I);
  }
  return Unsettled;
}

/// Whether the executor would refuse the start for its ticket.
bool CellOwner::hasTicketExpired(const TaskKey &Key, TimePoint Now) const {
  const auto &Permissions = Key.step().Permissions;
  auto Found = Permissions.find(Key.task().Executor);
  if (Found == Permissions.end() || Now < Found->second.ValidUntil)
    return false;
  const Queue *JobQueue = queueOf(*Key.Job);
  return !JobQueue || JobQueue->Advice;
}

/// Drops a recorded start that was not sent before its ticket expired. The task
/// keeps its place while it gets a new ticket; a gang is placed anew as a
/// whole.
void CellOwner::dropExpiredStart(const TaskKey &Key, TimePoint Now) {
  LiveTask &Task = Key.task();
  ExecutorIndex Index = Task.Executor;
  logInfo("start-ticket-expired", "task={} run={} executor={} ticketed_ms={}",
          Key.name(), Task.Run, Pool[Index].Info.Id,
          startTimesOf(Key.step(), Task, Now).TicketedMs);
  StartDelays.record(Now - Task.TicketedAt);
  if (Key.spec().Gang || !Pool.isUsable(Index, Now)) {
    endRun(Key, executor::EndKind::Stopped, Now);
    return;
  }
  closeRun(Key, TaskPhase::Waiting);
  placeTask(Key, Index, Now);
}

void CellOwner::emitOrders(TimePoint Now) {
  std::vector<ExecutorIndex> Unsettled = unsettledExecutors();
  dropStartsBeyondCapacity(Unsettled, Now);
  dropStartsOnLeavingExecutors(Unsettled, Now);
  std::vector<TaskKey> ExpiredStarts;
  // Other members of a gang are stopped elsewhere.
  for (ExecutorIndex I : unsettledExecutors()) {
    if (Pool[I].Info.Address.empty() || Pool[I].Ended ||
        Pool.isOfOtherService(I))
      continue;
    for (const TaskKey &Key : OpenRunsByExecutor[I]) {
      LiveTask &Task = Key.task();
      if (Task.OrderPending || Now < Task.NextOrderAt)
        continue;
      bool IsToBeStarted = Task.Phase == TaskPhase::Starting && !Task.Inherited;
      // A start without an answer may have been carried out.
      if (IsToBeStarted && !Task.StartUnanswered &&
          hasTicketExpired(Key, Now)) {
        ExpiredStarts.push_back(Key);
        continue;
      }
      // After a renewal without an answer another incarnation may have the
      // start, and by a clock that reads less.
      bool IsStartable = IsToBeStarted && !Pool[I].RenewalFailed &&
                         !Pool[I].OtherClockRead &&
                         !Pool.hasUnknownRuns(I, Now);
      if (IsStartable && mayStart(Now))
        emitStart(Key, Now);
      if (Task.Phase == TaskPhase::Stopping && !Task.StopConfirmed)
        emitStop(Key, Now);
    }
  }
  for (const TaskKey &Key : ExpiredStarts) {
    // One of a gang may have been stopped with the others.
    if (Key.task().Phase == TaskPhase::Starting)
      dropExpiredStart(Key, Now);
  }
}

/// Whether the next row will allow for a lease there. A renewal sent before it
/// would wait at the executor without one.
bool CellOwner::awaitsRowForLease(ExecutorIndex Index, TimePoint Now) const {
  /// So that run ends are still reported while the store doesn't answer.
  constexpr Millis MaxRowWait{700};
  const ExecutorState &Executor = Pool[Index];
  bool IsFirstRowMissing = LeasesGrantedUntil == TimePoint{};
  return Executor.TokenConfirmed && !Executor.RenewalFailed &&
         (IsFirstRowMissing || isListedAsSilent(Index)) &&
         Now < Executor.LastAnswerAt + MaxRowWait;
}

bool CellOwner::isRenewalDue(ExecutorIndex Index, TimePoint Now) const {
  /// An executor with unacknowledged run ends answers a renewal at once, so
  /// renewals are spaced by this while the store does not confirm the ends.
  constexpr Millis UnrecordedEndsDelay{300};
  const ExecutorState &Executor = Pool[Index];
  bool IsNeeded =
      Executor.Listed || Executor.EntryOutdated || Executor.OpenRuns > 0;
  if (!IsNeeded || Executor.Ended || Executor.RenewalPending ||
      Executor.Info.Address.empty() || Now < Executor.NextRenewalAt ||
      Pool.isOfOtherService(Index))
    return false;
  if (!Executor.UnacknowledgedEnds.empty() &&
      Now < Executor.RenewalAnsweredAt + UnrecordedEndsDelay)
    return false;
  return !awaitsRowForLease(Index, Now);
}

/// Whether a run there should have ended by now.
bool CellOwner::hasOverdueRun(ExecutorIndex Index, TimePoint Now) const {
  const std::vector<TaskKey> &Runs = OpenRunsByExecutor[Index];
  return std::any_of(Runs.begin(), Runs.end(), [&](const TaskKey &Key) {
    const LiveTask &Task = Key.task();
    return Task.Phase == TaskPhase::Running &&
           Now >= Task.RunningSince + Key.spec().Estimate;
  });
}

/// Logs the ends that no call has acknowledged before.
void CellOwner::logAcknowledgement(ExecutorIndex Index, uint64_t Number) {
  ExecutorState &Executor = Pool[Index];
  if (Number <= Executor.AcknowledgementSent)
    return;
  logInfo("ends-acknowledged",
          "executor={} born={} first={} last={} newest_end={} epoch={}",
          Executor.Info.Id, Executor.Info.Born,
          Executor.AcknowledgementSent + 1, Number, Executor.LastProcessedEnd,
          Row.Epoch);
  Executor.AcknowledgementSent = Number;
}

void CellOwner::emitRenewal(ExecutorIndex Index, TimePoint Now) {
  ExecutorState &Executor = Pool[Index];
  // Another incarnation may answer, and fence what was sent before.
  if (Executor.InDoubt && Executor.TokenUsed)
    Pool.raiseToken(Index, Now);
  RenewalCommand Command{.Executor = Index};
  Command.Call = {.Target = targetOf(Index),
                  .FencingToken = Executor.FencingToken,
                  .AcknowledgedEnd =
                      Executor.InDoubt ? 0 : Executor.AcknowledgedEnd};
  if (mayGrantLease(Index, Now) && !Executor.InDoubt)
    Command.Call.LeaseEndMs = Pool.extendLease(Index, Now);
  Executor.TokenUsed |=
      Command.Call.LeaseEndMs || Command.Call.AcknowledgedEnd > 0;
  if (Executor.TokenConfirmed && !Executor.InDoubt)
    Command.Call.MaxWait = Executor.OpenRuns > 0
                               ? Options.Leases.BusyRenewalWait
                               : Options.Leases.IdleRenewalWait;
  logAcknowledgement(Index, Command.Call.AcknowledgedEnd);
  Executor.RenewalPending = true;
  Executor.RenewalSentAt = Now;
  Commands.Renewals.push_back(std::move(Command));
}

void CellOwner::emitRenewals(TimePoint Now) {
  std::vector<DueRenewal> Due;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (isRenewalDue(I, Now))
      Due.push_back({.Executor = I,
                     .SentAt = Pool[I].RenewalSentAt,
                     .IsFirst = !Pool[I].TokenConfirmed,
                     .HasRuns = Pool[I].OpenRuns > 0});
  }
  if (Due.size() > MinRenewalLimit) {
    for (DueRenewal &Renewal : Due)
      Renewal.EndsRuns =
          Renewal.HasRuns && hasOverdueRun(Renewal.Executor, Now);
  }
  Micros SinceLastTurn =
      LastRenewalsAt == TimePoint{} ? Micros(0) : Now - LastRenewalsAt;
  LastRenewalsAt = Now;
  Commands.RenewalsLeft =
      keepMostUrgent(Due, Options.Leases, SinceLastTurn, Now);
  for (const DueRenewal &Renewal : Due)
    emitRenewal(Renewal.Executor, Now);
}

void CellOwner::onStart(const executor::RunId &Id, ExecutorIndex Index,
                        const executor::OrderAnswer &Answer, TimePoint Now) {
  if (Answer.Outcome != OrderOutcome::NotSent &&
      Answer.Outcome != OrderOutcome::Unknown &&
      Answer.Outcome != OrderOutcome::Replaced) {
    auto Started = findOpenRun(Id, Index);
    TimePoint SentAt = Started ? Started->task().StartSentAt : TimePoint{};
    recordOrderAnswer(Index, Answer, Now, SentAt);
  }
  if (Answer.Outcome == OrderOutcome::Fenced)
    onFenced(Index, Pool.mayCarryLowerToken(Index, Now));
  if (Answer.Outcome == OrderOutcome::Replaced) {
    // This start came too late to be the cause.
    if (auto Refused = findOpenRun(Id, Index))
      Refused->task().OrderPending = false;
    onIncarnationEnded(Index, Now);
  }
  auto Found = findOpenRun(Id, Index);
  if (!Found)
    return;
  const TaskKey &Key = *Found;
  LiveTask &Task = Key.task();
  Task.OrderPending = false;
  bool IsAnswer = Answer.Outcome != OrderOutcome::NotSent &&
                  Answer.Outcome != OrderOutcome::Unknown;
  if (IsAnswer && Task.StartAttempts == 0 && !Task.StartUnanswered)
    StartDelays.record(Now - Task.TicketedAt);
  if (Answer.Outcome != OrderOutcome::Done) {
    StartTimes Times = startTimesOf(Key.step(), Task, Now);
    logInfo("start-not-confirmed",
            "task={} run={} executor={} outcome={} ticketed_ms={} sent_ms={} "
            "ticket_left_ms={} clock_ms={} lease_end_ms={}",
            Id.Task, Id.Run, Pool[Index].Info.Id,
            executor::outcomeName(Answer.Outcome), Times.TicketedMs,
            Times.SentMs, Times.TicketLeftMs, Answer.ClockMs.value_or(-1),
            Pool[Index].MaxLeaseEndSent);
  }
  switch (Answer.Outcome) {
  case OrderOutcome::Done:
    Task.StartUnanswered = false;
    Task.Confirmed = true;
    noteBegun(*Key.Job);
    Task.ConfirmedAt = Now;
    Task.RunningSince = Now;
    if (Task.Phase == TaskPhase::Starting)
      Task.Phase = TaskPhase::Running;
    break;
  case OrderOutcome::RunTooLow:
    // This run has ended there already; the next renewal answer tells how. A
    // stop that overtook the start says nothing of whether it has begun.
    Task.Confirmed = true;
    if (Task.Phase != TaskPhase::Stopping)
      noteBegun(*Key.Job);
    Task.ConfirmedAt = Now;
    Task.NextOrderAt = TimePoint::max();
    break;
  case OrderOutcome::Fenced:
  case OrderOutcome::LeaseTooLate:
    Task.NextOrderAt = Now + OrderRetryDelay;
    break;
  case OrderOutcome::NoRoom:
    ++Counts.CapacityRefusals;
    Pool[Index].AvoidUntil =
        std::max(Pool[Index].AvoidUntil, Now + RefusalPause);
    dropRefusedStart(Key, Now);
    break;
  case OrderOutcome::TicketInvalid:
    ++Counts.TicketRefusals;
    voidTicket(Key.step(), Index, Task.StartSentAt);
    dropRefusedStart(Key, Now);
    break;
  case OrderOutcome::Rejected:
  case OrderOutcome::Unhealthy:
    Pool.recordFailure(Index, Now);
    Pool[Index].AvoidUntil =
        std::max(Pool[Index].AvoidUntil, Now + RefusalPause);
    dropRefusedStart(Key, Now);
    break;
  case OrderOutcome::NotSent:
    Pool.recordUnanswered(Index, Now);
    Task.NextOrderAt = Now + OrderRetryDelay;
    if (++Task.StartAttempts >= MaxStartAttempts) {
      Pool.recordFailure(Index, Now);
      dropRefusedStart(Key, Now);
    }
    break;
  case OrderOutcome::Unknown:
    Pool.recordUnanswered(Index, Now);
    Pool.recordLateStart(Index, Id, Now);
    Task.StartUnanswered = true;
    Task.NextOrderAt = Now + OrderRetryDelay;
    break;
  case OrderOutcome::Replaced:
    break;
  }
}

void CellOwner::onStop(const executor::RunId &Id, ExecutorIndex Index,
                       const executor::OrderAnswer &Answer, TimePoint Now) {
  if (Answer.Outcome == OrderOutcome::Done)
    recordOrderAnswer(Index, Answer, Now);
  if (Answer.Outcome == OrderOutcome::Fenced)
    onFenced(Index, Pool.mayCarryLowerToken(Index, Now));
  if (Answer.Outcome == OrderOutcome::Replaced)
    onIncarnationEnded(Index, Now);
  auto Key = findOpenRun(Id, Index);
  if (!Key || Key->task().Phase != TaskPhase::Stopping)
    return;
  LiveTask &Task = Key->task();
  Task.OrderPending = false;
  Task.NextOrderAt = Now + StopRetryDelay;
  if (Answer.Outcome != OrderOutcome::Done)
    return;
  Task.StopConfirmed = true;
  Task.StopConfirmedAt = Now;
  // The next renewal answer lists the end of the run; don't wait for the
  // regular one.
  Pool[Index].NextRenewalAt = std::min(Pool[Index].NextRenewalAt, Now);
}

} // namespace daisylanding::cell
