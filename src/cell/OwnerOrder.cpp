#include "cell/CellOwner.h"

#include "cell/UsefulTime.h"
#include "common/Log.h"

#include <algorithm>
#include <limits>

/// Order between workspaces while the executors are full, and refusals of jobs
/// that couldn't be done in useful time. A configuration without workspaces, or
/// a job without one, changes nothing.
namespace daisylanding::cell {

namespace {

/// Of workspaces that left the configuration before their jobs have ended.
constexpr uint32_t DefaultWeight = 1;
/// The service is full when its executors are used to this part, by what is
/// used most: what is left is in pieces.
constexpr double FullShare = 0.8;
/// Work that yields is taken to get at least one part in so many.
constexpr uint64_t LeastPartLeft = 20;
/// Between two log lines about shares.
constexpr Millis ShareLogInterval{1'000};
/// Workspaces whose refusals are counted.
constexpr size_t MaxCountedWorkspaces = 2'000;

WorkClass classOf(const StepSpec &Spec) {
  return {.Constraint = Spec.Constraint,
          .NeedsAccelerators = Spec.Size.Accelerators > 0};
}

} // namespace

uint32_t CellOwner::weightOf(std::string_view WorkspaceName) const {
  auto Found = WorkspacesByName.find(WorkspaceName);
  return Found == WorkspacesByName.end() ? DefaultWeight
                                         : Found->second->Weight;
}

/// Counts a job for its workspace, once, as of its acceptance.
void CellOwner::countSentJob(LiveJob &Job) {
  const std::string &Name = Job.Spec.Workspace;
  if (hasWorkspaces() && !Name.empty())
    Job.IsBeyondRate = !SendRates.take(Name, weightOf(Name), Job.AcceptedAt);
}

void CellOwner::uncountSentJob(const LiveJob &Job) {
  if (hasWorkspaces() && !Job.Spec.Workspace.empty() && !Job.IsBeyondRate)
    SendRates.giveBack(Job.Spec.Workspace);
}

/// Of the jobs that earlier owners accepted the live ones are known: with more
/// of them ended, more of the others are within the rate than before.
void CellOwner::countRestoredJobs() {
  if (!hasWorkspaces())
    return;
  std::vector<LiveJob *> Restored;
  for (auto &Entry : Jobs)
    Restored.push_back(&Entry.second);
  std::stable_sort(Restored.begin(), Restored.end(),
                   [](const LiveJob *Left, const LiveJob *Right) {
                     return Left->AcceptedAt < Right->AcceptedAt;
                   });
  for (LiveJob *Job : Restored)
    countSentJob(*Job);
}

/// By how much the step's slack is extended so that it goes after the steps of
/// others. Work that has begun doesn't give way: what was done of it would be
/// lost or late.
double CellOwner::yieldMs(const LiveJob &Job, const LiveStep &Step,
                          const StepSpec &Spec) const {
  bool Yields = Job.IsBeyondRate || Order.isBeyondShare(Job.Spec.Workspace);
  if (!Yields || !Spec.Dependencies.empty())
    return 0;
  bool HasBegun = (Spec.LongRunning || Spec.Gang) && hasRun(Step);
  return HasBegun ? 0 : YieldSlackMs;
}

void CellOwner::addYieldTimes(std::vector<WaitingStepRef> &Steps) const {
  if (!hasWorkspaces())
    return;
  for (WaitingStepRef &Waiting : Steps)
    Waiting.SlackMs += yieldMs(*Waiting.Job, Waiting.step(), Waiting.spec());
}

double CellOwner::rankMs(const LiveJob &Job, const LiveOccurrence &Occurrence,
                         uint32_t Step, TimePoint Now) const {
  double SlackMs = slackMs(Job, Occurrence, Step, Now);
  if (!hasWorkspaces())
    return SlackMs;
  return SlackMs + yieldMs(Job, Occurrence.Steps[Step], Job.Spec.Steps[Step]);
}

/// Notes what each workspace uses, and which of them wait for places.
void CellOwner::updateShares(std::span<const WaitingStepRef> Steps,
                             TimePoint Now) {
  if (!hasWorkspaces())
    return;
  FairOrder::WaitingByName ByName;
  for (const WaitingStepRef &Waiting : Steps) {
    std::string_view Name = Waiting.Job->Spec.Workspace;
    if (Name.empty() || Waiting.SlackMs >= WorthlessSlackMs ||
        countWaitingTasks(Waiting.step()) == 0)
      continue;
    FairOrder::Waiting &Demand = ByName[Name];
    Demand.Weight = weightOf(Name);
  }
  CapacitySum All;
  CapacitySum Reserved;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (!Pool.isUsable(I, Now))
      continue;
    All += Pool[I].Info.Capacity;
    Reserved += Pool[I].Reserved;
  }
  auto UsedBy = [&](std::string_view Name) { return Caps.used(Name); };
  bool IsFull = dominantShare(Reserved, All) >= FullShare;
  logShareChanges(Order.update(ByName, UsedBy, All, IsFull, Now), Now);
}

/// At most one line an interval; it tells how many others there were.
void CellOwner::logShareChanges(std::span<const FairOrder::Change> Changes,
                                TimePoint Now) {
  if (Changes.empty() || Now < SharesLoggedAt + ShareLogInterval)
    return;
  SharesLoggedAt = Now;
  const FairOrder::Change &First = Changes.front();
  logInfo("workspace-share",
          "service={} workspace={} beyond={} used={:.3f} fair={:.3f} others={}",
          Options.Service, First.Name, First.Now.IsBeyond, First.Now.Used,
          First.Now.Fair, Changes.size() - 1);
}

BacklogEstimate::Item CellOwner::backlogItem(const LiveJob &Job, uint32_t Step,
                                             uint64_t Tasks,
                                             double RankMs) const {
  const StepSpec &Spec = Job.Spec.Steps[Step];
  return {.Class = classOf(Spec),
          .Queue = Job.Spec.Queue,
          .Workspace = Job.Spec.Workspace,
          .RankMs = RankMs,
          .Work = workOf(
              demandOf(Spec), Tasks,
              Times.speeds().expectedRunTime(Job.Spec.Queue, Spec.Estimate))};
}

/// Sums up what waits, in its order: what can't be useful any more goes last,
/// and lasting tasks have no end to wait for.
void CellOwner::estimateBacklog(std::span<const WaitingStepRef> Steps,
                                TimePoint Now) {
  if (!hasWorkspaces())
    return;
  std::vector<BacklogEstimate::Item> Items;
  YieldingWorkspaces.clear();
  BacklogEstimate::CapacityByClass Capacities;
  for (const WaitingStepRef &Waiting : Steps) {
    uint64_t Tasks = countWaitingTasks(Waiting.step());
    if (Waiting.SlackMs >= WorthlessSlackMs)
      break;
    if (Tasks == 0 || Waiting.spec().LongRunning)
      continue;
    Items.push_back(
        backlogItem(*Waiting.Job, Waiting.Step, Tasks, Waiting.SlackMs));
    Capacities.try_emplace(Items.back().Class);
    if (Waiting.SlackMs >= YieldSlackMs)
      YieldingWorkspaces.insert(Waiting.Job->Spec.Workspace);
  }
  for (auto &[Class, Capacity] : Capacities)
    Capacity = capacityFor(Class, Now);
  Backlog.set(Items);
  StatedBacklog = Backlog.statement(Capacities);
  BacklogAt = Now;
}

/// Until the next turn, the jobs that arrive are added one by one.
void CellOwner::noteArrival(const LiveJob &Job, TimePoint Now) {
  if (!hasWorkspaces() || Job.Occurrences.empty() || Job.Spec.Steps.empty() ||
      Job.Spec.Steps.front().LongRunning)
    return;
  const LiveOccurrence &Occurrence = Job.Occurrences.begin()->second;
  Backlog.add(backlogItem(Job, 0, Job.Spec.Steps.front().Count,
                          rankMs(Job, Occurrence, 0, Now)));
}

/// Of the usable executors that can run work of the class.
CapacitySum CellOwner::capacityFor(const WorkClass &Class,
                                   TimePoint Now) const {
  StepSpec Probe{.Constraint = Class.Constraint};
  Probe.Size.Accelerators = Class.NeedsAccelerators ? 1 : 0;
  CapacitySum Capacity;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool.isUsable(I, Now) && isSuitable(Pool[I], Probe))
      Capacity += Pool[I].Info.Capacity;
  }
  return Capacity;
}

