#include "node/JobWriter.h"

#include "cell/EndedJob.h"
#include "cell/OwnerRow.h"
#include "common/Log.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace daisylanding::node {

namespace {

/// Each job takes two preconditions and one write; this keeps a batch under the
/// store's limit on entries per transaction.
constexpr size_t MaxBatchJobs = 30;
constexpr Millis BaseRetryDelay{60};
constexpr uint32_t MaxRetryDoublings = 4;
/// A batch that took longer has waited behind writes of others.
constexpr Millis CongestedBatchTime{80};
/// Pause after such a batch, as a multiple of its time. Callers wait meanwhile,
/// also after a silence of the store that has ended.
constexpr int64_t PausePerBatchTime = 2;
constexpr Millis MaxPause{500};

/// Whether a row, which may be that of an ended job, tells of the same work.
bool isSameWork(const store::Row &StoredRow, const cell::JobSpec &Job) {
  if (StoredRow.Table == cell::EndedTable) {
    auto Ended = cell::decodeEndedJob(StoredRow.Value);
    return Ended && Ended->WorkHash == cell::workHash(Job);
  }
  auto StoredJob = cell::decodeJob(StoredRow.Value);
  return StoredJob && cell::isSameRequest(*StoredJob, Job);
}

} // namespace

void JobWriter::add(JobWrite Write, TimePoint Now) {
  Queue.push_back(std::move(Write));
  sendNextBatch(Now);
}

void JobWriter::sendNextBatch(TimePoint Now) {
  if (!InFlight.empty() || Paused)
    return;
  auto Tx = std::make_shared<store::Transaction>();
  Tx->Partition = Service;
  while (!Queue.empty() && InFlight.size() < MaxBatchJobs &&
         Tx->byteCount() + store::MaxRowBytes <= store::MaxTransactionBytes) {
    JobWrite Write = std::move(Queue.front());
    Queue.pop_front();
    if (Now >= Write.Deadline || !passesFence(Write)) {
      Write.Done(Write.MayExist ? WriteOutcome::Unknown
                                : WriteOutcome::Refused);
      continue;
    }
    Tx->Preconditions.push_back({.Table = cell::JobTable, .Key = Write.Job.Id});
    // It may have ended since an earlier try of its caller.
    Tx->Preconditions.push_back(
        {.Table = cell::EndedTable, .Key = Write.Job.Id});
    Tx->Writes.push_back({.Table = cell::JobTable,
                          .Key = Write.Job.Id,
                          .Value = cell::encodeJob(Write.Job)});
    InFlight.push_back(std::move(Write));
  }
  Fence.IsFresh = false;
  if (InFlight.empty())
    return;
  Tx->Preconditions.push_back({.Table = cell::StatedConfigTable,
                               .Key = cell::StatedConfigKey,
                               .Version = Fence.RowVersion});
  ++CurrentBatch;
  BatchSentAt = Now;
  MayBeStored = false;
  sendCopy(Tx, CurrentBatch);
  scheduleHedge(Tx, CurrentBatch, Now, Now + DelayBeforeHedge());
}

/// Sends one more copy at \p DueAt if there is no answer by then. Waits longer
/// if the hedge delay has grown meanwhile, as it does on a slow store.
void JobWriter::scheduleHedge(
    const std::shared_ptr<const store::Transaction> &Tx, uint64_t BatchNumber,
    TimePoint SentAt, TimePoint DueAt) {
  TimerQueue.schedule(DueAt, [this, Tx, BatchNumber, SentAt, DueAt] {
    if (BatchNumber != CurrentBatch || InFlight.empty() || CopiesInFlight != 1)
      return;
    TimePoint NextDueAt = SentAt + DelayBeforeHedge();
    if (NextDueAt > DueAt)
      scheduleHedge(Tx, BatchNumber, SentAt, NextDueAt);
    else
      sendCopy(Tx, BatchNumber);
  });
}

void JobWriter::sendCopy(const std::shared_ptr<const store::Transaction> &Tx,
                         uint64_t BatchNumber) {
  ++CopiesInFlight;
  logInfo("batch-sent", "service={} jobs={} copy={} waiting={}", Service,
          InFlight.size(), CopiesInFlight, Queue.size());
  Store.commit(*Tx,
               [this, BatchNumber](const store::TransactionResult &Result) {
                 onResult(BatchNumber, Result);
               });
}

