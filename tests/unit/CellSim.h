#ifndef DAISYLANDING_TESTS_UNIT_CELLSIM_H
#define DAISYLANDING_TESTS_UNIT_CELLSIM_H

#include "cell/AdviceDispatcher.h"
#include "cell/CellOwner.h"
#include "cell/EndedJob.h"
#include "common/Random.h"
#include "unit/AttemptCheck.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulates owners, a store and executors in virtual time. Commands of an
/// owner are carried out after a short delay; faults are injected on request or
/// at random.
namespace daisylanding::cellsim {

/// Fault probabilities of a single message.
struct FaultRates {
  double OrderAnswerLost = 0; ///< Carried out, not answered.
  double OrderLate = 0;       ///< Not answered, carried out seconds later.
  double RenewalLate = 0;     ///< Not answered, carried out seconds later.
  double CommitAnswerLost = 0;
  /// Not answered, carried out later if its preconditions hold.
  double CommitLate = 0;
};

/// The policy service: allows each step on a share of the executors, and serves
/// one call at a time for each entry.
struct SimPolicy {
  cell::AdviceSettings Settings;
  double AllowedShare = 1;
  size_t Entries = 1;
};

struct SimRun {
  uint32_t Run = 0;
  TimePoint EndsAt{};
  Resources Size;
  uint32_t PacePercent = 100; ///< As ordered; its work goes on as before.
};

/// Of the simulated owners.
constexpr const char *ServiceName = "s";

constexpr TimePoint SimulationStart{Millis(1'000'000)};

/// An executor with the behaviour that the executor protocol specifies. It is
/// one incarnation, unless it restarts under its id.
struct SimExecutor {
  executor::ExecutorInfo Info;
  /// What the instance list still shows of an earlier incarnation.
  std::optional<executor::ExecutorInfo> OutdatedEntry;
  bool StatesBorn = true;
  int64_t BornMs = 0; ///< Of this incarnation.
  bool Dead = false;
  bool Listed = true;       ///< In the instance list.
  bool Unreachable = false; ///< Keeps running, but receives no calls.
  bool AnswersLost = false; ///< Carries out calls; none is seen answered.
  bool Replaced = false;    ///< Another incarnation answers at its address.
  bool GuardsCapacity = false;
  double ClockRate = 1; ///< Of its steady clock, relative to true time.
  Millis ClockOffset{0};
  uint64_t FencingToken = 0;
  int64_t LeaseEndMs = 0; ///< On its steady clock.
  std::map<std::string, SimRun> Running;
  /// Highest run that ended or was stopped, by task.
  std::map<std::string, uint32_t> HighestEndedRun;
  std::vector<executor::RunEnd> Ended;
  uint64_t EndCount = 0;
  /// The lease has expired since the ends up to this one. Tasks that ended so
  /// may be started again, also after the end is acknowledged.
  uint64_t LastVoidEnd = 0;

  /// Its steady clock, in ms.
  int64_t clockMs(TimePoint Now) const;
  /// Shortens leases that are too long.
  void grantLease(int64_t EndMs, TimePoint Now);
};

/// What the owners have cost, in real processor time and in bytes.
struct OwnerCost {
  std::chrono::nanoseconds Turns{0};   ///< In `advance`.
  std::chrono::nanoseconds Commits{0}; ///< Building them, and their answers.
  std::chrono::nanoseconds Answers{0}; ///< Of executors.
  std::chrono::nanoseconds Advice{0};  ///< Calls and answers.
  size_t CommitBytes = 0;
};

/// What the store takes; it rejects a transaction beyond these.
struct StoreLimits {
  size_t Entries = 100;
  size_t RowBytes = 65'536;
  size_t TransactionBytes = 1'000'000; ///< As sent, with values in base64.
};

/// The partitions of other services.
struct SimOtherServices final : cell::OtherServices {
  bool Holds = false; ///< They may hold jobs of any queue.

  bool mayHold(const cell::Queue &, const cell::CellConfig &) override {
    return Holds;
  }
};

/// Connections of one owner that are cut.
struct OwnerCuts {
  bool Store = false;              ///< Its commits are not carried out.
  std::set<std::string> Executors; ///< These get none of its calls.
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed = 1);

