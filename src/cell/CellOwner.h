#ifndef DAISYLANDING_CELL_CELLOWNER_H
#define DAISYLANDING_CELL_CELLOWNER_H

#include "cell/AdviceCandidates.h"
#include "cell/BacklogEstimate.h"
#include "cell/CellConfig.h"
#include "cell/CrashPolicy.h"
#include "cell/EndedJob.h"
#include "cell/ExecutorPool.h"
#include "cell/FairOrder.h"
#include "cell/KnownIncarnations.h"
#include "cell/LiveJob.h"
#include "cell/Offer.h"
#include "cell/OwnerCommands.h"
#include "cell/OwnerOptions.h"
#include "cell/OwnerRow.h"
#include "cell/OwnerStatus.h"
#include "cell/PlaceWait.h"
#include "cell/Placement.h"
#include "cell/RenewalTurn.h"
#include "cell/RunTimes.h"
#include "cell/SendRate.h"
#include "cell/StartDelay.h"
#include "cell/UrgentRoom.h"
#include "cell/WorkspaceCaps.h"
#include "executor/AdvicePort.h"
#include "store/RowStore.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace daisylanding::cell {

/// What a turn of the owner does. Planning looks at all waiting steps and takes
/// longest; orders and renewals must not wait for it.
enum class OwnerTurn : uint8_t { Full, WithoutPlanning };

/// Schedules all jobs of one service: places tasks on executors and follows
/// their runs. A start is committed to the store before it is sent, and a run
/// end before it is acknowledged to the executor. Does no I/O; used by one
/// thread.
class CellOwner {
public:
  CellOwner(OwnerOptions Options, std::shared_ptr<const CellConfig> Config);

  void setConfig(std::shared_ptr<const CellConfig> NewConfig);
  /// Ends the loading state; `restore` has been called for all stored jobs.
  void finishLoading() {
    Loading = false;
    OtherEntries.clear();
    HasNewTerms = true; // An earlier owner may not have known them.
    countRestoredJobs();
  }
  /// Loads a stored job. Called for each stored job before anything else.
  void restore(JobSpec Spec, const std::optional<JobProgress> &Progress,
               bool Cancelled, TimePoint AcceptedAt, TimePoint Now);
  /// Adds a stored job; a job that is already known as stored is left
  /// unchanged.
  void accept(JobSpec Spec, TimePoint AcceptedAt, TimePoint Now);
  /// Adds a job that is not stored yet; `Done` runs once its commit has been
  /// answered.
  void offer(Offer NewOffer, TimePoint AcceptedAt, TimePoint Now);
  /// Answers all open offers with `Unknown`, because their commits are not
  /// known to have succeeded.
  void failOpenOffers();
  void cancel(std::string_view JobId, TimePoint Now);
  void setExecutors(std::span<const executor::ExecutorInfo> List,
                    TimePoint Now);

  /// Notes that the instance list, or the job feed, was up to date at \p Now.
  void confirmInstanceList(TimePoint Now) { InstanceListConfirmedAt = Now; }
  void confirmJobFeed(TimePoint Now) { JobFeedConfirmedAt = Now; }

  /// Starts due occurrences, expires runs, plans, and returns what is to be
  /// sent. \p WallMs is the wall clock in ms, for jobs with a schedule.
  OwnerCommands advance(TimePoint Now, int64_t WallMs,
                        OwnerTurn Turn = OwnerTurn::Full);

  /// The transaction to send now, if any. One at a time is in flight; it may be
  /// returned again for a resend. Each result goes to `onCommit`.
  std::optional<store::Transaction> nextCommit(TimePoint Now,
                                               const StoreClock &Clock);
  /// \p Sequence is the value of `commitSequence` when the transaction was
  /// returned; results of older transactions are ignored.
  void onCommit(uint64_t Sequence, const store::TransactionResult &Result,
                TimePoint Now);
  /// Whether workspaces have caps that other services share. All rows of
  /// `CapTable` are to be read then, this service's last.
  bool sharesCaps() const { return Caps.isShared(); }
  void restoreCaps(const std::optional<CapRow> &Own) { Caps.restore(Own); }
  bool capsRestored() const { return Caps.restored(); }
  void addCapRow(const std::string &Service, const CapRow &CapRow,
                 uint64_t Version) {
    Caps.addRow(Service, CapRow, Version);
  }
  /// Sets the capacity that later commits name as that of the largest entry.
  void setLargestEntry(const EntryCapacity &Largest) {
    Row.LargestEntry = Largest;
  }
  /// Whether the rows of ended jobs are moved to the table of ended jobs, which
  /// all entries have to know.
  void setMovesEndedJobs(bool Moves) { MovesEndedJobs = Moves; }
  /// Whether these rows tell their queue, which all entries have to read.
  void setStoresQueueOfEnded(bool Stores) { StoresQueueOfEnded = Stores; }
  /// Whether a job of which no task has begun is stored as queued once its runs
  /// are closed. Versions that don't know such jobs would acknowledge an end of
  /// an earlier run of theirs without storing it.
  void setQueuesAgain(bool QueuesAgain) { QueuesJobsAgain = QueuesAgain; }
  /// Adds a row of the table of executors' incarnations. To be called while
  /// the owner is loading.
  void restoreIncarnations(std::string_view Key, BornById Stored) {
    Incarnations.restore(Key, std::move(Stored));
  }
  /// Adds a job from the table of ended jobs.
  void addEndedRow(const std::string &JobId, const EndedJob &Ended,
                   TimePoint Now);
  /// All rows of that table were added.
  void finishEndedRows() { EndedRowsRead = true; }
  /// Sets the present latency of store reads, in ms.
  void setStoreReadMs(double Ms) { StoreReadMs = Ms; }
  /// The store answers again after a silence: a commit that it didn't answer is
  /// resent at once.
  void onStoreBack(TimePoint Now) {
    if (!InFlight)
      return;
    InFlight->Resends = 0;
    InFlight->TimedFrom = Now;
    RetryCommitAt = Now;
  }
  uint64_t commitSequence() const {
    return InFlight ? InFlight->Row.Sequence : 0;
  }

