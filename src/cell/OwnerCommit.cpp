#include "cell/CellOwner.h"
#include "cell/CommitEntries.h"
#include "cell/StartTimes.h"

#include "common/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

/// Commits, one transaction at a time. Each has the owner row's version after
/// the one before it as a precondition, so a transaction that the store carries
/// out late finds a conflict.
namespace daisylanding::cell {

namespace {

constexpr Millis CommitRetryDelay{60};
/// More than a confirmed commit grants leases for. A slow store takes seconds,
/// and copies of the commit queue behind the first.
constexpr Millis CommitAnswerWait{10'000};
/// Slower commits are logged.
constexpr Millis SlowCommitThreshold{200};
/// After a commit was rejected for a job's changes, until they are tried again.
constexpr Millis SetAsideTime{10'000};

} // namespace

/// Whether the first row after the load is due. It waits a little for answers
/// of the executors, as it lists those without one, which then get no leases
/// until the next row.
bool CellOwner::mayWriteFirstRow(TimePoint Now) {
  constexpr Millis FirstAnswersWait{100};
  if (LeasesGrantedUntil != TimePoint{} || Releasing)
    return true;
  if (FirstRowDueAt == TimePoint{})
    FirstRowDueAt = Now + FirstAnswersWait;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].OpenRuns > 0 && !Pool[I].TokenConfirmed)
      return Now >= FirstRowDueAt;
  }
  return true;
}

std::optional<store::Transaction>
CellOwner::nextCommit(TimePoint Now, const StoreClock &Clock) {
  if (Deposed || Released || Now < RetryCommitAt)
    return std::nullopt;
  if (InFlight) {
    // Resent unchanged: the first answer to any copy decides.
    bool IsRetry = RetryCommitAt != TimePoint{};
    if (!IsRetry && Now < InFlight->LastSentAt + resendDelay())
      return std::nullopt;
    RetryCommitAt = {};
    InFlight->LastSentAt = Now;
    ++InFlight->Resends;
    return InFlight->Transaction;
  }
  bool IsDue = hasJobsToStore(Now) || Releasing || RowOutdated ||
               isRemovalDue(Now) || isNewConfigDue() || Caps.isRowDue() ||
               Now >= LastCommitAt + Options.HeartbeatInterval;
  if (!IsDue || (!Loading && !mayWriteFirstRow(Now)))
    return std::nullopt;
  RetryCommitAt = {};
  LastCommitAt = Now;
  InFlight = buildCommit(Now, Clock);
  return InFlight->Transaction;
}

CellOwner::CommitInFlight CellOwner::buildCommit(TimePoint Now,
                                                 const StoreClock &Clock) {
  CommitInFlight Commit;
  Commit.FirstSentAt = Now;
  Commit.TimedFrom = Now;
  Commit.LastSentAt = Now;
  Commit.Row = buildOwnerRow();
  store::Transaction &Tx = Commit.Transaction;
  Tx.Partition = Options.Service;
  Tx.AnswerWait = CommitAnswerWait;
  Tx.Preconditions.push_back(
      {.Table = OwnerTable, .Key = OwnerKey, .Version = RowVersion});
  expireOffers(Now);
  dropOutdatedOffers(Now);
  stateConfig(Commit, Now);
  addCapRow(Commit);
  addJobs(Commit, Now, Clock.MinMs);
  addRemovals(Commit, Now);
  addMoves(Commit, Clock.MinMs);
  addIncarnationRows(Commit);
  Commit.Row.Released = Releasing && storesAllJobs(Commit, Now);
  if (!Loading) {
    Commit.Row.Pending = countPendingJobs(Commit, Now, Clock);
    listLeaseEnds(Commit, Now, Clock);
    stateBacklog(Commit.Row, Now, Clock);
  }
  Tx.Writes.push_back({.Table = OwnerTable,
                       .Key = OwnerKey,
                       .Value = encodeOwnerRow(Commit.Row)});
  return Commit;
}

