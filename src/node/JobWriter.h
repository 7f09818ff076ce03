#ifndef DAISYLANDING_NODE_JOBWRITER_H
#define DAISYLANDING_NODE_JOBWRITER_H

#include "cell/JobSpec.h"
#include "cell/QueueStatement.h"
#include "common/Timers.h"
#include "store/RowStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace daisylanding::node {

/// Outcome of one job's write.
enum class WriteOutcome : uint8_t {
  Stored,
  StoredBefore,
  OtherWork, ///< The id is used for another job.
  Refused,   ///< The store refused; no earlier try can have stored the job.
  Unknown    ///< It may be stored, now or later; the deadline has passed.
};

/// A job that its entry stores without the owner.
struct JobWrite {
  cell::JobSpec Job;
  TimePoint Deadline{};  ///< For reporting the outcome.
  bool MayExist = false; ///< An earlier try may still take effect.
  /// Whether it may be stored while the owner states a configuration of that
  /// version; always without one.
  std::function<bool(uint64_t)> MayStore;
  std::function<void(WriteOutcome)> Done;
};

/// How long to wait for an answer before sending a second copy of a write.
using HedgeDelay = std::function<Millis()>;

/// Stores the jobs of one service in batches, one transaction at a time; jobs
/// that arrive meanwhile go into the next batch. With one transaction per job,
/// a slow store's queue for the service's partition would fill up and delay its
/// owner's commits. A batch requires that the owner states the same
/// configuration as when it was made: a copy that is carried out late must not
/// store a job of a queue that has moved to another service. It rests after a
/// batch that had to wait for others, so that many entries leave the partition
/// to the owner. Single-threaded.
class JobWriter {
public:
  JobWriter(std::string Service, store::RowStore &Store, Timers &TimerQueue,
            HedgeDelay DelayBeforeHedge)
      : Service(std::move(Service)), Store(Store), TimerQueue(TimerQueue),
        DelayBeforeHedge(std::move(DelayBeforeHedge)) {}

  void add(JobWrite Write, TimePoint Now);
  /// Completes all writes, in flight or queued, as Unknown or Refused, because
  /// the store does not answer.
  void failAll();
  size_t queuedJobs() const { return Queue.size(); }

private:
  using Batch = std::vector<JobWrite>;

  /// The row in which the owner states its configuration, as last read.
  struct ConfigFence {
    uint64_t RowVersion = store::AbsentVersion;
    uint64_t ConfigVersion = 0;
    bool IsFresh = false; ///< Just read, for the next batch.
  };

  void sendNextBatch(TimePoint Now);
  void sendCopy(const std::shared_ptr<const store::Transaction> &Tx,
                uint64_t BatchNumber);
  void scheduleHedge(const std::shared_ptr<const store::Transaction> &Tx,
                     uint64_t BatchNumber, TimePoint SentAt, TimePoint DueAt);
  void onResult(uint64_t BatchNumber, const store::TransactionResult &Result);
  void completeBatch(const store::TransactionResult &Result, TimePoint Now);
  void completeConflict(const store::TransactionResult &Result);
  bool passesFence(const JobWrite &Write);
  void readFence(const store::TransactionResult &Result);
  void scheduleRetry(TimePoint Now);
  void pauseFor(Micros Duration, TimePoint Now);

  std::string Service;
  store::RowStore &Store;
  Timers &TimerQueue;
  HedgeDelay DelayBeforeHedge;
  std::deque<JobWrite> Queue;
  Batch InFlight;
  ConfigFence Fence;
  /// Number of the batch in flight, or of the last one.
  uint64_t CurrentBatch = 0;
  TimePoint BatchSentAt{};
  uint32_t CopiesInFlight = 0; ///< Unanswered copies of that batch.
  uint32_t ConsecutiveFailures = 0;
  bool Paused = false;
  bool MayBeStored = false; ///< The outcome of some copy is unknown.
};

} // namespace daisylanding::node

#endif
