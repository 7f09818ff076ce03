#ifndef DAISYLANDING_CELL_CELLOWNER_H
#define DAISYLANDING_CELL_CELLOWNER_H

#include "cell/CellConfig.h"
#include "cell/ExecutorPool.h"
#include "cell/LiveJob.h"
#include "cell/Offer.h"
#include "cell/OwnerRow.h"
#include "cell/Placement.h"
#include "cell/SpeedTracker.h"
#include "executor/AdvicePort.h"
#include "store/RowStore.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace daisylanding::cell {

struct OwnerOptions {
  std::string Service;     ///< Also the partition of all its rows.
  OwnerRow AcquiredRow;    ///< As written when the service was taken.
  uint64_t RowVersion = 0; ///< Of the ownership row.
  ContactOptions Contact;
  /// When every lease of earlier owners has ended, on executors that are
  /// never heard of.
  TimePoint InheritedLeaseEnd{};
  int64_t StoreClockMs = 0; ///< The store's clock at `Began`.
  TimePoint CreatedAt{};
  /// No start is decided or sent on an instance list that was confirmed longer
  /// ago: an executor may be leaving.
  Millis MaxInstanceListAge{900};
  /// No start is sent when cancels may have been missed for longer.
  Millis MaxJobFeedAge{1'900};
  Millis HeartbeatInterval{300};   ///< Longest time between two commits.
  Millis StatusRetention{120'000}; ///< How long ended jobs can be asked for.
};

/// A start that may now be sent.
struct StartCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::StartOrder Order;
};

struct StopCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::StopOrder Order;
};

struct RenewalCommand {
  ExecutorIndex Executor = 0;
  executor::HoldCall Call;
};

struct PaceCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::PaceOrder Order;
};

/// A call for advice, not yet given to a line.
struct AdviceCallCommand {
  uint64_t Id = 0;
  executor::AdviceCall Call;
  TimePoint Due{};       ///< When its step begins to lose worth.
  double ExpectedMs = 0; ///< What the call takes once it is served.
};

/// What the owner wants done; its loop carries it out.
struct OwnerCommands {
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<RenewalCommand> Renewals;
  std::vector<PaceCommand> PaceChanges;
  std::vector<AdviceCallCommand> AdviceCalls;
};

/// Counts since the owner began, for metrics.
struct OwnerCounts {
  uint64_t Starts = 0;
  uint64_t EndsDone = 0;
  uint64_t EndsFailed = 0;
  uint64_t EndsOther = 0;
  uint64_t TicketRefusals = 0;
  uint64_t CapacityRefusals = 0;
  uint64_t ExpiredRuns = 0;
  uint64_t Stragglers = 0;
  uint64_t JobsCompleted = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsCancelled = 0;
};

/// A summary of what an owner is at.
struct OwnerStatus {
  size_t LiveJobs = 0;
  size_t WaitingSteps = 0;
  size_t StepsWithoutAdvice = 0;
  size_t OpenRuns = 0;
  size_t Executors = 0; ///< In the instance list.
  size_t Usable = 0;    ///< Of those, the ones that may get work now.
  double CommitMs = 0;
};

/// A step that waits, and what it waits for: executors that could run a task
/// of it, of these those that the policy allows, that may get work now, and
/// that have room.
struct WaitingStepReport {
  std::string Job;
  uint32_t Step = 0;
  uint32_t Tasks = 0;
  Resources Size; ///< Of one task.
  bool Gang = false;
  bool Colocate = false;
  Millis Age{0};
  double SlackMs = 0;
  uint32_t Suitable = 0;
  uint32_t Allowed = 0;
  uint32_t Usable = 0;
  uint32_t WithFreeCapacity = 0;
};

/// Decides for all jobs of one service: places tasks on executors, follows
/// their runs, and keeps the stored record ahead of what executors are told
/// and behind nothing that they may forget. No I/O; one thread.
class CellOwner {
public:
  CellOwner(OwnerOptions Options, std::shared_ptr<const CellConfig> Config);

