#include "node/JobWriter.h"

#include "cell/OwnerRow.h"
#include "common/Log.h"

#include <algorithm>

namespace daisylanding::node {

namespace {

/// A job takes a precondition and a write; a batch stays well under the
/// store's limits of entries and bytes.
constexpr size_t MaxBatch = 40;
constexpr Millis BaseRetry{60};
constexpr uint32_t MaxRetryDoublings = 4;

} // namespace

void JobWriter::add(JobWrite Next, TimePoint Now) {
  Queue.push_back(std::move(Next));
  send(Now);
}

void JobWriter::send(TimePoint Now) {
  if (!InFlight.empty() || Paused)
    return;
  auto What = std::make_shared<store::Transaction>();
  What->Partition = Service;
  while (!Queue.empty() && InFlight.size() < MaxBatch) {
    JobWrite Each = std::move(Queue.front());
    Queue.pop_front();
    if (Now >= Each.Deadline) {
      Each.Done(Each.MayExist ? WriteOutcome::Unknown : WriteOutcome::Refused);
      continue;
    }
    What->Preconditions.push_back(
        {.Table = cell::JobTable, .Key = Each.Job.Id});
    What->Writes.push_back({.Table = cell::JobTable,
                            .Key = Each.Job.Id,
                            .Value = cell::encodeJob(Each.Job)});
    InFlight.push_back(std::move(Each));
  }
  if (InFlight.empty())
    return;
  ++Number;
  MaybeDone = false;
  sendOnce(What, Number);
  hedge(What, Number, Now, Now + Hedge());
}

/// One more copy if no answer comes; later, if the store has turned slow
/// meanwhile.
void JobWriter::hedge(const std::shared_ptr<const store::Transaction> &What,
                      uint64_t Mine, TimePoint Sent, TimePoint When) {
  Later.schedule(When, [this, What, Mine, Sent, When] {
    if (Mine != Number || InFlight.empty() || Copies != 1)
      return;
    TimePoint Next = Sent + Hedge();
    if (Next > When)
      hedge(What, Mine, Sent, Next);
    else
      sendOnce(What, Mine);
  });
}

void JobWriter::sendOnce(const std::shared_ptr<const store::Transaction> &What,
                         uint64_t Mine) {
  ++Copies;
  logInfo("batch-sent", "service={} jobs={} copy={} waiting={}", Service,
          InFlight.size(), Copies, Queue.size());
  Store.commit(*What, [this, Mine](const store::TransactionResult &Result) {
    onResult(Mine, Result);
  });
}

void JobWriter::onResult(uint64_t Mine,
                         const store::TransactionResult &Result) {
  if (Mine != Number || InFlight.empty())
    return;
  --Copies;
  bool Definite = Result.Outcome == store::TransactionOutcome::Committed ||
                  Result.Outcome == store::TransactionOutcome::Conflict;
  if (Result.Outcome == store::TransactionOutcome::Unknown)
    MaybeDone = true;
  if (!Definite && Copies > 0)
    return;
  TimePoint Now = monotonicNow();
  settle(Result, Now);
  Copies = 0;
  InFlight.clear();
  send(Now);
}

void JobWriter::settle(const store::TransactionResult &Result, TimePoint Now) {
  if (Result.Outcome == store::TransactionOutcome::Committed) {
    FailuresInRow = 0;
    for (JobWrite &Each : InFlight)
      Each.Done(WriteOutcome::Stored);
    return;
  }
  if (Result.Outcome == store::TransactionOutcome::Conflict) {
    FailuresInRow = 0;
    settleConflict(Result);
    return;
  }
  for (JobWrite &Each : InFlight) {
    Each.MayExist = Each.MayExist || MaybeDone;
    if (Each.MayExist)
      Queue.push_back(std::move(Each));
    else
      Each.Done(WriteOutcome::Refused);
  }
  retryLater(Now);
}

/// Some jobs are stored already; the others go into the next batch.
void JobWriter::settleConflict(const store::TransactionResult &Result) {
  for (JobWrite &Each : InFlight) {
    auto Present = std::find_if(
        Result.CurrentRows.begin(), Result.CurrentRows.end(),
        [&](const store::Row &Row) { return Row.Key == Each.Job.Id; });
    if (Present == Result.CurrentRows.end()) {
      Queue.push_front(std::move(Each));
      continue;
    }
    auto Known = cell::decodeJob(Present->Value);
    bool Same = Known && cell::isSameWork(*Known, Each.Job);
    Each.Done(Same ? WriteOutcome::StoredBefore : WriteOutcome::OtherWork);
  }
}

void JobWriter::retryLater(TimePoint Now) {
  uint32_t Doublings = std::min(FailuresInRow++, MaxRetryDoublings);
  Paused = true;
  Later.schedule(Now + Millis(BaseRetry.count() << Doublings), [this] {
    Paused = false;
    send(monotonicNow());
  });
}

void JobWriter::giveUp() {
  for (JobWrite &Each : InFlight)
    Each.Done(WriteOutcome::Unknown);
  InFlight.clear();
  Copies = 0;
  for (JobWrite &Each : Queue)
    Each.Done(Each.MayExist ? WriteOutcome::Unknown : WriteOutcome::Refused);
  Queue.clear();
}

} // namespace daisylanding::node
