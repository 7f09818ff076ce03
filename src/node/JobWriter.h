#ifndef DAISYLANDING_NODE_JOBWRITER_H
#define DAISYLANDING_NODE_JOBWRITER_H

#include "cell/JobSpec.h"
#include "common/Timers.h"
#include "store/RowStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace daisylanding::node {

/// How the write of one job ended.
enum class WriteOutcome : uint8_t {
  Stored,
  StoredBefore,
  OtherWork, ///< The id is used for another job.
  Refused,   ///< The store refused and nothing was ever sent that might count.
  Unknown    ///< It may be stored, or may be later; the caller's time is over.
};

/// A job that its entry stores itself.
struct JobWrite {
  cell::JobSpec Job;
  TimePoint Deadline{};  ///< By when an outcome must be told.
  bool MayExist = false; ///< An earlier try of it may be carried out.
  std::function<void(WriteOutcome)> Done;
};

/// How long to wait before a write is sent once more.
using HedgeDelay = std::function<Millis()>;

/// Stores the jobs of one service, one transaction at a time: what arrives
/// meanwhile goes into the next. Answers stores so slow that a transaction a
/// job would fill the service's partition and keep its owner out. One thread.
class JobWriter {
public:
  JobWriter(std::string Service, store::RowStore &Store, Timers &TimerQueue,
            HedgeDelay DelayBeforeHedge)
      : Service(std::move(Service)), Store(Store), TimerQueue(TimerQueue),
        DelayBeforeHedge(std::move(DelayBeforeHedge)) {}

  void add(JobWrite Write, TimePoint Now);
  /// Tells everyone who waits: the store is known to be silent.
  void failAll();
  size_t queuedJobs() const { return Queue.size(); }

private:
  using Batch = std::vector<JobWrite>;

  void sendNextBatch(TimePoint Now);
  void sendCopy(const std::shared_ptr<const store::Transaction> &Tx,
                uint64_t BatchNumber);
  void scheduleHedge(const std::shared_ptr<const store::Transaction> &Tx,
                     uint64_t BatchNumber, TimePoint SentAt, TimePoint DueAt);
  void onResult(uint64_t BatchNumber, const store::TransactionResult &Result);
  void completeBatch(const store::TransactionResult &Result, TimePoint Now);
  void completeConflict(const store::TransactionResult &Result);
  void scheduleRetry(TimePoint Now);

  std::string Service;
  store::RowStore &Store;
  Timers &TimerQueue;
  HedgeDelay DelayBeforeHedge;
  std::deque<JobWrite> Queue;
  Batch InFlight;
  uint64_t CurrentBatch = 0;   ///< Of the batch in flight, or the last.
  uint32_t CopiesInFlight = 0; ///< Of it, under way.
  uint32_t ConsecutiveFailures = 0;
  bool Paused = false;
  bool MayBeStored = false; ///< Some copy of the batch got no answer.
};

} // namespace daisylanding::node

#endif