/// Whether a job has changes to store that are not set aside.
bool CellOwner::hasJobsToStore(TimePoint Now) const {
  return std::any_of(DirtyJobs.begin(), DirtyJobs.end(),
                     [&](const auto &Entry) {
                       return Now >= Jobs.at(Entry.first).SetAsideUntil;
                     });
}

/// Whether no change is left for a later commit, but for those set aside.
bool CellOwner::storesAllJobs(const CommitInFlight &Commit,
                              TimePoint Now) const {
  auto Wanted = static_cast<size_t>(
      std::count_if(DirtyJobs.begin(), DirtyJobs.end(), [&](const auto &Entry) {
        return Now >= Jobs.at(Entry.first).SetAsideUntil;
      }));
  return Commit.Jobs.size() == Wanted &&
         std::all_of(
             Commit.Jobs.begin(), Commit.Jobs.end(),
             [](const JobChange &Change) { return Change.LeftOut.empty(); });
}

/// The commit that should store the job's changes at the latest. Others may
/// fill the commits before it: starts hold capacity until they are recorded,
/// those of urgent steps lose value as well, and ends only have to be
/// acknowledged.
uint64_t CellOwner::commitToStoreIn(const LiveJob &Job, const DirtyMark &Mark,
                                    TimePoint Now) const {
  constexpr uint64_t MaxCommitsPassedByStarts = 2;
  constexpr uint64_t MaxCommitsPassedByEnds = 6;
  uint64_t Next = Mark.Sequence + 1;
  std::optional<double> SlackMs = slackOfChanges(Job, Now);
  if (!SlackMs)
    return Next + MaxCommitsPassedByEnds;
  return *SlackMs < UrgentSlackMs ? Next : Next + MaxCommitsPassedByStarts;
}

/// Offers come first because their callers wait, those with the least time left
/// before the others. Half of the entries are kept for the stored jobs, those
/// whose changes are due in an earlier commit first. The commit after one that
/// was refused because of an offered job has none: entries that no longer wait
/// store their jobs themselves, and a stream of these could keep every commit
/// from succeeding.
void CellOwner::addJobs(CommitInFlight &Commit, TimePoint Now,
                        int64_t StoreClockMs) {
  Commit.MovesEnds = MovesEndedJobs &&
                     DirtyJobs.size() * EntriesPerJob + OwnerRowEntries + 1 <=
                         store::MaxTransactionEntries;
  static constexpr size_t MaxJobs = store::MaxTransactionEntries;
  std::vector<std::pair<TimePoint, LiveJob *>> OfferedJobs;
  using StoredRank = std::pair<uint64_t, uint64_t>;
  std::vector<std::pair<StoredRank, LiveJob *>> StoredJobs;
  for (const auto &[Id, Mark] : DirtyJobs) {
    LiveJob &Job = Jobs.at(Id);
    if (Now < Job.SetAsideUntil)
      continue;
    if (Job.Stored)
      StoredJobs.emplace_back(
          StoredRank(commitToStoreIn(Job, Mark, Now), Mark.Number), &Job);
    else if (!HoldsOffersBack)
      OfferedJobs.emplace_back(Job.OfferDeadline, &Job);
  }
  auto KeepFirst = [](auto &Candidates) {
    auto End = Candidates.begin() +
               static_cast<ptrdiff_t>(std::min(Candidates.size(), MaxJobs));
    std::partial_sort(Candidates.begin(), End, Candidates.end(),
                      [](const auto &Left, const auto &Right) {
                        return Left.first < Right.first;
                      });
    Candidates.erase(End, Candidates.end());
  };
  KeepFirst(OfferedJobs);
  KeepFirst(StoredJobs);
  auto AddJobsFrom = [&](const auto &Candidates, size_t First,
                         size_t MaxEntries) {
    size_t Next = First;
    while (Next < Candidates.size() &&
           Commit.Transaction.entryCount() + OwnerRowEntries + EntriesPerJob <=
               MaxEntries)
      addJob(Commit, *Candidates[Next++].second, MaxEntries, StoreClockMs);
    return Next;
  };
  size_t Next = AddJobsFrom(OfferedJobs, 0, store::MaxTransactionEntries / 2);
  AddJobsFrom(StoredJobs, 0, store::MaxTransactionEntries);
  AddJobsFrom(OfferedJobs, Next, store::MaxTransactionEntries);
}

