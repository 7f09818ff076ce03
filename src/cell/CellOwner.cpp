#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <utility>

namespace daisylanding::cell {

namespace {

constexpr Millis OfferCheckInterval{50};

} // namespace

CellOwner::CellOwner(OwnerOptions Options,
                     std::shared_ptr<const CellConfig> Config)
    : Options(std::move(Options)),
      Pool(this->Options.Leases, this->Options.AcquiredRow.Epoch),
      Caps(this->Options.Service), RowVersion(this->Options.RowVersion),
      Row(this->Options.AcquiredRow), Loading(this->Options.Loading) {
  setConfig(std::move(Config));
}

/// When the store's clock has reached \p StoreClockMs for certain.
TimePoint CellOwner::timeOfStoreClock(int64_t StoreClockMs) const {
  return Options.CreatedAt +
         Millis(StoreClockMs - Options.ClockAtCreation.MinMs);
}

/// Time by which the leases of earlier owners on an executor have expired. If
/// it was silent to the last owner, the earlier time that this one recorded
/// holds.
TimePoint CellOwner::inheritedLeaseEndOn(const std::string &ExecutorId) const {
  const OwnerRow &Acquired = Options.AcquiredRow;
  TimePoint End = timeOfStoreClock(Acquired.LeasesEndMs.value_or(0));
  auto Long = Acquired.LongLeaseEnds.find(ExecutorId);
  if (Long != Acquired.LongLeaseEnds.end())
    return std::max(End, timeOfStoreClock(Long->second));
  auto Found = Acquired.SilentLeaseEnds.find(ExecutorId);
  if (Found == Acquired.SilentLeaseEnds.end())
    return End;
  return std::min(End, timeOfStoreClock(Found->second));
}

LiveJob *CellOwner::findJob(std::string_view JobId) {
  auto Found = Jobs.find(JobId);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

/// The task of a run; none if no such run was recorded.
std::optional<TaskKey> CellOwner::findTask(const executor::RunId &Id) {
  auto Ref = parseTaskName(Id.Task);
  if (!Ref)
    return std::nullopt;
  LiveJob *Job = findJob(Ref->Job);
  if (!Job)
    return std::nullopt;
  auto Occurrence = Job->Occurrences.find(Ref->Occurrence);
  bool Exists = Occurrence != Job->Occurrences.end() &&
                Ref->Step < Occurrence->second.Steps.size() &&
                Ref->Index < Occurrence->second.Steps[Ref->Step].Tasks.size();
  if (!Exists)
    return std::nullopt;
  TaskKey Key{Job, {Ref->Occurrence, Ref->Step, Ref->Index}};
  return Id.Run <= Key.task().Run ? std::optional(Key) : std::nullopt;
}

/// Returns the task if this run of it is open on the executor.
std::optional<TaskKey> CellOwner::findOpenRun(const executor::RunId &Id,
                                              ExecutorIndex Index) {
  auto Key = findTask(Id);
  bool IsCurrent = Key && isOpen(Key->task().Phase) &&
                   Key->task().Executor == Index && Key->task().Run == Id.Run;
  return IsCurrent ? Key : std::nullopt;
}

/// Grows the per-executor tables to the size of the pool.
void CellOwner::resizeExecutorTables() {
  OpenRunsByExecutor.resize(Pool.size());
  HasUnsettledRuns.resize(Pool.size());
  PaceByExecutor.resize(Pool.size());
  Loads.resize(Pool.size());
  Reservations.resize(Pool.size());
}

void CellOwner::markChanged(LiveJob &Job) {
  ++Job.Revision;
  DirtyMark Mark{.Number = NextDirtyNumber, .Sequence = LastBuiltSequence};
  if (DirtyJobs.try_emplace(Job.Spec.Id, Mark).second)
    ++NextDirtyNumber;
}

LiveJob &CellOwner::insertJob(JobSpec Spec, TimePoint AcceptedAt) {
  std::string Id = Spec.Id;
  LiveJob &Added = Jobs[Id];
  Added.Spec = std::move(Spec);
  Added.AcceptedAt = AcceptedAt;
  learnTerms(Added);
  if (Added.Spec.RepeatCount > 0)
    RepeatingJobs.insert(Id);
  return Added;
}

/// Forgets a job that has no open runs.
void CellOwner::removeJob(const std::string &JobId) {
  std::erase_if(OpenAdviceCalls,
                [&](const auto &Entry) { return Entry.second.JobId == JobId; });
  DirtyJobs.erase(JobId);
  RepeatingJobs.erase(JobId);
  Jobs.erase(JobId);
}

void CellOwner::beginOccurrence(LiveJob &Job, uint32_t Number,
                                TimePoint BeginsAt) {
  Job.IdleRevision.reset();
  LiveOccurrence &Occurrence = Job.Occurrences[Number];
  Occurrence.StoredRevision = Job.Revision;
  Occurrence.BeginsAt = BeginsAt;
  Occurrence.DueAt = dueAt(Job, BeginsAt);
  for (const StepSpec &Step : Job.Spec.Steps) {
    Occurrence.Steps.emplace_back();
    Occurrence.Steps.back().Tasks.resize(Step.Count);
  }
}

/// Whether one more occurrence may be open beside those that are.
bool CellOwner::mayBeginOccurrence(const LiveJob &Job) {
  size_t Open = Job.Occurrences.size();
  size_t Tasks = (Open + 1) * tasksPerOccurrence(Job.Spec);
  return Open == 0 || (Open < MaxOpenOccurrences && Tasks <= MaxOpenTasks);
}

void CellOwner::beginDueOccurrences(TimePoint Now, int64_t WallMs) {
  /// Wall clocks of instances differ slightly. An occurrence must not start
  /// before its time; one that starts this much late is acceptable.
  constexpr int64_t ClockSkewMs = 20;
  for (const std::string &Id : RepeatingJobs) {
    LiveJob &Job = Jobs.at(Id);
    if (isFinal(Job.Phase) || Job.Cancelled)
      continue;
    while (Job.NextOccurrence < Job.Spec.RepeatCount) {
      int64_t DueMs =
          Job.Spec.FirstRunMs + Job.NextOccurrence * Job.Spec.IntervalMs;
      if (WallMs < DueMs + ClockSkewMs)
        break;
      uint32_t Number = Job.NextOccurrence;
      bool IsNew =
          !Job.DoneOccurrences.count(Number) && !Job.Occurrences.count(Number);
      if (IsNew && !mayBeginOccurrence(Job))
        break;
      ++Job.NextOccurrence;
      if (IsNew)
        beginOccurrence(Job, Number, Now - Millis(WallMs - DueMs));
    }
  }
}

void CellOwner::accept(JobSpec Spec, TimePoint AcceptedAt, TimePoint Now) {
  auto Ended = EndedJobs.find(Spec.Id);
  if (Ended != EndedJobs.end()) {
    // An entry of an earlier version may have stored it again.
    if (std::exchange(Ended->second.Moved, false))
      RowsToMove.push_back(Spec.Id);
    return;
  }
  if (const LiveJob *Existing = findJob(Spec.Id)) {
    if (Existing->Stored)
      return;
    // The answer to a commit in flight that stores the job tells whose row it
    // is.
    if (isInFlight(Spec.Id))
      InFlight->ShownJobs.insert_or_assign(Existing->Spec.Id, std::move(Spec));
    else
      adoptStoredJob(std::move(Spec), Now);
    return;
  }
  bool Repeats = Spec.RepeatCount > 0;
  LiveJob &Added = insertJob(std::move(Spec), AcceptedAt);
  if (!Repeats) {
    Added.NextOccurrence = 1;
    beginOccurrence(Added, 0, AcceptedAt);
  }
  countSentJob(Added);
  noteArrival(Added, Now);
  logInfo("job-taken", "job={} queue={} steps={} age_ms={}", Added.Spec.Id,
          Added.Spec.Queue, Added.Spec.Steps.size(),
          toMillis(Now - AcceptedAt));
}

void CellOwner::offer(Offer NewOffer, TimePoint AcceptedAt, TimePoint Now) {
  std::string Id = NewOffer.Job.Id;
  if (Releasing || Deposed) {
    NewOffer.Done(OfferOutcome::NotOwner);
    return;
  }
  auto Ended = EndedJobs.find(Id);
  if (Ended != EndedJobs.end()) {
    bool IsSame = Ended->second.Job.WorkHash == workHash(NewOffer.Job);
    NewOffer.Done(IsSame ? OfferOutcome::StoredBefore
                         : OfferOutcome::OtherWork);
    return;
  }
  LiveJob *Existing = findJob(Id);
  if (Existing && !isSameRequest(Existing->Spec, NewOffer.Job)) {
    NewOffer.Done(OfferOutcome::OtherWork);
    return;
  }
  if (Existing && Existing->Stored) {
    NewOffer.Done(OfferOutcome::StoredBefore);
    return;
  }
  if (!Existing &&
      !mayStoreOffered(NewOffer.Job.Queue, NewOffer.SearchedVersion)) {
    logInfo("offer-not-taken", "job={} queue={} searched={} config={}", Id,
            NewOffer.Job.Queue, NewOffer.SearchedVersion, Config->Version);
    NewOffer.Done(OfferOutcome::NotOwner);
    return;
  }
  if (!Existing && refusesForBacklog(NewOffer.Job, AcceptedAt, Now)) {
    NewOffer.Done(OfferOutcome::Refused);
    return;
  }
  if (!Existing) {
    accept(std::move(NewOffer.Job), AcceptedAt, Now);
    Existing = findJob(Id);
    Existing->Stored = false;
    markChanged(*Existing);
  }
  Existing->SearchedVersion =
      std::max(Existing->SearchedVersion, NewOffer.SearchedVersion);
  Existing->OfferDeadline =
      std::max(Existing->OfferDeadline, Now + NewOffer.TimeLeft);
  OpenOffers[Id].push_back(std::move(NewOffer.Done));
}

void CellOwner::failOpenOffers() {
  while (!OpenOffers.empty())
    answerOffers(OpenOffers.begin()->first, OfferOutcome::Unknown);
}

void CellOwner::restore(JobSpec Spec,
                        const std::optional<JobProgress> &Progress,
                        bool Cancelled, TimePoint AcceptedAt, TimePoint Now) {
  if (Progress && isFinal(Progress->Phase)) {
    bool HasOpenRuns = std::any_of(
        Progress->Tasks.begin(), Progress->Tasks.end(),
        [](const auto &Entry) { return isOpen(Entry.second.Phase); });
    if (!HasOpenRuns && Progress->OccurrencesInRows.empty()) {
      addEndedJob(Spec.Id,
                  {.Phase = Progress->Phase,
                   .EndedMs = Progress->EndedMs,
                   .WorkHash = workHash(Spec),
                   .Queue = Spec.Queue},
                  Now);
      return;
    }
  }
  LiveJob &Job = insertJob(std::move(Spec), AcceptedAt);
  if (Job.Spec.RepeatCount == 0) {
    Job.NextOccurrence = 1;
    beginOccurrence(Job, 0, AcceptedAt);
  }
  if (Progress) {
    Job.Phase = Progress->Phase;
    Job.EndedMs = Progress->EndedMs;
    Job.DoneOccurrences = Progress->DoneOccurrences;
    Job.Started = hasBegun(*Progress);
    restoreRows(Job, *Progress);
    for (const auto &[Position, StoredTask] : Progress->Tasks) {
      if (!Job.Occurrences.count(Position.Occurrence))
        beginOccurrence(Job, Position.Occurrence, AcceptedAt);
      TaskKey Key{&Job, Position};
      LiveTask &Task = Key.task();
      Task.Run = StoredTask.Run;
      Task.Failures = StoredTask.Failures;
      Task.KnownFailures.restore(StoredTask.Failures);
      Task.LastRunBeforeLoad =
          isOpen(StoredTask.Phase) ? StoredTask.Run - 1 : StoredTask.Run;
      Task.Crashes = StoredTask.Crashes;
      Task.UnconfirmedCrashes = StoredTask.Crashes;
      keepCheckpoint(Key, StoredTask.Checkpoint);
      Task.Phase = StoredTask.Phase;
      if (!isOpen(StoredTask.Phase))
        continue;
      Task.Executor = noteIncarnation(StoredTask.Executor, StoredTask.Born,
                                      "progress", nullptr, Now);
      Task.Inherited = true;
      Task.PacePercent = UnknownPace;
      Pool[Task.Executor].Info.Address = StoredTask.Address;
      TimePoint &LeaseEnd = Pool[Task.Executor].InheritedLeaseEnd;
      LeaseEnd = std::max(LeaseEnd, inheritedLeaseEndOn(StoredTask.Executor));
      // The instance list may have told of a restart before the jobs were read.
      if (StoredTask.Born < Pool[Task.Executor].Info.Born)
        expectLongLease(Task.Executor, Now);
      reserveCapacity(Key);
      openRun(Key);
    }
    for (const auto &Entry : Progress->Tasks) {
      auto Other = OtherEntries.find(Entry.second.Executor);
      if (Other != OtherEntries.end())
        noteOtherService(Other->second, Now);
    }
  }
  if (Cancelled)
    cancel(Job.Spec.Id, Now);
  if (isFinal(Job.Phase))
    stopAllRuns(Job, Now);
  else
    stopBrokenGangs(Job, Now);
  if (hasRowsToRemove(Job))
    markChanged(Job);
}

/// Stops the remaining members of gangs of which some members had ended under
/// the earlier owner, which may or may not have stopped the others.
void CellOwner::stopBrokenGangs(LiveJob &Job, TimePoint Now) {
  for (auto &[Number, Occurrence] : Job.Occurrences) {
    for (uint32_t StepIndex = 0; StepIndex < Occurrence.Steps.size();
         ++StepIndex) {
      const std::vector<LiveTask> &Members = Occurrence.Steps[StepIndex].Tasks;
      bool IsWhole = std::none_of(Members.begin(), Members.end(),
                                  [](const LiveTask &Member) {
                                    return Member.Phase == TaskPhase::Waiting;
                                  });
      if (!Job.Spec.Steps[StepIndex].Gang || IsWhole)
        continue;
      for (uint32_t I = 0; I < Members.size(); ++I)
        beginStop({&Job, {Number, StepIndex, I}}, Now);
    }
  }
}

void CellOwner::setExecutors(std::span<const executor::ExecutorInfo> List,
                             TimePoint Now) {
  std::vector<executor::ExecutorInfo> OwnExecutors;
  OtherEntries.clear();
  for (const executor::ExecutorInfo &Info : List) {
    if (Info.Service == Options.Service) {
      OwnExecutors.push_back(Info);
      noteIncarnation(Info.Id, Info.Born, "list", nullptr, Now);
      continue;
    }
    noteOtherService(Info, Now);
    if (Loading)
      OtherEntries.emplace(Info.Id, Info);
  }
  for (ExecutorIndex Index : Pool.update(OwnExecutors, Now)) {
    logInfo("executor-listed", "executor={} born={} address={} zone={}",
            Pool[Index].Info.Id, Pool[Index].Info.Born,
            Pool[Index].Info.Address, Pool[Index].Info.AvailabilityZone);
    countLateCrashes(Index, Now);
  }
  resizeExecutorTables();
}

void CellOwner::cancel(std::string_view JobId, TimePoint Now) {
  LiveJob *Job = findJob(JobId);
  if (!Job || Job->Cancelled || isFinal(Job->Phase))
    return;
  Job->Cancelled = true;
  ++Counts.JobsCancelled;
  logInfo("job-cancelled", "job={} open_runs={}", JobId, Job->OpenRuns);
  setFinalPhase(*Job, JobPhase::Cancelled);
  stopAllRuns(*Job, Now);
}

void CellOwner::setFinalPhase(LiveJob &Job, JobPhase Phase) {
  Job.Phase = Phase;
  markChanged(Job);
}

void CellOwner::stopAllRuns(LiveJob &Job, TimePoint Now) {
  for (auto &[Number, Occurrence] : Job.Occurrences) {
    for (uint32_t StepIndex = 0; StepIndex < Occurrence.Steps.size();
         ++StepIndex) {
      for (uint32_t I = 0; I < Occurrence.Steps[StepIndex].Tasks.size(); ++I)
        beginStop({&Job, {Number, StepIndex, I}}, Now);
    }
  }
}

bool CellOwner::isReady(const LiveJob &Job, const LiveOccurrence &Occurrence,
                        uint32_t Step) const {
  for (uint32_t Dependency : Job.Spec.Steps[Step].Dependencies) {
    for (const LiveTask &Task : Occurrence.Steps[Dependency].Tasks) {
      if (Task.Phase != TaskPhase::Done)
        return false;
    }
  }
  return true;
}

/// Ends the occurrence if all of its tasks are done, and the job with its last
/// occurrence.
void CellOwner::completeIfDone(LiveJob &Job, uint32_t Occurrence,
                               TimePoint Now) {
  auto Found = Job.Occurrences.find(Occurrence);
  if (isFinal(Job.Phase) || Found == Job.Occurrences.end())
    return;
  for (const LiveStep &Step : Found->second.Steps) {
    for (const LiveTask &Task : Step.Tasks) {
      if (Task.Phase != TaskPhase::Done)
        return;
    }
  }
  if (Job.Spec.RepeatCount > 0) {
    Job.DoneOccurrences.insert(Occurrence);
    Job.Occurrences.erase(Found);
    markChanged(Job);
    if (Job.DoneOccurrences.size() < Job.Spec.RepeatCount)
      return;
  }
  ++Counts.JobsCompleted;
  setFinalPhase(Job, JobPhase::Completed);
  logInfo("job-completed", "job={} queue={} took_ms={}", Job.Spec.Id,
          Job.Spec.Queue, toMillis(Now - Job.AcceptedAt));
}

OwnerCommands CellOwner::advance(TimePoint Now, int64_t WallMs,
                                 OwnerTurn Turn) {
  if (Deposed || Released || Loading)
    return {};
  beginDueOccurrences(Now, WallMs);
  failJobsOutOfAttempts(Now);
  expireRuns(Now);
  dropUnsentStarts(Now);
  settleEarlierEnds(Now);
  if (Now >= NextOfferCheckAt) {
    NextOfferCheckAt = Now + OfferCheckInterval;
    expireOffers(Now);
  }
  if (Turn == OwnerTurn::Full && !Releasing && mayStart(Now))
    plan(Now);
  emitOrders(Now);
  emitRenewals(Now);
  // Answers add commands between two turns.
  return std::exchange(Commands, {});
}

} // namespace daisylanding::cell
