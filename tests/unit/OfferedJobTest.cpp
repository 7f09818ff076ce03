#include "unit/CellSim.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 8'000, .MemoryMb = 8'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 100};
constexpr int64_t RunMs = 100;
constexpr const char *JobId = "00000000000000d3";
constexpr const char *OtherId = "00000000000000d4";

JobSpec makeJob(const std::string &Id, size_t PayloadBytes = 10) {
  JobSpec Job = Simulation::makeJob(Id, 1, TaskSize, RunMs);
  Job.Payload = std::string(PayloadBytes, 'w');
  return Job;
}

/// Random offers, writes of entries, silences of the store, slow, late and lost
/// commits, and takeovers.
class OfferPlay {
public:
  explicit OfferPlay(uint64_t Seed)
      : Seed(Seed), Rng(Seed * 7'919), Sim(Seed), LoadedAt(Sim.Now) {
    for (int I = 0; I < 8; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.Faults = {.CommitAnswerLost = 0.15, .CommitLate = 0.15};
    Sim.takeOver();
  }

  void run() {
    TimePoint End = Sim.Now + PlayTime;
    while (Sim.Now < End)
      step();
    Sim.Faults = {};
    Sim.StoreSilent = false;
    Sim.CommitTimeMs = 10;
    Sim.runFor(SettleTime.count());
    for (const std::string &Violation : Sim.violations())
      FAIL(fmt::format("seed {}: {}", Seed, Violation).c_str());
    for (size_t Number = 1; Number <= JobCount; ++Number)
      checkJob(jobId(Number));
  }

private:
  static constexpr Millis PlayTime{20'000};
  static constexpr Millis SettleTime{20'000};

  static std::string jobId(size_t Number) {
    return fmt::format("{:016x}", Number);
  }
  bool isOneOf(uint64_t Count) { return Rng.below(Count) == 0; }
  int64_t randomMs(uint64_t Min, uint64_t Max) {
    return static_cast<int64_t>(Min + Rng.below(Max - Min));
  }

  void step() {
    JobSpec Job = makeJob(jobId(++JobCount));
    Sim.registerJob(Job);
    if (!isOneOf(4))
      offer(Job);
    // Its entry, or another one that its caller asks, stores it as well.
    if (isOneOf(2))
      Sim.storeLater(Job, randomMs(0, 2'500));
    if (isOneOf(40))
      takeOver();
    if (isOneOf(20))
      Sim.StoreSilent = !Sim.StoreSilent;
    if (isOneOf(10))
      Sim.CommitTimeMs = randomMs(10, 900);
    Sim.runFor(randomMs(10, 200));
    if (isOneOf(4))
      offer(Job);
  }
  void takeOver() {
    Sim.LoadTimeMs = randomMs(0, 1'500);
    Sim.takeOver();
    LoadedAt = Sim.Now + Millis(Sim.LoadTimeMs);
  }
  /// While an owner loads, its entry takes no offers.
  void offer(const JobSpec &Job) {
    if (Sim.Now <= LoadedAt)
      return;
    auto Done = [this, Id = Job.Id](OfferOutcome Outcome) {
      if (Outcome == OfferOutcome::Stored ||
          Outcome == OfferOutcome::StoredBefore)
        SaidToBeStored.insert(Id);
    };
    Sim.Owner->offer(
        {.Job = Job, .TimeLeft = Millis(randomMs(100, 1'600)), .Done = Done},
        Sim.Now, Sim.Now);
  }
  void checkJob(const std::string &Id) const {
    std::string Text = fmt::format("seed {}: {}", Seed, Id);
    if (SaidToBeStored.count(Id))
      CHECK_TEXT(Sim.isStored(Id), Text.c_str());
    if (Sim.isStored(Id))
      CHECK_TEXT(Sim.storedPhase(Id) == JobPhase::Completed, Text.c_str());
  }

  uint64_t Seed;
  Random Rng;
  Simulation Sim;
  TimePoint LoadedAt;
  size_t JobCount = 0;
  std::set<std::string> SaidToBeStored;
};

} // namespace

// clang-format off
/// Jobs that are offered to an owner while entries may store them as well.
TEST_GROUP(AnOwnerWithOfferedJobs) {
  Simulation Sim;
  std::map<std::string, OfferOutcome> Outcomes;

  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  void offer(const JobSpec &Job, Millis TimeLeft) {
    Sim.registerJob(Job);
    Sim.Owner->offer({.Job = Job, .TimeLeft = TimeLeft, .Done = [this, Id = Job.Id](OfferOutcome Outcome) { Outcomes[Id] = Outcome; }},
                     Sim.Now, Sim.Now);
  }
  /// The answer that the store gives now to the commit in flight.
  store::TransactionResult conflictWith(const JobSpec &StoredJob) {
    store::TransactionResult Result{.Outcome = store::TransactionOutcome::Conflict};
    Result.CurrentRows = Sim.rowsOf(OwnerTable);
    for (const store::Row &Row : Sim.rowsOf(JobTable)) {
      if (Row.Key == StoredJob.Id)
        Result.CurrentRows.push_back(Row);
    }
    return Result;
  }
  bool completes(const std::string &Id, int64_t WithinMs) {
    return Sim.runUntil([&] { return Sim.storedPhase(Id) == JobPhase::Completed; }, WithinMs);
  }
};
// clang-format on

/// Guards against a job that is never started: the feed, which shows its row
/// once, did so while the owner's commit was in flight, and the answer to an
/// older copy of that commit, given before another entry stored the job, came
/// later.
TEST(AnOwnerWithOfferedJobs, KnowsOneThatTheFeedShowedBeforeAnOlderAnswer) {
  Sim.storeOnly(makeJob(OtherId));
  Sim.StoreSilent = true;
  offer(makeJob(OtherId), Millis(3'000));
  offer(makeJob(JobId), Millis(300));
  Sim.runFor(50);
  store::TransactionResult EarlyAnswer = conflictWith(makeJob(OtherId));
  Sim.submit(makeJob(JobId));
  Sim.Owner->onCommit(Sim.Owner->commitSequence(), EarlyAnswer, Sim.Now);
  Sim.runFor(500);
  Sim.StoreSilent = false;
  CHECK(Outcomes.at(JobId) == OfferOutcome::StoredBefore);
  CHECK_TRUE(completes(JobId, 5'000));
  CHECK_TRUE(completes(OtherId, 5'000));
}

/// Guards against the same with a commit that the store doesn't take.
TEST(AnOwnerWithOfferedJobs, KnowsOneThatTheFeedShowedBeforeARejection) {
  Sim.Limits.TransactionBytes = 10'000;
  Sim.CommitTimeMs = 200;
  offer(makeJob(JobId, 4'000), Millis(3'000));
  offer(makeJob(OtherId, 3'900), Millis(3'000));
  Sim.runFor(50);
  Sim.submit(makeJob(JobId, 4'000));
  LONGS_EQUAL(0, Sim.RejectedCommits);
  Sim.CommitTimeMs = 10;
  CHECK_TRUE(completes(JobId, 5'000));
  CHECK(Outcomes.at(JobId) == OfferOutcome::StoredBefore);
  CHECK(Sim.RejectedCommits > 0);
  CHECK_TRUE(completes(OtherId, 5'000));
}

/// Guards against a cancelled job that counts as waiting: the feed, which shows
/// a cancel once, did so before the owner knew that the job was stored.
TEST(AnOwnerWithOfferedJobs, KnowsThatOneWasCancelledOnceItIsStored) {
  Sim.StoreSilent = true;
  offer(makeJob(JobId), Millis(3'000));
  Sim.runFor(50);
  Sim.submit(makeJob(JobId));
  Sim.cancel(JobId);
  Sim.Owner->cancel(JobId, Sim.Now);
  Sim.Owner->onCommit(Sim.Owner->commitSequence(), conflictWith(makeJob(JobId)),
                      Sim.Now);
  CHECK(Outcomes.at(JobId) == OfferOutcome::StoredBefore);
  LONGS_EQUAL(0, Sim.Owner->status(Sim.Now).PendingJobs);
  Sim.StoreSilent = false;
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Cancelled; }, 2'000));
  LONGS_EQUAL(0, Sim.Started.size());
}

/// Guards against stored jobs that stay unknown to all later owners, and offers
/// that are answered as stored though they are not.
TEST(AnOwnerWithOfferedJobs, KnowsAllThatAreStoredInRandomPlays) {
  constexpr uint64_t Plays = 60;
  for (uint64_t Seed = 1; Seed <= Plays; ++Seed)
    OfferPlay(Seed).run();
}