/// What the workspaces that don't yield leave to the others, as of now.
CapacitySum CellOwner::capacityLeftFor(const WorkClass &Class,
                                       std::string_view Name,
                                       TimePoint Now) const {
  CapacitySum Left = capacityFor(Class, Now);
  // Which part of their use is on executors with the label isn't known.
  if (!Class.Constraint.empty())
    return Left;
  CapacitySum Used;
  for (const auto &Entry : Order.shares()) {
    if (Entry.first != Name && !YieldingWorkspaces.contains(Entry.first))
      Used += Caps.used(Entry.first);
  }
  auto Subtract = [](uint64_t &From, uint64_t Part) {
    From = std::max(From / LeastPartLeft, From - std::min(From, Part));
  };
  if (Class.NeedsAccelerators)
    Subtract(Left.Accelerators, Used.Accelerators);
  else
    Subtract(Left.MilliCores, Used.MilliCores);
  return Left;
}

/// How long a new step waits, at least. If it doesn't yield, for what is more
/// urgent; otherwise for all that can still be useful.
Millis CellOwner::waitFor(const WorkClass &Class, std::string_view Name,
                          bool Yields, double SlackMs, TimePoint Now) const {
  CapacitySum All = capacityFor(Class, Now);
  if (!Yields)
    return timeFor(Backlog.before(Class, SlackMs), All);
  WorkAmount Before = Backlog.before(Class, YieldSlackMs);
  WorkAmount Yielding = Backlog.before(Class, WorthlessSlackMs);
  Yielding.CoreSeconds -= Before.CoreSeconds;
  Yielding.AcceleratorSeconds -= Before.AcceleratorSeconds;
  return timeFor(Before, All) +
         timeFor(Yielding, capacityLeftFor(Class, Name, Now));
}