OwnerRow CellOwner::buildOwnerRow() {
  OwnerRow NewRow = Row;
  // A sequence is never reused, also if its commit is refused and rebuilt:
  // answers to copies of older commits must not be taken for answers to this
  // one.
  NewRow.Sequence = ++LastBuiltSequence;
  NewRow.HighestToken = Pool.highestToken();
  return NewRow;
}

/// Since the stored jobs were known to be read.
Millis CellOwner::jobReadingAge(TimePoint Now) const {
  return std::max(Millis(0),
                  std::chrono::ceil<Millis>(Now - JobFeedConfirmedAt));
}

/// Of the jobs that are stored once the commit is.
PendingJobs CellOwner::countPendingJobs(const CommitInFlight &Commit,
                                        TimePoint Now,
                                        const StoreClock &Clock) const {
  const std::vector<std::string> &Offered = Commit.OfferedJobs;
  auto IsAccepted = [&](const LiveJob &Job) {
    return Job.Stored || std::find(Offered.begin(), Offered.end(),
                                   Job.Spec.Id) != Offered.end();
  };
  int64_t ReadAtMs = Clock.MinMs - jobReadingAge(Now).count();
  PendingJobs Counted{.CountedBy = Row.Epoch,
                      .AsOfMs = std::max<int64_t>(0, ReadAtMs)};
  for (const auto &[Id, Job] : Jobs) {
    if (isPending(Job) && IsAccepted(Job))
      ++Counted.ByQueue[Job.Spec.Queue];
  }
  return Counted;
}

/// How long leases are granted because of the row. On a slow store long enough
/// to outlast the next commit.
Millis CellOwner::grantTime(const OwnerRow &NewRow, TimePoint Now) const {
  if (NewRow.Released)
    return Millis(0);
  auto TwoCommits =
      std::chrono::duration_cast<Millis>(2 * expectedCommitTime(Now));
  return std::clamp(TwoCommits, Options.Leases.OwnershipTimeout,
                    Options.Leases.MaxOwnershipTimeout);
}

/// States in the row when all leases have expired that are granted before the
/// next one: none on the executors that it lists. An owner that is still
/// loading grants none, and leaves what the last owner stated.
void CellOwner::listLeaseEnds(CommitInFlight &Commit, TimePoint Now,
                              const StoreClock &Clock) {
  RowOutdated = false;
  OwnerRow &NewRow = Commit.Row;
  Commit.GrantTime = grantTime(NewRow, Now);
  // Until this row is confirmed, what an earlier one allowed still holds.
  Millis LongestGrant = Commit.GrantTime;
  if (!NewRow.Released)
    LongestGrant =
        std::max(LongestGrant,
                 std::chrono::duration_cast<Millis>(LeasesGrantedUntil - Now) +
                     Millis(1));
  NewRow.LeasesEndMs = std::max(
      Options.AcquiredRow.LeasesEndMs.value_or(0),
      Clock.MaxMs + leaseHorizon(Options.Leases, LongestGrant).count());
  listLongLeases(NewRow, Now, Clock);
  // An executor that answers again gets leases only with the next row, which
  // must not take too much of a lease.
  bool IsStoreQuick = 2 * LastCommitTime < Options.Leases.LeaseDuration / 4;
  NewRow.SilentLeaseEnds.clear();
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    const ExecutorState &Executor = Pool[I];
    bool MayBeListed =
        IsStoreQuick || Row.SilentLeaseEnds.count(Executor.Info.Id) > 0;
    bool IsSilent =
        !Executor.TokenConfirmed || (Executor.RenewalFailed && MayBeListed);
    if (Executor.OpenRuns > 0 && IsSilent)
      NewRow.SilentLeaseEnds[Executor.Info.Id] =
          Clock.MaxMs + toMillis(Pool.leasesEnd(I) - Now) + 1;
  }
}

