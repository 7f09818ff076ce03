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
struct Faults {
  double OrderAnswerLost = 0; ///< Carried out, not answered.
  double OrderLate = 0;       ///< Not answered, carried out seconds later.
  double CommitAnswerLost = 0;
  double CommitLate = 0; ///< Not answered, carried out if it still holds.
};

struct SimRun {
  uint32_t Run = 0;
  TimePoint Ends{};
  Resources Size;
};

/// One executor life, as the protocol describes it.
struct SimExecutor {
  executor::ExecutorInfo Info;
  bool Dead = false;
  bool Cut = false; ///< Runs on, but nothing reaches it.
  bool Guards = false;
  uint64_t Token = 0;
  TimePoint LeaseEnd{};
  std::map<std::string, SimRun> Running;
  std::map<std::string, uint32_t> Over; ///< Highest run ended or stopped.
  std::vector<executor::EndedTask> Ended;
  uint64_t Ends = 0;
};

class Sim {
public:
  explicit Sim(uint64_t Seed = 1);

  /// Adds an executor; returns its id.
  std::string addExecutor(Resources Capacity, std::string Rack = "r1");
  /// A new owner takes the service over from whoever has it.
  void takeOver();
  /// Runs \p Ms milliseconds of virtual time.
  void pass(int64_t Ms);
  bool passUntil(const std::function<bool()> &Done, int64_t LongestMs);

  /// Stores a job as an entry would, and tells the owner.
  void submit(cell::JobSpec Job);
  /// Stores a job that the owner does not hear of.
  void storeOnly(const cell::JobSpec &Job);
  /// Makes a job known to the checks that is handed to the owner directly.
  void know(const cell::JobSpec &Job) { Specs[Job.Id] = Job; }
  void cancel(const std::string &JobId);
  static cell::JobSpec job(const std::string &Id, uint32_t Tasks,
                           Resources Size, int64_t RunMs);

  SimExecutor &executor(const std::string &Id) { return *Executors.at(Id); }
  cell::JobPhase storedPhase(const std::string &JobId) const;
  std::string stored(const std::string &Table, const std::string &Key) const;
  bool isOpen(const std::string &Task) const;
  const std::vector<std::string> &violations() const { return Broken; }
  size_t runsOf(const std::string &Task) const;

  Faults Trouble;
  int64_t CommitTakesMs = 10;
  size_t CommitsSent = 0;
  bool StoreDown = false;
  bool FeedsSilent = false; ///< The owner hears of no list and no jobs.
  bool StoreSilent = false; ///< Commits get no answer and aren't done.
  /// How a run of a task ends, and after how long.
  std::function<executor::EndKind(const std::string &)> HowEnds;
  std::function<int64_t(const std::string &, int64_t)> Takes;
  /// What an executor answers in place of carrying a start out.
  std::function<std::optional<executor::OrderOutcome>(
      const executor::StartOrder &)>
      Refuses;
  std::unique_ptr<cell::CellOwner> Owner;
  std::vector<executor::StartOrder> Started; ///< All orders carried out.
  std::vector<store::Transaction> Commits;   ///< All that took effect.
  TimePoint Now{Millis(1'000'000)};

private:
  struct Stored {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Event {
    TimePoint At;
    uint64_t Order = 0;
    std::function<void()> Run;
  };

  void step();
  void later(int64_t Ms, std::function<void()> Run);
  store::TransactionResult apply(const store::Transaction &Tx);
  void sendCommit();
  void carryOut(const cell::OwnerCommands &Out);
  void start(const executor::StartOrder &Order, cell::ExecutorIndex On);
  executor::OrderAnswer doStart(SimExecutor &At,
                                const executor::StartOrder &Order);
  executor::OrderAnswer doStop(SimExecutor &At,
                               const executor::StopOrder &Order);
  executor::HoldAnswer doHold(SimExecutor &At, const executor::HoldCall &Call);
  void endRun(SimExecutor &At, const std::string &Task, executor::EndKind How);
  bool isPresent(const std::string &Task) const;
  void moveExecutors();
  bool gangIsDone(const std::string &Task) const;
  void check(SimExecutor &At, const executor::StartOrder &Order);
  int64_t clockOf() const { return toMillis(Now.time_since_epoch()); }
  std::vector<executor::ExecutorInfo> list() const;

  Random Dice;
  std::shared_ptr<const cell::CellConfig> Config;
  std::map<std::pair<std::string, std::string>, Stored> Rows;
  uint64_t Version = 0;
  std::map<std::string, std::unique_ptr<SimExecutor>> Executors;
  std::vector<Event> Events;
  uint64_t NextEvent = 0;
  uint64_t Epoch = 0;
  std::map<std::string, cell::JobSpec> Specs;
  std::map<std::string, uint32_t> Done; ///< Tasks noted as done.
  std::vector<std::string> Broken;
};

} // namespace daisylanding::cellsim

#endif
