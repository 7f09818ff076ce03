#include "cell/CellOwner.h"

#include "cell/UsefulTime.h"

#include <algorithm>
#include <limits>

/// Planning: orders the waiting steps by slack, late jobs last and those of
/// workspaces that send or use too much after others, and places their tasks.
namespace daisylanding::cell {

namespace {

/// Share of the remaining work by which estimates may be too long.
constexpr double EstimateTolerance = 0.25;
/// Late jobs have less value left than jobs that can be in time, so they rank
/// as if they had this much more slack.
constexpr double LatePenaltyMs = 1'500;
/// Share of executors that may be reserved for waiting steps.
constexpr double MaxReservedShare = 0.5;

bool hasPendingTasks(const LiveStep &Step) {
  return std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const LiveTask &Task) {
                       return Task.Phase == TaskPhase::Waiting ||
                              Task.Phase == TaskPhase::Placed;
                     });
}

bool allWaiting(const LiveStep &Step) {
  return std::all_of(
      Step.Tasks.begin(), Step.Tasks.end(),
      [](const LiveTask &Task) { return Task.Phase == TaskPhase::Waiting; });
}

/// Whether others may have to give way to the step.
bool keepsRoom(const StepSpec &Spec) { return !Spec.Gang && !Spec.LongRunning; }

/// Whether the step may find a place on an executor that no call has named.
bool hasUnaskedExecutor(const ExecutorPool &Pool, const LiveStep &Step,
                        const StepSpec &Spec) {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].Listed && isSuitable(Pool[I], Spec) &&
        !Step.Permissions.contains(I))
      return true;
  }
  return false;
}

/// Expected run time of the longest chain of dependent steps that begins with
/// \p First.
Millis remainingCriticalPath(const SpeedTracker &Speeds, const JobSpec &Job,
                             uint32_t First) {
  std::vector<Millis> StepEnds(Job.Steps.size(), Millis(0));
  Millis Longest{0};
  for (uint32_t I = First; I < Job.Steps.size(); ++I) {
    Millis Begin{0};
    bool IsReachable = I == First;
    for (uint32_t Dependency : Job.Steps[I].Dependencies) {
      if (Dependency < First || StepEnds[Dependency].count() == 0)
        continue;
      Begin = std::max(Begin, StepEnds[Dependency]);
      IsReachable = true;
    }
    if (!IsReachable)
      continue;
    Millis RunTime = Speeds.expectedRunTime(Job.Queue, Job.Steps[I].Estimate);
    StepEnds[I] = Begin + std::max(RunTime, Millis(1));
    Longest = std::max(Longest, StepEnds[I]);
  }
  return Longest;
}

/// Time in ms that the step can wait before its job loses value. A job that can
/// still be in time loses most of its value at its due time; a late one loses
/// the rest at a multiple of its allowed time. Jobs without remaining value
/// rank last, so that they don't displace others. Long-running tasks that have
/// run before are due at once.
double slackOf(const SpeedTracker &Speeds, const LiveJob &Job,
               const LiveOccurrence &Occurrence, uint32_t Step, TimePoint Now) {
  auto LeftMs = static_cast<double>(toMillis(Occurrence.DueAt - Now));
  auto WorkMs = static_cast<double>(
      remainingCriticalPath(Speeds, Job.Spec, Step).count());
  auto AllowanceMs =
      static_cast<double>(toMillis(Occurrence.DueAt - Occurrence.BeginsAt));
  double SlackMs = LeftMs - WorkMs;
  if (Job.Spec.Steps[Step].LongRunning)
    return hasRun(Occurrence.Steps[Step]) ? std::min(SlackMs, 0.0) : SlackMs;
  bool CanBeInTime = SlackMs >= -EstimateTolerance * WorkMs;
  if (CanBeInTime)
    return SlackMs;
  double LateSlackMs = SlackMs + (WorthlessAllowanceFactor - 1) * AllowanceMs;
  if (LateSlackMs >= 0)
    return LateSlackMs + LatePenaltyMs;
  return WorthlessSlackMs - LateSlackMs;
}

bool hasLongRunningStep(const JobSpec &Job) {
  return std::any_of(Job.Steps.begin(), Job.Steps.end(),
                     [](const StepSpec &Step) { return Step.LongRunning; });
}

/// The most urgent steps first.
template <typename StepRefs> void sortBySlack(StepRefs &Steps) {
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.SlackMs < Right.SlackMs;
                   });
}

