#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <cmath>

/// What is written before anyone is told, one transaction at a time. Each is
/// conditioned on the one before it, so a write that is carried out late
/// finds its condition gone.
namespace daisylanding::cell {

namespace {

constexpr Millis CommitRetry{60};
/// A commit that takes longer is told of.
constexpr Millis SlowCommit{200};
/// Rows of ended jobs that one transaction removes.
constexpr size_t MaxRemovals = 5;
/// The owner's row, which each commit writes last.
constexpr size_t EntriesOfRow = 1;

} // namespace

JobProgress CellOwner::progressOf(const LiveJob &Job) const {
  JobProgress Out;
  Out.Phase = Job.Phase;
  Out.EndedMs = Job.EndedMs;
  Out.DoneOccurrences = Job.DoneOccurrences;
  for (const auto &[Number, In] : Job.Occurrences) {
    for (uint32_t S = 0; S < In.Steps.size(); ++S) {
      for (uint32_t I = 0; I < In.Steps[S].Tasks.size(); ++I) {
        const LiveTask &Task = In.Steps[S].Tasks[I];
        if (Task.Run == 0 && Task.Failures == 0)
          continue;
        TaskProgress &Row = Out.Tasks[{Number, S, I}];
        Row.Phase = Task.Phase;
        Row.Run = Task.Run;
        Row.Failures = Task.Failures;
        Row.Checkpoint = Task.Checkpoint;
        if (isOpen(Task.Phase)) {
          Row.Executor = Pool[Task.On].Info.Id;
          Row.Address = Pool[Task.On].Info.Address;
        }
      }
    }
  }
  return Out;
}

std::optional<store::Transaction> CellOwner::nextCommit(TimePoint Now,
                                                        int64_t StoreMillis) {
  if (Deposed || Released || Now < RetryCommitAt)
    return std::nullopt;
  if (InFlight) {
    // Sent again as it was: the first answer of either decides.
    bool Refused = RetryCommitAt != TimePoint{};
    if (!Refused && Now < InFlight->LastSent + hedgeDelay())
      return std::nullopt;
    RetryCommitAt = {};
    InFlight->LastSent = Now;
    ++InFlight->Copies;
    return InFlight->Content;
  }
  bool Due = !DirtyJobs.empty() || Releasing || removalDue(Now) ||
             Now >= LastCommit + Options.Heartbeat;
  if (!Due)
    return std::nullopt;
  RetryCommitAt = {};
  LastCommit = Now;
  InFlight = buildCommit(Now, StoreMillis);
  return InFlight->Content;
}

CellOwner::CommitInFlight CellOwner::buildCommit(TimePoint Now,
                                                 int64_t StoreMillis) {
  CommitInFlight Out;
  Out.FirstSent = Now;
  Out.LastSent = Now;
  Out.Row = nextRow(Now, StoreMillis);
  store::Transaction &Tx = Out.Content;
  Tx.Partition = Options.Service;
  Tx.Preconditions.push_back(
      {.Table = OwnerTable, .Key = OwnerKey, .Version = RowVersion});
  expireOffers(Now);
  addJobs(Out, StoreMillis);
  addRemovals(Out, Now);
  Out.Row.Released = Releasing && Out.Jobs.size() == DirtyJobs.size();
  Tx.Writes.push_back(
      {.Table = OwnerTable, .Key = OwnerKey, .Value = encodeOwner(Out.Row)});
  return Out;
}

/// Offers come first, as their callers wait, those with the least time before
/// the others; but half of the entries are kept for what has waited longest.
void CellOwner::addJobs(CommitInFlight &To, int64_t StoreMillis) {
  constexpr size_t EntriesOfJob = 4; ///< The most that one takes.
  static constexpr size_t MostJobs = store::MaxTransactionEntries;
  std::vector<std::pair<TimePoint, LiveJob *>> Offered;
  std::vector<std::pair<uint64_t, LiveJob *>> Known;
  for (const auto &[Id, Since] : DirtyJobs) {
    LiveJob &Job = Jobs.at(Id);
    if (Job.Stored)
      Known.emplace_back(Since, &Job);
    else
      Offered.emplace_back(Job.OfferedUntil, &Job);
  }
  auto Sort = [](auto &Which) {
    auto End = Which.begin() +
               static_cast<ptrdiff_t>(std::min(Which.size(), MostJobs));
    std::partial_sort(
        Which.begin(), End, Which.end(),
        [](const auto &A, const auto &B) { return A.first < B.first; });
    Which.erase(End, Which.end());
  };
  Sort(Offered);
  Sort(Known);
  auto Add = [&](const auto &Which, size_t From, size_t Entries) {
    size_t Next = From;
    while (Next < Which.size() &&
           To.Content.entryCount() + EntriesOfRow + EntriesOfJob <= Entries)
      addJob(To, *Which[Next++].second, StoreMillis);
    return Next;
  };
  size_t Next = Add(Offered, 0, store::MaxTransactionEntries / 2);
  Add(Known, 0, store::MaxTransactionEntries);
  Add(Offered, Next, store::MaxTransactionEntries);
}

OwnerRow CellOwner::nextRow(TimePoint Now, int64_t StoreMillis) {
  OwnerRow Out = Row;
  // Never used twice, also if this one is refused and built anew: answers to
  // copies of older ones must not be taken for its own.
  Out.Sequence = ++BuiltSequence;
  Out.Pending.clear();
  for (const auto &[Id, Job] : Jobs) {
    if (Job.Spec.RepeatCount == 0 && !isFinal(Job.Phase) && !Job.Begun)
      ++Out.Pending[Job.Spec.Queue];
  }
  Out.Unmet.clear();
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    const Executor &Each = Pool[I];
    if (Each.OpenRuns > 0 && !Each.Greeted)
      Out.Unmet[Each.Info.Id] = StoreMillis + toMillis(Each.InheritedEnd - Now);
  }
  return Out;
}