void JobWriter::onResult(uint64_t BatchNumber,
                         const store::TransactionResult &Result) {
  if (BatchNumber != CurrentBatch || InFlight.empty())
    return;
  --CopiesInFlight;
  bool Definite = Result.Outcome == store::TransactionOutcome::Committed ||
                  Result.Outcome == store::TransactionOutcome::Conflict;
  if (Result.Outcome == store::TransactionOutcome::Unknown)
    MayBeStored = true;
  if (!Definite && CopiesInFlight > 0)
    return;
  TimePoint Now = monotonicNow();
  completeBatch(Result, Now);
  CopiesInFlight = 0;
  InFlight.clear();
  Micros Took = Now - BatchSentAt;
  if (!Paused && Took > CongestedBatchTime)
    pauseFor(std::min(PausePerBatchTime * Took, Micros(MaxPause)), Now);
  sendNextBatch(Now);
}

void JobWriter::completeBatch(const store::TransactionResult &Result,
                              TimePoint Now) {
  if (Result.Outcome == store::TransactionOutcome::Committed) {
    ConsecutiveFailures = 0;
    for (JobWrite &Write : InFlight)
      Write.Done(WriteOutcome::Stored);
    return;
  }
  if (Result.Outcome == store::TransactionOutcome::Conflict) {
    ConsecutiveFailures = 0;
    completeConflict(Result);
    return;
  }
  for (JobWrite &Write : InFlight) {
    Write.MayExist = Write.MayExist || MayBeStored;
    if (Write.MayExist)
      Queue.push_back(std::move(Write));
    else
      Write.Done(WriteOutcome::Refused);
  }
  scheduleRetry(Now);
}

/// Whether the job may be stored by what the owner states. If that was read for
/// an earlier batch, the batch is sent without it and reads it anew.
bool JobWriter::passesFence(const JobWrite &Write) {
  if (!Write.MayStore || Write.MayStore(Fence.ConfigVersion))
    return true;
  if (Fence.IsFresh) {
    logInfo("write-fenced", "service={} job={} stated={}", Service,
            Write.Job.Id, Fence.ConfigVersion);
    return false;
  }
  Fence = {};
  return true;
}

/// Reads what the owner states from the rows of a refused batch.
void JobWriter::readFence(const store::TransactionResult &Result) {
  Fence = {.IsFresh = true};
  for (const store::Row &Row : Result.CurrentRows) {
    if (Row.Table != cell::StatedConfigTable ||
        Row.Version == store::AbsentVersion)
      continue;
    Fence.RowVersion = Row.Version;
    const char *End = Row.Value.data() + Row.Value.size();
    auto Parsed = std::from_chars(Row.Value.data(), End, Fence.ConfigVersion);
    if (Parsed.ec == std::errc() && Parsed.ptr == End)
      continue;
    logError("stated-config-unreadable", "service={} version={}", Service,
             Row.Version);
    // Newer than any that an entry knows.
    Fence.ConfigVersion = std::numeric_limits<uint64_t>::max();
  }
}

/// Completes the jobs that are already stored; the others go into the next
/// batch.
void JobWriter::completeConflict(const store::TransactionResult &Result) {
  readFence(Result);
  for (JobWrite &Write : InFlight) {
    auto StoredRow =
        std::find_if(Result.CurrentRows.begin(), Result.CurrentRows.end(),
                     [&](const store::Row &Row) {
                       return Row.Table != cell::StatedConfigTable &&
                              Row.Key == Write.Job.Id &&
                              Row.Version != store::AbsentVersion;
                     });
    if (StoredRow == Result.CurrentRows.end()) {
      Queue.push_front(std::move(Write));
      continue;
    }
    Write.Done(isSameWork(*StoredRow, Write.Job) ? WriteOutcome::StoredBefore
                                                 : WriteOutcome::OtherWork);
  }
}

void JobWriter::scheduleRetry(TimePoint Now) {
  uint32_t Doublings = std::min(ConsecutiveFailures++, MaxRetryDoublings);
  pauseFor(Millis(BaseRetryDelay.count() << Doublings), Now);
}

void JobWriter::pauseFor(Micros Duration, TimePoint Now) {
  Paused = true;
  TimerQueue.schedule(Now + Duration, [this] {
    Paused = false;
    sendNextBatch(monotonicNow());
  });
}

void JobWriter::failAll() {
  for (JobWrite &Write : InFlight)
    Write.Done(WriteOutcome::Unknown);
  InFlight.clear();
  CopiesInFlight = 0;
  for (JobWrite &Write : Queue)
    Write.Done(Write.MayExist ? WriteOutcome::Unknown : WriteOutcome::Refused);
  Queue.clear();
}

} // namespace daisylanding::node