void CellOwner::acknowledgeEnds() {
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    ExecutorState &Executor = Pool[I];
    while (!Executor.UnacknowledgedEnds.empty()) {
      const ListedEnd &Oldest = Executor.UnacknowledgedEnds.front();
      const LiveJob *Job = findJob(Oldest.JobId);
      bool IsStored = !Job || Job->RecordedRevision >= Oldest.JobRevision;
      if (!IsStored || Oldest.IsUndecided)
        break;
      Executor.AcknowledgedEnd = Oldest.Number;
      if (Oldest.IgnoredRun)
        logInfo("ignored-end-acknowledged",
                "task={} run={} executor={} number={}", Oldest.IgnoredRun->Task,
                Oldest.IgnoredRun->Run, Executor.Info.Id, Oldest.Number);
      Executor.UnacknowledgedEnds.pop_front();
    }
  }
}

void CellOwner::onCommitted(uint64_t Version, TimePoint Now) {
  CommitInFlight Commit = std::move(*InFlight);
  InFlight.reset();
  constexpr double LatencyWeight = 0.2;
  LastCommitTime = Now - Commit.TimedFrom;
  AverageCommitMs +=
      LatencyWeight * (toSeconds(LastCommitTime) * 1e3 - AverageCommitMs);
  if (Commit.Row.Queues.ConfigVersion != Row.Queues.ConfigVersion)
    ConfigStatedAt = Now;
  Row = Commit.Row;
  RowVersion = Version;
  HoldsOffersBack = false;
  if (Now > Commit.FirstSentAt + SlowCommitThreshold)
    logInfo("commit-slow",
            "service={} commit={} jobs={} entries={} copies={} ms={}",
            Options.Service, Row.Sequence, Commit.Jobs.size(),
            Commit.Transaction.entryCount(), Commit.Resends,
            toMillis(Now - Commit.FirstSentAt));
  if (Commit.GrantTime > Millis(0))
    LeasesGrantedUntil = Commit.FirstSentAt + Commit.GrantTime;
  Released = Row.Released;
  if (Commit.CapRevision > 0)
    Caps.noteWritten(Commit.CapRevision);
  for (IncarnationRow &Stored : Commit.IncarnationRows)
    Incarnations.noteStored(std::move(Stored));
  for (JobChange &Change : Commit.Jobs)
    finishChange(Change);
  for (const executor::RunId &Start : Commit.Starts) {
    auto Key = findTask(Start);
    bool IsCurrent = Key && Key->task().Phase == TaskPhase::Recording &&
                     Key->task().Run == Start.Run;
    if (!IsCurrent)
      continue;
    Key->task().Phase = TaskPhase::Starting;
    StartTimes Times = startTimesOf(Key->step(), Key->task(), Now);
    logInfo("start-recorded",
            "task={} run={} executor={} epoch={} commit={} row_version={} "
            "ended_ms={} asked_ms={} advised_ms={} placed_ms={} ticketed_ms={}",
            Start.Task, Start.Run, Pool[Key->task().Executor].Info.Id,
            Row.Epoch, Row.Sequence, RowVersion, Times.EndedMs, Times.AskedMs,
            Times.AdvisedMs, Times.PlacedMs, Times.TicketedMs);
  }
  for (const std::string &Id : Commit.OfferedJobs) {
    Jobs.at(Id).Stored = true;
    answerOffers(Id, OfferOutcome::Stored);
  }
  acknowledgeEnds();
  for (const JobChange &Change : Commit.Jobs)
    dropEndedJob(Jobs.at(Change.JobId), Now);
  finishMoves(Commit);
}

void CellOwner::answerOffers(const std::string &JobId, OfferOutcome Outcome) {
  auto Found = OpenOffers.find(JobId);
  if (Found == OpenOffers.end())
    return;
  std::vector<OfferDone> Callbacks = std::move(Found->second);
  OpenOffers.erase(Found);
  for (const OfferDone &Done : Callbacks)
    Done(Outcome);
}

