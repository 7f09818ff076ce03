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

/// Least time before the expiry of a lease from which advice is requested if
/// places are missing, and from which capacity is held and tickets are renewed.
/// Where calls take long, so many of them instead.
constexpr Millis MinAdviceLeadTime{3'000};
constexpr Millis MinHoldTime{2'000};
/// A call about further executors, one after its answer about others, and one
/// that renews the tickets.
constexpr double CallsBeforeLapse = 3;
/// One that renews the tickets, and one for tasks that have lost their places.
constexpr double CallsWhileHeld = 2;
/// About as many executors as one call names.
constexpr size_t UsualExecutorsPerCall = 30;
/// Allows for a call of another step ahead in the queue.
constexpr double TicketLeadFactor = 2;
/// Of a ticket's validity.
constexpr double MaxTicketLeadShare = 0.8;
/// Tickets are also renewed for one place beyond so many prepared ones: other
/// work may take a place before its task is started.
constexpr size_t PlacesPerSpare = 2;

Millis toMillisAtLeast(double Ms, Millis Least) {
  return std::max(Millis(static_cast<int64_t>(Ms)), Least);
}

} // namespace

CellOwner::RestartLeads CellOwner::restartLeads(const Queue *JobQueue) const {
  if (!JobQueue || !JobQueue->Advice)
    return {.Advice = MinAdviceLeadTime, .Hold = MinHoldTime};
  double CallMs = serviceMs(*JobQueue->Advice, UsualExecutorsPerCall);
  // Calls for tickets go before others, and more of them would only delay all.
  double DelayedCallMs = CallDelays.factor(JobQueue->Name) * CallMs;
  return {.Advice = toMillisAtLeast(CallsBeforeLapse * DelayedCallMs,
                                    MinAdviceLeadTime),
          .Hold = toMillisAtLeast(CallsWhileHeld * CallMs, MinHoldTime)};
}

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

uint32_t CellOwner::countTasksToRestart(const LiveJob &Job,
                                        const LiveStep &Step,
                                        const StepSpec &Spec,
                                        TimePoint Now) const {
  if (!Spec.LongRunning || Spec.Gang)
    return 0;
  return countTasksToRestart(Step, Spec, restartLeads(queueOf(Job)).Advice,
                             Now);
}

/// Prepares the restart of the step's tasks whose leases expire soon or whose
/// executors leave. Other tasks get their places if silent executors answer
/// again.
void CellOwner::prepareRestarts(const WaitingStepRef &Waiting,
                                const Queue *JobQueue, TimePoint Now) {
  LiveStep &Step = Waiting.step();
  const StepSpec &Spec = Waiting.spec();
  uint32_t Count = countTasksToRestart(*Waiting.Job, Step, Spec, Now);
  if (Count == 0)
    return;
  RestartLeads Leads = restartLeads(JobQueue);
  bool NeedsAdvice = JobQueue && JobQueue->Advice;
  auto Spares =
      NeedsAdvice
          ? static_cast<uint32_t>((Count + PlacesPerSpare - 1) / PlacesPerSpare)
          : 0;
  size_t FirstHeld = HeldPlaces.size();
  std::vector<ExecutorIndex> Chosen =
      holdPlaces(Waiting, JobQueue, Count + Spares, Now);
  auto PlacesEnd = Chosen.begin() + static_cast<ptrdiff_t>(
                                        std::min<size_t>(Count, Chosen.size()));
  std::vector<ExecutorIndex> &Places = Step.PreparedExecutors;
  Places.assign(Chosen.begin(), PlacesEnd);
  Step.PreparedAt = Now;
  releaseHeldPlaces(FirstHeld + Places.size());
  bool IsShort = Places.size() < Count;
  if (IsShort && NeedsAdvice)
    requestAdvice(Waiting, *JobQueue, Now);
  if (countTasksToRestart(Step, Spec, Leads.Hold, Now) == 0) {
    releaseHeldPlaces(FirstHeld);
    return;
  }
  if (IsShort)
    reserveExecutors(Waiting, Count - Places.size(), Now);
  if (NeedsAdvice)
    prepareTickets(Waiting, *JobQueue, {PlacesEnd, Chosen.end()}, Now);
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

/// Renews the tickets for prepared places if one of them ends before a new one
/// could arrive. One call names them all, and \p Spares, where other work may
/// leave room. While it is open, further ones name only places without any
/// ticket.
void CellOwner::prepareTickets(const WaitingStepRef &Waiting,
                               const Queue &JobQueue,
                               std::span<const ExecutorIndex> Spares,
                               TimePoint Now) {
  LiveStep &Step = Waiting.step();
  const std::vector<ExecutorIndex> &Places = Step.PreparedExecutors;
  double MaxLeadMs = MaxTicketLeadShare *
                     static_cast<double>(JobQueue.Advice->Validity.count());
  double LeadMs = TicketLeadFactor * serviceMs(*JobQueue.Advice, Places.size());
  Millis Lead(static_cast<int64_t>(std::min(LeadMs, MaxLeadMs)));
  if (hasLeavingTask(Step))
    Lead = std::max(Lead, moveTime(*JobQueue.Advice));
  bool IsFirstCall = Step.OpenRenewals == 0;
  TimePoint NeededUntil = IsFirstCall ? Now + Lead : Now;
  std::set<ExecutorIndex> Named(Places.begin(), Places.end());
  auto IsTicketed = [&](ExecutorIndex Index) {
    return hasValidTicket(Step, Index, NeededUntil);
  };
  if (std::all_of(Named.begin(), Named.end(), IsTicketed))
    return;
  if (IsFirstCall)
    Named.insert(Spares.begin(), Spares.end());
  else
    std::erase_if(Named, IsTicketed);
  emitRenewal(Waiting, JobQueue, {Named.begin(), Named.end()}, Now);
}

} // namespace daisylanding::cell