  /// Adds an executor; returns its id.
  std::string addExecutor(Resources Capacity, std::string Rack = "r1");
  /// Requires tickets of this policy from now on. To be called before the first
  /// owner takes over.
  void requireAdvice(const SimPolicy &NewPolicy);
  /// Removes the queue of the jobs from the configuration, of which the owner
  /// hears at once, or adds it again.
  void setQueueConfigured(bool IsConfigured);
  /// Puts the next version of the configuration in force.
  void changeConfig(const std::function<void(cell::CellConfig &)> &Change);
  /// A new owner takes over the service; without a name, an entry that never
  /// held it.
  void takeOver(const std::string &Holder = "");
  /// The owner's process ends.
  void killOwner();
  /// Pauses the owner's process. Once it is resumed, it runs beside the owner
  /// that has taken over meanwhile, if any.
  void pauseOwner();
  void resumeOwner();
  OwnerCuts &cutsOf(const cell::CellOwner &Target) { return Cuts[&Target]; }
  /// The executor ends for good. Its entry stays in the instance list for some
  /// seconds.
  void loseExecutor(const std::string &Id);
  /// The executor crashes. After \p BackAfterMs another incarnation answers at
  /// its address. Its entry leaves the instance list as if it were lost.
  void crashExecutor(const std::string &Id, int64_t BackAfterMs);
  /// The executor announces that it leaves, and is lost \p AfterMs later.
  void leaveExecutor(const std::string &Id, int64_t AfterMs);
  /// Announces in the instance list that it leaves, or withdraws this.
  void setDraining(const std::string &Id, bool IsDraining);
  /// The executor crashes, and starts again after \p BackAfterMs under the same
  /// id: it knows nothing of before, and counts anew. The instance list shows
  /// it \p ListedAfterMs later.
  void restartExecutor(const std::string &Id, int64_t BackAfterMs,
                       int64_t ListedAfterMs);
  /// Adds its entry to the instance list or removes it.
  void setListed(const std::string &Id, bool IsListed);
  /// Runs \p Ms milliseconds of virtual time.
  void runFor(int64_t Ms);
  bool runUntil(const std::function<bool()> &IsDone, int64_t LimitMs);

  /// Stores a job as an entry does, and notifies the owner.
  void submit(cell::JobSpec Job);
  /// Stores a job as an entry does; the job feed notifies the owner later.
  void storeOnly(const cell::JobSpec &Job);
  /// The same in \p Ms milliseconds.
  void storeLater(const cell::JobSpec &Job, int64_t Ms) {
    schedule(Ms, [this, Job] { storeOnly(Job); });
  }
  /// The owner row and its version, as another entry reads them.
  uint64_t ownerRowVersion() const;
  cell::OwnerRow ownerRow() const;
  /// Makes a job that is offered to the owner directly known to the checks.
  void registerJob(const cell::JobSpec &Job) { Specs[Job.Id] = Job; }
  void cancel(const std::string &JobId);
  static cell::JobSpec makeJob(const std::string &Id, uint32_t Tasks,
                               Resources Size, int64_t RunMs);

  SimExecutor &executor(const std::string &Id) { return *Executors.at(Id); }
  bool hasExecutor(const std::string &Id) const { return Executors.count(Id); }
  /// As a successor reads it from all rows of the job.
  std::optional<cell::JobProgress>
  storedProgress(const std::string &JobId) const;
  cell::JobPhase storedPhase(const std::string &JobId) const;
  /// As a live job or as one that has ended.
  bool isStored(const std::string &JobId) const;
  std::vector<store::Row> rowsOf(const std::string &Table) const;
  std::string storedValue(const std::string &Table,
                          const std::string &Key) const;
  bool isOpen(const std::string &Task) const;
  const std::vector<std::string> &violations() const { return Violations; }
  size_t runsOf(const std::string &Task) const;
  /// Whether a task, or a gang, of the job has failed as often as is allowed.
  bool mayFail(const std::string &JobId) const {
    return Attempts.mayFail(JobId);
  }
  /// Sends a start once more, as a copy that was delayed.
  executor::OrderAnswer carryOutAgain(const executor::StartOrder &Order) {
    SimExecutor &Executor = executor(Order.Target.Id);
    return handleStart(Executor, Order, Executor.BornMs);
  }
  executor::RenewalAnswer carryOutAgain(const executor::RenewalCall &Call) {
    return handleRenewal(executor(Call.Target.Id), Call);
  }
  executor::OrderAnswer carryOutAgain(const executor::PaceOrder &Order) {
    return handlePace(executor(Order.Target.Id), Order);
  }