bool hasTaskIn(const LiveStep &Step, TaskPhase Phase) {
  return std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [&](const LiveTask &Task) { return Task.Phase == Phase; });
}

} // namespace

/// Slack of the job's change that can wait least: a start that is to be
/// recorded, or the final phase, for which its caller waits. None if there are
/// only ends to record.
std::optional<double> CellOwner::slackOfChanges(const LiveJob &Job,
                                                TimePoint Now) const {
  std::optional<double> Least;
  auto Consider = [&](double SlackMs) {
    Least = std::min(SlackMs, Least.value_or(SlackMs));
  };
  if (isFinal(Job.Phase))
    Consider(0);
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    for (uint32_t I = 0; I < Occurrence.Steps.size(); ++I) {
      if (hasTaskIn(Occurrence.Steps[I], TaskPhase::Recording))
        Consider(slackMs(Job, Occurrence, I, Now));
    }
  }
  return Least;
}

double CellOwner::slackMs(const LiveJob &Job, const LiveOccurrence &Occurrence,
                          uint32_t Step, TimePoint Now) const {
  return slackOf(Times.speeds(), Job, Occurrence, Step, Now);
}

/// Adds the job's steps that are ready and wanted.
void CellOwner::addSteps(
    LiveJob &Job,
    const std::function<bool(const LiveStep &, const StepSpec &)> &IsWanted,
    TimePoint Now, std::vector<WaitingStepRef> &Steps) const {
  if (isFinal(Job.Phase))
    return;
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    for (uint32_t I = 0; I < Occurrence.Steps.size(); ++I) {
      if (!IsWanted(Occurrence.Steps[I], Job.Spec.Steps[I]) ||
          !isReady(Job, Occurrence, I))
        continue;
      Steps.push_back({.Job = &Job,
                       .Occurrence = Number,
                       .Step = I,
                       .SlackMs = slackMs(Job, Occurrence, I, Now)});
    }
  }
}

/// Steps with tasks to place or to record, the most urgent first.
std::vector<CellOwner::WaitingStepRef> CellOwner::waitingSteps(TimePoint Now) {
  std::vector<WaitingStepRef> Steps;
  auto IsWaiting = [](const LiveStep &Step, const StepSpec &) {
    return hasPendingTasks(Step);
  };
  for (auto &[Id, Job] : Jobs)
    addSteps(Job, IsWaiting, Now, Steps);
  addYieldTimes(Steps);
  sortBySlack(Steps);
  return Steps;
}

/// The waiting steps, and those with tasks that are to be restarted. A job in
/// which nothing was to be planned is looked at again once it has changed.
std::vector<CellOwner::WaitingStepRef> CellOwner::stepsToPlan(TimePoint Now) {
  std::vector<WaitingStepRef> Steps;
  for (auto &Entry : Jobs) {
    LiveJob &Job = Entry.second;
    if (Job.IdleRevision == Job.Revision)
      continue;
    auto IsToPlan = [&](const LiveStep &Step, const StepSpec &Spec) {
      return hasPendingTasks(Step) ||
             countTasksToRestart(Job, Step, Spec, Now) > 0;
    };
    size_t CountBefore = Steps.size();
    addSteps(Job, IsToPlan, Now, Steps);
    // The leases of long-running tasks run out without a change of their job.
    if (Steps.size() == CountBefore && !hasLongRunningStep(Job.Spec))
      Job.IdleRevision = Job.Revision;
  }
  updateShares(Steps, Now);
  addYieldTimes(Steps);
  sortBySlack(Steps);
  return Steps;
}

/// Adds an open run to the load on its executor.
void CellOwner::addLoad(const TaskKey &Key) {
  ExecutorLoad &Load = Loads[Key.task().Executor];
  const StepSpec &Spec = Key.spec();
  if (Spec.TailLatencyTarget.count() > 0)
    ++Load.ServingTasks;
  if (Spec.LongRunning)
    Load.LongRunningDemand += demandOf(Spec);
  if (!Spec.BestEffort)
    return;
  ++Load.BestEffortTasks;
  Load.BestEffortMilliCores += Spec.Size.MilliCores;
}

void CellOwner::removeLoad(const TaskKey &Key) {
  ExecutorLoad &Load = Loads[Key.task().Executor];
  const StepSpec &Spec = Key.spec();
  if (Spec.TailLatencyTarget.count() > 0)
    --Load.ServingTasks;
  if (Spec.LongRunning)
    Load.LongRunningDemand -= demandOf(Spec);
  if (!Spec.BestEffort)
    return;
  --Load.BestEffortTasks;
  Load.BestEffortMilliCores -= Spec.Size.MilliCores;
}