  void onStart(const executor::RunId &Id, ExecutorIndex Index,
               const executor::OrderAnswer &Answer, TimePoint Now);
  void onStop(const executor::RunId &Id, ExecutorIndex Index,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onPace(const executor::RunId &Id, ExecutorIndex Index,
              const executor::OrderAnswer &Answer, TimePoint Now);
  void onRenewal(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
                 TimePoint Now);
  void onAdvice(uint64_t Id, const Result<executor::Advice> &Answer,
                TimePoint Now);

  /// When the step of an advice call that waits for a queue loses value, as of
  /// \p Now; none if the step no longer needs the call, which is then dropped.
  std::optional<TimePoint> adviceDueAt(uint64_t Id, TimePoint Now);

  /// Whether another owner has acquired the service; nothing more may be sent.
  bool deposed() const { return Deposed; }
  /// Marks the service as free for any entry, with the next commit that stores
  /// all changed jobs.
  void release() { Releasing = true; }
  bool released() const { return Released; }

  const OwnerCounts &counts() const { return Counts; }
  size_t liveJobCount() const { return Jobs.size(); }
  /// Calls \p Visit with every live job.
  template <typename Function> void forEachJob(Function Visit) const {
    for (const auto &Entry : Jobs)
      Visit(Entry.second);
  }
  OwnerStatus status(TimePoint Now);
  /// At most \p MaxCount steps that have waited at least \p MinAge, the longest
  /// first.
  std::vector<WaitingStepReport>
  longestWaitingSteps(size_t MaxCount, Millis MinAge, TimePoint Now);

private:
  /// What a commit stores of a job.
  struct JobChange {
    std::string JobId;
    uint64_t Revision = 0;
    std::optional<std::string> Tasks; ///< Those in its first progress row.
    std::map<uint32_t, std::vector<TaskMark>> Rows; ///< By occurrence.
    std::vector<uint32_t> RemovedRows;              ///< Of these occurrences.
    /// Occurrences whose changes this commit has no room for, and the revisions
    /// as of which they are stored.
    std::map<uint32_t, uint64_t> LeftOut;
  };

  /// Room that a commit has for the changes of a job.
  struct CommitRoom {
    size_t Entries = 0;
    size_t Bytes = 0;

    bool holds(const store::Transaction &Tx) const {
      return Tx.entryCount() <= Entries && Tx.byteCount() <= Bytes;
    }
  };

  struct CommitInFlight {
    store::Transaction Transaction;
    OwnerRow Row;
    std::vector<JobChange> Jobs;
    std::vector<executor::RunId> Starts;
    TimePoint FirstSentAt{};
    TimePoint TimedFrom{}; ///< Its time counts from here, without silences.
    TimePoint LastSentAt{};
    uint32_t Resends = 0;
    Millis GrantTime{0}; ///< From its sending; its row allows for leases.
    /// Jobs that this commit stores.
    std::vector<std::string> OfferedJobs;
    /// Rows of these jobs that the job feed has shown meanwhile.
    std::map<std::string, JobSpec> ShownJobs;
    /// Jobs whose rows this commit moves to the table of ended jobs.
    std::vector<std::string> MovedJobs;
    /// Jobs whose rows this commit removes.
    std::vector<std::string> RemovedJobs;
    /// Whether ends are moved with it. If many jobs have changes to store,
    /// these need its entries.
    bool MovesEnds = false;
    uint64_t CapRevision = 0; ///< Of the row of caps; 0 if it has none.
    std::vector<IncarnationRow> IncarnationRows;
  };

  /// The oldest change of a job that is not stored.
  struct DirtyMark {
    uint64_t Number = 0;   ///< Orders the jobs by that change.
    uint64_t Sequence = 0; ///< Of the newest commit before it.
  };

  struct AdviceRequest {
    std::string JobId;
    TaskPosition Position; ///< `Index` is unused.
    AdviceReason Reason = AdviceReason::First;
    TimePoint RequestedAt{};
    std::vector<ExecutorIndex> AskedExecutors;
  };

  struct KnownEnd {
    EndedJob Job;
    bool Moved = false; ///< To the table of ended jobs.
  };

  struct PaceState {
    uint32_t Percent = 100;
    TimePoint ChangedAt{};
  };

  // Jobs and their steps.
  LiveJob &insertJob(JobSpec Spec, TimePoint AcceptedAt);
  void beginOccurrence(LiveJob &Job, uint32_t Number, TimePoint BeginsAt);
  static bool mayBeginOccurrence(const LiveJob &Job);
  void beginDueOccurrences(TimePoint Now, int64_t WallMs);
  bool isReady(const LiveJob &Job, const LiveOccurrence &Occurrence,
               uint32_t Step) const;
  TimePoint timeOfStoreClock(int64_t StoreClockMs) const;
  TimePoint inheritedLeaseEndOn(const std::string &ExecutorId) const;
  Millis criticalPathOf(const LiveJob &Job) const;
  void markChanged(LiveJob &Job);
  void completeIfDone(LiveJob &Job, uint32_t Occurrence, TimePoint Now);
  void setFinalPhase(LiveJob &Job, JobPhase Phase);
  void dropEndedJob(LiveJob &Job, TimePoint Now);
  void removeJob(const std::string &JobId);
  LiveJob *findJob(std::string_view JobId);
  const Queue *findQueue(std::string_view Name) const;
  const Queue *queueOf(const LiveJob &Job) const;
  void learnTerms(LiveJob &Job);
  TimePoint dueAt(const LiveJob &Job, TimePoint BeginsAt) const;
  void failIfOutOfAttempts(const TaskKey &Key, TimePoint Now);
  void failJobsOutOfAttempts(TimePoint Now);
  std::optional<TaskKey> findTask(const executor::RunId &Id);
  std::optional<TaskKey> findOpenRun(const executor::RunId &Id,
                                     ExecutorIndex Index);
  void resizeExecutorTables();

  // Runs.
  void reserveCapacity(const TaskKey &Key);
  void releaseCapacity(const TaskKey &Key);
  void releaseLingeringRun(ExecutorIndex Index, const LingeringRun &Run);
  void placeTask(const TaskKey &Key, ExecutorIndex Index, TimePoint Now);
  void unplaceTask(const TaskKey &Key);
  void recordRun(const TaskKey &Key, TimePoint Now);
  void openRun(const TaskKey &Key);
  void closeRun(const TaskKey &Key, TaskPhase NextPhase);
  void noteBegun(LiveJob &Job);
  void dropRefusedStart(const TaskKey &Key, TimePoint Now);
  void beginStop(const TaskKey &Key, TimePoint Now);
  void stopAllRuns(LiveJob &Job, TimePoint Now);
  void stopBrokenGangs(LiveJob &Job, TimePoint Now);
  void onRunEnd(ExecutorIndex Index, const executor::RunEnd &End,
                TimePoint Now);
  void endRun(const TaskKey &Key, executor::EndKind Kind, TimePoint Now);
  void onGangMemberEnd(const TaskKey &Key, executor::EndKind Kind,
                       TimePoint Now);
  bool countFailure(const TaskKey &Key, uint32_t Run, TimePoint Now);
  static void keepCheckpoint(const TaskKey &Key, const std::string &Checkpoint);
  void onRunningTask(ExecutorIndex Index, const executor::RunStatus &Running,
                     TimePoint Now);
  void stopUnknownRun(ExecutorIndex Index, const executor::RunId &Id,
                      TimePoint Now);
  bool areRunsKnown(ExecutorIndex Index, const executor::RenewalAnswer &Answer);
  void endAbsentRuns(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
                     TimePoint RenewalSentAt, TimePoint Now);
  void releaseLingeringRuns(ExecutorIndex Index,
                            const executor::RenewalAnswer &Answer);
  void learnRunTime(const TaskKey &Key, TimePoint Now);
  void recordRunTime(const TaskKey &Key, Millis RunTime, TimePoint Now);
  void restartStragglers(ExecutorIndex Index, TimePoint Now);
  bool isStraggler(const TaskKey &Key, TimePoint Now);
  void dropUnsentStarts(TimePoint Now);
  void logLapse(const TaskKey &Key, TimePoint Now) const;
  void logAbsence(const TaskKey &Key) const;
  bool isAskedInVain(ExecutorIndex Index, TimePoint Now) const;
  void expireRuns(TimePoint Now);

  // Ends of runs that were given up.
  void takeForDone(const TaskKey &Key);
  std::optional<TaskKey> findGivenUpRun(const executor::RunEnd &End);
  static bool hasLaterRun(const TaskKey &Key, uint32_t Run);
  void endGivenUpRun(const TaskKey &Key, TimePoint Now);
  bool rememberEnd(ExecutorIndex Index, const executor::RunEnd &End,
                   TimePoint Now);
  bool isDoneEarlier(const TaskKey &Key);
  void settleEarlierEnds(TimePoint Now);
  bool countLateFailure(const executor::RunEnd &End, TimePoint Now);
  ListedEnd ignoredEnd(ExecutorIndex Index, const executor::RunEnd &End,
                       TimePoint Now);
  void logLateEnd(ExecutorIndex Index, const executor::RunEnd &End) const;
  ListedEnd onLateEnd(ExecutorIndex Index, const executor::RunEnd &End,
                      TimePoint Now);

  // Incarnations of executors.
  ExecutorIndex noteIncarnation(const std::string &Id, int64_t Born,
                                std::string_view HeardFrom,
                                const executor::RenewalAnswer *Answer,
                                TimePoint Now);
  void noteOtherService(const executor::ExecutorInfo &Entry, TimePoint Now);
  bool isFromSameLife(ExecutorIndex Index,
                      const executor::RenewalAnswer &Answer, TimePoint Now);
  void onRestart(ExecutorIndex Earlier, ExecutorIndex Later,
                 const executor::RenewalAnswer *Answer, TimePoint Now);
  bool mayReachNext(const TaskKey &Key, TimePoint Now) const;
  void moveRun(const TaskKey &Key, ExecutorIndex Later, TimePoint Now);
  void onIncarnationEnded(ExecutorIndex Index, TimePoint Now);
  void endIncarnation(ExecutorIndex Index, std::vector<LostRun> CrashedRuns,
                      TimePoint Now);
  void recordOrderAnswer(ExecutorIndex Index,
                         const executor::OrderAnswer &Answer, TimePoint Now,
                         TimePoint SentAt = {});
  EarlierOrders ordersOfEarlierOwners(ExecutorIndex Index) const;
  TimePoint longLeaseEndOn(ExecutorIndex Index,
                           const std::optional<int64_t> &ClockMs,
                           TimePoint Now) const;
  void expectLongLease(ExecutorIndex Index, TimePoint Now);
  void greet(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
             TimePoint Now);
  void addIncarnationRows(CommitInFlight &Commit);
  void listLongLeases(OwnerRow &NewRow, TimePoint Now, const StoreClock &Clock);
  void onRenewalDone(ExecutorIndex Index, const executor::RenewalAnswer &Answer,
                     TimePoint Now);

  // Crashes of executors.
  bool mayHaveCrashed(const LiveTask &Run) const;
  LostRun lostRun(const TaskKey &Key) const;
  std::vector<LostRun> lostRunsOn(ExecutorIndex Index) const;
  void countCrash(ExecutorIndex Index, std::span<const LostRun> Runs,
                  TimePoint Now);
  void countCrashOf(const LostRun &Run, ExecutorIndex Index,
                    uint32_t YoungSuspects, TimePoint Now);
  void countLateCrashes(ExecutorIndex Index, TimePoint Now);
  void giveUpCrashingTask(const TaskKey &Key, TimePoint Now);
  void markSuspect(const TaskKey &Key);
  void clearSuspect(const TaskKey &Key);
  void clearProvenSuspects(ExecutorIndex Index);
  static bool mayJoinSuspects(const TaskKey &Key, TimePoint Now);

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
  std::vector<WaitingStepRef> stepsToPlan(TimePoint Now);
  void addSteps(
      LiveJob &Job,
      const std::function<bool(const LiveStep &, const StepSpec &)> &IsWanted,
      TimePoint Now, std::vector<WaitingStepRef> &Steps) const;
  WaitingStepReport reportOf(const WaitingStepRef &Waiting,
                             TimePoint Now) const;

  // Order between workspaces, and refusals.
  bool hasWorkspaces() const { return !WorkspacesByName.empty(); }
  uint32_t weightOf(std::string_view WorkspaceName) const;
  void countSentJob(LiveJob &Job);
  void uncountSentJob(const LiveJob &Job);
  void countRestoredJobs();
  double yieldMs(const LiveJob &Job, const LiveStep &Step,
                 const StepSpec &Spec) const;
  void addYieldTimes(std::vector<WaitingStepRef> &Steps) const;
  /// Slack in the order between workspaces.
  double rankMs(const LiveJob &Job, const LiveOccurrence &Occurrence,
                uint32_t Step, TimePoint Now) const;
  void updateShares(std::span<const WaitingStepRef> Steps, TimePoint Now);
  void logShareChanges(std::span<const FairOrder::Change> Changes,
                       TimePoint Now);
  BacklogEstimate::Item backlogItem(const LiveJob &Job, uint32_t Step,
                                    uint64_t Tasks, double RankMs) const;
  void estimateBacklog(std::span<const WaitingStepRef> Steps, TimePoint Now);
  void noteArrival(const LiveJob &Job, TimePoint Now);
  CapacitySum capacityFor(const WorkClass &Class, TimePoint Now) const;
  CapacitySum capacityLeftFor(const WorkClass &Class, std::string_view Name,
                              TimePoint Now) const;
  Millis waitFor(const WorkClass &Class, std::string_view Name, bool Yields,
                 double SlackMs, TimePoint Now) const;
  bool hasFreePlaceFor(const StepSpec &Spec, TimePoint Now) const;
  bool mayRefuse(const JobSpec &Job, TimePoint Now) const;
  bool refusesForBacklog(const JobSpec &Job, TimePoint AcceptedAt,
                         TimePoint Now);
  void countRefusal(std::string_view WorkspaceName);
  void stateBacklog(OwnerRow &NewRow, TimePoint Now,
                    const StoreClock &Clock) const;
  std::vector<WorkspaceStatus>
  workspaceStatuses(std::span<const WaitingStepRef> Steps, TimePoint Now) const;

  void plan(TimePoint Now);
  void beginUrgentRoom(std::span<const WaitingStepRef> Steps, TimePoint Now);
  std::optional<Resources>
  mostWantedDemand(std::span<const WaitingStepRef> Steps) const;
  uint32_t urgentPlacesIn(const Resources &Room) const;
  void keepRoom(const WaitingStepRef &Waiting, const Queue &JobQueue,
                TimePoint Now);
  uint32_t startableTasks(const WaitingStepRef &Waiting) const;
  bool isHeldByCap(const WaitingStepRef &Waiting) const;
  void noteCapWait(const WaitingStepRef &Waiting) const;
  void shareCaps(std::span<const WaitingStepRef> Steps, TimePoint Now);
  void addCapRow(CommitInFlight &Commit);
  void planTasks(const WaitingStepRef &Waiting, const Queue *JobQueue,
                 TimePoint Now);
  void planGang(const WaitingStepRef &Waiting, const Queue *JobQueue,
                TimePoint Now);
  void unplaceFromLostPlaces(const WaitingStepRef &Waiting);
  void recordPlacedTasks(const WaitingStepRef &Waiting, const Queue *JobQueue,
                         TimePoint Now);
  void requestAdvice(const WaitingStepRef &Waiting, const Queue &JobQueue,
                     TimePoint Now);
  void renewTickets(const WaitingStepRef &Waiting, const Queue &JobQueue,
                    TimePoint Now);
  void emitRenewal(const WaitingStepRef &Waiting, const Queue &JobQueue,
                   std::vector<ExecutorIndex> Named, TimePoint Now);
  void emitAdviceCall(const WaitingStepRef &Waiting, const Queue &JobQueue,
                      AdviceReason Reason, std::vector<ExecutorIndex> Named,
                      TimePoint Now);
  void countOpenCalls(TimePoint Now);
  LiveStep *stepOf(const AdviceRequest &Request);
  static void markAnswered(const AdviceRequest &Request, LiveStep &Step);
  static bool hasValidTicket(const LiveStep &Step, ExecutorIndex Index,
                             TimePoint Now);
  bool hasTicketForStart(const LiveStep &Step, ExecutorIndex Index,
                         TimePoint Now) const;
  bool isNeeded(const AdviceRequest &Request, const LiveStep &Step,
                const LiveJob &Job, TimePoint Now) const;
  double slackMs(const LiveJob &Job, const LiveOccurrence &Occurrence,
                 uint32_t Step, TimePoint Now) const;
  void reserveExecutors(const WaitingStepRef &Waiting, size_t Count,
                        TimePoint Now, std::string_view Rack = {});
  /// For tasks of a step, on one executor.
  struct ExpectedPlaces {
    Millis FreeIn{0};
    ExecutorIndex Executor = NoExecutor;
    uint32_t Count = 0;
  };
  static size_t countPlaces(std::span<const ExpectedPlaces> Places);
  std::vector<ExpectedPlaces> expectedPlaces(const WaitingStepRef &Waiting,
                                             size_t Count,
                                             std::string_view Rack,
                                             bool UsesLastResort,
                                             TimePoint Now) const;
  void addExpectedPlaces(ExecutorIndex Index, const StepSpec &Spec,
                         uint32_t MaxPlaces, Millis NotBefore, TimePoint Now,
                         std::vector<ExpectedPlaces> &Places) const;
  std::vector<std::pair<Millis, Resources>>
  expectedReleases(ExecutorIndex Index, TimePoint Now) const;
  void notePlacedTasks(const WaitingStepRef &Waiting);
  PlacementRequest placementRequestFor(const WaitingStepRef &Waiting,
                                       const Queue *JobQueue,
                                       TaskCounts &TasksByExecutor) const;
  void addLoad(const TaskKey &Key);
  void removeLoad(const TaskKey &Key);

  // Waits for near places.
  static RunTimeClass runTimeClassOf(const TaskKey &Key) {
    return {.Queue = Key.Job->Spec.Queue, .Image = Key.spec().Image};
  }
  bool isSpread(const StepSpec &Spec,
                std::span<const ExecutorIndex> Members) const;
  double spreadOf(const TaskKey &Key) const;
  Millis timeLeft(const TaskKey &Key, double Share, TimePoint Now) const;
  RoomForecast forecastOf(ExecutorIndex Index, TimePoint Now) const;
  Millis delayOfStart(const WaitingStepRef &Waiting, const Queue &JobQueue,
                      ExecutorIndex Index, TimePoint StartsAt) const;
  bool mayWaitForPlace(const WaitingStepRef &Waiting) const;
  PlaceBid bidOf(const WaitingStepRef &Waiting, const Queue &JobQueue,
                 std::map<ExecutorIndex, size_t> &Rooms, TimePoint Now) const;
  void countPlaceDemand(const WaitingStepRef &Waiting, PlaceBid &Bid,
                        TimePoint Now);
  void beginPlaceWaits(std::span<const WaitingStepRef> Steps, TimePoint Now);
  void beginPlaceWait(const WaitingStepRef &Waiting, const PlaceShare &Share,
                      std::string_view Rack, TimePoint Now);
  bool awaitsPlace(const TaskKey &Key, PlacementRequest &Request);
  void notePlace(const TaskKey &Key, ExecutorIndex Index);
  void countPlaceWait(bool IsNear);
  double shareOfExecutor(const StepSpec &Spec) const;
  WaitTerms waitTermsOf(const WaitingStepRef &Waiting, TimePoint Now) const;
  std::optional<Millis> timeUntilRackHolds(const PlacementRequest &Request,
                                           uint32_t Count,
                                           const WaitTerms &Terms,
                                           TimePoint Now) const;
  struct RackWait {
    std::string Rack;
    Millis FreeIn{0};
  };
  std::optional<RackWait> soonestRack(const PlacementRequest &Request,
                                      uint32_t Count, const WaitTerms &Terms,
                                      TimePoint Now) const;
  bool awaitsRack(const WaitingStepRef &Waiting,
                  std::span<const ExecutorIndex> Members,
                  PlacementRequest Request, TimePoint Now);

  // Restarts of long-running tasks whose leases expire soon, or whose executors
  // leave.
  bool isLapsing(const LiveTask &Run, Millis Within, TimePoint Now) const;
  bool isLeaving(const LiveTask &Run) const;
  bool hasLeavingTask(const LiveStep &Step) const;
  struct RestartLeads {
    Millis Advice{0}; ///< Before the expiry of a lease, places are sought.
    Millis Hold{0};   ///< Capacity is held, and tickets are renewed.
  };
  RestartLeads restartLeads(const Queue *JobQueue) const;
  uint32_t countTasksToRestart(const LiveStep &Step, const StepSpec &Spec,
                               Millis Within, TimePoint Now) const;
  uint32_t countTasksToRestart(const LiveJob &Job, const LiveStep &Step,
                               const StepSpec &Spec, TimePoint Now) const;
  void prepareRestarts(const WaitingStepRef &Waiting, const Queue *JobQueue,
                       TimePoint Now);
  std::vector<ExecutorIndex> holdPlaces(const WaitingStepRef &Waiting,
                                        const Queue *JobQueue, uint32_t Count,
                                        TimePoint Now);
  void releaseHeldPlaces(size_t First);
  void prepareTickets(const WaitingStepRef &Waiting, const Queue &JobQueue,
                      std::span<const ExecutorIndex> Spares, TimePoint Now);
  void stopLeavingRuns(const WaitingStepRef &Waiting, const Queue *JobQueue,
                       uint32_t ToRestart, TimePoint Now);

  // Orders.
  bool mayStart(TimePoint Now) const {
    return Now < InstanceListConfirmedAt + Options.MaxInstanceListAge &&
           Now < JobFeedConfirmedAt + Options.MaxJobFeedAge;
  }
  bool isListedAsSilent(ExecutorIndex Index) const;
  bool isSilent(ExecutorIndex Index, TimePoint Now) const;
  bool mayGrantLease(ExecutorIndex Index, TimePoint Now) const;
  bool awaitsRowForLease(ExecutorIndex Index, TimePoint Now) const;
  void dropStartsBeyondCapacity(std::span<const ExecutorIndex> Unsettled,
                                TimePoint Now);
  void dropStartsOnLeavingExecutors(std::span<const ExecutorIndex> Unsettled,
                                    TimePoint Now);
  std::vector<ExecutorIndex> unsettledExecutors();
  bool hasTicketExpired(const TaskKey &Key, TimePoint Now) const;
  void dropExpiredStart(const TaskKey &Key, TimePoint Now);
  void emitOrders(TimePoint Now);
  void logStart(const TaskKey &Key, TimePoint Now) const;
  void emitStart(const TaskKey &Key, TimePoint Now);
  void emitStop(const TaskKey &Key, TimePoint Now);
  void emitStopOf(const executor::RunId &Id, ExecutorIndex Index);
  void onFenced(ExecutorIndex Index, bool IsOfLowerToken);
  bool isRenewalDue(ExecutorIndex Index, TimePoint Now) const;
  bool hasOverdueRun(ExecutorIndex Index, TimePoint Now) const;
  void logAcknowledgement(ExecutorIndex Index, uint64_t Number);
  void emitRenewal(ExecutorIndex Index, TimePoint Now);
  void emitRenewals(TimePoint Now);
  PaceState &updatePace(ExecutorIndex Index, TimePoint Now);
  void adjustPace(ExecutorIndex Index, TimePoint Now);
  executor::ExecutorTarget targetOf(ExecutorIndex Index) const;

  // Commits.
  CommitInFlight buildCommit(TimePoint Now, const StoreClock &Clock);
  void addJobs(CommitInFlight &Commit, TimePoint Now, int64_t StoreClockMs);
  OwnerRow buildOwnerRow();
  PendingJobs countPendingJobs(const CommitInFlight &Commit, TimePoint Now,
                               const StoreClock &Clock) const;
  Millis jobReadingAge(TimePoint Now) const;
  Millis grantTime(const OwnerRow &NewRow, TimePoint Now) const;
  void listLeaseEnds(CommitInFlight &Commit, TimePoint Now,
                     const StoreClock &Clock);
  bool mayWriteFirstRow(TimePoint Now);
  bool hasJobsToStore(TimePoint Now) const;
  bool storesAllJobs(const CommitInFlight &Commit, TimePoint Now) const;
  void addRemovals(CommitInFlight &Commit, TimePoint Now);
  void addMoves(CommitInFlight &Commit, int64_t StoreClockMs);
  static bool mayMove(const CommitInFlight &Commit, const LiveJob &Job);
  void moveRows(CommitInFlight &Commit, const std::string &JobId,
                EndedJob Ended) const;
  static EndedJob endedJobOf(const LiveJob &Job);
  void addEndedJob(const std::string &JobId, const EndedJob &Ended,
                   TimePoint Now);
  void countEnded(const EndedJob &Ended);
  void forgetEnded(const std::string &JobId);
  void finishMoves(const CommitInFlight &Commit);
  void restoreQueues(CommitInFlight &Commit, TimePoint Now);
  uint64_t commitToStoreIn(const LiveJob &Job, const DirtyMark &Mark,
                           TimePoint Now) const;
  std::optional<double> slackOfChanges(const LiveJob &Job, TimePoint Now) const;
  bool isRemovalDue(TimePoint Now) const {
    return !Removals.empty() && Removals.front().first <= Now;
  }
  void onCommitted(uint64_t Version, TimePoint Now);
  void onConflict(const store::TransactionResult &Result, TimePoint Now);
  void onRejected(TimePoint Now);
  void setAside(const std::string &JobId, TimePoint Now);
  Micros resendDelay() const;
  void answerOffers(const std::string &JobId, OfferOutcome Outcome);
  bool isInFlight(const std::string &JobId) const;
  void onAlreadyStored(const store::Row &StoredRow, TimePoint Now);
  void onAlreadyEnded(const store::Row &EndedRow, TimePoint Now);
  void adoptStoredJob(JobSpec StoredJob, TimePoint Now);
  void adoptShownJobs(const CommitInFlight &Refused, TimePoint Now);
  Micros expectedCommitTime(TimePoint Now) const;
  size_t offersPerCommit() const;
  void expireOffers(TimePoint Now);
  void dropOfferedJob(const std::string &JobId, TimePoint Now);
  void acknowledgeEnds();

  // Progress of jobs, in one row or in several.
  static JobProgress progressHeadOf(const LiveJob &Job);
  void addTasks(uint32_t Number, const LiveOccurrence &Occurrence,
                std::map<TaskPosition, TaskProgress> &Tasks) const;
  static CommitRoom roomIn(const CommitInFlight &Commit, size_t MaxEntries);
  void addJob(CommitInFlight &Commit, LiveJob &Job, size_t MaxEntries,
              int64_t StoreClockMs);
  static std::vector<executor::RunId> startsToRecord(LiveJob &Job,
                                                     const JobChange &Change);
  void addWholeProgress(LiveJob &Job, store::Transaction &Part,
                        JobChange &Change) const;
  static void splitProgress(LiveJob &Job);
  bool addSplitProgress(const LiveJob &Job, const CommitRoom &Room,
                        store::Transaction &Part, JobChange &Change) const;
  static void addRowRemovals(const LiveJob &Job, const CommitRoom &Room,
                             store::Transaction &Part, JobChange &Change);
  void addOccurrenceRows(const LiveJob &Job, uint32_t Number,
                         const CommitRoom &Room, store::Transaction &Part,
                         JobChange &Change) const;
  static bool needsRows(const LiveJob &Job, uint32_t Occurrence);
  static bool hasRowsToRemove(const LiveJob &Job);
  static void restoreRows(LiveJob &Job, const JobProgress &Progress);
  void finishChange(JobChange &Change);

  // Queues that are served elsewhere.
  bool isServedElsewhere(std::string_view QueueName) const;
  bool mayStoreOffered(std::string_view QueueName,
                       uint64_t SearchedVersion) const;
  bool mayStateConfig() const;
  bool isNewConfigDue() const;
  void dropOutdatedOffers(TimePoint Now);
  void stateConfig(CommitInFlight &Commit, TimePoint Now);
  void listMovedQueues(QueueStatement &Statement, TimePoint Now);
  void noteLeftQueues(TimePoint Now);
  bool isHoldingKnown() const;

  OwnerOptions Options;
  std::shared_ptr<const CellConfig> Config;
  /// Those of `Config`, which may have thousands.
  std::unordered_map<std::string_view, const Queue *> QueuesByName;
  std::unordered_map<std::string_view, const Workspace *> WorkspacesByName;
  ExecutorPool Pool;
  KnownIncarnations Incarnations;
  RunTimes Times;
  WorkspaceCaps Caps;
  SendRate SendRates;
  FairOrder Order;
  TimePoint SharesLoggedAt{};
  BacklogEstimate Backlog;
  BacklogStatement StatedBacklog;
  /// Those with waiting steps that go after the steps of others.
  std::set<std::string, std::less<>> YieldingWorkspaces;
  TimePoint BacklogAt{};
  std::map<std::string, uint64_t, std::less<>> RefusedByWorkspace;
  std::map<std::string, LiveJob, std::less<>> Jobs;
  std::set<std::string> RepeatingJobs; ///< Of `Jobs`.
  /// The terms of a job's queue have become known since its failures.
  bool HasNewTerms = false;
  /// Ended jobs whose rows are not removed yet. Late pages of the job feed, and
  /// late copies of requests, name them.
  std::unordered_map<std::string, KnownEnd> EndedJobs;
  std::deque<std::pair<TimePoint, std::string>> Removals;
  std::deque<std::string> RowsToMove; ///< Of `EndedJobs`.
  bool MovesEndedJobs = false;
  bool StoresQueueOfEnded = false;
  bool QueuesJobsAgain = false;
  bool EndedRowsRead = false;
  bool HoldingKnown = false; ///< All stored jobs are known.
  /// Of `EndedJobs`, by queue; under no name those whose rows don't tell it.
  std::map<std::string, size_t> EndedByQueue;
  /// The configuration that this owner stated last.
  std::shared_ptr<const CellConfig> StatedConfig;
  /// When the newest version was stated; entries may have stored jobs by an
  /// older one until then.
  TimePoint ConfigStatedAt{};
  /// Queues that were served here before that, and until when they are listed.
  std::map<std::string, TimePoint> LeftQueues;
  /// The entries of other services in the newest instance list, by id. Kept
  /// during the load, in which stored runs may name these ids.
  std::map<std::string, executor::ExecutorInfo, std::less<>> OtherEntries;
  std::vector<std::vector<TaskKey>> OpenRunsByExecutor;
  /// Their tasks are done once the later runs are over.
  std::vector<EarlierEnd> EarlierEnds;
  /// Where a run may be open that is not running: orders are sent for these.
  std::vector<bool> HasUnsettledRuns;
  std::vector<PaceState> PaceByExecutor;
  std::vector<ExecutorLoad> Loads; ///< By executor, of its open runs.
  /// Tasks without an open run yet, in the present planning turn.
  std::vector<std::vector<TaskKey>> PlacedByExecutor;
  std::vector<Reservation> Reservations;
  /// When the work for which an executor is reserved is expected to have ended.
  std::vector<Millis> ReservedUntil;
  size_t ReservedExecutors = 0; ///< Active among `Reservations`.
  size_t MaxReservedExecutors = 0;
  RoomForUrgentSteps UrgentRoom; ///< Of the present planning turn.
  /// Of steps that ask for near places, in the present planning turn.
  std::unordered_map<const LiveStep *, PlaceShare> PlaceShares;
  WaitOutcomes PlaceWaitOutcomes;
  RackDemand PlaceDemand;
  /// Kept during one planning turn for tasks that are to be restarted.
  std::vector<std::pair<ExecutorIndex, Resources>> HeldPlaces;
  std::map<std::string, DirtyMark> DirtyJobs; ///< With changes to store.
  uint64_t NextDirtyNumber = 0;
  std::map<std::string, std::vector<OfferDone>> OpenOffers; ///< By job id.
  std::optional<CommitInFlight> InFlight;
  std::unordered_map<uint64_t, AdviceRequest> OpenAdviceCalls;
  /// That name the executor; counted anew for each planning turn.
  std::vector<uint32_t> OpenCallsByExecutor;
  uint64_t NextAdviceId = 0;
  AllowedShares AdviceShares;
  AdviceDelays CallDelays;
  StartDelay StartDelays;
  uint64_t RowVersion = 0;
  uint64_t LastBuiltSequence = 0; ///< Of the newest commit that was built.
  OwnerRow Row;
  TimePoint LastCommitAt{};
  TimePoint LeasesGrantedUntil{}; ///< As the newest confirmed row allows.
  TimePoint FirstRowDueAt{};      ///< Of the first row after the load.
  /// The last commit was refused because of an offered job.
  bool HoldsOffersBack = false;
  /// An executor has answered that the newest row lists as silent.
  bool RowOutdated = false;
  TimePoint RetryCommitAt{};
  TimePoint LastRenewalsAt{};  ///< When the last turn requested renewals.
  double AverageCommitMs = 20; ///< Moving average over confirmed commits.
  Micros LastCommitTime{0};
  TimePoint NextOfferCheckAt{};
  double StoreReadMs = 5;
  TimePoint InstanceListConfirmedAt{};
  TimePoint JobFeedConfirmedAt{};
  bool Loading = false;
  bool Deposed = false;
  bool Releasing = false;
  bool Released = false;
  OwnerCommands Commands;
  OwnerCounts Counts;
};

} // namespace daisylanding::cell

#endif