void CellOwner::addJob(CommitInFlight &To, LiveJob &Job, int64_t StoreMillis) {
  const std::string &Id = Job.Spec.Id;
  store::Transaction &Tx = To.Content;
  if (isFinal(Job.Phase) && Job.EndedMs == 0)
    Job.EndedMs = std::max<int64_t>(1, StoreMillis);
  size_t StartsBefore = To.Starts.size();
  for (const auto &[Number, In] : Job.Occurrences) {
    for (uint32_t S = 0; S < In.Steps.size(); ++S) {
      for (uint32_t I = 0; I < In.Steps[S].Tasks.size(); ++I) {
        const LiveTask &Task = In.Steps[S].Tasks[I];
        if (Task.Phase == TaskPhase::Recording)
          To.Starts.push_back({TaskKey{&Job, {Number, S, I}}.name(), Task.Run});
      }
    }
  }
  // A job that is not stored can't have been cancelled.
  if (To.Starts.size() > StartsBefore && Job.Stored)
    Tx.Preconditions.push_back({.Table = JobTable, .Key = cancelKey(Id)});
  if (!Job.Stored) {
    Tx.Preconditions.push_back({.Table = JobTable, .Key = Id});
    Tx.Writes.push_back(
        {.Table = JobTable, .Key = Id, .Value = encodeJob(Job.Spec)});
    To.Offered.push_back(Id);
  }
  // A job that was only offered has no progress to tell of.
  if (Job.Phase != JobPhase::Queued)
    Tx.Writes.push_back({.Table = ProgressTable,
                         .Key = Id,
                         .Value = encodeProgress(progressOf(Job))});
  To.Jobs.emplace_back(Id, Job.Changed);
}

void CellOwner::addRemovals(CommitInFlight &To, TimePoint Now) {
  constexpr size_t EntriesOfRemoval = 3;
  store::Transaction &Tx = To.Content;
  while (removalDue(Now) && To.Removed.size() < MaxRemovals &&
         Tx.entryCount() + EntriesOfRow + EntriesOfRemoval <=
             store::MaxTransactionEntries) {
    std::string Id = std::move(Removals.front().second);
    Removals.pop_front();
    Tx.Removals.push_back({.Table = JobTable, .Key = Id});
    Tx.Removals.push_back({.Table = JobTable, .Key = cancelKey(Id)});
    Tx.Removals.push_back({.Table = ProgressTable, .Key = Id});
    To.Removed.push_back(std::move(Id));
  }
}