/// Drops an offered job whose row was never written.
void CellOwner::dropOfferedJob(const std::string &JobId, TimePoint Now) {
  LiveJob &Job = Jobs.at(JobId);
  stopAllRuns(Job, Now);
  uncountSentJob(Job);
  removeJob(JobId);
}

/// How long a commit takes now: a slow store is noticed by its reads, by the
/// last commit, and by the one in flight.
Micros CellOwner::expectedCommitTime(TimePoint Now) const {
  constexpr double ReadsPerCommit = 2.5;
  Micros Expected(static_cast<int64_t>(ReadsPerCommit * StoreReadMs * 1e3));
  Expected = std::max(Expected, LastCommitTime);
  if (InFlight)
    Expected = std::max(Expected, Micros(Now - InFlight->TimedFrom));
  return Expected;
}

/// Offers that one commit has entries for beside the stored jobs.
size_t CellOwner::offersPerCommit() const {
  constexpr size_t EntriesPerOffer = 3;
  auto StoredJobs = static_cast<size_t>(
      std::count_if(DirtyJobs.begin(), DirtyJobs.end(), [&](const auto &Entry) {
        return Jobs.at(Entry.first).Stored;
      }));
  size_t EntriesForStored =
      std::min(StoredJobs, store::MaxTransactionEntries / 2);
  return (store::MaxTransactionEntries - EntriesForStored) / EntriesPerOffer;
}

/// Answers `Expired` to offers that no commit is expected to store before their
/// entries stop waiting. Their callers can retry safely, and the next commits
/// have room for the others.
void CellOwner::expireOffers(TimePoint Now) {
  std::vector<std::pair<TimePoint, std::string>> WaitingOffers;
  for (const auto &Entry : OpenOffers) {
    const LiveJob *Job = findJob(Entry.first);
    if (Job && !Job->Stored && !isInFlight(Entry.first))
      WaitingOffers.emplace_back(Job->OfferDeadline, Entry.first);
  }
  if (WaitingOffers.empty())
    return;
  std::sort(WaitingOffers.begin(), WaitingOffers.end());
  Micros CommitTime = expectedCommitTime(Now);
  TimePoint NextCommitAt =
      InFlight ? std::max(Now, InFlight->TimedFrom + CommitTime) : Now;
  size_t PerCommit = offersPerCommit();
  size_t Kept = 0;
  for (const auto &[Deadline, Id] : WaitingOffers) {
    auto CommitsNeeded = static_cast<int64_t>(Kept / PerCommit + 1);
    if (Deadline >= NextCommitAt + CommitsNeeded * CommitTime) {
      ++Kept;
      continue;
    }
    logInfo("offer-expired", "job={} commit_ms={} waiting={} a_commit={}", Id,
            toMillis(CommitTime), WaitingOffers.size(), PerCommit);
    dropOfferedJob(Id, Now);
    answerOffers(Id, OfferOutcome::Expired);
  }
}

/// Whether the commit in flight stores this job.
bool CellOwner::isInFlight(const std::string &JobId) const {
  if (!InFlight)
    return false;
  const std::vector<std::string> &OfferedJobs = InFlight->OfferedJobs;
  return std::find(OfferedJobs.begin(), OfferedJobs.end(), JobId) !=
         OfferedJobs.end();
}

/// Replaces an offered job by the copy that another entry or owner has stored.
/// Nothing about the offered copy has been sent to executors.
void CellOwner::adoptStoredJob(JobSpec StoredJob, TimePoint Now) {
  std::string Id = StoredJob.Id;
  const LiveJob &OfferedJob = Jobs.at(Id);
  bool IsSame = isSameRequest(StoredJob, OfferedJob.Spec);
  bool WasCancelled = OfferedJob.Cancelled;
  TimePoint AcceptedAt = OfferedJob.AcceptedAt;
  dropOfferedJob(Id, Now);
  accept(std::move(StoredJob), AcceptedAt, Now);
  // The feed shows a cancel once.
  if (WasCancelled)
    cancel(Id, Now);
  answerOffers(Id,
               IsSame ? OfferOutcome::StoredBefore : OfferOutcome::OtherWork);
}