  FaultRates Faults;
  cell::LeaseOptions Leases; ///< Of owners that take over from now on.
  double SpreadFactor = 1;   ///< Of runs away from their data.
  /// Whether owners that take over from then on know that factor.
  bool KnowsSpreadFactor = true;
  int64_t CommitTimeMs = 10;
  /// The owner's loop comes round only this often; answers wait for it.
  int64_t OwnerTurnMs = 0;
  int64_t LoadTimeMs = 0; ///< From a takeover until the stored jobs are read.
  size_t CommitsSent = 0;
  StoreLimits Limits;
  size_t RejectedCommits = 0; ///< Those beyond the store's limits.
  OwnerCost Cost;
  /// Whether messages are kept and starts are checked, which takes longer than
  /// the owner's work on large fleets.
  bool KeepsHistory = true;
  bool MovesEndedJobs = true;     ///< Of owners that take over from then on.
  bool StoresQueueOfEnded = true; ///< The same.
  bool QueuesAgain = true;        ///< The same.
  bool StoreDown = false;
  bool FeedsSilent = false; ///< Instance list and job feed are not confirmed.
  bool StoreSilent = false; ///< Commits get no answer and are not carried out.
  /// How a run of a task ends, and after how many ms, given its estimate.
  std::function<executor::EndKind(const std::string &)> EndKindFor;
  std::function<int64_t(const std::string &, int64_t)> RunTimeFor;
  /// The checkpoint that the executor lists for a running task, if any.
  std::function<std::string(const std::string &)> RunningCheckpointFor;
  /// The checkpoint that a task has saved when a run of it ends, if any.
  std::function<std::string(const std::string &)> EndCheckpointFor;
  /// After how many ms a run crashes its executor, if it does.
  std::function<std::optional<int64_t>(const std::string &)> CrashTimeFor;
  /// Whether the place is checked, too, of a start that is carried out by an
  /// incarnation of which its sender had not heard.
  bool ChecksPlacesInNextLife = true;
  /// What the clock of an executor's next life reads at first: any time.
  std::function<int64_t()> ClockAtRestart;
  /// What differs in the next life of an executor under its id.
  std::function<void(executor::ExecutorInfo &)> ChangeAtRestart;
  int64_t CrashedForMs = 3'000; ///< Until a crashed executor is back.
  int64_t StopTimeMs = 0;       ///< From a stop order to the end of its run.
  size_t Crashes = 0;           ///< Of executors.
  /// Outcome with which an executor refuses a start, if any.
  std::function<std::optional<executor::OrderOutcome>(
      const executor::StartOrder &)>
      RefusalFor;
  /// What a renewal answer states for a running task.
  std::function<double(const std::string &)> UsageFor;
  /// By how many ms the answer to a start is late.
  std::function<int64_t(const executor::StartOrder &)> StartAnswerDelayFor;
  SimOtherServices OtherServices;
  std::unique_ptr<cell::CellOwner> Owner;
  /// One that is paused, or was when another took over.
  std::unique_ptr<cell::CellOwner> OldOwner;
  std::vector<executor::RenewalCall> Renewals;    ///< All that were sent.
  std::vector<executor::PaceOrder> Paces;         ///< All that were sent.
  std::vector<executor::StartOrder> Started;      ///< All starts carried out.
  std::vector<store::Transaction> AppliedCommits; ///< All that took effect.
  TimePoint Now = SimulationStart;

private:
  void loadStoredJobs(cell::CellOwner &Target);
  bool isLoaded() const { return Owner && !LoadingOwners.count(Owner.get()); }
  struct StoredRow {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Event {
    TimePoint At;
    uint64_t Sequence = 0;
    std::function<void()> Action;
  };

  using OwnerAction = std::function<void(cell::CellOwner &)>;

  std::string addIncarnation(executor::ExecutorInfo Info);
  void beginIncarnation(SimExecutor &Executor) const;

