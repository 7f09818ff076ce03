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
  OwnerRow Mine;           ///< As written when the service was taken.
  uint64_t RowVersion = 0; ///< Of the ownership row.
  ContactOptions Contact;
  /// When every lease of earlier owners has ended, on executors that are
  /// never heard of.
  TimePoint InheritedLeaseEnd{};
  int64_t StoreMillis = 0; ///< The store's clock at `Began`.
  TimePoint Began{};
  /// No start is decided or sent on an instance list that was confirmed longer
  /// ago: an executor may be leaving.
  Millis MaxListAge{900};
  /// No start is sent when cancels may have been missed for longer.
  Millis MaxJobsAge{1'900};
  Millis Heartbeat{300};      ///< Longest time between two commits.
  Millis StatusKept{120'000}; ///< How long ended jobs can be asked for.
};

/// A start that may now be sent.
struct StartCommand {
  ExecutorIndex On = NoExecutor;
  executor::StartOrder Order;
};

struct StopCommand {
  ExecutorIndex On = NoExecutor;
  executor::StopOrder Order;
};

struct HoldCommand {
  ExecutorIndex Index = 0;
  executor::RenewalCall Call;
};

struct PaceCommand {
  ExecutorIndex On = NoExecutor;
  executor::PaceOrder Order;
};

/// A call for advice, not yet given to a line.
struct AdviceCommand {
  uint64_t Id = 0;
  executor::AdviceCall Call;
  TimePoint Due{};       ///< When its step begins to lose worth.
  double ExpectedMs = 0; ///< What the call takes once it is served.
};

/// What the owner wants done; its loop carries it out.
struct Outbox {
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<HoldCommand> Holds;
  std::vector<PaceCommand> Paces;
  std::vector<AdviceCommand> Advices;
};

/// Counts since the owner began, for metrics.
struct OwnerCounts {
  uint64_t Starts = 0;
  uint64_t EndsDone = 0;
  uint64_t EndsFailed = 0;
  uint64_t EndsOther = 0;
  uint64_t TicketRefusals = 0;
  uint64_t RoomRefusals = 0;
  uint64_t Lapses = 0;
  uint64_t Stragglers = 0;
  uint64_t JobsCompleted = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsCancelled = 0;
};

/// A summary of what an owner is at.
struct OwnerState {
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
struct WaitingStep {
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
  uint32_t WithRoom = 0;
};

/// Decides for all jobs of one service: places tasks on executors, follows
/// their runs, and keeps the stored record ahead of what executors are told
/// and behind nothing that they may forget. No I/O; one thread.
class CellOwner {
public:
  CellOwner(OwnerOptions Options, std::shared_ptr<const CellConfig> Config);

  void setConfig(std::shared_ptr<const CellConfig> Next);
  /// Takes over a job as it is stored. Called before anything else.
  void restore(JobSpec Job, const std::optional<JobProgress> &Progress,
               bool Cancelled, TimePoint AcceptedAt, TimePoint Now);
  /// A job that was handed in; known ids are left as they are.
  void accept(JobSpec Job, TimePoint AcceptedAt, TimePoint Now);
  /// A job that is not stored yet; its entry is told once it is.
  void offer(Offer What, TimePoint AcceptedAt, TimePoint Now);
  /// Answers all offers whose commit is not known to have gone through.
  void giveUpOffers();
  void cancel(std::string_view JobId, TimePoint Now);
  void setExecutors(std::span<const executor::ExecutorInfo> List,
                    TimePoint Now);

  /// The instance list, or the feed of jobs, is known to be up to date.
  void confirmExecutors(TimePoint Now) { ListConfirmed = Now; }
  void confirmJobs(TimePoint Now) { JobsConfirmed = Now; }

  /// Moves everything on. \p WallMs is the wall clock, for timed jobs.
  Outbox advance(TimePoint Now, int64_t WallMs);

  /// The next transaction, if there is one to send now. One at a time; each
  /// is answered by `onCommit`.
  std::optional<store::Transaction> nextCommit(TimePoint Now,
                                               int64_t StoreMillis);
  /// \p Sequence is that of `commitSequence` when the transaction was taken;
  /// answers to older ones tell nothing new.
  void onCommit(uint64_t Sequence, const store::TransactionResult &Result,
                TimePoint Now);
  /// What a read of the store takes at present, in ms.
  void setStoreReadMs(double Ms) { StoreReadMs = Ms; }
  uint64_t commitSequence() const {
    return InFlight ? InFlight->Row.Sequence : 0;
  }

  void onStart(const executor::RunId &What, ExecutorIndex On,
               const executor::OrderAnswer &Answer, TimePoint Now);
  void onStop(const executor::RunId &What, ExecutorIndex On,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onPace(const executor::RunId &What, ExecutorIndex On,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onHold(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
              TimePoint Now);
  void onAdvice(uint64_t Id, const Result<executor::Advice> &Answer,
                TimePoint Now);

  /// Another owner has taken the service; nothing more may be done.
  bool deposed() const { return Deposed; }
  /// Writes, with the next commit, that any entry may take the service.
  void release() { Releasing = true; }
  bool released() const { return Released; }

  const OwnerCounts &counts() const { return Counts; }
  size_t liveJobs() const { return Jobs.size(); }
  /// Calls \p Each with every live job.
  template <typename Function> void forEachJob(Function Each) const {
    for (const auto &Entry : Jobs)
      Each(Entry.second);
  }
  /// What the owner is at, for logs and metrics.
  OwnerState state(TimePoint Now);
  /// The steps that have waited longest, and for at least so long.
  std::vector<WaitingStep> longestWaits(size_t Most, Millis AtLeast,
                                        TimePoint Now);

private:
  struct CommitInFlight {
    store::Transaction Content;
    OwnerRow Row;
    std::vector<std::pair<std::string, uint64_t>> Jobs; ///< With their marks.
    std::vector<executor::RunId> Starts;
    TimePoint FirstSent{};
    TimePoint LastSent{};
    uint32_t Copies = 0;              ///< Sent besides the first.
    std::vector<std::string> Offered; ///< Jobs that it stores.
    std::vector<std::string> Removed; ///< Jobs whose rows it removes.
  };

  struct AdviceOpen {
    std::string JobId;
    TaskIndex At; ///< Its index is unused.
    std::vector<ExecutorIndex> Asked;
  };

  struct PaceState {
    uint32_t Percent = 100;
    TimePoint Changed{};
  };

  // Jobs and their steps.
  LiveJob &add(JobSpec Job, TimePoint AcceptedAt);
  void beginOccurrence(LiveJob &Job, uint32_t Number, TimePoint Begin);
  void beginDue(TimePoint Now, int64_t WallMs);
  bool ready(const LiveJob &Job, const LiveOccurrence &In, uint32_t Step) const;
  TimePoint inheritedEnd(const std::string &ExecutorId) const;
  Millis chainOf(const LiveJob &Job) const;
  void changed(LiveJob &Job);
  void checkEnd(LiveJob &Job, uint32_t Occurrence, TimePoint Now);
  void finish(LiveJob &Job, JobPhase Phase);
  void dropEnded(LiveJob &Job, TimePoint Now);
  LiveJob *find(std::string_view JobId);
  std::optional<TaskKey> find(const executor::RunId &What);
  std::optional<TaskKey> findOpen(const executor::RunId &What,
                                  ExecutorIndex On);
  void growWithPool();

  // Runs.
  void place(const TaskKey &Key, ExecutorIndex On);
  void unplace(const TaskKey &Key);
  void record(const TaskKey &Key);
  void openRun(const TaskKey &Key);
  void closeRun(const TaskKey &Key, TaskPhase Next);
  void abandon(const TaskKey &Key, TimePoint Now);
  void beginStop(const TaskKey &Key, TimePoint Now);
  void stopAll(LiveJob &Job, TimePoint Now);
  void stopBrokenGangs(LiveJob &Job, TimePoint Now);
  void onEnd(ExecutorIndex Index, const executor::RunEnd &End, TimePoint Now);
  void endRun(const TaskKey &Key, executor::EndKind How, TimePoint Now);
  void onGangEnd(const TaskKey &Key, executor::EndKind How, TimePoint Now);
  void countFailure(const TaskKey &Key, TimePoint Now);
  void onRunning(ExecutorIndex Index, const executor::RunStatus &Each,
                 TimePoint Now);
  void settleAbsent(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
                    TimePoint HoldSent, TimePoint Now);
  void releaseLingering(ExecutorIndex Index,
                        const executor::RenewalAnswer &Answer);
  void learnEnd(const TaskKey &Key, TimePoint Now);
  void restartStragglers(ExecutorIndex Index, TimePoint Now);
  bool isStraggler(const TaskKey &Key, TimePoint Now);
  void onLifeOver(ExecutorIndex Index, TimePoint Now);
  void lapseRuns(TimePoint Now);

  // Planning.
  struct Waiting {
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
  std::vector<Waiting> waitingSteps(TimePoint Now);
  WaitingStep reasonOf(const Waiting &Which, TimePoint Now) const;
  void plan(TimePoint Now);
  void planTasks(const Waiting &Which, const Queue *From,
                 std::vector<ExecutorLoad> Loads, TimePoint Now);
  void planGang(const Waiting &Which, const Queue *From,
                std::span<const ExecutorLoad> Loads, TimePoint Now);
  bool recordPlaced(const Waiting &Which, const Queue *From, TimePoint Now);
  void askAdvice(const Waiting &Which, const Queue &From, bool Renew,
                 TimePoint Now);
  void keepRoom(const Waiting &Which, size_t Wanted, TimePoint Now);
  std::optional<Millis> roomIn(ExecutorIndex Index, const StepSpec &Spec,
                               TimePoint Now) const;
  PlacementAsk askFor(const Waiting &Which, const Queue *From,
                      std::map<ExecutorIndex, uint32_t> &OfStep) const;
  std::vector<ExecutorLoad> loads(TimePoint Now) const;

  // Orders.
  bool mayStart(TimePoint Now) const {
    return Now < ListConfirmed + Options.MaxListAge &&
           Now < JobsConfirmed + Options.MaxJobsAge;
  }
  void emitOrders(TimePoint Now);
  void emitStart(const TaskKey &Key, TimePoint Now);
  void emitStop(const TaskKey &Key, TimePoint Now);
  void emitHolds(TimePoint Now);
  void controlPace(ExecutorIndex Index, TimePoint Now);
  executor::ExecutorTarget targetOf(ExecutorIndex Index) const;

  // Commits.
  CommitInFlight buildCommit(TimePoint Now, int64_t StoreMillis);
  void addJobs(CommitInFlight &To, int64_t StoreMillis);
  OwnerRow nextRow(TimePoint Now, int64_t StoreMillis);
  void addJob(CommitInFlight &To, LiveJob &Job, int64_t StoreMillis);
  void addRemovals(CommitInFlight &To, TimePoint Now);
  bool removalDue(TimePoint Now) const {
    return !Removals.empty() && Removals.front().first <= Now;
  }
  void onCommitted(uint64_t Version, TimePoint Now);
  void onConflict(const store::TransactionResult &Result, TimePoint Now);
  Micros hedgeDelay() const;
  void answerOffers(const std::string &JobId, Verdict With);
  bool isOnItsWay(const std::string &JobId) const;
  void onStoredBefore(const store::Row &Present, TimePoint Now);
  void adoptStored(JobSpec Stored, TimePoint Now);
  void expireOffers(TimePoint Now);
  void forgetOffered(const std::string &JobId, TimePoint Now);
  void acknowledgeEnds();
  JobProgress progressOf(const LiveJob &Job) const;

  OwnerOptions Options;
  std::shared_ptr<const CellConfig> Config;
  ExecutorPool Pool;
  SpeedTracker Speeds;
  std::map<std::string, LiveJob, std::less<>> Jobs;
  std::unordered_set<std::string> EndedJobs;
  std::deque<std::pair<TimePoint, std::string>> Removals;
  std::vector<std::vector<TaskKey>> OpenOn; ///< By executor.
  std::vector<PaceState> Paces;             ///< By executor.
  std::vector<Reservation> Kept;            ///< By executor.
  /// Jobs with changes to store, by when the oldest of these came.
  std::map<std::string, uint64_t> DirtyJobs;
  uint64_t NextDirty = 0;
  std::map<std::string, std::vector<VerdictDone>> Offers; ///< By job.
  std::optional<CommitInFlight> InFlight;
  std::unordered_map<uint64_t, AdviceOpen> Advices;
  uint64_t NextAdviceId = 0;
  uint64_t RowVersion = 0;
  uint64_t BuiltSequence = 0; ///< Of the newest commit that was built.
  OwnerRow Row;
  TimePoint LastCommit{};
  TimePoint LastConfirmed{};
  TimePoint RetryCommitAt{};
  double CommitMs = 20; ///< Moving average of answered commits.
  double StoreReadMs = 5;
  TimePoint ListConfirmed{};
  TimePoint JobsConfirmed{};
  bool Deposed = false;
  bool Releasing = false;
  bool Released = false;
  Outbox Out;
  OwnerCounts Counts;
};

} // namespace daisylanding::cell

#endif