/// Adopts jobs of a commit that was not carried out and whose rows the job feed
/// has shown, which it does once. The answer need not show them: that to an
/// older copy of the commit may come after the feed.
void CellOwner::adoptShownJobs(const CommitInFlight &Refused, TimePoint Now) {
  for (const auto &[Id, ShownJob] : Refused.ShownJobs) {
    const LiveJob *Existing = findJob(Id);
    if (Existing && !Existing->Stored)
      adoptStoredJob(ShownJob, Now);
  }
}

void CellOwner::onAlreadyStored(const store::Row &StoredRow, TimePoint Now) {
  auto StoredJob = decodeJob(StoredRow.Value);
  if (StoredJob) {
    adoptStoredJob(std::move(*StoredJob), Now);
    return;
  }
  logError("job-unreadable", "job={} version={}", StoredRow.Key,
           StoredRow.Version);
  dropOfferedJob(StoredRow.Key, Now);
  answerOffers(StoredRow.Key, OfferOutcome::OtherWork);
}

void CellOwner::onAlreadyEnded(const store::Row &EndedRow, TimePoint Now) {
  auto Ended = decodeEndedJob(EndedRow.Value);
  if (!Ended)
    logError("ended-job-unreadable", "job={} version={}", EndedRow.Key,
             EndedRow.Version);
  bool IsSame =
      Ended && Ended->WorkHash == workHash(Jobs.at(EndedRow.Key).Spec);
  dropOfferedJob(EndedRow.Key, Now);
  answerOffers(EndedRow.Key,
               IsSame ? OfferOutcome::StoredBefore : OfferOutcome::OtherWork);
}

/// Determines from the current rows why a commit was refused: an earlier copy
/// of it succeeded, a job was cancelled or stored by another entry, or another
/// owner took over.
void CellOwner::onConflict(const store::TransactionResult &Result,
                           TimePoint Now) {
  const store::Row *CurrentOwnerRow = nullptr;
  std::vector<std::string> CancelKeys;
  std::vector<const store::Row *> ExistingJobs;
  std::vector<const store::Row *> AlreadyEndedJobs;
  for (const store::Row &CurrentRow : Result.CurrentRows) {
    if (CurrentRow.Table == OwnerTable)
      CurrentOwnerRow = &CurrentRow;
    if (CurrentRow.Version == store::AbsentVersion)
      continue;
    if (CurrentRow.Table == EndedTable)
      AlreadyEndedJobs.push_back(&CurrentRow);
    if (CurrentRow.Table != JobTable)
      continue;
    if (CurrentRow.Key.find('/') == std::string::npos)
      ExistingJobs.push_back(&CurrentRow);
    else
      CancelKeys.push_back(CurrentRow.Key);
  }
  auto CurrentOwner = CurrentOwnerRow
                          ? decodeOwnerRow(CurrentOwnerRow->Value)
                          : daisylanding::Result<OwnerRow>(Errc::NotFound);
  if (!CurrentOwner || CurrentOwner->Epoch != Row.Epoch ||
      CurrentOwner->Holder != Row.Holder) {
    logWarn("ownership-lost",
            "service={} epoch={} holder={} now={} now_epoch={}",
            Options.Service, Row.Epoch, Row.Holder,
            CurrentOwner ? CurrentOwner->Holder : "nobody",
            CurrentOwner ? CurrentOwner->Epoch : 0);
    Deposed = true;
    return;
  }
  if (CurrentOwner->Sequence == InFlight->Row.Sequence) {
    onCommitted(CurrentOwnerRow->Version, Now);
    return;
  }
  RowVersion = CurrentOwnerRow->Version;
  restoreQueues(*InFlight, Now);
  logInfo("commit-refused",
          "service={} commit={} offers_stored_before={} offers_ended={} "
          "cancelled={} age_ms={}",
          Options.Service, InFlight->Row.Sequence, ExistingJobs.size(),
          AlreadyEndedJobs.size(), CancelKeys.size(),
          toMillis(Now - InFlight->FirstSentAt));
  CommitInFlight Refused = *std::exchange(InFlight, std::nullopt);
  HoldsOffersBack = !ExistingJobs.empty() || !AlreadyEndedJobs.empty();
  for (const store::Row *CurrentRow : ExistingJobs)
    onAlreadyStored(*CurrentRow, Now);
  for (const store::Row *EndedRow : AlreadyEndedJobs)
    onAlreadyEnded(*EndedRow, Now);
  adoptShownJobs(Refused, Now);
  for (const std::string &Key : CancelKeys)
    cancel(Key.substr(0, Key.find('/')), Now);
}

