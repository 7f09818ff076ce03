#include "shard/ShardOwner.h"

#include "policy/Throttle.h"

#include <algorithm>

namespace daisylanding::shard {

namespace {

/// A worker counts as silent and gets no new tasks after this many consecutive
/// failed syncs.
constexpr uint32_t FailedSyncsUntilSilent = 2;

/// A failure within this run time counts against the worker rather than the
/// task.
constexpr Millis QuickFailureLimit{5'000};

constexpr Millis AdjustmentInterval{1'000};

/// Minimum time between syncs that only look for ended tasks.
constexpr Millis MinSyncInterval{100};

EndKind toEndKind(worker::AttemptResult Result) {
  switch (Result) {
  case worker::AttemptResult::Succeeded:
    return EndKind::Succeeded;
  case worker::AttemptResult::Failed:
    return EndKind::Failed;
  case worker::AttemptResult::Stopped:
    return EndKind::Stopped;
  case worker::AttemptResult::Expired:
    return EndKind::Lost;
  }
  return EndKind::Failed;
}

} // namespace

Record toRecord(const InboxItem &Item) {
  if (Item.AcceptedJob)
    return *Item.AcceptedJob;
  return JobStopped{Item.StoppedJob};
}

ShardOwner::ShardOwner(ShardOwnerOptions NewOptions)
    : State(NewOptions.Seed), Options(std::move(NewOptions)),
      WorkerHealth({.FailuresToEject = 3}) {}

std::error_code ShardOwner::load(std::string_view Snapshot,
                                 std::span<const JournalRow> Rows,
                                 uint64_t LastSequence, TimePoint Now) {
  if (!Snapshot.empty()) {
    if (auto Failure = State.restore(Snapshot, JournalListVersion, Now))
      return Failure;
  }
  for (const JournalRow &Row : Rows) {
    JournalListVersion = std::max(JournalListVersion, Row.ListVersion);
    for (const Record &Change : Row.Records) {
      State.apply(Change, Now);
      if (const auto *Started = std::get_if<TaskStarted>(&Change))
        State.onStartWritten(Started->Id, Now);
    }
  }
  for (auto &IdAndJob : State.Jobs) {
    for (uint32_t I = 0; I < IdAndJob.second->Tasks.size(); ++I)
      State.onStartWritten(IdAndJob.second->attemptId(I), Now);
  }
  Sequence = LastSequence;
  return {};
}

void ShardOwner::applyView(
    std::span<const table::Instance> Listed, uint64_t NewListVersion,
    std::shared_ptr<const config::ClusterConfig> NewConfig, TimePoint Now) {
  Config = std::move(NewConfig);
  if (NewListVersion < ListVersion)
    return;
  ListVersion = NewListVersion;
  State.applyInstances(Listed, Config->DrainedInstances);
  // The previous owner may have renewed leases until just before the takeover.
  Workers.resize(State.Instances.size(),
                 {.LeaseUntil = Options.AcquiredAt + Options.Lease});
  WorkerHealth.resize(State.Instances.size());
  refreshUsable(Now);
}

void ShardOwner::refreshUsable(TimePoint Now) {
  for (uint32_t I = 0; I < State.Instances.size(); ++I) {
    const ShardInstance &Instance = State.Instances[I];
    bool Usable = !Instance.Gone && !Instance.Draining &&
                  !isSilent(Workers[I]) && WorkerHealth.isAvailable(I, Now);
    State.Pool.setUsable(I, Usable);
  }
}

void ShardOwner::onInbox(std::span<const InboxItem> Items) {
  for (const InboxItem &Item : Items) {
    if (SeenInboxKeys.insert(Item.Key).second)
      PendingInboxItems.push_back(Item);
  }
}

void ShardOwner::record(Record Change, TimePoint Now) {
  State.apply(Change, Now);
  UnwrittenRecords.push_back(std::move(Change));
}

/// Records the tasks of removed instances as lost.
void ShardOwner::recordLostTasks(TimePoint Now) {
  if (!mayDeclareLoss())
    return;
  for (uint32_t I = 0; I < State.Instances.size(); ++I) {
    if (!State.Instances[I].Gone)
      continue;
    auto Tasks = State.Instances[I].Tasks;
    for (const auto &[JobId, TaskIndex] : Tasks) {
      TaskState &Task = State.findJob(JobId)->Tasks[TaskIndex];
      if (Task.Phase == TaskPhase::Running)
        record(TaskEnded{.Id = {JobId, TaskIndex, Task.Attempt}}, Now);
    }
  }
}

/// Records the leased tasks of a silent worker as lost once the last lease sent
/// to it has expired; the margin allows for clock drift.
void ShardOwner::recordExpiredLeases(TimePoint Now) {
  for (uint32_t I = 0; I < Workers.size(); ++I) {
    bool LeaseExpired = Now >= Workers[I].LeaseUntil + Options.LeaseMargin;
    if (!isSilent(Workers[I]) || !LeaseExpired)
      continue;
    auto Tasks = State.Instances[I].Tasks;
    for (const auto &[JobId, TaskIndex] : Tasks) {
      JobState &Job = *State.findJob(JobId);
      TaskState &Task = Job.Tasks[TaskIndex];
      if (Task.Phase == TaskPhase::Running && Task.Leased)
        record(TaskEnded{.Id = {JobId, TaskIndex, Task.Attempt}}, Now);
    }
  }
}

void ShardOwner::recordJobEnds(TimePoint Now) {
  for (Record &JobEnd : State.findJobEnds())
    record(std::move(JobEnd), Now);
}

void ShardOwner::planStarts(TimePoint Now) {
  if (!Config)
    return;
  refreshUsable(Now);
  for (Record &Start :
       TaskScheduler.plan(*Config, Now, Options.MaxStartsPerGroup))
    UnwrittenRecords.push_back(std::move(Start));
  if (Now < NextAdjustment)
    return;
  NextAdjustment = Now + AdjustmentInterval;
  TaskScheduler.adjustTightness(*Config);
}

std::optional<JournalGroup> ShardOwner::nextGroup(TimePoint Now) {
  if (GroupInFlight)
    return std::nullopt;
  std::vector<InboxItem> ConsumedItems;
  std::swap(ConsumedItems, PendingInboxItems);
  for (const InboxItem &Item : ConsumedItems)
    record(toRecord(Item), Now);
  recordLostTasks(Now);
  recordExpiredLeases(Now);
  recordJobEnds(Now);
  planStarts(Now);
  if (UnwrittenRecords.empty() && ConsumedItems.empty())
    return std::nullopt;
  JournalGroup Group{.Sequence = Sequence + 1,
                     .ConsumedItems = std::move(ConsumedItems)};
  Group.Row.Token = Options.Incarnation + ":" + std::to_string(Group.Sequence);
  Group.Row.ListVersion = ListVersion;
  std::swap(Group.Row.Records, UnwrittenRecords);
  for (const Record &Change : Group.Row.Records) {
    if (const auto *Ended = std::get_if<JobEnded>(&Change))
      Group.EndedJobs.push_back(*Ended);
  }
  GroupInFlight = Group;
  return Group;
}

void ShardOwner::onGroupWritten(TimePoint Now) {
  if (!GroupInFlight)
    return;
  Sequence = GroupInFlight->Sequence;
  for (const InboxItem &Item : GroupInFlight->ConsumedItems)
    SeenInboxKeys.erase(Item.Key);
  for (const Record &Change : GroupInFlight->Row.Records) {
    if (const auto *Started = std::get_if<TaskStarted>(&Change)) {
      TaskState *Task = State.findActiveAttempt(Started->Id);
      if (!Task)
        continue;
      JobState &Job = *State.findJob(Started->Id.Job);
      StartNotices.push_back({.Id = Started->Id,
                              .Instance = Started->Instance,
                              .Class = Job.Spec.Class,
                              .Waited = Now - Task->ReadySince});
      State.onStartWritten(Started->Id, Now);
      Workers[Task->Instance].SyncRequested = true;
    }
  }
  for (WorkerLink &Worker : Workers)
    Worker.SyncRequested =
        Worker.SyncRequested || !Worker.EndsToAcknowledge.empty();
  GroupInFlight.reset();
}

bool ShardOwner::isSilent(const WorkerLink &Worker) const {
  return Worker.FailedSyncs >= FailedSyncsUntilSilent;
}

/// Renews the lease while the ownership is confirmed and the worker answers.
/// The lease of a silent worker is left to expire.
void ShardOwner::renewLease(WorkerLink &Worker, worker::SyncRequest &Request,
                            TimePoint Now) {
  TimePoint LeaseUntil = OwnershipConfirmedAt + Options.Lease;
  if (Worker.Boot.empty() || isSilent(Worker) || LeaseUntil <= Now)
    return;
  Request.LeaseEndMs =
      toMillis(LeaseUntil.time_since_epoch()) + Worker.ClockOffsetMs;
  Worker.LeaseUntil = std::max(Worker.LeaseUntil, LeaseUntil);
}

worker::SyncRequest ShardOwner::buildSyncRequest(uint32_t InstanceIndex,
                                                 TimePoint Now) {
  WorkerLink &Worker = Workers[InstanceIndex];
  worker::SyncRequest Request{.Shard = Options.Id,
                              .Epoch = Options.Epoch,
                              .Sequence = ++SyncSequence,
                              .Boot = Worker.Boot,
                              .ThrottlePercent = Worker.ThrottlePercent};
  renewLease(Worker, Request, Now);
  Worker.ExpectedAttempts.clear();
  if (Worker.Boot.empty())
    return Request; // The first sync only learns the boot.
  for (const auto &[JobId, TaskIndex] : State.Instances[InstanceIndex].Tasks) {
    JobState &Job = *State.findJob(JobId);
    TaskState &Task = Job.Tasks[TaskIndex];
    if (Task.Phase != TaskPhase::Running)
      continue;
    AttemptId Id = Job.attemptId(TaskIndex);
    Worker.ExpectedAttempts.push_back(Id);
    bool DrainsService = State.Instances[InstanceIndex].Draining &&
                         Job.Spec.Kind == config::JobKind::Service;
    if (Task.StopRequested || DrainsService)
      Request.Stops.push_back({.Id = Id, .TakeCheckpoint = !Job.Stopping});
    if (Task.Confirmed)
      continue;
    bool IsService = Job.Spec.Kind == config::JobKind::Service;
    Request.Starts.push_back(
        {.Id = Id,
         .Size = Task.RecordedSize,
         .RunTime = IsService ? Millis(0) : Job.Spec.RunTime,
         .Leased = Task.Leased,
         .Payload = Job.Spec.Payload});
  }
  for (const AttemptId &Id : Worker.UnrecordedAttempts)
    Request.Stops.push_back({.Id = Id});
  Worker.UnrecordedAttempts.clear();
  std::swap(Request.Acknowledged, Worker.EndsToAcknowledge);
  return Request;
}

/// Returns the time of the next regular sync: the interval, or earlier when a
/// task is expected to end, so that its capacity does not stay idle.
TimePoint ShardOwner::nextSyncTime(uint32_t InstanceIndex,
                                   TimePoint Now) const {
  TimePoint NextSyncAt = Now + Options.SyncInterval;
  for (const auto &[JobId, TaskIndex] : State.Instances[InstanceIndex].Tasks) {
    const JobState &Job = *State.Jobs.find(JobId)->second;
    if (Job.Spec.Kind == config::JobKind::Service)
      continue;
    TimePoint ExpectedEnd =
        Job.Tasks[TaskIndex].StartedAt + Job.Estimate.runTime();
    // The later a task is, the less often its end is looked for.
    Micros Wait = ExpectedEnd > Now ? ExpectedEnd - Now : Now - ExpectedEnd;
    NextSyncAt =
        std::min(NextSyncAt, Now + std::max<Micros>(Wait, MinSyncInterval));
  }
  return NextSyncAt;
}

std::vector<WorkerCall> ShardOwner::dueSyncs(TimePoint Now) {
  std::vector<WorkerCall> Calls;
  for (uint32_t I = 0; I < Workers.size(); ++I) {
    WorkerLink &Worker = Workers[I];
    if (State.Instances[I].Gone || Worker.SyncInFlight)
      continue;
    bool SyncDue = Now >= Worker.NextSyncAt;
    if (!SyncDue && !(Worker.SyncRequested && Worker.FailedSyncs == 0))
      continue;
    Worker.SyncInFlight = true;
    Worker.SyncRequested = false;
    Worker.NextSyncAt = nextSyncTime(I, Now);
    Calls.push_back({I, State.Instances[I].Address, buildSyncRequest(I, Now)});
  }
  return Calls;
}

void ShardOwner::onSyncResult(uint32_t InstanceIndex,
                              const Result<worker::SyncReport> &Report,
                              TimePoint Now) {
  WorkerLink &Worker = Workers[InstanceIndex];
  Worker.SyncInFlight = false;
  if (!Report) {
    ++Worker.FailedSyncs;
    return;
  }
  Worker.FailedSyncs = 0;
  onReport(InstanceIndex, *Report, Now);
}

void ShardOwner::onReport(uint32_t InstanceIndex,
                          const worker::SyncReport &Report, TimePoint Now) {
  WorkerLink &Worker = Workers[InstanceIndex];
  bool Rebooted = !Worker.Boot.empty() && Worker.Boot != Report.Boot;
  Worker.SyncRequested = Worker.SyncRequested || Worker.Boot != Report.Boot;
  Worker.Boot = Report.Boot;
  Worker.ClockOffsetMs = Report.ClockMs - toMillis(Now.time_since_epoch()) - 1;
  for (const worker::EndedReport &Ended : Report.Ended)
    onEndedReport(InstanceIndex, Ended, Now);
  for (const worker::RunningReport &Running : Report.Running)
    onRunningReport(InstanceIndex, Running);
  recordMissingAttempts(InstanceIndex, Report, Rebooted, Now);
  relieveOverload(InstanceIndex, Report);
}

/// Throttles tasks that together use more cores than the instance has. If they
/// use more memory than it has, the youngest batch task is stopped with a
/// checkpoint.
void ShardOwner::relieveOverload(uint32_t InstanceIndex,
                                 const worker::SyncReport &Report) {
  uint64_t Cores = 0;
  uint64_t Memory = 0;
  TaskState *Youngest = nullptr;
  for (const worker::RunningReport &Running : Report.Running) {
    Cores += Running.Usage.MilliCores;
    Memory += Running.Usage.MemoryMb;
    TaskState *Task = State.findActiveAttempt(Running.Id);
    bool MayStop = Task && State.findJob(Running.Id.Job)->Spec.Kind ==
                               config::JobKind::Batch;
    if (MayStop && (!Youngest || Task->StartedAt > Youngest->StartedAt))
      Youngest = Task;
  }
  const table::Resources &Capacity = State.Pool.capacity(InstanceIndex);
  Workers[InstanceIndex].ThrottlePercent =
      policy::throttlePercent(Cores, Capacity.MilliCores);
  bool OutOfMemory = Memory > Capacity.MemoryMb;
  if (!OutOfMemory || !Youngest || Youngest->StopRequested)
    return;
  Youngest->StopRequested = true;
  Workers[InstanceIndex].SyncRequested = true;
}

void ShardOwner::onEndedReport(uint32_t InstanceIndex,
                               const worker::EndedReport &Report,
                               TimePoint Now) {
  TaskState *Task = State.findActiveAttempt(Report.Id);
  EndKind Kind = toEndKind(Report.Result);
  if (Task && Task->Phase == TaskPhase::Running &&
      Task->Instance == InstanceIndex) {
    record(TaskEnded{Report.Id, Kind, Report.PeakUsage, Report.RunTime}, Now);
    recordHealth(InstanceIndex, Kind, Report.RunTime, Now);
    return;
  }
  // The end is already in the journal or about to be written; the worker may
  // forget it only once it is written.
  auto IsThisEnd = [&](const Record &Change) {
    const auto *Ended = std::get_if<TaskEnded>(&Change);
    return Ended && Ended->Id == Report.Id;
  };
  bool Unwritten =
      std::any_of(UnwrittenRecords.begin(), UnwrittenRecords.end(), IsThisEnd);
  if (GroupInFlight)
    Unwritten |= std::any_of(GroupInFlight->Row.Records.begin(),
                             GroupInFlight->Row.Records.end(), IsThisEnd);
  if (!Unwritten)
    Workers[InstanceIndex].EndsToAcknowledge.push_back(Report.Id);
}

void ShardOwner::onRunningReport(uint32_t InstanceIndex,
                                 const worker::RunningReport &Report) {
  TaskState *Task = State.findActiveAttempt(Report.Id);
  if (!Task || Task->Instance != InstanceIndex) {
    Workers[InstanceIndex].UnrecordedAttempts.push_back(Report.Id);
    Workers[InstanceIndex].SyncRequested = true;
    return;
  }
  Task->Confirmed = true;
  State.findJob(Report.Id.Job)->Estimate.recordUse(Report.Usage);
}

/// Records as lost the expected attempts that the worker does not report: it
/// refused them or lost them.
void ShardOwner::recordMissingAttempts(uint32_t InstanceIndex,
                                       const worker::SyncReport &Report,
                                       bool Rebooted, TimePoint Now) {
  std::set<AttemptId> Reported;
  for (const worker::RunningReport &Attempt : Report.Running)
    Reported.insert(Attempt.Id);
  for (const worker::EndedReport &Attempt : Report.Ended)
    Reported.insert(Attempt.Id);
  for (const AttemptId &Id : Workers[InstanceIndex].ExpectedAttempts) {
    TaskState *Task = State.findActiveAttempt(Id);
    if (!Task || Reported.count(Id) || Task->Phase != TaskPhase::Running)
      continue;
    record(TaskEnded{.Id = Id}, Now);
    if (!Rebooted)
      recordHealth(InstanceIndex, EndKind::Failed, Millis(0), Now);
  }
}

void ShardOwner::recordHealth(uint32_t InstanceIndex, EndKind Kind,
                              Millis RunTime, TimePoint Now) {
  if (Kind == EndKind::Succeeded)
    WorkerHealth.recordSuccess(InstanceIndex);
  else if (Kind == EndKind::Failed && RunTime < QuickFailureLimit)
    WorkerHealth.recordFailure(InstanceIndex, Now);
}

std::optional<JobStatus> ShardOwner::status(std::string_view JobId) const {
  auto Found = State.Jobs.find(JobId);
  if (Found == State.Jobs.end())
    return std::nullopt;
  const JobState &Job = *Found->second;
  JobStatus Status{.Spec = Job.Spec,
                   .Pending = Job.PendingTasks,
                   .Running = Job.ActiveTasks,
                   .Stopping = Job.Stopping};
  for (const TaskState &Task : Job.Tasks) {
    Status.Succeeded += Task.Succeeded;
    Status.Failures += Task.Failures;
  }
  return Status;
}

std::string ShardOwner::snapshotText() const {
  return State.snapshotText(ListVersion);
}

} // namespace daisylanding::shard
