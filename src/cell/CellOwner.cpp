#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>

namespace daisylanding::cell {

CellOwner::CellOwner(OwnerOptions Options,
                     std::shared_ptr<const CellConfig> Config)
    : Options(std::move(Options)), Config(std::move(Config)),
      Pool(this->Options.Contact), RowVersion(this->Options.RowVersion),
      Row(this->Options.Mine) {}

void CellOwner::setConfig(std::shared_ptr<const CellConfig> Next) {
  Config = std::move(Next);
}

/// When leases of earlier owners have ended on an executor that this owner
/// has not heard of. One that the last owner had not heard of either keeps
/// its earlier end.
TimePoint CellOwner::inheritedEnd(const std::string &ExecutorId) const {
  auto Known = Options.Mine.Unmet.find(ExecutorId);
  if (Known == Options.Mine.Unmet.end())
    return Options.InheritedLeaseEnd;
  TimePoint End = Options.Began + Millis(Known->second - Options.StoreMillis);
  return std::min(End, Options.InheritedLeaseEnd);
}

LiveJob *CellOwner::find(std::string_view JobId) {
  auto Found = Jobs.find(JobId);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

std::optional<TaskKey> CellOwner::find(const executor::RunId &What) {
  auto Ref = parseTaskName(What.Task);
  if (!Ref)
    return std::nullopt;
  LiveJob *Job = find(Ref->Job);
  if (!Job)
    return std::nullopt;
  auto In = Job->Occurrences.find(Ref->Occurrence);
  bool Known = In != Job->Occurrences.end() &&
               Ref->Step < In->second.Steps.size() &&
               Ref->Index < In->second.Steps[Ref->Step].Tasks.size();
  if (!Known)
    return std::nullopt;
  return TaskKey{Job, {Ref->Occurrence, Ref->Step, Ref->Index}};
}

/// The task of a run that is open on that executor.
std::optional<TaskKey> CellOwner::findOpen(const executor::RunId &What,
                                           ExecutorIndex On) {
  auto Key = find(What);
  bool Open = Key && isOpen(Key->task().Phase) && Key->task().On == On &&
              Key->task().Run == What.Run;
  return Open ? Key : std::nullopt;
}

/// What is kept by executor has a place for each.
void CellOwner::growWithPool() {
  OpenOn.resize(Pool.size());
  Paces.resize(Pool.size());
  Kept.resize(Pool.size());
}

void CellOwner::changed(LiveJob &Job) {
  ++Job.Changed;
  if (DirtyJobs.try_emplace(Job.Spec.Id, NextDirty).second)
    ++NextDirty;
}

LiveJob &CellOwner::add(JobSpec Job, TimePoint AcceptedAt) {
  std::string Id = Job.Id;
  LiveJob &Out = Jobs[Id];
  Out.Spec = std::move(Job);
  Out.AcceptedAt = AcceptedAt;
  return Out;
}

/// The longest chain of estimates from the first step to the last.
Millis CellOwner::chainOf(const LiveJob &Job) const {
  std::vector<Millis> Ends;
  Millis Longest{0};
  for (const StepSpec &Each : Job.Spec.Steps) {
    Millis Begin{0};
    for (uint32_t Before : Each.After)
      Begin = std::max(Begin, Ends[Before]);
    Ends.push_back(Begin + Each.Estimate);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

void CellOwner::beginOccurrence(LiveJob &Job, uint32_t Number,
                                TimePoint Begin) {
  LiveOccurrence &In = Job.Occurrences[Number];
  const Queue *From = Config->queue(Job.Spec.Queue);
  double Stretch = From ? From->Stretch : 1;
  Millis Target = From ? From->TargetLatency : Millis(0);
  Millis Chain = chainOf(Job);
  In.Begin = Begin;
  In.Due = Begin + Target +
           Millis(static_cast<int64_t>(Stretch *
                                       static_cast<double>(Chain.count())));
  for (const StepSpec &Each : Job.Spec.Steps) {
    In.Steps.emplace_back();
    In.Steps.back().Tasks.resize(Each.Count);
  }
}

void CellOwner::beginDue(TimePoint Now, int64_t WallMs) {
  /// Wall clocks of instances differ a little; starting early breaks a
  /// promise, starting this much late does not.
  constexpr int64_t ClockSkewMs = 20;
  for (auto &[Id, Job] : Jobs) {
    if (isFinal(Job.Phase) || Job.Cancelled || Job.Spec.RepeatCount == 0)
      continue;
    while (Job.NextOccurrence < Job.Spec.RepeatCount) {
      int64_t Due =
          Job.Spec.FirstRunMs + Job.NextOccurrence * Job.Spec.IntervalMs;
      if (WallMs < Due + ClockSkewMs)
        break;
      uint32_t Number = Job.NextOccurrence++;
      if (!Job.DoneOccurrences.count(Number) && !Job.Occurrences.count(Number))
        beginOccurrence(Job, Number, Now - Millis(WallMs - Due));
    }
  }
}

void CellOwner::accept(JobSpec Job, TimePoint AcceptedAt, TimePoint Now) {
  if (EndedJobs.count(Job.Id))
    return;
  if (const LiveJob *Known = find(Job.Id)) {
    // One that is on its way to the store is settled by that commit's answer.
    if (!Known->Stored && !isOnItsWay(Job.Id))
      adoptStored(std::move(Job), Now);
    return;
  }
  bool Timed = Job.RepeatCount > 0;
  LiveJob &Added = add(std::move(Job), AcceptedAt);
  if (!Timed) {
    Added.NextOccurrence = 1;
    beginOccurrence(Added, 0, AcceptedAt);
  }
  logInfo("job-taken", "job={} queue={} steps={} age_ms={}", Added.Spec.Id,
          Added.Spec.Queue, Added.Spec.Steps.size(),
          toMillis(Now - AcceptedAt));
}

void CellOwner::offer(Offer What, TimePoint AcceptedAt, TimePoint Now) {
  std::string Id = What.Job.Id;
  if (Releasing || Deposed) {
    What.Done(Verdict::NotOwner);
    return;
  }
  if (EndedJobs.count(Id)) {
    What.Done(Verdict::StoredBefore);
    return;
  }
  LiveJob *Known = find(Id);
  if (Known && !sameWork(Known->Spec, What.Job)) {
    What.Done(Verdict::OtherWork);
    return;
  }
  if (Known && Known->Stored) {
    What.Done(Verdict::StoredBefore);
    return;
  }
  if (!Known) {
    accept(std::move(What.Job), AcceptedAt, Now);
    Known = find(Id);
    Known->Stored = false;
    changed(*Known);
  }
  Known->OfferedUntil = std::max(Known->OfferedUntil, Now + What.Within);
  Offers[Id].push_back(std::move(What.Done));
}

void CellOwner::giveUpOffers() {
  while (!Offers.empty())
    answerOffers(Offers.begin()->first, Verdict::Unknown);
}

void CellOwner::restore(JobSpec Job, const std::optional<JobProgress> &Progress,
                        bool Cancelled, TimePoint AcceptedAt, TimePoint Now) {
  if (Progress && isFinal(Progress->Phase)) {
    bool Open =
        std::any_of(Progress->Tasks.begin(), Progress->Tasks.end(),
                    [](const auto &Each) { return isOpen(Each.second.Phase); });
    if (!Open) {
      EndedJobs.insert(Job.Id);
      Removals.emplace_back(Now + 2 * Options.StatusKept, Job.Id);
      return;
    }
  }
  LiveJob &Added = add(std::move(Job), AcceptedAt);
  if (Added.Spec.RepeatCount == 0) {
    Added.NextOccurrence = 1;
    beginOccurrence(Added, 0, AcceptedAt);
  }
  if (Progress) {
    Added.Phase = Progress->Phase;
    Added.EndedMs = Progress->EndedMs;
    Added.DoneOccurrences = Progress->DoneOccurrences;
    for (const auto &[At, Task] : Progress->Tasks) {
      if (!Added.Occurrences.count(At.Occurrence))
        beginOccurrence(Added, At.Occurrence, AcceptedAt);
      TaskKey Key{&Added, At};
      LiveTask &Mine = Key.task();
      Mine.Run = Task.Run;
      Mine.Failures = Task.Failures;
      Mine.Checkpoint = Task.Checkpoint;
      Mine.Phase = Task.Phase;
      bool Pending = Task.Phase == TaskPhase::Recording ||
                     Task.Phase == TaskPhase::Starting;
      Added.Begun = Added.Begun || !Pending || Task.Failures > 0;
      if (!isOpen(Task.Phase))
        continue;
      Mine.On = Pool.intern(Task.Executor);
      Mine.Inherited = true;
      Pool[Mine.On].Info.Address = Task.Address;
      Pool[Mine.On].InheritedEnd = inheritedEnd(Task.Executor);
      Pool.take(Mine.On, chargeOf(Key.spec()));
      Mine.Charged = true;
      openRun(Key);
    }
  }
  if (Cancelled)
    cancel(Added.Spec.Id, Now);
  if (isFinal(Added.Phase))
    stopAll(Added, Now);
  else
    stopBrokenGangs(Added, Now);
}

/// A gang of which members were over when the earlier owner ended: it may have
/// stopped the others, or not.
void CellOwner::stopBrokenGangs(LiveJob &Job, TimePoint Now) {
  for (auto &[Number, In] : Job.Occurrences) {
    for (uint32_t S = 0; S < In.Steps.size(); ++S) {
      const std::vector<LiveTask> &Members = In.Steps[S].Tasks;
      bool Whole = std::none_of(Members.begin(), Members.end(),
                                [](const LiveTask &Each) {
                                  return Each.Phase == TaskPhase::Waiting;
                                });
      if (!Job.Spec.Steps[S].Gang || Whole)
        continue;
      for (uint32_t I = 0; I < Members.size(); ++I)
        beginStop({&Job, {Number, S, I}}, Now);
    }
  }
}

void CellOwner::setExecutors(std::span<const executor::ExecutorInfo> List,
                             TimePoint Now) {
  std::vector<executor::ExecutorInfo> Mine;
  for (const executor::ExecutorInfo &Each : List) {
    if (Each.Service == Options.Service)
      Mine.push_back(Each);
  }
  for (ExecutorIndex Each : Pool.update(Mine, Now))
    logInfo("executor-listed", "executor={} address={} zone={}",
            Pool[Each].Info.Id, Pool[Each].Info.Address,
            Pool[Each].Info.AvailabilityZone);
  growWithPool();
}

void CellOwner::cancel(std::string_view JobId, TimePoint Now) {
  LiveJob *Job = find(JobId);
  if (!Job || Job->Cancelled || isFinal(Job->Phase))
    return;
  Job->Cancelled = true;
  ++Counts.JobsCancelled;
  logInfo("job-cancelled", "job={} open_runs={}", JobId, Job->OpenRuns);
  finish(*Job, JobPhase::Cancelled);
  stopAll(*Job, Now);
}

void CellOwner::finish(LiveJob &Job, JobPhase Phase) {
  Job.Phase = Phase;
  changed(Job);
}

void CellOwner::stopAll(LiveJob &Job, TimePoint Now) {
  for (auto &[Number, In] : Job.Occurrences) {
    for (uint32_t S = 0; S < In.Steps.size(); ++S) {
      for (uint32_t I = 0; I < In.Steps[S].Tasks.size(); ++I)
        beginStop({&Job, {Number, S, I}}, Now);
    }
  }
}

bool CellOwner::ready(const LiveJob &Job, const LiveOccurrence &In,
                      uint32_t Step) const {
  for (uint32_t Before : Job.Spec.Steps[Step].After) {
    for (const LiveTask &Each : In.Steps[Before].Tasks) {
      if (Each.Phase != TaskPhase::Done)
        return false;
    }
  }
  return true;
}

/// Ends the occurrence, and with the last one the job, if all is done.
void CellOwner::checkEnd(LiveJob &Job, uint32_t Occurrence, TimePoint Now) {
  auto Found = Job.Occurrences.find(Occurrence);
  if (isFinal(Job.Phase) || Found == Job.Occurrences.end())
    return;
  for (const LiveStep &Step : Found->second.Steps) {
    for (const LiveTask &Each : Step.Tasks) {
      if (Each.Phase != TaskPhase::Done)
        return;
    }
  }
  if (Job.Spec.RepeatCount > 0) {
    Job.DoneOccurrences.insert(Occurrence);
    Job.Occurrences.erase(Found);
    changed(Job);
    if (Job.DoneOccurrences.size() < Job.Spec.RepeatCount)
      return;
  }
  ++Counts.JobsCompleted;
  finish(Job, JobPhase::Completed);
  logInfo("job-completed", "job={} queue={} took_ms={}", Job.Spec.Id,
          Job.Spec.Queue, toMillis(Now - Job.AcceptedAt));
}

/// Forgets a job whose end is stored and whose runs are over.
void CellOwner::dropEnded(LiveJob &Job, TimePoint Now) {
  if (!isFinal(Job.Phase) || Job.OpenRuns > 0 || Job.Recorded != Job.Changed)
    return;
  std::string Id = Job.Spec.Id;
  EndedJobs.insert(Id);
  Removals.emplace_back(Now + 2 * Options.StatusKept, Id);
  std::erase_if(Advices,
                [&](const auto &Each) { return Each.second.JobId == Id; });
  DirtyJobs.erase(Id);
  Jobs.erase(Id);
}

Outbox CellOwner::advance(TimePoint Now, int64_t WallMs) {
  Out = {};
  if (Deposed || Released)
    return std::move(Out);
  beginDue(Now, WallMs);
  lapseRuns(Now);
  if (!Releasing && mayStart(Now))
    plan(Now);
  emitOrders(Now);
  emitHolds(Now);
  return std::move(Out);
}

} // namespace daisylanding::cell