  void step();
  bool isOwnerTurn() const;
  void runWaitingActions();
  void advanceOwner(cell::CellOwner &Target);
  /// Has the owner process an answer, once it is no longer paused. Owners that
  /// have ended get none.
  void notify(const cell::CellOwner *Target, const OwnerAction &Action);
  void deliver(const cell::CellOwner *Target, const OwnerAction &Action);
  void schedule(int64_t Ms, std::function<void()> Action);
  bool isTaken(const store::Transaction &Tx) const;
  store::TransactionResult apply(const store::Transaction &Tx);
  std::optional<cell::TaskProgress>
  storedTask(const cell::JobSpec &Job,
             const cell::TaskPosition &Position) const;
  void sendCommit(cell::CellOwner &Sender);
  void executeCommands(const cell::OwnerCommands &Commands,
                       cell::CellOwner &Sender);
  void sendStart(const executor::StartOrder &Order, cell::ExecutorIndex Index,
                 const cell::CellOwner *Sender);
  void sendRenewal(const cell::RenewalCommand &Command,
                   const cell::CellOwner *Sender);
  void sendPace(const cell::PaceCommand &Command,
                const cell::CellOwner *Sender);
  bool isReachable(const SimExecutor &Executor,
                   const cell::CellOwner *Sender) const;
  void sendAdviceCalls();
  executor::Advice adviceFor(const executor::AdviceCall &Call) const;
  bool isTicketValid(const executor::StartOrder &Order) const;
  /// \p SentTo is the start time of the newest incarnation that its sender had
  /// heard of.
  executor::OrderAnswer handleStart(SimExecutor &Executor,
                                    const executor::StartOrder &Order,
                                    int64_t SentTo);
  executor::OrderAnswer handlePace(SimExecutor &Executor,
                                   const executor::PaceOrder &Order);
  executor::OrderAnswer handleStop(SimExecutor &Executor,
                                   const executor::StopOrder &Order);
  void endStoppedRun(SimExecutor &Executor, const executor::RunId &Id);
  executor::RenewalAnswer handleRenewal(SimExecutor &Executor,
                                        const executor::RenewalCall &Call);
  void endRun(SimExecutor &Executor, const std::string &Task,
              executor::EndKind Kind);
  bool isGangComplete(const std::string &Task) const;
  void advanceExecutors();
  bool isGangDone(const std::string &Task) const;
  void recordHeardEnds(const cell::CellOwner &Receiver,
                       const SimExecutor &Executor,
                       const executor::RenewalAnswer &Answer);
  void checkStart(const SimExecutor &Executor,
                  const executor::StartOrder &Order);
  void checkPlace(const SimExecutor &Executor, const std::string &Task);
  std::optional<std::string> limitedUnitOf(const std::string &Task) const;
  void noteAcknowledgedFailure(const executor::RunId &Id);
  void noteStart(const std::string &Task);
  void checkAttempts(const std::string &Unit);
  int64_t clockMs() const { return toMillis(Now.time_since_epoch()); }
  cell::StoreClock storeClock() const {
    return {.MinMs = clockMs(), .MaxMs = clockMs()};
  }
  std::vector<executor::ExecutorInfo> instanceList() const;
  void listExecutors(cell::CellOwner &Receiver);
  void noteKnownLife(const cell::CellOwner &Receiver, const std::string &Id,
                     int64_t Born);

  Random Rng;
  std::shared_ptr<const cell::CellConfig> Config;
  std::optional<SimPolicy> Policy;
  cell::AdviceDispatcher AdviceQueues;
  /// When the policy service has ended the calls of each entry's queue.
  std::map<std::string, TimePoint> AdviceQueueEnds;
  std::map<std::pair<std::string, std::string>, StoredRow> Rows;
  uint64_t Version = 0;
  std::map<std::string, std::unique_ptr<SimExecutor>> Executors;
  std::vector<Event> PendingEvents;
  uint64_t NextEvent = 0;
  uint64_t Takeovers = 0;
  /// Kept so that their addresses, which late answers refer to, stay unique.
  std::vector<std::unique_ptr<cell::CellOwner>> EndedOwners;
  std::map<const cell::CellOwner *, OwnerCuts> Cuts;
  std::set<const cell::CellOwner *> LoadingOwners;
  /// Answers that wait for the owner's loop.
  std::vector<std::pair<const cell::CellOwner *, OwnerAction>> WaitingActions;
  bool OldOwnerPaused = false;
  std::vector<OwnerAction> PausedActions; ///< Answers to the paused owner.
  std::map<std::string, cell::JobSpec> Specs;
  /// Tasks listed as done by executors that have restarted since.
  std::set<std::string> DoneBeforeRestart;
  /// Runs acknowledged as done, by task.
  std::map<std::string, uint32_t> DoneTasks;
  /// Those that must not be started again.
  std::set<std::string> ConfirmedTasks;
  /// Tasks that an owner has heard of as done.
  std::map<const cell::CellOwner *, std::set<std::string>> HeardDone;
  /// The start of the newest incarnation that an owner has heard of, by id.
  std::map<const cell::CellOwner *, std::map<std::string, int64_t>>
      KnownIncarnations;
  AttemptCheck Attempts;
  std::vector<std::string> Violations;
};

} // namespace daisylanding::cellsim

#endif
