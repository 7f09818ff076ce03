#ifndef DAISYLANDING_TESTS_UNIT_CELLSIM_H
#define DAISYLANDING_TESTS_UNIT_CELLSIM_H

#include "cell/CellOwner.h"
#include "common/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Owners, a store and executors in virtual time: what an owner asks for is
/// carried out after a short delay, and faults come on request or by dice.
namespace daisylanding::cellsim {

/// Probabilities of one message's faults.
struct FaultRates {
  double OrderAnswerLost = 0; ///< Carried out, not answered.
  double OrderLate = 0;       ///< Not answered, carried out seconds later.
  double CommitAnswerLost = 0;
  double CommitLate = 0; ///< Not answered, carried out if it still holds.
};

struct SimRun {
  uint32_t Run = 0;
  TimePoint EndsAt{};
  Resources Size;
};

/// One executor life, as the protocol describes it.
struct SimExecutor {
  executor::ExecutorInfo Info;
  bool Dead = false;
  bool Unreachable = false; ///< Runs on, but nothing reaches it.
  bool GuardsCapacity = false;
  uint64_t FencingToken = 0;
  TimePoint LeaseEnd{};
  std::map<std::string, SimRun> Running;
  std::map<std::string, uint32_t>
      HighestEndedRun; ///< Highest run ended or stopped.
  std::vector<executor::EndedTask> Ended;
  uint64_t EndCount = 0;
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed = 1);

  /// Adds an executor; returns its id.
  std::string addExecutor(Resources Capacity, std::string Rack = "r1");
  /// A new owner takes the service over from whoever has it.
  void takeOver();
  /// Runs \p Ms milliseconds of virtual time.
  void runFor(int64_t Ms);
  bool runUntil(const std::function<bool()> &IsDone, int64_t LimitMs);

  /// Stores a job as an entry would, and tells the owner.
  void submit(cell::JobSpec Job);
  /// Stores a job that the owner does not hear of.
  void storeOnly(const cell::JobSpec &Job);
  /// Makes a job known to the checks that is handed to the owner directly.
  void registerJob(const cell::JobSpec &Job) { Specs[Job.Id] = Job; }
  void cancel(const std::string &JobId);
  static cell::JobSpec makeJob(const std::string &Id, uint32_t Tasks,
                               Resources Size, int64_t RunMs);

  SimExecutor &executor(const std::string &Id) { return *Executors.at(Id); }
  cell::JobPhase storedPhase(const std::string &JobId) const;
  std::string storedValue(const std::string &Table,
                          const std::string &Key) const;
  bool isOpen(const std::string &Task) const;
  const std::vector<std::string> &violations() const { return Violations; }
  size_t runsOf(const std::string &Task) const;

  FaultRates Faults;
  int64_t CommitTimeMs = 10;
  size_t CommitsSent = 0;
  bool StoreDown = false;
  bool FeedsSilent = false; ///< The owner hears of no list and no jobs.
  bool StoreSilent = false; ///< Commits get no answer and aren't done.
  /// How a run of a task ends, and after how long.
  std::function<executor::EndKind(const std::string &)> EndKindFor;
  std::function<int64_t(const std::string &, int64_t)> RunTimeFor;
  /// What an executor answers in place of carrying a start out.
  std::function<std::optional<executor::OrderOutcome>(
      const executor::StartOrder &)>
      RefusalFor;
  std::unique_ptr<cell::CellOwner> Owner;
  std::vector<executor::StartOrder> Started;      ///< All orders carried out.
  std::vector<store::Transaction> AppliedCommits; ///< All that took effect.
  TimePoint Now{Millis(1'000'000)};

private:
  struct StoredRow {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Event {
    TimePoint At;
    uint64_t Sequence = 0;
    std::function<void()> Action;
  };

  void step();
  void schedule(int64_t Ms, std::function<void()> Action);
  store::TransactionResult apply(const store::Transaction &Tx);
  void sendCommit();
  void executeCommands(const cell::OwnerCommands &Commands);
  void sendStart(const executor::StartOrder &Order, cell::ExecutorIndex Index);
  executor::OrderAnswer handleStart(SimExecutor &Executor,
                                    const executor::StartOrder &Order);
  executor::OrderAnswer handleStop(SimExecutor &Executor,
                                   const executor::StopOrder &Order);
  executor::HoldAnswer handleRenewal(SimExecutor &Executor,
                                     const executor::HoldCall &Call);
  void endRun(SimExecutor &Executor, const std::string &Task,
              executor::EndKind Kind);
  bool isGangComplete(const std::string &Task) const;
  void advanceExecutors();
  bool isGangDone(const std::string &Task) const;
  void checkStart(SimExecutor &Executor, const executor::StartOrder &Order);
  int64_t clockMs() const { return toMillis(Now.time_since_epoch()); }
  std::vector<executor::ExecutorInfo> instanceList() const;

  Random Rng;
  std::shared_ptr<const cell::CellConfig> Config;
  std::map<std::pair<std::string, std::string>, StoredRow> Rows;
  uint64_t Version = 0;
  std::map<std::string, std::unique_ptr<SimExecutor>> Executors;
  std::vector<Event> PendingEvents;
  uint64_t NextEvent = 0;
  uint64_t Epoch = 0;
  std::map<std::string, cell::JobSpec> Specs;
  std::map<std::string, uint32_t> DoneTasks; ///< Tasks noted as done.
  std::vector<std::string> Violations;
};

} // namespace daisylanding::cellsim

#endif