  void setConfig(std::shared_ptr<const CellConfig> NewConfig);
  /// Takes over a job as it is stored. Called before anything else.
  void restore(JobSpec Spec, const std::optional<JobProgress> &Progress,
               bool Cancelled, TimePoint AcceptedAt, TimePoint Now);
  /// A job that was handed in; known ids are left as they are.
  void accept(JobSpec Spec, TimePoint AcceptedAt, TimePoint Now);
  /// A job that is not stored yet; its entry is told once it is.
  void offer(Offer NewOffer, TimePoint AcceptedAt, TimePoint Now);
  /// Answers all offers whose commit is not known to have gone through.
  void failOpenOffers();
  void cancel(std::string_view JobId, TimePoint Now);
  void setExecutors(std::span<const executor::ExecutorInfo> List,
                    TimePoint Now);

  /// The instance list, or the feed of jobs, is known to be up to date.
  void confirmInstanceList(TimePoint Now) { InstanceListConfirmedAt = Now; }
  void confirmJobFeed(TimePoint Now) { JobFeedConfirmedAt = Now; }

  /// Moves everything on. \p WallMs is the wall clock, for timed jobs.
  OwnerCommands advance(TimePoint Now, int64_t WallMs);

  /// The next transaction, if there is one to send now. One at a time; each
  /// is answered by `onCommit`.
  std::optional<store::Transaction> nextCommit(TimePoint Now,
                                               int64_t StoreClockMs);
  /// \p Sequence is that of `commitSequence` when the transaction was taken;
  /// answers to older ones tell nothing new.
  void onCommit(uint64_t Sequence, const store::TransactionResult &Result,
                TimePoint Now);
  /// What a read of the store takes at present, in ms.
  void setStoreReadMs(double Ms) { StoreReadMs = Ms; }
  uint64_t commitSequence() const {
    return InFlight ? InFlight->Row.Sequence : 0;
  }