PlacementRequest
CellOwner::placementRequestFor(const WaitingStepRef &Waiting,
                               const Queue *JobQueue,
                               TaskCounts &TasksByExecutor) const {
  const LiveStep &Step = Waiting.step();
  const StepSpec &Spec = Waiting.spec();
  TasksByExecutor = countTasksByExecutor(Step, Spec);
  return {.Step = &Spec,
          .Permissions = permissionsOf(Step, JobQueue),
          .TasksByExecutor = &TasksByExecutor,
          .Preferred = Step.PreparedExecutors,
          .SpreadFactor = Options.SpreadFactor,
          .Reservations = Reservations,
          .ExpectedRunTime = Spec.LongRunning
                                 ? Millis::max()
                                 : Times.speeds().expectedRunTime(
                                       Waiting.Job->Spec.Queue, Spec.Estimate)};
}

void CellOwner::plan(TimePoint Now) {
  resizeExecutorTables();
  std::fill(Reservations.begin(), Reservations.end(), Reservation{});
  ReservedExecutors = 0;
  // The pool also holds executors that are gone.
  MaxReservedExecutors = static_cast<size_t>(
      MaxReservedShare * static_cast<double>(Pool.listedCount()));
  for (ExecutorIndex I = 0; I < Loads.size(); ++I)
    Loads[I].Slowness = Times.speeds().slowness(I, Now);
  countOpenCalls(Now);
  std::vector<WaitingStepRef> Steps = stepsToPlan(Now);
  ReservedUntil.assign(Pool.size(), Millis(0));
  PlacedByExecutor.assign(Pool.size(), {});
  for (const WaitingStepRef &Waiting : Steps)
    notePlacedTasks(Waiting);
  estimateBacklog(Steps, Now);
  beginUrgentRoom(Steps, Now);
  beginPlaceWaits(Steps, Now);
  for (const WaitingStepRef &Waiting : Steps) {
    const Queue *JobQueue = queueOf(*Waiting.Job);
    if (!JobQueue)
      continue; // A start may need a ticket.
    LiveStep &Step = Waiting.step();
    if (Now > Step.PreparedAt + restartLeads(JobQueue).Advice)
      Step.PreparedExecutors.clear();
    if (JobQueue && JobQueue->Advice && Step.Permissions.empty()) {
      if (isHeldByCap(Waiting))
        continue; // Others shouldn't wait for its calls, or its room.
      requestAdvice(Waiting, *JobQueue, Now);
      keepRoom(Waiting, *JobQueue, Now);
      continue;
    }
    if (Waiting.spec().Gang)
      planGang(Waiting, JobQueue, Now);
    else
      planTasks(Waiting, JobQueue, Now);
    recordPlacedTasks(Waiting, JobQueue, Now);
    prepareRestarts(Waiting, JobQueue, Now);
  }
  releaseHeldPlaces(0);
  shareCaps(Steps, Now);
}

/// Places for tasks of the demand that urgent steps want most.
uint32_t CellOwner::urgentPlacesIn(const Resources &Room) const {
  if (!UrgentRoom.demand())
    return 0;
  return placesIn(Room, *UrgentRoom.demand(),
                  std::numeric_limits<uint32_t>::max());
}

/// What a task of those urgent steps needs that wait for most cores. \p Steps
/// begin with the most urgent. One that fits on few executors would keep hardly
/// any room for the others.
std::optional<Resources>
CellOwner::mostWantedDemand(std::span<const WaitingStepRef> Steps) const {
  std::vector<std::pair<Resources, uint64_t>> CoresByDemand;
  for (const WaitingStepRef &Waiting : Steps) {
    if (Waiting.SlackMs >= UrgentSlackMs)
      break;
    if (!keepsRoom(Waiting.spec()) || isHeldByCap(Waiting))
      continue;
    Resources Demand = demandOf(Waiting.spec());
    auto Found =
        std::find_if(CoresByDemand.begin(), CoresByDemand.end(),
                     [&](const auto &Entry) { return Entry.first == Demand; });
    if (Found == CoresByDemand.end())
      Found = CoresByDemand.emplace(CoresByDemand.end(), Demand, 0);
    Found->second +=
        static_cast<uint64_t>(Demand.MilliCores) * startableTasks(Waiting);
  }
  auto Most = std::max_element(CoresByDemand.begin(), CoresByDemand.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.second < Right.second;
                               });
  return Most == CoresByDemand.end() ? std::nullopt
                                     : std::optional(Most->first);
}

