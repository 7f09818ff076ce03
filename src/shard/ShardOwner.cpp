#include "shard/ShardOwner.h"

#include "policy/Throttle.h"

#include <algorithm>

namespace daisylanding::shard {

namespace {

/// A worker that misses this many syncs in a row gets no new tasks.
constexpr uint32_t SilentSyncsToAvoid = 2;

/// A failure within this time speaks against the worker, not the task.
constexpr Millis QuickFailure{5'000};

constexpr Millis AdjustInterval{1'000};

/// Between two exchanges with one worker that only look for ended tasks.
constexpr Millis ShortestInterval{100};

EndReason endReason(worker::AttemptResult Result) {
  switch (Result) {
  case worker::AttemptResult::Succeeded:
    return EndReason::Succeeded;
  case worker::AttemptResult::Failed:
    return EndReason::Failed;
  case worker::AttemptResult::Stopped:
    return EndReason::Stopped;
  case worker::AttemptResult::Expired:
    return EndReason::Lost;
  }
  return EndReason::Failed;
}

} // namespace

Record recordOf(const InboxItem &Item) {
  if (Item.Accept)
    return *Item.Accept;
  return JobStopped{Item.Stop};
}

ShardOwner::ShardOwner(ShardOwnerOptions NewOptions)
    : State(NewOptions.Seed), Options(std::move(NewOptions)),
      Health({.FailuresToEject = 3}) {}

std::error_code ShardOwner::load(std::string_view Snapshot,
                                 std::span<const JournalRow> Rows,
                                 uint64_t LastSequence, TimePoint Now) {
  if (!Snapshot.empty()) {
    if (auto Failure = State.restore(Snapshot, JournalListVersion, Now))
      return Failure;
  }
  for (const JournalRow &Row : Rows) {
    JournalListVersion = std::max(JournalListVersion, Row.ListVersion);
    for (const Record &Each : Row.Records) {
      State.apply(Each, Now);
      if (const auto *Started = std::get_if<TaskStarted>(&Each))
        State.startWritten(Started->Id, Now);
    }
  }
  for (auto &Each : State.Jobs) {
    for (uint32_t I = 0; I < Each.second->Tasks.size(); ++I)
      State.startWritten(Each.second->attemptOf(I), Now);
  }
  Sequence = LastSequence;
  return {};
}

void ShardOwner::applyView(std::span<const table::Instance> Listed,
                           uint64_t NewListVersion,
                           std::shared_ptr<const config::ClusterConfig> Next,
                           TimePoint Now) {
  Config = std::move(Next);
  if (NewListVersion < ListVersion)
    return;
  ListVersion = NewListVersion;
  State.applyInstances(Listed, Config->DrainedInstances);
  // An earlier owner may have renewed until just before it was replaced.
  Links.resize(State.Instances.size(),
               {.LeaseUntil = Options.TakenAt + Options.Lease});
  Health.resize(State.Instances.size());
  refreshUsable(Now);
}

void ShardOwner::refreshUsable(TimePoint Now) {
  for (uint32_t I = 0; I < State.Instances.size(); ++I) {
    const ShardInstance &Each = State.Instances[I];
    bool Usable = !Each.Gone && !Each.Draining && !silent(Links[I]) &&
                  Health.available(I, Now);
    State.Pool.setUsable(I, Usable);
  }
}

void ShardOwner::onInbox(std::span<const InboxItem> Items) {
  for (const InboxItem &Each : Items) {
    if (InboxSeen.insert(Each.Key).second)
      QueuedInbox.push_back(Each);
  }
}

void ShardOwner::record(Record Each, TimePoint Now) {
  State.apply(Each, Now);
  Queue.push_back(std::move(Each));
}

/// Tasks on instances that the platform lists as gone are over.
void ShardOwner::recordLosses(TimePoint Now) {
  if (!mayDeclareLoss())
    return;
  for (uint32_t I = 0; I < State.Instances.size(); ++I) {
    if (!State.Instances[I].Gone)
      continue;
    auto Tasks = State.Instances[I].Tasks;
    for (const auto &[JobId, Index] : Tasks) {
      Task &Each = State.find(JobId)->Tasks[Index];
      if (Each.Phase == TaskPhase::Running)
        record(TaskEnded{.Id = {JobId, Index, Each.Attempt}}, Now);
    }
  }
}

/// Leased tasks of a silent worker are over when the last lease sent to it
/// has ended, with the margin for drift between the clocks.
void ShardOwner::recordLapses(TimePoint Now) {
  for (uint32_t I = 0; I < Links.size(); ++I) {
    bool Lapsed = Now >= Links[I].LeaseUntil + Options.LeaseMargin;
    if (!silent(Links[I]) || !Lapsed)
      continue;
    auto Tasks = State.Instances[I].Tasks;
    for (const auto &[JobId, Index] : Tasks) {
      Job &Owner = *State.find(JobId);
      Task &Each = Owner.Tasks[Index];
      if (Each.Phase == TaskPhase::Running && Each.Leased)
        record(TaskEnded{.Id = {JobId, Index, Each.Attempt}}, Now);
    }
  }
}

void ShardOwner::recordEndings(TimePoint Now) {
  for (Record &Each : State.endings())
    record(std::move(Each), Now);
}

void ShardOwner::planStarts(TimePoint Now) {
  if (!Config)
    return;
  refreshUsable(Now);
  for (Record &Each : Decisions.plan(*Config, Now, Options.MaxStartsPerGroup))
    Queue.push_back(std::move(Each));
  if (Now < NextAdjust)
    return;
  NextAdjust = Now + AdjustInterval;
  Decisions.adjustTargets(*Config);
}

std::optional<JournalGroup> ShardOwner::nextGroup(TimePoint Now) {
  if (InFlight)
    return std::nullopt;
  std::vector<InboxItem> Consumed;
  std::swap(Consumed, QueuedInbox);
  for (const InboxItem &Each : Consumed)
    record(recordOf(Each), Now);
  recordLosses(Now);
  recordLapses(Now);
  recordEndings(Now);
  planStarts(Now);
  if (Queue.empty() && Consumed.empty())
    return std::nullopt;
  JournalGroup Group{.Sequence = Sequence + 1, .Consumed = std::move(Consumed)};
  Group.Row.Token = Options.Incarnation + ":" + std::to_string(Group.Sequence);
  Group.Row.ListVersion = ListVersion;
  std::swap(Group.Row.Records, Queue);
  for (const Record &Each : Group.Row.Records) {
    if (const auto *Ended = std::get_if<JobEnded>(&Each))
      Group.Ended.push_back(*Ended);
  }
  InFlight = Group;
  return Group;
}

void ShardOwner::onWritten(TimePoint Now) {
  if (!InFlight)
    return;
  Sequence = InFlight->Sequence;
  for (const InboxItem &Each : InFlight->Consumed)
    InboxSeen.erase(Each.Key);
  for (const Record &Each : InFlight->Row.Records) {
    if (const auto *Started = std::get_if<TaskStarted>(&Each)) {
      Task *One = State.activeAttempt(Started->Id);
      if (!One)
        continue;
      Job &Owner = *State.find(Started->Id.Job);
      Notices.push_back({.Id = Started->Id,
                         .Instance = Started->Instance,
                         .Class = Owner.Spec.Class,
                         .Waited = Now - One->ReadySince});
      State.startWritten(Started->Id, Now);
      Links[One->Instance].Dirty = true;
    }
  }
  for (Link &Each : Links)
    Each.Dirty = Each.Dirty || !Each.Acknowledge.empty();
  InFlight.reset();
}

bool ShardOwner::silent(const Link &Each) const {
  return Each.SilentSyncs >= SilentSyncsToAvoid;
}

/// Renews while the ownership is confirmed and the worker answers; a silent
/// worker's lease is let run out.
void ShardOwner::renewLease(Link &To, worker::SyncRequest &Request,
                            TimePoint Now) {
  TimePoint Until = Confirmed + Options.Lease;
  if (To.Boot.empty() || silent(To) || Until <= Now)
    return;
  Request.LeaseEndMs = toMillis(Until.time_since_epoch()) + To.ClockOffsetMs;
  To.LeaseUntil = std::max(To.LeaseUntil, Until);
}

worker::SyncRequest ShardOwner::buildSync(uint32_t Index, TimePoint Now) {
  Link &To = Links[Index];
  worker::SyncRequest Request{.Shard = Options.Id,
                              .Epoch = Options.Epoch,
                              .Sequence = ++SyncSequence,
                              .Boot = To.Boot,
                              .ThrottlePercent = To.ThrottlePercent};
  renewLease(To, Request, Now);
  To.Told.clear();
  if (To.Boot.empty())
    return Request; // The first exchange only asks who is there.
  for (const auto &[JobId, TaskIndex] : State.Instances[Index].Tasks) {
    Job &Owner = *State.find(JobId);
    Task &Each = Owner.Tasks[TaskIndex];
    if (Each.Phase != TaskPhase::Running)
      continue;
    AttemptId Id = Owner.attemptOf(TaskIndex);
    To.Told.push_back(Id);
    bool Drain = State.Instances[Index].Draining &&
                 Owner.Spec.Kind == config::JobKind::Service;
    if (Each.StopAsked || Drain)
      Request.Stops.push_back({.Id = Id, .TakeCheckpoint = !Owner.Stopping});
    if (Each.Confirmed)
      continue;
    bool Endless = Owner.Spec.Kind == config::JobKind::Service;
    Request.Starts.push_back(
        {.Id = Id,
         .Size = Each.Recorded,
         .RunTime = Endless ? Millis(0) : Owner.Spec.RunTime,
         .Leased = Each.Leased,
         .Payload = Owner.Spec.Payload});
  }
  for (const AttemptId &Id : To.Orphans)
    Request.Stops.push_back({.Id = Id});
  To.Orphans.clear();
  std::swap(Request.Acknowledged, To.Acknowledge);
  return Request;
}

/// The next exchange that nothing else asks for: when a task there is expected
/// to end, so that its place is not idle until the interval is over.
TimePoint ShardOwner::nextSync(uint32_t Index, TimePoint Now) const {
  TimePoint Next = Now + Options.SyncInterval;
  for (const auto &[JobId, TaskIndex] : State.Instances[Index].Tasks) {
    const Job &Owner = *State.Jobs.find(JobId)->second;
    if (Owner.Spec.Kind == config::JobKind::Service)
      continue;
    TimePoint End = Owner.Tasks[TaskIndex].StartedAt + Owner.Estimate.runTime();
    // An overdue task is looked for ever more seldom.
    Micros Wait = End > Now ? End - Now : Now - End;
    Next = std::min(Next, Now + std::max<Micros>(Wait, ShortestInterval));
  }
  return Next;
}

std::vector<WorkerCall> ShardOwner::dueSyncs(TimePoint Now) {
  std::vector<WorkerCall> Out;
  for (uint32_t I = 0; I < Links.size(); ++I) {
    Link &Each = Links[I];
    if (State.Instances[I].Gone || Each.InFlight)
      continue;
    bool Due = Now >= Each.NextSync;
    if (!Due && !(Each.Dirty && Each.SilentSyncs == 0))
      continue;
    Each.InFlight = true;
    Each.Dirty = false;
    Each.NextSync = nextSync(I, Now);
    Out.push_back({I, State.Instances[I].Address, buildSync(I, Now)});
  }
  return Out;
}

void ShardOwner::onSynced(uint32_t Index,
                          const Result<worker::SyncReport> &Report,
                          TimePoint Now) {
  Link &From = Links[Index];
  From.InFlight = false;
  if (!Report) {
    ++From.SilentSyncs;
    return;
  }
  From.SilentSyncs = 0;
  onReport(Index, *Report, Now);
}

void ShardOwner::onReport(uint32_t Index, const worker::SyncReport &Report,
                          TimePoint Now) {
  Link &From = Links[Index];
  bool Rebooted = !From.Boot.empty() && From.Boot != Report.Boot;
  From.Dirty = From.Dirty || From.Boot != Report.Boot;
  From.Boot = Report.Boot;
  From.ClockOffsetMs = Report.ClockMs - toMillis(Now.time_since_epoch()) - 1;
  for (const worker::EndedReport &Each : Report.Ended)
    onEndedReport(Index, Each, Now);
  for (const worker::RunningReport &Each : Report.Running)
    onRunningReport(Index, Each);
  recordMissing(Index, Report, Rebooted, Now);
  relieve(Index, Report);
}

/// Tasks that use more than they declared are throttled to the instance's
/// cores; when they use more memory than it has, the youngest batch task is
/// stopped with its checkpoint.
void ShardOwner::relieve(uint32_t Index, const worker::SyncReport &Report) {
  uint64_t Cores = 0;
  uint64_t Memory = 0;
  Task *Youngest = nullptr;
  for (const worker::RunningReport &Each : Report.Running) {
    Cores += Each.Usage.MilliCores;
    Memory += Each.Usage.MemoryMb;
    Task *One = State.activeAttempt(Each.Id);
    bool MayStop =
        One && State.find(Each.Id.Job)->Spec.Kind == config::JobKind::Batch;
    if (MayStop && (!Youngest || One->StartedAt > Youngest->StartedAt))
      Youngest = One;
  }
  const table::Resources &Capacity = State.Pool.capacity(Index);
  Links[Index].ThrottlePercent =
      policy::throttlePercent(Cores, Capacity.MilliCores);
  bool OutOfMemory = Memory > Capacity.MemoryMb;
  if (!OutOfMemory || !Youngest || Youngest->StopAsked)
    return;
  Youngest->StopAsked = true;
  Links[Index].Dirty = true;
}

void ShardOwner::onEndedReport(uint32_t Index, const worker::EndedReport &Each,
                               TimePoint Now) {
  Task *One = State.activeAttempt(Each.Id);
  EndReason Reason = endReason(Each.Result);
  if (One && One->Phase == TaskPhase::Running && One->Instance == Index) {
    record(TaskEnded{Each.Id, Reason, Each.PeakUsage, Each.RunTime}, Now);
    noteHealth(Index, Reason, Each.RunTime, Now);
    return;
  }
  // Its end is in the journal, or about to be; it may be forgotten only when
  // that is written.
  auto IsThisEnd = [&](const Record &Other) {
    const auto *Ended = std::get_if<TaskEnded>(&Other);
    return Ended && Ended->Id == Each.Id;
  };
  bool Unwritten = std::any_of(Queue.begin(), Queue.end(), IsThisEnd);
  if (InFlight)
    Unwritten |= std::any_of(InFlight->Row.Records.begin(),
                             InFlight->Row.Records.end(), IsThisEnd);
  if (!Unwritten)
    Links[Index].Acknowledge.push_back(Each.Id);
}

void ShardOwner::onRunningReport(uint32_t Index,
                                 const worker::RunningReport &Each) {
  Task *One = State.activeAttempt(Each.Id);
  if (!One || One->Instance != Index) {
    Links[Index].Orphans.push_back(Each.Id);
    Links[Index].Dirty = true;
    return;
  }
  One->Confirmed = true;
  State.find(Each.Id.Job)->Estimate.sawUse(Each.Usage);
}

/// What the worker was told to run, or ran before, and does not report is
/// over: it lost it, or refused it.
void ShardOwner::recordMissing(uint32_t Index, const worker::SyncReport &Report,
                               bool Rebooted, TimePoint Now) {
  std::set<AttemptId> Reported;
  for (const worker::RunningReport &Each : Report.Running)
    Reported.insert(Each.Id);
  for (const worker::EndedReport &Each : Report.Ended)
    Reported.insert(Each.Id);
  for (const AttemptId &Id : Links[Index].Told) {
    Task *One = State.activeAttempt(Id);
    if (!One || Reported.count(Id) || One->Phase != TaskPhase::Running)
      continue;
    record(TaskEnded{.Id = Id}, Now);
    if (!Rebooted)
      noteHealth(Index, EndReason::Failed, Millis(0), Now);
  }
}

void ShardOwner::noteHealth(uint32_t Index, EndReason Reason, Millis Ran,
                            TimePoint Now) {
  if (Reason == EndReason::Succeeded)
    Health.succeeded(Index);
  else if (Reason == EndReason::Failed && Ran < QuickFailure)
    Health.failed(Index, Now);
}

std::optional<JobStatus> ShardOwner::status(std::string_view JobId) const {
  auto Found = State.Jobs.find(JobId);
  if (Found == State.Jobs.end())
    return std::nullopt;
  const Job &Owner = *Found->second;
  JobStatus Out{.Spec = Owner.Spec,
                .Pending = Owner.Pending,
                .Running = Owner.Active,
                .Stopping = Owner.Stopping};
  for (const Task &Each : Owner.Tasks) {
    Out.Succeeded += Each.Succeeded;
    Out.Failures += Each.Failures;
  }
  return Out;
}

std::string ShardOwner::snapshotText() const {
  return State.snapshotText(ListVersion);
}

} // namespace daisylanding::shard