void CellOwner::acknowledgeEnds() {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    Executor &Each = Pool[I];
    while (!Each.Ends.empty()) {
      const ListedEnd &First = Each.Ends.front();
      const LiveJob *Job = find(First.JobId);
      if (Job && Job->Recorded < First.RecordMark)
        break;
      Each.AcknowledgedEnd = First.Number;
      Each.Ends.pop_front();
    }
  }
}

void CellOwner::onCommitted(uint64_t Version, TimePoint Now) {
  CommitInFlight Done = std::move(*InFlight);
  InFlight.reset();
  constexpr double LatencyWeight = 0.2;
  CommitMs +=
      LatencyWeight * (toSeconds(Now - Done.FirstSent) * 1e3 - CommitMs);
  Row = Done.Row;
  RowVersion = Version;
  if (Now > Done.FirstSent + SlowCommit)
    logInfo("commit-slow",
            "service={} commit={} jobs={} entries={} copies={} ms={}",
            Options.Service, Row.Sequence, Done.Jobs.size(),
            Done.Content.entryCount(), Done.Copies,
            toMillis(Now - Done.FirstSent));
  LastConfirmed = Done.FirstSent;
  Released = Row.Released;
  for (const auto &[Id, Mark] : Done.Jobs) {
    LiveJob &Job = Jobs.at(Id);
    Job.Recorded = Mark;
    DirtyJobs.erase(Id);
    if (Job.Changed != Mark)
      DirtyJobs.emplace(Id, NextDirty++);
  }
  for (const executor::RunId &Each : Done.Starts) {
    auto Key = find(Each);
    bool Current = Key && Key->task().Phase == TaskPhase::Recording &&
                   Key->task().Run == Each.Run;
    if (!Current)
      continue;
    Key->task().Phase = TaskPhase::Starting;
    logInfo("start-recorded", "task={} run={} executor={} epoch={} commit={}",
            Each.Task, Each.Run, Pool[Key->task().On].Info.Id, Row.Epoch,
            Row.Sequence);
  }
  for (const std::string &Id : Done.Offered) {
    Jobs.at(Id).Stored = true;
    answerOffers(Id, Verdict::Stored);
  }
  acknowledgeEnds();
  for (const auto &Each : Done.Jobs)
    dropEnded(Jobs.at(Each.first), Now);
  for (const std::string &Each : Done.Removed)
    EndedJobs.erase(Each);
}

void CellOwner::answerOffers(const std::string &JobId, Verdict With) {
  auto Found = Offers.find(JobId);
  if (Found == Offers.end())
    return;
  std::vector<VerdictDone> Waiting = std::move(Found->second);
  Offers.erase(Found);
  for (const VerdictDone &Each : Waiting)
    Each(With);
}

/// Takes an offered job back whose row was never written.
void CellOwner::forgetOffered(const std::string &JobId, TimePoint Now) {
  stopAll(Jobs.at(JobId), Now);
  std::erase_if(Advices,
                [&](const auto &Each) { return Each.second.JobId == JobId; });
  DirtyJobs.erase(JobId);
  Jobs.erase(JobId);
}

/// With no commit on its way: offers whose entries will have stopped waiting
/// when the next one is answered make room for those that can be told.
void CellOwner::expireOffers(TimePoint Now) {
  /// A commit takes about so many times what a read takes.
  constexpr double CommitReads = 2.5;
  auto Takes = Millis(static_cast<int64_t>(CommitReads * StoreReadMs));
  std::vector<std::string> Late;
  for (const auto &Each : Offers) {
    const LiveJob *Job = find(Each.first);
    if (Job && !Job->Stored && Job->OfferedUntil < Now + Takes)
      Late.push_back(Each.first);
  }
  for (const std::string &Id : Late) {
    logInfo("offer-expired", "job={} store_read_ms={:.0f}", Id, StoreReadMs);
    forgetOffered(Id, Now);
    answerOffers(Id, Verdict::Expired);
  }
}

/// Whether the commit in flight stores that job.
bool CellOwner::isOnItsWay(const std::string &JobId) const {
  if (!InFlight)
    return false;
  const std::vector<std::string> &Sent = InFlight->Offered;
  return std::find(Sent.begin(), Sent.end(), JobId) != Sent.end();
}