/// Counts the free places for tasks of the demand that urgent steps want most.
void CellOwner::beginUrgentRoom(std::span<const WaitingStepRef> Steps,
                                TimePoint Now) {
  std::optional<Resources> Demand = mostWantedDemand(Steps);
  bool IsUrgent = Demand.has_value();
  UrgentRoom.begin(Demand);
  for (ExecutorIndex I = 0; IsUrgent && I < Pool.size(); ++I) {
    if (Pool.isUsable(I, Now))
      UrgentRoom.addExecutor(urgentPlacesIn(Pool.freeCapacity(I)),
                             urgentPlacesIn(Pool[I].Info.Capacity));
  }
}

void CellOwner::planTasks(const WaitingStepRef &Waiting, const Queue *JobQueue,
                          TimePoint Now) {
  TaskCounts TasksByExecutor;
  PlacementRequest Request =
      placementRequestFor(Waiting, JobQueue, TasksByExecutor);
  LiveStep &Step = Waiting.step();
  Request.StartsAtOnce = !Step.PreparedExecutors.empty();
  std::vector<ExecutorIndex> PlacedHere;
  size_t Unplaced = 0;
  uint32_t MayStart = startableTasks(Waiting);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    if (Step.Tasks[I].Phase != TaskPhase::Waiting)
      continue;
    if (MayStart == 0)
      break;
    --MayStart;
    TaskKey Key = Waiting.task(I);
    if (awaitsPlace(Key, Request))
      continue;
    Request.AvoidSuspects = Key.task().Crashes > 0;
    // More urgent steps go before, but where they don't fit.
    if (!UrgentRoom.mayUse(Waiting.SlackMs))
      Request.KeptRoom = UrgentRoom.demand();
    auto Best =
        Unplaced > 0 ? std::nullopt : chooseExecutor(Pool, Loads, Request, Now);
    if (!Best && Unplaced == 0 && Request.AvoidSuspects) {
      Request.AvoidSuspects = false;
      Best = chooseExecutor(Pool, Loads, Request, Now);
      if (Best && !mayJoinSuspects(Key, Now))
        continue;
    }
    if (!Best) {
      ++Unplaced;
      continue;
    }
    uint32_t PlacesBefore = urgentPlacesIn(Pool.freeCapacity(*Best));
    placeTask(Key, *Best, Now);
    PlacedByExecutor[*Best].push_back(Key);
    notePlace(Key, *Best);
    UrgentRoom.take(PlacesBefore - urgentPlacesIn(Pool.freeCapacity(*Best)));
    ++TasksByExecutor[*Best];
    if (!Request.Step->BestEffort)
      continue;
    // Spreads the tasks; their runs are counted once they are open.
    Loads[*Best].BestEffortMilliCores += Request.Step->Size.MilliCores;
    PlacedHere.push_back(*Best);
  }
  for (ExecutorIndex Index : PlacedHere)
    Loads[Index].BestEffortMilliCores -= Request.Step->Size.MilliCores;
  // Executors with free capacity are not missing.
  if (Unplaced == 0 || Request.KeptRoom)
    return;
  if (Waiting.SlackMs < WorthlessSlackMs)
    reserveExecutors(Waiting, Unplaced, Now);
  // Executors that the policy service has not been asked about may have free
  // capacity.
  if (JobQueue && JobQueue->Advice) {
    requestAdvice(Waiting, *JobQueue, Now);
    keepRoom(Waiting, *JobQueue, Now);
  }
}

/// Keeps free capacity for the step's tasks that have no place, more than they
/// need by the share of executors that the policy refuses. Only while a call
/// asks about executors that may have it.
void CellOwner::keepRoom(const WaitingStepRef &Waiting, const Queue &JobQueue,
                         TimePoint Now) {
  /// A call without an answer for longer keeps no room.
  constexpr Millis MaxRoomWait{300};
  const StepSpec &Spec = Waiting.spec();
  if (!keepsRoom(Spec))
    return;
  const LiveStep &Step = Waiting.step();
  // Between two searches it waits for places that become free elsewhere.
  bool IsSearching = Step.AdvicePending
                         ? Now <= Step.AdviceAskedAt + MaxRoomWait
                         : hasUnaskedExecutor(Pool, Step, Spec);
  if (!IsSearching)
    return;
  double Places = startableTasks(Waiting) / AdviceShares.share(JobQueue.Name);
  UrgentRoom.addNeed(Waiting.SlackMs, Places, demandOf(Spec));
}