bool CellOwner::hasFreePlaceFor(const StepSpec &Spec, TimePoint Now) const {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool.isUsable(I, Now) && isSuitable(Pool[I], Spec) &&
        Pool.hasCapacityFor(I, demandOf(Spec)))
      return true;
  }
  return false;
}

/// Whether this owner's view is fit for a refusal. One that may have been
/// replaced, or doesn't know all jobs, can't tell; lasting and timed jobs can
/// wait.
bool CellOwner::mayRefuse(const JobSpec &Job, TimePoint Now) const {
  bool IsViewYoung = mayStart(Now) && EndedRowsRead &&
                     Now < BacklogAt + Options.MaxInstanceListAge;
  return hasWorkspaces() && !Job.Workspace.empty() && IsViewYoung &&
         Job.RepeatCount == 0 && !Job.Steps.empty() &&
         std::none_of(Job.Steps.begin(), Job.Steps.end(),
                      [](const StepSpec &Step) { return Step.LongRunning; });
}

/// Whether a job that isn't known here could begin only after all of its useful
/// time.
bool CellOwner::refusesForBacklog(const JobSpec &Job, TimePoint AcceptedAt,
                                  TimePoint Now) {
  if (!mayRefuse(Job, Now))
    return false;
  const StepSpec &First = Job.Steps.front();
  const std::string &Name = Job.Workspace;
  bool IsWithinRate = SendRates.mayTake(Name, weightOf(Name), AcceptedAt);
  bool IsBeyond = !IsWithinRate || Order.isBeyondShare(Name);
  LiveJob Candidate{.Spec = Job, .AcceptedAt = AcceptedAt};
  LiveOccurrence Occurrence{.BeginsAt = AcceptedAt,
                            .DueAt = dueAt(Candidate, AcceptedAt)};
  Occurrence.Steps.resize(Job.Steps.size());
  Millis Wait = waitFor(classOf(First), Name, IsBeyond,
                        slackMs(Candidate, Occurrence, 0, Now), Now);
  auto Useful = Millis(static_cast<int64_t>(
      WorthlessAllowanceFactor *
      static_cast<double>(toMillis(Occurrence.DueAt - AcceptedAt))));
  if (Now + Wait <= AcceptedAt + Useful || hasFreePlaceFor(First, Now))
    return false;
  countRefusal(Name);
  logInfo("job-refused",
          "job={} queue={} workspace={} backlog_ms={} useful_ms={} age_ms={} "
          "within_rate={} used={:.3f}",
          Job.Id, Job.Queue, Name, Wait.count(), Useful.count(),
          toMillis(Now - BacklogAt), IsWithinRate, Order.usedShare(Name));
  return true;
}

void CellOwner::countRefusal(std::string_view WorkspaceName) {
  auto Found = RefusedByWorkspace.find(WorkspaceName);
  if (Found != RefusedByWorkspace.end())
    ++Found->second;
  else if (RefusedByWorkspace.size() < MaxCountedWorkspaces)
    RefusedByWorkspace.emplace(WorkspaceName, 1);
}

void CellOwner::stateBacklog(OwnerRow &NewRow, TimePoint Now,
                             const StoreClock &Clock) const {
  NewRow.Backlog = StatedBacklog;
  NewRow.Backlog.AtMs = Clock.MinMs - toMillis(Now - BacklogAt);
}

/// Of the workspaces that use something or wait, those that use most.
std::vector<WorkspaceStatus>
CellOwner::workspaceStatuses(std::span<const WaitingStepRef> Steps,
                             TimePoint Now) const {
  std::map<std::string, WorkspaceStatus, std::less<>> ByName;
  if (!hasWorkspaces())
    return {};
  for (const auto &[Name, Share] : Order.shares())
    ByName[Name] = {.UsedShare = Share.Used,
                    .FairShare = Share.Fair,
                    .IsBeyondShare = Share.IsBeyond};
  for (const auto &[Name, Count] : RefusedByWorkspace)
    ByName[Name].Refused = Count;
  for (const WaitingStepRef &Waiting : Steps) {
    const std::string &Name = Waiting.Job->Spec.Workspace;
    if (Name.empty())
      continue;
    WorkspaceStatus &Status = ByName[Name];
    ++Status.WaitingSteps;
    auto Wait =
        std::chrono::duration_cast<Millis>(Now - Waiting.occurrence().BeginsAt);
    Status.OldestWait = std::max(Status.OldestWait, Wait);
  }
  std::vector<WorkspaceStatus> Statuses;
  for (auto &[Name, Status] : ByName) {
    Status.Name = Name;
    Status.Weight = weightOf(Name);
    Status.Used = Caps.used(Name);
    Statuses.push_back(std::move(Status));
  }
  std::stable_sort(
      Statuses.begin(), Statuses.end(),
      [](const WorkspaceStatus &Left, const WorkspaceStatus &Right) {
        return Left.UsedShare > Right.UsedShare;
      });
  if (Statuses.size() > MaxReportedWorkspaces)
    Statuses.resize(MaxReportedWorkspaces);
  return Statuses;
}

} // namespace daisylanding::cell
