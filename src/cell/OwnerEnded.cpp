#include "cell/CellOwner.h"
#include "cell/CommitEntries.h"
#include "common/Log.h"

#include <algorithm>

/// Jobs that have ended. The commit that stores the end of a job moves its rows
/// to a small one in a table of its own, so that a load reads the live jobs
/// only. A job is in one of both places at any time, and whoever stores a job
/// makes sure that it is in neither.
namespace daisylanding::cell {

namespace {

/// Ended jobs whose rows one commit removes, or moves after their end.
constexpr size_t MaxRemovalsPerCommit = 5;
constexpr size_t MaxMovesPerCommit = 10;
constexpr size_t EntriesPerRemoval = 3;
constexpr size_t EntriesPerMove = 4;

bool hasRoomFor(const store::Transaction &Tx, size_t Entries) {
  return Tx.entryCount() + OwnerRowEntries + Entries <=
         store::MaxTransactionEntries;
}

void removeJobRows(store::Transaction &Tx, const std::string &JobId) {
  Tx.Removals.push_back({.Table = JobTable, .Key = JobId});
  Tx.Removals.push_back({.Table = JobTable, .Key = cancelKey(JobId)});
  Tx.Removals.push_back({.Table = ProgressTable, .Key = JobId});
}

} // namespace

EndedJob CellOwner::endedJobOf(const LiveJob &Job) {
  return {.Phase = Job.Phase,
          .EndedMs = Job.EndedMs,
          .WorkHash = workHash(Job.Spec),
          .Queue = Job.Spec.Queue};
}

bool CellOwner::mayMove(const CommitInFlight &Commit, const LiveJob &Job) {
  return Commit.MovesEnds && Job.Stored && isFinal(Job.Phase) &&
         Job.OpenRuns == 0 && Job.OccurrencesInRows.empty();
}

void CellOwner::moveRows(CommitInFlight &Commit, const std::string &JobId,
                         EndedJob Ended) const {
  if (!StoresQueueOfEnded)
    Ended.Queue.clear();
  Commit.Transaction.Writes.push_back(
      {.Table = EndedTable, .Key = JobId, .Value = encodeEndedJob(Ended)});
  removeJobRows(Commit.Transaction, JobId);
  Commit.MovedJobs.push_back(JobId);
}

/// Keeps an ended job in mind until its rows are removed.
void CellOwner::addEndedJob(const std::string &JobId, const EndedJob &Ended,
                            TimePoint Now) {
  forgetEnded(JobId);
  EndedJobs[JobId] = {.Job = Ended};
  countEnded(Ended);
  RowsToMove.push_back(JobId);
  Removals.emplace_back(Now + 2 * Options.StatusRetention, JobId);
}

void CellOwner::addEndedRow(const std::string &JobId, const EndedJob &Ended,
                            TimePoint Now) {
  const LiveJob *Existing = findJob(JobId);
  if (Existing && Existing->Stored) {
    logError("ended-job-stored-again", "job={}", JobId);
    return;
  }
  // The commit of an offer of this job is refused.
  if (!EndedJobs.try_emplace(JobId, KnownEnd{.Job = Ended, .Moved = true})
           .second)
    return;
  countEnded(Ended);
  Removals.emplace_back(Now + 2 * Options.StatusRetention, JobId);
}

void CellOwner::countEnded(const EndedJob &Ended) {
  ++EndedByQueue[Ended.Queue];
}

void CellOwner::forgetEnded(const std::string &JobId) {
  auto Found = EndedJobs.find(JobId);
  if (Found == EndedJobs.end())
    return;
  auto Counted = EndedByQueue.find(Found->second.Job.Queue);
  if (--Counted->second == 0)
    EndedByQueue.erase(Counted);
  EndedJobs.erase(Found);
}

/// Drops a job whose final phase is stored and that has no open runs. The rows
/// of its occurrences are removed before.
void CellOwner::dropEndedJob(LiveJob &Job, TimePoint Now) {
  if (!isFinal(Job.Phase) || Job.OpenRuns > 0 ||
      !Job.OccurrencesInRows.empty() || Job.RecordedRevision != Job.Revision)
    return;
  std::string Id = Job.Spec.Id;
  addEndedJob(Id, endedJobOf(Job), Now);
  removeJob(Id);
}

void CellOwner::addRemovals(CommitInFlight &Commit, TimePoint Now) {
  store::Transaction &Tx = Commit.Transaction;
  while (!Removals.empty() && Removals.front().first <= Now &&
         Commit.RemovedJobs.size() < MaxRemovalsPerCommit &&
         hasRoomFor(Tx, EntriesPerRemoval)) {
    std::string Id = std::move(Removals.front().second);
    Removals.pop_front();
    auto Found = EndedJobs.find(Id);
    if (Found == EndedJobs.end())
      continue;
    if (Found->second.Moved)
      Tx.Removals.push_back({.Table = EndedTable, .Key = Id});
    else
      removeJobRows(Tx, Id);
    Commit.RemovedJobs.push_back(std::move(Id));
  }
}

/// Moves rows that stayed because the store was busy, or some entry did not
/// know the table of ended jobs: a few with each commit that is sent anyway.
void CellOwner::addMoves(CommitInFlight &Commit, int64_t StoreClockMs) {
  size_t Moved = 0;
  while (MovesEndedJobs && !RowsToMove.empty() && Moved < MaxMovesPerCommit &&
         hasRoomFor(Commit.Transaction, EntriesPerMove)) {
    std::string Id = std::move(RowsToMove.front());
    RowsToMove.pop_front();
    auto Found = EndedJobs.find(Id);
    bool IsRemoved =
        std::find(Commit.RemovedJobs.begin(), Commit.RemovedJobs.end(), Id) !=
        Commit.RemovedJobs.end();
    if (Found == EndedJobs.end() || Found->second.Moved || IsRemoved)
      continue;
    EndedJob Ended = Found->second.Job;
    if (Ended.EndedMs == 0)
      Ended.EndedMs = std::max<int64_t>(1, StoreClockMs);
    moveRows(Commit, Id, Ended);
    ++Moved;
  }
}

void CellOwner::finishMoves(const CommitInFlight &Commit) {
  for (const std::string &Id : Commit.MovedJobs) {
    auto Found = EndedJobs.find(Id);
    if (Found != EndedJobs.end())
      Found->second.Moved = true;
  }
  for (const std::string &Id : Commit.RemovedJobs)
    forgetEnded(Id);
}

/// Takes back what a refused commit would have moved and removed.
void CellOwner::restoreQueues(CommitInFlight &Commit, TimePoint Now) {
  for (const std::string &Id : Commit.RemovedJobs)
    Removals.emplace_front(Now, Id);
  // Jobs that have just ended are moved with their next commit.
  for (const std::string &Id : Commit.MovedJobs) {
    if (EndedJobs.count(Id))
      RowsToMove.push_back(Id);
  }
}

} // namespace daisylanding::cell
