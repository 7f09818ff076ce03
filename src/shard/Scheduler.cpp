#include "shard/Scheduler.h"

#include <algorithm>
#include <array>
#include <set>

namespace daisylanding::shard {

namespace {

/// Only classes with a waiting target up to this preempt others.
constexpr Millis MaxPreemptingTarget{5'000};

/// A blocked task gets an advance reservation after this part of its waiting
/// target; a blocked gang gets one at once.
constexpr int64_t ReserveAfterDivisor = 2;

/// Time for a task to write its checkpoint and for its end to be reported.
constexpr Millis StopAllowance{1'500};

/// Preempted tasks have this long to stop before more are preempted for the
/// same job.
constexpr Millis PreemptionTimeout{2'000};

/// Tasks of one job for which room is made at once.
constexpr uint32_t MaxTasksPerPreemption = 32;

/// Jobs considered in one plan.
constexpr size_t MaxCandidateJobs = 4'096;

table::Resources multiply(const table::Resources &Size, uint32_t Count) {
  return {.MilliCores = Size.MilliCores * Count,
          .MemoryMb = Size.MemoryMb * Count,
          .Accelerators = Size.Accelerators * Count};
}

/// Returns the class of a job. Jobs whose class was removed continue with a
/// waiting target of one minute.
const config::WorkClass &classOf(const config::ClusterConfig &Config,
                                 const JobState &Job) {
  static const config::WorkClass RemovedClass = {
      .Name = "(removed)", .WaitingTarget = std::chrono::minutes(1)};
  const config::WorkClass *Found = Config.findClass(Job.Spec.Class);
  return Found ? *Found : RemovedClass;
}

TimePoint findOldestReady(const JobState &Job, TimePoint Now) {
  TimePoint Oldest = TimePoint::max();
  for (const TaskState &Task : Job.Tasks) {
    if (Task.Phase == TaskPhase::Pending && Task.NotBefore <= Now)
      Oldest = std::min(Oldest, Task.ReadySince);
  }
  return Oldest;
}

} // namespace

std::vector<Scheduler::CandidateJob>
Scheduler::findCandidates(const config::ClusterConfig &Config,
                          TimePoint Now) const {
  std::vector<CandidateJob> Candidates;
  std::set<std::string_view> WaitingClasses;
  for (const auto &IdAndJob : State.Jobs) {
    JobState &Job = *IdAndJob.second;
    if (Job.PendingTasks == 0)
      continue;
    const config::WorkClass *Class = &classOf(Config, Job);
    TimePoint ReadySince = findOldestReady(Job, Now);
    if (ReadySince == TimePoint::max())
      continue;
    WaitingClasses.insert(Class->Name);
    Candidates.push_back({.DueAt = ReadySince + Class->WaitingTarget,
                          .Job = &Job,
                          .Class = Class});
  }
  auto ShareByClass = computeClassShares();
  double EqualShare =
      1 / static_cast<double>(std::max<size_t>(1, WaitingClasses.size()));
  for (CandidateJob &Candidate : Candidates)
    Candidate.OverShare = ShareByClass[Candidate.Class->Name] > EqualShare;
  auto GoesFirst = [](const CandidateJob &Left, const CandidateJob &Right) {
    if (Left.OverShare != Right.OverShare)
      return Right.OverShare;
    return Left.DueAt < Right.DueAt;
  };
  size_t KeptCount = std::min(Candidates.size(), MaxCandidateJobs);
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(KeptCount),
                    Candidates.end(), GoesFirst);
  Candidates.resize(KeptCount);
  return Candidates;
}

/// Returns the share of the shard that the active tasks of each class hold, in
/// the resource of which they hold most.
std::map<std::string_view, double> Scheduler::computeClassShares() const {
  std::map<std::string_view, std::array<double, 3>> HeldByClass;
  std::array<double, 3> Total = {1, 1, 1};
  for (uint32_t I = 0; I < State.Pool.size(); ++I) {
    Total[0] += State.Pool.capacity(I).MilliCores;
    Total[1] += State.Pool.capacity(I).MemoryMb;
    Total[2] += State.Pool.capacity(I).Accelerators;
  }
  for (const auto &IdAndJob : State.Jobs) {
    const JobState &Job = *IdAndJob.second;
    auto &Sum = HeldByClass[Job.Spec.Class];
    const table::Resources &Size = Job.Estimate.size();
    Sum[0] += static_cast<double>(Size.MilliCores) * Job.ActiveTasks;
    Sum[1] += static_cast<double>(Size.MemoryMb) * Job.ActiveTasks;
    Sum[2] += static_cast<double>(Size.Accelerators) * Job.ActiveTasks;
  }
  std::map<std::string_view, double> ShareByClass;
  for (const auto &[Class, Sum] : HeldByClass)
    ShareByClass[Class] =
        std::max({Sum[0] / Total[0], Sum[1] / Total[1], Sum[2] / Total[2]});
  return ShareByClass;
}

/// Returns the average cores and memory per accelerator of pending and active
/// tasks with accelerators; zero when there are none.
table::Resources Scheduler::computeHeadroomPerAccelerator() const {
  uint64_t Cores = 0;
  uint64_t Memory = 0;
  uint64_t Accelerators = 0;
  for (const auto &IdAndJob : State.Jobs) {
    const JobState &Job = *IdAndJob.second;
    const table::Resources &Size = Job.Estimate.size();
    uint64_t TaskCount = Job.PendingTasks + Job.ActiveTasks;
    if (!Size.Accelerators)
      continue;
    Cores += TaskCount * Size.MilliCores;
    Memory += TaskCount * Size.MemoryMb;
    Accelerators += TaskCount * Size.Accelerators;
  }
  if (!Accelerators)
    return {};
  return {.MilliCores = static_cast<uint32_t>(Cores / Accelerators),
          .MemoryMb = static_cast<uint32_t>(Memory / Accelerators)};
}

std::vector<Record> Scheduler::plan(const config::ClusterConfig &Config,
                                    TimePoint Now, size_t MaxStarts) {
  CurrentConfig = &Config;
  PlannedStarts.clear();
  BlockedRequests.clear();
  dropStaleReservation();
  std::erase_if(PreemptingUntil,
                [&](const auto &IdAndTime) { return IdAndTime.second <= Now; });
  countQuotaUse(Config);
  HeadroomPerAccelerator = computeHeadroomPerAccelerator();
  for (const CandidateJob &Candidate : findCandidates(Config, Now)) {
    if (PlannedStarts.size() >= MaxStarts)
      break;
    planJob(Candidate, Now, MaxStarts);
  }
  return std::move(PlannedStarts);
}

void Scheduler::planJob(const CandidateJob &Candidate, TimePoint Now,
                        size_t MaxStarts) {
  JobState &Job = *Candidate.Job;
  if (Job.Spec.Kind == config::JobKind::Gang) {
    if (!planGang(Candidate, Now))
      handleBlocked(Candidate, Job.PendingTasks,
                    Candidate.DueAt - Candidate.Class->WaitingTarget, Now);
    return;
  }
  TasksPerRack.clear();
  if (Job.Spec.Kind == config::JobKind::Service)
    TasksPerRack = countTasksPerRack(Job);
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
    TaskState &Task = Job.Tasks[I];
    if (Task.Phase != TaskPhase::Pending || Task.NotBefore > Now)
      continue;
    if (PlannedStarts.size() >= MaxStarts || !checkQuota(Candidate, 1))
      return;
    if (!planTask(Candidate, I, Now)) {
      handleBlocked(Candidate, 1, Task.ReadySince, Now);
      return;
    }
  }
}

policy::PlacementRequest Scheduler::makeRequest(const CandidateJob &Candidate,
                                                TimePoint Now) {
  const JobState &Job = *Candidate.Job;
  policy::PlacementRequest Request{
      .Size = Job.Estimate.size(),
      .Tightness = TightnessByClass[Candidate.Class->Name].tightness(),
      .TasksPerRack = TasksPerRack,
      .HeadroomPerAccelerator = HeadroomPerAccelerator,
      .OwnsAdvanceReservation =
          ActiveReservation && ActiveReservation->JobId == Job.Spec.Id};
  // Tasks that fit only instances with accelerators must not be kept out
  // forever.
  if (!State.Pool.fitsWithoutAccelerators(Request.Size))
    Request.HeadroomPerAccelerator = {};
  if (Job.Spec.Kind != config::JobKind::Service)
    Request.ExpectedEnd = Now + Job.Estimate.runTime();
  return Request;
}

bool Scheduler::planGang(const CandidateJob &Candidate, TimePoint Now) {
  JobState &Job = *Candidate.Job;
  if (Job.PendingTasks < Job.Tasks.size() ||
      !checkQuota(Candidate, Job.PendingTasks))
    return true; // Not all ready, or over quota; free capacity would not help.
  TasksPerRack.clear();
  auto Instances = policy::placeGang(State.Pool, makeRequest(Candidate, Now),
                                     Job.PendingTasks);
  if (!Instances)
    return false;
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I)
    startTask(Job, I, (*Instances)[I], Now);
  return true;
}

/// Whether a request that is no harder to place than \p Request failed in this
/// plan.
bool Scheduler::isKnownBlocked(const policy::PlacementRequest &Request) const {
  return std::any_of(BlockedRequests.begin(), BlockedRequests.end(),
                     [&](const policy::PlacementRequest &Failed) {
                       return Failed.Size.fitsIn(Request.Size) &&
                              Request.ExpectedEnd >= Failed.ExpectedEnd &&
                              (Failed.Size.Accelerators > 0) ==
                                  (Request.Size.Accelerators > 0) &&
                              !Request.OwnsAdvanceReservation;
                     });
}

bool Scheduler::planTask(const CandidateJob &Candidate, uint32_t TaskIndex,
                         TimePoint Now) {
  JobState &Job = *Candidate.Job;
  auto Request = makeRequest(Candidate, Now);
  if (isKnownBlocked(Request))
    return false;
  auto Instance = State.Pool.chooseInstance(Request);
  if (!Instance) {
    Request.TasksPerRack = {};
    BlockedRequests.push_back(Request);
    return false;
  }
  startTask(Job, TaskIndex, *Instance, Now);
  if (!TasksPerRack.empty())
    ++TasksPerRack[State.Pool.rackIndex(*Instance)];
  return true;
}

void Scheduler::startTask(JobState &Job, uint32_t TaskIndex, uint32_t Instance,
                          TimePoint Now) {
  TaskState &Task = Job.Tasks[TaskIndex];
  const config::WorkClass *Class = &classOf(*CurrentConfig, Job);
  TightnessByClass[Class->Name].recordWait(Now - Task.ReadySince,
                                           Class->WaitingTarget);
  TaskStarted Started{.Id = {Job.Spec.Id, TaskIndex, Task.Attempt + 1},
                      .Instance = State.Instances[Instance].Name,
                      .Size = Job.Estimate.size(),
                      .Leased =
                          Class->ZoneLoss == config::ZoneLossPolicy::Move};
  auto Demand = QuotaDemands.find(Job.Spec.Team);
  if (Demand != QuotaDemands.end())
    Demand->second.Used += Started.Size;
  State.apply(Started, Now);
  PlannedStarts.push_back(std::move(Started));
  if (ActiveReservation && ActiveReservation->JobId == Job.Spec.Id) {
    ActiveReservation.reset();
    State.Pool.clearAdvanceReservations();
  }
}

std::vector<uint32_t> Scheduler::countTasksPerRack(const JobState &Job) const {
  std::vector<uint32_t> TaskCounts;
  for (uint32_t I = 0; I < State.Pool.size(); ++I)
    TaskCounts.resize(
        std::max<size_t>(TaskCounts.size(), State.Pool.rackIndex(I) + 1));
  for (const TaskState &Task : Job.Tasks) {
    if (Task.Instance != NoInstance)
      ++TaskCounts[State.Pool.rackIndex(Task.Instance)];
  }
  return TaskCounts;
}

void Scheduler::countQuotaUse(const config::ClusterConfig &Config) {
  QuotaDemands.clear();
  for (const config::Team &Team : Config.Teams)
    QuotaDemands[Team.Name];
  for (const auto &IdAndJob : State.Jobs) {
    auto Demand = QuotaDemands.find(IdAndJob.second->Spec.Team);
    if (Demand == QuotaDemands.end())
      continue;
    for (const TaskState &Task : IdAndJob.second->Tasks) {
      if (Task.Instance != NoInstance)
        Demand->second.Used += Task.RecordedSize;
    }
  }
  for (auto &TeamAndDemand : QuotaDemands)
    TeamAndDemand.second.Wanted = TeamAndDemand.second.Used;
}

/// Returns whether the team's share covers \p TaskCount more tasks. If not,
/// records that more of the quota is wanted.
bool Scheduler::checkQuota(const CandidateJob &Candidate, uint32_t TaskCount) {
  auto Demand = QuotaDemands.find(Candidate.Job->Spec.Team);
  if (Demand == QuotaDemands.end())
    return Candidate.Job->Spec.Team.empty();
  table::Resources Size = Candidate.Job->Estimate.size();
  table::Resources Total = Demand->second.Used;
  Total += multiply(Size, TaskCount);
  if (Total.fitsIn(QuotaShares[Candidate.Job->Spec.Team]))
    return true;
  Demand->second.Wanted = Demand->second.Used;
  Demand->second.Wanted += multiply(Size, Candidate.Job->PendingTasks);
  return false;
}

void Scheduler::handleBlocked(const CandidateJob &Candidate, uint32_t TaskCount,
                              TimePoint ReadySince, TimePoint Now) {
  bool Gang = Candidate.Job->Spec.Kind == config::JobKind::Gang;
  Micros Waited = Now - ReadySince;
  bool Urgent = !Gang && Candidate.Class->WaitingTarget <= MaxPreemptingTarget;
  if (Urgent && !Candidate.OverShare && !fitsInTime(Candidate, Now))
    preemptFor(Candidate, Now);
  bool Overdue = Waited * ReserveAfterDivisor > Candidate.Class->WaitingTarget;
  if (!ActiveReservation && (Gang || Overdue))
    reserveFor(Candidate, TaskCount, Now);
}

std::vector<policy::RunningTask> Scheduler::runningTasks(TimePoint Now) const {
  std::vector<policy::RunningTask> RunningTasks;
  for (const auto &IdAndJob : State.Jobs) {
    const JobState &Job = *IdAndJob.second;
    bool IsService = Job.Spec.Kind == config::JobKind::Service;
    for (const TaskState &Task : Job.Tasks) {
      if (Task.Instance == NoInstance)
        continue;
      TimePoint End = IsService
                          ? TimePoint::max()
                          : std::max<TimePoint>(
                                Now, Task.StartedAt + Job.Estimate.runTime());
      RunningTasks.push_back({Task.Instance, Task.ReservedSize, End});
    }
  }
  return RunningTasks;
}

void Scheduler::reserveFor(const CandidateJob &Candidate, uint32_t TaskCount,
                           TimePoint Now) {
  auto Plan = policy::planAdvanceReservation(State.Pool, runningTasks(Now),
                                             Candidate.Job->Estimate.size(),
                                             TaskCount, Now);
  if (!Plan)
    return;
  for (uint32_t Instance : Plan->Instances)
    State.Pool.setAdvanceReservation(Instance, Plan->Start);
  ActiveReservation = JobReservation{Candidate.Job->Spec.Id, std::move(*Plan)};
}

/// Drops the advance reservation when its job needs none or one of its
/// instances becomes unusable. It is kept past its start: when tasks run longer
/// than expected, its instances drain until the job fits.
void Scheduler::dropStaleReservation() {
  if (!ActiveReservation)
    return;
  JobState *Job = State.findJob(ActiveReservation->JobId);
  bool Usable = std::all_of(
      ActiveReservation->Plan.Instances.begin(),
      ActiveReservation->Plan.Instances.end(),
      [&](uint32_t Instance) { return State.Pool.isUsable(Instance); });
  if (Job && Job->PendingTasks > 0 && Usable)
    return;
  ActiveReservation.reset();
  State.Pool.clearAdvanceReservations();
}

/// Whether room is expected to become free before the target is missed, with
/// enough time left to preempt tasks if it does not.
bool Scheduler::fitsInTime(const CandidateJob &Candidate, TimePoint Now) const {
  auto Plan = policy::planAdvanceReservation(
      State.Pool, runningTasks(Now), Candidate.Job->Estimate.size(), 1, Now);
  return Plan && Plan->Start + StopAllowance < Candidate.DueAt;
}

void Scheduler::preemptFor(const CandidateJob &Candidate, TimePoint Now) {
  if (PreemptingUntil.count(Candidate.Job->Spec.Id))
    return; // Preempted tasks are still stopping.
  std::vector<policy::PreemptionCandidate> Candidates;
  std::vector<TaskState *> CandidateTasks;
  for (const auto &IdAndJob : State.Jobs) {
    const config::WorkClass *Class = &classOf(*CurrentConfig, *IdAndJob.second);
    if (IdAndJob.second->Spec.Kind != config::JobKind::Batch)
      continue;
    for (TaskState &Task : IdAndJob.second->Tasks) {
      if (Task.Phase != TaskPhase::Running || Task.StopRequested)
        continue;
      Candidates.push_back({.Instance = Task.Instance,
                            .Size = Task.ReservedSize,
                            .WaitingTarget = Class->WaitingTarget,
                            .Preemptions = Task.Preemptions,
                            .RunTime = Now - Task.StartedAt});
      CandidateTasks.push_back(&Task);
    }
  }
  uint32_t TaskCount =
      std::min(Candidate.Job->PendingTasks, MaxTasksPerPreemption);
  for (uint32_t I = 0; I < TaskCount; ++I) {
    auto Plan =
        policy::planPreemption(State.Pool, Candidate.Job->Estimate.size(),
                               Candidate.Class->WaitingTarget, Candidates);
    if (!Plan)
      return;
    for (size_t Victim : Plan->Victims) {
      CandidateTasks[Victim]->StopRequested = true;
      Candidates[Victim].Preemptions = policy::MaxPreemptions;
    }
    PreemptingUntil[Candidate.Job->Spec.Id] = Now + PreemptionTimeout;
  }
}

void Scheduler::adjustTightness(const config::ClusterConfig &Config) {
  double Packing = State.packing();
  for (const config::WorkClass &Class : Config.Classes)
    TightnessByClass[Class.Name].adjust(Packing, Class.PackingTarget);
}

} // namespace daisylanding::shard