  void onStart(const executor::RunId &Id, ExecutorIndex Index,
               const executor::OrderAnswer &Answer, TimePoint Now);
  void onStop(const executor::RunId &Id, ExecutorIndex Index,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onPace(const executor::RunId &Id, ExecutorIndex Index,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onRenewal(ExecutorIndex Index, const executor::HoldAnswer &Answer,
                 TimePoint Now);
  void onAdvice(uint64_t Id, const Result<executor::Advice> &Answer,
                TimePoint Now);

  /// Another owner has taken the service; nothing more may be done.
  bool deposed() const { return Deposed; }
  /// Writes, with the next commit, that any entry may take the service.
  void release() { Releasing = true; }
  bool released() const { return Released; }

  const OwnerCounts &counts() const { return Counts; }
  size_t liveJobCount() const { return Jobs.size(); }
  /// Calls \p Each with every live job.
  template <typename Function> void forEachJob(Function Visit) const {
    for (const auto &Entry : Jobs)
      Visit(Entry.second);
  }
  /// What the owner is at, for logs and metrics.
  OwnerStatus status(TimePoint Now);
  /// The steps that have waited longest, and for at least so long.
  std::vector<WaitingStepReport>
  longestWaitingSteps(size_t MaxCount, Millis MinAge, TimePoint Now);

private:
  struct CommitInFlight {
    store::Transaction Transaction;
    OwnerRow Row;
    std::vector<std::pair<std::string, uint64_t>> Jobs; ///< With their marks.
    std::vector<executor::RunId> Starts;
    TimePoint FirstSent{};
    TimePoint LastSent{};
    uint32_t Resends = 0;                 ///< Sent besides the first.
    std::vector<std::string> OfferedJobs; ///< Jobs that it stores.
    std::vector<std::string> RemovedJobs; ///< Jobs whose rows it removes.
  };

  struct AdviceRequest {
    std::string JobId;
    TaskPosition Position; ///< Its index is unused.
    std::vector<ExecutorIndex> AskedExecutors;
  };

  struct PaceState {
    uint32_t Percent = 100;
    TimePoint ChangedAt{};
  };

  // Jobs and their steps.
  LiveJob &insertJob(JobSpec Spec, TimePoint AcceptedAt);
  void beginOccurrence(LiveJob &Job, uint32_t Number, TimePoint Begin);
  void beginDueOccurrences(TimePoint Now, int64_t WallMs);
  bool isReady(const LiveJob &Job, const LiveOccurrence &Occurrence,
               uint32_t Step) const;
  TimePoint inheritedLeaseEndOn(const std::string &ExecutorId) const;
  Millis criticalPathOf(const LiveJob &Job) const;
  void markChanged(LiveJob &Job);
  void completeIfDone(LiveJob &Job, uint32_t Occurrence, TimePoint Now);
  void setFinalPhase(LiveJob &Job, JobPhase Phase);
  void dropEndedJob(LiveJob &Job, TimePoint Now);
  LiveJob *findJob(std::string_view JobId);
  std::optional<TaskKey> findTask(const executor::RunId &Id);
  std::optional<TaskKey> findOpenRun(const executor::RunId &Id,
                                     ExecutorIndex Index);
  void resizeExecutorTables();

  // Runs.
  void placeTask(const TaskKey &Key, ExecutorIndex Index);
  void unplaceTask(const TaskKey &Key);
  void recordRun(const TaskKey &Key);
  void openRun(const TaskKey &Key);
  void closeRun(const TaskKey &Key, TaskPhase NextPhase);
  void dropRefusedStart(const TaskKey &Key, TimePoint Now);
  void beginStop(const TaskKey &Key, TimePoint Now);
  void stopAllRuns(LiveJob &Job, TimePoint Now);
  void stopBrokenGangs(LiveJob &Job, TimePoint Now);
  void onRunEnd(ExecutorIndex Index, const executor::EndedTask &End,
                TimePoint Now);
  void endRun(const TaskKey &Key, executor::EndKind Kind, TimePoint Now);
  void onGangMemberEnd(const TaskKey &Key, executor::EndKind Kind,
                       TimePoint Now);
  void countFailure(const TaskKey &Key, TimePoint Now);
  void onRunningTask(ExecutorIndex Index, const executor::RunningTask &Running,
                     TimePoint Now);
  void endAbsentRuns(ExecutorIndex Index, const executor::HoldAnswer &Answer,
                     TimePoint RenewalSentAt, TimePoint Now);
  void releaseLingeringRuns(ExecutorIndex Index,
                            const executor::HoldAnswer &Answer);
  void learnRunTime(const TaskKey &Key, TimePoint Now);
  void restartStragglers(ExecutorIndex Index, TimePoint Now);
  bool isStraggler(const TaskKey &Key, TimePoint Now);
  void onIncarnationEnded(ExecutorIndex Index, TimePoint Now);
  void expireRuns(TimePoint Now);

  // Planning.
  struct WaitingStepRef {
    LiveJob *Job = nullptr;
    uint32_t Occurrence = 0;
    uint32_t Step = 0;
    double SlackMs = 0;

    LiveOccurrence &occurrence() const {
      return Job->Occurrences.at(Occurrence);
    }
    LiveStep &step() const { return occurrence().Steps[Step]; }
    const StepSpec &spec() const { return Job->Spec.Steps[Step]; }
    TaskKey task(uint32_t Index) const {
      return {Job, {Occurrence, Step, Index}};
    }
  };
  std::vector<WaitingStepRef> waitingSteps(TimePoint Now);
  WaitingStepReport reportOf(const WaitingStepRef &Waiting,
                             TimePoint Now) const;
  void plan(TimePoint Now);
  void planTasks(const WaitingStepRef &Waiting, const Queue *JobQueue,
                 std::vector<ExecutorLoad> Loads, TimePoint Now);
  void planGang(const WaitingStepRef &Waiting, const Queue *JobQueue,
                std::span<const ExecutorLoad> Loads, TimePoint Now);
  bool recordPlacedTasks(const WaitingStepRef &Waiting, const Queue *JobQueue,
                         TimePoint Now);
  void requestAdvice(const WaitingStepRef &Waiting, const Queue &JobQueue,
                     bool Renew, TimePoint Now);
  void reserveExecutors(const WaitingStepRef &Waiting, size_t Count,
                        TimePoint Now);
  std::optional<Millis> timeUntilFree(ExecutorIndex Index, const StepSpec &Spec,
                                      TimePoint Now) const;
  PlacementRequest
  placementRequestFor(const WaitingStepRef &Waiting, const Queue *JobQueue,
                      std::map<ExecutorIndex, uint32_t> &TasksByExecutor) const;
  std::vector<ExecutorLoad> executorLoads(TimePoint Now) const;

  // Orders.
  bool mayStart(TimePoint Now) const {
    return Now < InstanceListConfirmedAt + Options.MaxInstanceListAge &&
           Now < JobFeedConfirmedAt + Options.MaxJobFeedAge;
  }
  void emitOrders(TimePoint Now);
  void emitStart(const TaskKey &Key, TimePoint Now);
  void emitStop(const TaskKey &Key, TimePoint Now);
  void emitRenewals(TimePoint Now);
  void adjustPace(ExecutorIndex Index, TimePoint Now);
  executor::ExecutorTarget targetOf(ExecutorIndex Index) const;

  // Commits.
  CommitInFlight buildCommit(TimePoint Now, int64_t StoreClockMs);
  void addJobs(CommitInFlight &Commit, int64_t StoreClockMs);
  OwnerRow buildOwnerRow(TimePoint Now, int64_t StoreClockMs);
  void addJob(CommitInFlight &Commit, LiveJob &Job, int64_t StoreClockMs);
  void addRemovals(CommitInFlight &Commit, TimePoint Now);
  bool isRemovalDue(TimePoint Now) const {
    return !Removals.empty() && Removals.front().first <= Now;
  }
  void onCommitted(uint64_t Version, TimePoint Now);
  void onConflict(const store::TransactionResult &Result, TimePoint Now);
  Micros resendDelay() const;
  void answerOffers(const std::string &JobId, OfferOutcome Outcome);
  bool isInFlight(const std::string &JobId) const;
  void onAlreadyStored(const store::Row &StoredRow, TimePoint Now);
  void adoptStoredJob(JobSpec StoredJob, TimePoint Now);
  void expireOffers(TimePoint Now);
  void dropOfferedJob(const std::string &JobId, TimePoint Now);
  void acknowledgeEnds();
  JobProgress progressOf(const LiveJob &Job) const;

  OwnerOptions Options;
  std::shared_ptr<const CellConfig> Config;
  ExecutorPool Pool;
  SpeedTracker Speeds;
  std::map<std::string, LiveJob, std::less<>> Jobs;
  std::unordered_set<std::string> EndedJobs;
  std::deque<std::pair<TimePoint, std::string>> Removals;
  std::vector<std::vector<TaskKey>> OpenRunsByExecutor; ///< By executor.
  std::vector<PaceState> PaceByExecutor;                ///< By executor.
  std::vector<Reservation> Reservations;                ///< By executor.
  /// Jobs with changes to store, by when the oldest of these came.
  std::map<std::string, uint64_t> DirtyJobs;
  uint64_t NextDirtyNumber = 0;
  std::map<std::string, std::vector<OfferDone>> OpenOffers; ///< By job.
  std::optional<CommitInFlight> InFlight;
  std::unordered_map<uint64_t, AdviceRequest> OpenAdviceCalls;
  uint64_t NextAdviceId = 0;
  uint64_t RowVersion = 0;
  uint64_t LastBuiltSequence = 0; ///< Of the newest commit that was built.
  OwnerRow Row;
  TimePoint LastCommitAt{};
  TimePoint OwnershipConfirmedAt{};
  TimePoint RetryCommitAt{};
  double AverageCommitMs = 20; ///< Moving average of answered commits.
  double StoreReadMs = 5;
  TimePoint InstanceListConfirmedAt{};
  TimePoint JobFeedConfirmedAt{};
  bool Deposed = false;
  bool Releasing = false;
  bool Released = false;
  OwnerCommands Commands;
  OwnerCounts Counts;
};

} // namespace daisylanding::cell

#endif