/// Time without an answer after which a commit is resent: answers get lost, and
/// all starts wait for the commit.
Micros CellOwner::resendDelay() const {
  constexpr double CommitTimeFactor = 4;
  /// A commit takes several times as long as a read.
  constexpr double ReadTimeFactor = 15;
  constexpr double MinMs = 80;
  constexpr uint32_t MaxDoublings = 6;
  constexpr double MaxMs = 1'500;
  double UsualMs = std::max(CommitTimeFactor * AverageCommitMs,
                            ReadTimeFactor * StoreReadMs);
  // Doubles with each resend so that a silent store is not flooded.
  uint32_t Doublings = InFlight ? std::min(InFlight->Resends, MaxDoublings) : 0;
  double DelayMs = std::clamp(std::ldexp(UsualMs, static_cast<int>(Doublings)),
                              MinMs, std::max(MaxMs, UsualMs));
  return Millis(static_cast<int64_t>(DelayMs));
}

/// The store takes no transaction like the one in flight: what it would store
/// is built anew, without the job that takes most of it. None of its copies was
/// carried out.
void CellOwner::onRejected(TimePoint Now) {
  std::map<std::string, size_t> BytesByJob;
  for (const store::RowWrite &Write : InFlight->Transaction.Writes) {
    std::string JobId = Write.Key.substr(0, Write.Key.find('/'));
    if (findJob(JobId))
      BytesByJob[JobId] += Write.Value.size();
  }
  auto Largest = std::max_element(BytesByJob.begin(), BytesByJob.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second < Right.second;
                                  });
  bool HasJobs = Largest != BytesByJob.end();
  logError("commit-rejected",
           "service={} commit={} entries={} bytes={} jobs={} largest_job={} "
           "largest_bytes={}",
           Options.Service, InFlight->Row.Sequence,
           InFlight->Transaction.entryCount(),
           InFlight->Transaction.byteCount(), BytesByJob.size(),
           HasJobs ? Largest->first : "none", HasJobs ? Largest->second : 0);
  restoreQueues(*InFlight, Now);
  CommitInFlight Refused = *std::exchange(InFlight, std::nullopt);
  RetryCommitAt = Now + CommitRetryDelay;
  if (HasJobs && !Refused.ShownJobs.count(Largest->first))
    setAside(Largest->first, Now);
  adoptShownJobs(Refused, Now);
}

/// Stores the job's changes later, and those of others meanwhile. One that
/// isn't stored yet is dropped.
void CellOwner::setAside(const std::string &JobId, TimePoint Now) {
  LiveJob &Job = Jobs.at(JobId);
  if (!Job.Stored) {
    dropOfferedJob(JobId, Now);
    answerOffers(JobId, OfferOutcome::Expired);
    return;
  }
  Job.SetAsideUntil = Now + SetAsideTime;
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
  case store::TransactionOutcome::Rejected:
    onRejected(Now);
    break;
  case store::TransactionOutcome::NotApplied:
  case store::TransactionOutcome::Unknown:
    logInfo("commit-not-confirmed", "service={} commit={} refused={} age_ms={}",
            Options.Service, Sequence,
            Result.Outcome == store::TransactionOutcome::NotApplied,
            toMillis(Now - InFlight->FirstSentAt));
    // The store may still carry out an earlier copy, so the commit is resent
    // unchanged and never rebuilt.
    RetryCommitAt = Now + CommitRetryDelay;
    break;
  }
}

} // namespace daisylanding::cell
