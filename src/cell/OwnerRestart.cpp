#include "cell/CellOwner.h"
#include "cell/LeavingExecutors.h"

#include <algorithm>
#include <set>

/// Restarts of long-running tasks. While the lease of a silent executor runs
/// out, free capacity, permissions and tickets are obtained for its tasks, so
/// that only the commit and the start remain once the lease has expired. The
/// same is obtained for tasks on executors that leave, which are then stopped.
namespace daisylanding::cell {

namespace {

/// Before the expiry of a lease, advice is requested if places are missing:
/// time for three calls to a slow policy service.
constexpr Millis AdviceLeadTime{3'000};
/// Before the expiry of a lease, capacity is held and tickets are renewed.
constexpr Millis HoldTime{2'000};
/// Allows for a call of another step ahead in the queue.
constexpr double TicketLeadFactor = 2;
/// Of a ticket's validity.
constexpr double MaxTicketLeadShare = 0.8;

/// How long before its end a ticket is renewed.
Millis ticketLead(const AdviceSettings &Advice, size_t Executors) {
  double CallMs =
      Advice.BaseMs + Advice.PerExecutorMs * static_cast<double>(Executors);
  double MaxMs =
      MaxTicketLeadShare * static_cast<double>(Advice.Validity.count());
  return Millis(
      static_cast<int64_t>(std::min(TicketLeadFactor * CallMs, MaxMs)));
}

} // namespace

/// Whether the run's executor is silent and its lease expires \p Within this
/// time.
bool CellOwner::isLapsing(const LiveTask &Run, Millis Within,
                          TimePoint Now) const {
  bool IsStartSent = Run.Confirmed || Run.StartUnanswered || Run.Inherited;
  if (!isOpen(Run.Phase) || !IsStartSent)
    return false;
  const ExecutorState &Executor = Pool[Run.Executor];
  bool IsSilent = !Executor.TokenConfirmed || Executor.RenewalFailed;
  return IsSilent && Pool.areLeasesExpired(Run.Executor, Now + Within);
}

uint32_t CellOwner::countTasksToRestart(const LiveStep &Step,
                                        const StepSpec &Spec, Millis Within,
                                        TimePoint Now) const {
  if (!Spec.LongRunning || Spec.Gang)
    return 0;
  return static_cast<uint32_t>(std::count_if(
      Step.Tasks.begin(), Step.Tasks.end(), [&](const LiveTask &Task) {
        return isLapsing(Task, Within, Now) || isLeaving(Task);
      }));
}

uint32_t CellOwner::countTasksToRestart(const LiveStep &Step,
                                        const StepSpec &Spec,
                                        TimePoint Now) const {
  return countTasksToRestart(Step, Spec, AdviceLeadTime, Now);
}

/// Prepares the restart of the step's tasks whose leases expire soon or whose
/// executors leave. Other tasks get their places if silent executors answer
/// again.
void CellOwner::prepareRestarts(const WaitingStepRef &Waiting,
                                const Queue *JobQueue, TimePoint Now) {
  LiveStep &Step = Waiting.step();
  uint32_t Count = countTasksToRestart(Step, Waiting.spec(), Now);
  if (Count == 0)
    return;
  if (Now > Step.PreparedAt + AdviceLeadTime)
    Step.PreparedExecutors.clear();
  size_t FirstHeld = HeldPlaces.size();
  Step.PreparedExecutors = holdPlaces(Waiting, JobQueue, Count, Now);
  Step.PreparedAt = Now;
  bool IsShort = Step.PreparedExecutors.size() < Count;
  bool NeedsAdvice = JobQueue && JobQueue->Advice;
  if (IsShort && NeedsAdvice)
    requestAdvice(Waiting, *JobQueue, Now);
  if (countTasksToRestart(Step, Waiting.spec(), HoldTime, Now) == 0) {
    releaseHeldPlaces(FirstHeld);
    return;
  }
  if (IsShort)
    reserveExecutors(Waiting, Count - Step.PreparedExecutors.size(), Now);
  if (NeedsAdvice)
    prepareTickets(Waiting, *JobQueue, Step.PreparedExecutors, Now);
  stopLeavingRuns(Waiting, JobQueue, Count, Now);
}

/// Keeps capacity for \p Count tasks from less urgent steps until the end of
/// the planning turn. Returns the executors, one for each task that fits.
std::vector<ExecutorIndex> CellOwner::holdPlaces(const WaitingStepRef &Waiting,
                                                 const Queue *JobQueue,
                                                 uint32_t Count,
                                                 TimePoint Now) {
  TaskCounts TasksByExecutor;
  PlacementRequest Request =
      placementRequestFor(Waiting, JobQueue, TasksByExecutor);
  Resources Demand = demandOf(Waiting.spec());
  std::vector<ExecutorIndex> Places;
  while (Places.size() < Count) {
    auto Best = chooseExecutor(Pool, Loads, Request, Now);
    if (!Best)
      break;
    Pool.reserve(*Best, Demand);
    HeldPlaces.emplace_back(*Best, Demand);
    ++TasksByExecutor[*Best];
    Places.push_back(*Best);
  }
  return Places;
}

/// Releases the held places from number \p First on.
void CellOwner::releaseHeldPlaces(size_t First) {
  for (size_t I = First; I < HeldPlaces.size(); ++I)
    Pool.release(HeldPlaces[I].first, HeldPlaces[I].second);
  HeldPlaces.resize(First);
}

/// Renews the tickets for held places if one of them ends before a new one
/// could arrive. One call names them all: until its answer no other is sent.
void CellOwner::prepareTickets(const WaitingStepRef &Waiting,
                               const Queue &JobQueue,
                               std::span<const ExecutorIndex> Places,
                               TimePoint Now) {
  const LiveStep &Step = Waiting.step();
  Millis Lead = ticketLead(*JobQueue.Advice, Places.size());
  if (hasLeavingTask(Step))
    Lead = std::max(Lead, moveTime(*JobQueue.Advice));
  TimePoint NeededUntil = Now + Lead;
  bool AreValid =
      std::all_of(Places.begin(), Places.end(), [&](ExecutorIndex Index) {
        return hasValidTicket(Step, Index, NeededUntil);
      });
  if (AreValid)
    return;
  std::set<ExecutorIndex> Distinct(Places.begin(), Places.end());
  std::vector<ExecutorIndex> Named(Distinct.begin(), Distinct.end());
  if (Named.size() > executor::MaxExecutorsPerAdviceCall)
    Named.resize(executor::MaxExecutorsPerAdviceCall);
  emitRenewal(Waiting, JobQueue, std::move(Named), Now);
}

} // namespace daisylanding::cell