/// An offered job turned out to be stored already, by another entry or owner.
/// Nothing of the offered copy was told to anyone; the stored one is taken.
void CellOwner::adoptStored(JobSpec Stored, TimePoint Now) {
  std::string Id = Stored.Id;
  const LiveJob &Mine = Jobs.at(Id);
  bool Same = sameWork(Stored, Mine.Spec);
  TimePoint AcceptedAt = Mine.AcceptedAt;
  forgetOffered(Id, Now);
  accept(std::move(Stored), AcceptedAt, Now);
  answerOffers(Id, Same ? Verdict::StoredBefore : Verdict::OtherWork);
}

void CellOwner::onStoredBefore(const store::Row &Present, TimePoint Now) {
  auto Stored = decodeJob(Present.Value);
  if (Stored) {
    adoptStored(std::move(*Stored), Now);
    return;
  }
  logError("job-unreadable", "job={} version={}", Present.Key, Present.Version);
  forgetOffered(Present.Key, Now);
  answerOffers(Present.Key, Verdict::OtherWork);
}

/// Finds out from the rows as they stand why a commit was refused: an earlier
/// try of it went through, a job was cancelled, or another owner took over.
void CellOwner::onConflict(const store::TransactionResult &Result,
                           TimePoint Now) {
  const store::Row *Found = nullptr;
  std::vector<std::string> Cancelled;
  std::vector<const store::Row *> StoredBefore;
  for (const store::Row &Each : Result.CurrentRows) {
    if (Each.Table == OwnerTable)
      Found = &Each;
    if (Each.Table != JobTable || Each.Version == store::AbsentVersion)
      continue;
    if (Each.Key.find('/') == std::string::npos)
      StoredBefore.push_back(&Each);
    else
      Cancelled.push_back(Each.Key);
  }
  auto Present = Found ? decodeOwner(Found->Value)
                       : daisylanding::Result<OwnerRow>(Errc::NotFound);
  if (!Present || Present->Epoch != Row.Epoch ||
      Present->Holder != Row.Holder) {
    logWarn("ownership-lost", "service={} epoch={} now={}", Options.Service,
            Row.Epoch, Present ? Present->Holder : "nobody");
    Deposed = true;
    return;
  }
  if (Present->Sequence == InFlight->Row.Sequence) {
    onCommitted(Found->Version, Now);
    return;
  }
  RowVersion = Found->Version;
  for (const std::string &Id : InFlight->Removed)
    Removals.emplace_front(Now, Id);
  InFlight.reset();
  for (const store::Row *Each : StoredBefore)
    onStoredBefore(*Each, Now);
  for (const std::string &Key : Cancelled)
    cancel(Key.substr(0, Key.find('/')), Now);
}

/// After how long without an answer a commit is sent once more: answers get
/// lost, and all starts wait for it.
Micros CellOwner::hedgeDelay() const {
  constexpr double Factor = 4;
  constexpr double ReadFactor = 15; ///< A commit takes a few reads' time.
  constexpr double LeastMs = 80;
  constexpr uint32_t MaxDoublings = 6;
  constexpr double MostMs = 1'500;
  double Usual = std::max(Factor * CommitMs, ReadFactor * StoreReadMs);
  // A store that has gone silent is not flooded with copies.
  uint32_t Doublings = InFlight ? std::min(InFlight->Copies, MaxDoublings) : 0;
  double Ms = std::clamp(std::ldexp(Usual, static_cast<int>(Doublings)),
                         LeastMs, std::max(MostMs, Usual));
  return Millis(static_cast<int64_t>(Ms));
}

void CellOwner::onCommit(uint64_t Sequence,
                         const store::TransactionResult &Result,
                         TimePoint Now) {
  if (!InFlight || Deposed || Sequence != InFlight->Row.Sequence)
    return;
  switch (Result.Outcome) {
  case store::TransactionOutcome::Committed:
    onCommitted(Result.Version, Now);
    break;
  case store::TransactionOutcome::Conflict:
    onConflict(Result, Now);
    break;
  case store::TransactionOutcome::NotApplied:
  case store::TransactionOutcome::Unknown:
    logInfo("commit-not-confirmed", "service={} commit={} refused={} age_ms={}",
            Options.Service, Sequence,
            Result.Outcome == store::TransactionOutcome::NotApplied,
            toMillis(Now - InFlight->FirstSent));
    // An earlier try of it may still be carried out, so it is never rebuilt.
    RetryCommitAt = Now + CommitRetry;
    break;
  }
}

} // namespace daisylanding::cell