void CellOwner::planGang(const WaitingStepRef &Waiting, const Queue *JobQueue,
                         TimePoint Now) {
  LiveStep &Step = Waiting.step();
  if (!allWaiting(Step) || startableTasks(Waiting) < Step.Tasks.size())
    return;
  TaskCounts TasksByExecutor;
  PlacementRequest Request =
      placementRequestFor(Waiting, JobQueue, TasksByExecutor);
  auto Count = static_cast<uint32_t>(Step.Tasks.size());
  Request.AvoidSuspects =
      std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                  [](const LiveTask &Task) { return Task.Crashes > 0; }) &&
      !mayJoinSuspects(Waiting.task(0), Now);
  auto Executors = chooseGangExecutors(Pool, Loads, Request, Count, Now);
  if (!Executors) {
    if (canEverHold(Pool, Loads, Request, Count, Now))
      reserveExecutors(Waiting, Count, Now);
    if (JobQueue && JobQueue->Advice)
      requestAdvice(Waiting, *JobQueue, Now);
    return;
  }
  if (awaitsRack(Waiting, *Executors, Request, Now))
    return;
  for (uint32_t I = 0; I < Count; ++I) {
    placeTask(Waiting.task(I), (*Executors)[I], Now);
    PlacedByExecutor[(*Executors)[I]].push_back(Waiting.task(I));
  }
}

/// Takes placed tasks off executors that have ended or announced that they
/// leave since, or whose capacity has shrunk; a gang as a whole.
void CellOwner::unplaceFromLostPlaces(const WaitingStepRef &Waiting) {
  LiveStep &Step = Waiting.step();
  auto HasLostPlace = [&](const LiveTask &Task) {
    return Task.Phase == TaskPhase::Placed &&
           (Pool[Task.Executor].Ended || Pool[Task.Executor].Info.Draining ||
            Pool.isOvercommitted(Task.Executor));
  };
  bool AllMembers =
      Waiting.spec().Gang &&
      std::any_of(Step.Tasks.begin(), Step.Tasks.end(), HasLostPlace);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const LiveTask &Task = Step.Tasks[I];
    if (HasLostPlace(Task) || (AllMembers && Task.Phase == TaskPhase::Placed))
      unplaceTask(Waiting.task(I));
  }
}

/// Records starts of placed tasks that have valid tickets, and requests new
/// tickets for the others. A gang is recorded as a whole.
void CellOwner::recordPlacedTasks(const WaitingStepRef &Waiting,
                                  const Queue *JobQueue, TimePoint Now) {
  unplaceFromLostPlaces(Waiting);
  LiveStep &Step = Waiting.step();
  const StepSpec &Spec = Waiting.spec();
  auto HasValidTicket = [&](const LiveTask &Task) {
    return !JobQueue || !JobQueue->Advice ||
           hasTicketForStart(Step, Task.Executor, Now);
  };
  bool AllTicketsValid = true;
  uint32_t HighestRun = 0;
  for (const LiveTask &Task : Step.Tasks) {
    HighestRun = std::max(HighestRun, Task.Run);
    if (Task.Phase == TaskPhase::Placed)
      AllTicketsValid = AllTicketsValid && HasValidTicket(Task);
  }
  if (!AllTicketsValid)
    renewTickets(Waiting, *JobQueue, Now);
  if (Spec.Gang && !AllTicketsValid)
    return;
  bool AnyRecorded = false;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    LiveTask &Task = Step.Tasks[I];
    if (Task.Phase != TaskPhase::Placed || !HasValidTicket(Task))
      continue;
    // Members of a gang share the run number.
    Task.Run = Spec.Gang ? HighestRun + 1 : Task.Run + 1;
    recordRun(Waiting.task(I), Now);
    AnyRecorded = true;
    // The places of other tasks, whose tickets are being obtained, remain.
    auto Used = std::find(Step.PreparedExecutors.begin(),
                          Step.PreparedExecutors.end(), Task.Executor);
    if (Used != Step.PreparedExecutors.end())
      Step.PreparedExecutors.erase(Used);
  }
  bool NeedsTickets = JobQueue && JobQueue->Advice;
  bool IsLast = countTasksToRestart(*Waiting.Job, Step, Spec, Now) == 0;
  if (AnyRecorded && (IsLast || !NeedsTickets))
    Step.PreparedExecutors.clear();
}

} // namespace daisylanding::cell
