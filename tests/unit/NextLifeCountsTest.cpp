#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Executors that start again under their ids: what their owner takes from the
/// counts of one life for the next one, whose clock begins at any time.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *EarlierId = "00000000000000a1";
constexpr const char *LaterId = "00000000000000a2";
constexpr const char *OtherId = "00000000000000a3";
constexpr int64_t ShortRunMs = 300;
/// Ends before the next renewal comes.
constexpr int64_t BriefRunMs = 20;
constexpr int64_t LongRunMs = 60'000;
/// No lease that is known lasts longer.
constexpr int64_t LeaseLimitMs = 14'000;
/// The same for one that any late order may have granted.
constexpr int64_t LateLeaseLimitMs = 25'000;
/// The instance list doesn't tell of the restart.
constexpr int64_t Unlisted = 600'000;

// What the clock of the next life reads, beside that of the life before.
constexpr int64_t FarLessMs = -500'000;
constexpr int64_t SlightlyLessMs = -1'400;
constexpr int64_t SlightlyMoreMs = 2'000;
constexpr int64_t FarMoreMs = 1'000'000;

std::string taskOf(const char *JobId) { return taskName({.Job = JobId}); }

} // namespace

// clang-format off
/// It has ended six runs, all of which have been acknowledged.
TEST_GROUP(AnExecutorWhoseClockBeginsAnywhere) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);
  int64_t LaterRunMs = LongRunMs;

  void setup() override {
    Sim.RunTimeFor = [this](const std::string &Task, int64_t Ms) { return Task == taskOf(LaterId) ? LaterRunMs : Ms; };
    prepare();
    Sim.takeOver("e1/1");
    Sim.runFor(15'000);
    Sim.submit(Simulation::makeJob(EarlierId, 6, Small, ShortRunMs));
    CHECK_TRUE(Sim.runUntil([&] { return executor().EndCount == 6 && executor().Ended.empty(); }, 5'000));
    Sim.runFor(500);
  }
  virtual void prepare() {}
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  SimExecutor &executor() { return Sim.executor(Id); }
  int64_t leaseLeftMs() { return executor().LeaseEndMs - executor().clockMs(Sim.Now); }
  bool runsHere() { return executor().Running.count(taskOf(LaterId)) > 0; }
  void submitLater() { Sim.submit(Simulation::makeJob(LaterId, 1, Small, ShortRunMs)); }
  void setNextClock(int64_t MoreMs) {
    Sim.ClockAtRestart = [this, MoreMs] { return executor().clockMs(Sim.Now) + MoreMs; };
  }
  void startLongRun() {
    submitLater();
    CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 5'000));
  }
  /// The run is lost to the owner, which starts it on another executor.
  void cutOff(int64_t LimitMs) {
    Sim.addExecutor(Wide);
    Sim.runFor(500);
    executor().Unreachable = true;
    Sim.runFor(LimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
  }
  /// A start has been sent, and no renewal is open, whose failure would tell of
  /// a crash.
  void sendStart(const char *JobId) {
    constexpr int64_t AnswerMs = 45;
    size_t Renewals = Sim.Renewals.size();
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Renewals.size() > Renewals; }, 1'000));
    Sim.runFor(AnswerMs);
    Sim.submit(Simulation::makeJob(JobId, 1, Small, ShortRunMs));
    size_t Starts = Sim.Owner->counts().Starts;
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Owner->counts().Starts > Starts; }, 1'000));
    LONGS_EQUAL(Renewals + 1, Sim.Renewals.size());
  }
  executor::RenewalCall renewalWithLease() {
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Renewals.back().LeaseEndMs.has_value(); }, 1'000));
    return Sim.Renewals.back();
  }
};

/// A start has been sent, and finds the next life there.
TEST_GROUP_BASE(AndTakesAStartInItsNextLife, TEST_GROUP_CppUTestGroupAnExecutorWhoseClockBeginsAnywhere) {
  void restartUnderStart(int64_t MoreMs, int64_t ListedAfterMs) {
    setNextClock(MoreMs);
    sendStart(LaterId);
    Sim.restartExecutor(Id, 0, ListedAfterMs);
  }
  /// Its end has a number that an earlier end of the life before had.
  void endBriefRun(int64_t MoreMs) {
    LaterRunMs = BriefRunMs;
    restartUnderStart(MoreMs, 2'000);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000));
    LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
  }
  /// Its owner hears that the run has begun, and no more of it.
  void cutOffAtOnce(int64_t MoreMs) {
    restartUnderStart(MoreMs, Unlisted);
    cutOffWithRun();
  }
  void cutOffAndReplaceOwner(int64_t AfterMs) {
    restartUnderStart(FarLessMs, Unlisted);
    CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
    executor().Unreachable = true;
    Sim.runFor(AfterMs);
    Sim.takeOver("e2/1");
    Sim.addExecutor(Wide);
    Sim.runFor(LateLeaseLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
  }
  void cutOffWithRun() {
    CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
    executor().Unreachable = true;
    Sim.addExecutor(Wide);
    Sim.runFor(LateLeaseLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
  }
};
// clang-format on

/// Guards against a task that runs again after it was done: its end was
/// forgotten for an acknowledgement by the numbers of the life before.
TEST(AndTakesAStartInItsNextLife, KeepsTheEndThoughItsClockReadsFarLess) {
  endBriefRun(FarLessMs);
}

TEST(AndTakesAStartInItsNextLife, KeepsTheEndThoughItsClockReadsSlightlyLess) {
  endBriefRun(SlightlyLessMs);
}

IGNORE_TEST(AndTakesAStartInItsNextLife, KeepsTheEndThoughItsClockGoesOn) {
  endBriefRun(0);
}

TEST(AndTakesAStartInItsNextLife, KeepsTheEndThoughItsClockReadsSlightlyMore) {
  endBriefRun(SlightlyMoreMs);
}

TEST(AndTakesAStartInItsNextLife, KeepsTheEndThoughItsClockReadsFarMore) {
  endBriefRun(FarMoreMs);
}

/// Guards against a second run beside one of a life that its owner never heard
/// of: by its clock the lease of the start is longer than by the one before.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughItsClockReadsFarLess) {
  cutOffAtOnce(FarLessMs);
}

TEST(AndTakesAStartInItsNextLife,
     HoldsItsLeaseThoughItsClockReadsSlightlyLess) {
  cutOffAtOnce(SlightlyLessMs);
}

TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughItsClockGoesOn) {
  cutOffAtOnce(0);
}

TEST(AndTakesAStartInItsNextLife,
     HoldsItsLeaseThoughItsClockReadsSlightlyMore) {
  cutOffAtOnce(SlightlyMoreMs);
}

/// The first try is refused as too late. The second one may come before the
/// next renewal, by the clock that the refusal stated.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughItsClockReadsFarMore) {
  setNextClock(FarMoreMs);
  submitLater();
  size_t Before = Sim.Owner->counts().Starts;
  CHECK_TRUE(
      Sim.runUntil([&] { return Sim.Owner->counts().Starts > Before; }, 1'000));
  Sim.restartExecutor(Id, 0, 300);
  cutOffWithRun();
}

/// Guards against the same with a successor that never hears of that life
/// either: the row of the last owner tells of the lease.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseUnderAnOwnerThatNeverHeardOfIt) {
  cutOffAndReplaceOwner(1'000);
}

/// The same where the last owner is lost before it would have written its next
/// row.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughItsOwnerIsLostSoonAfter) {
  cutOffAndReplaceOwner(100);
}

/// The same before the last owner could write a row. Known red: no row can tell
/// of the lease in time.
IGNORE_TEST(AndTakesAStartInItsNextLife,
            HoldsItsLeaseThoughItsOwnerIsLostAtOnce) {
  cutOffAndReplaceOwner(5);
}

/// Guards against the same with one that hears of it first, and is cut off
/// from it soon after.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseUnderTheOwnerThatHearsOfIt) {
  restartUnderStart(FarLessMs, Unlisted);
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
  Sim.takeOver("e2/1");
  Sim.runFor(300);
  LONGS_EQUAL(1, Sim.Owner->counts().Restarts);
  CHECK_TRUE(runsHere());
  executor().Unreachable = true;
  Sim.addExecutor(Wide);
  Sim.runFor(LateLeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against the same where the answer to the start is lost.
IGNORE_TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughTheAnswerIsLost) {
  restartUnderStart(FarLessMs, Unlisted);
  executor().AnswersLost = true;
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
  executor().Unreachable = true;
  Sim.addExecutor(Wide);
  Sim.runFor(LateLeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a lease that the owner forgets as it hears of the restart,
/// while the store lets it grant no other.
TEST(AndTakesAStartInItsNextLife, HoldsItsLeaseThoughNoneIsGrantedAfterIt) {
  restartUnderStart(FarLessMs, Unlisted);
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
  executor().AnswersLost = true;
  Sim.StoreSilent = true;
  Sim.addExecutor(Wide);
  Sim.runFor(2'500);
  executor().AnswersLost = false;
  CHECK_TRUE(
      Sim.runUntil([&] { return Sim.Owner->counts().Restarts == 1; }, 1'000));
  Sim.runFor(500);
  executor().Unreachable = true;
  Sim.runFor(1'000);
  Sim.StoreSilent = false;
  Sim.runFor(LateLeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against starts by the clock of the life before that follow an answer
/// by another clock.
TEST(AndTakesAStartInItsNextLife, GetsNoMoreStartsUntilItIsHeardOf) {
  restartUnderStart(FarLessMs, 2'000);
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 1'000));
  uint64_t EarlierToken = executor().FencingToken;
  size_t Answered = Sim.Started.size();
  Sim.submit(Simulation::makeJob(OtherId, 1, Small, ShortRunMs));
  CHECK_TRUE(
      Sim.runUntil([&] { return Sim.Started.size() > Answered; }, 5'000));
  CHECK(Sim.Started.back().FencingToken > EarlierToken);
}

// clang-format off
/// Starts need a ticket, which is of one life: the next one refuses the start,
/// and takes its lease all the same.
TEST_GROUP_BASE(AndRefusesAStartInItsNextLife, TEST_GROUP_CppUTestGroupAndTakesAStartInItsNextLife) {
  void prepare() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 5, .PerExecutorMs = 0.1, .Validity = Millis(2'000)}});
  }
  /// Another task runs there by that lease, and is lost.
  void refuseAndCutOff(int64_t MoreMs) {
    setNextClock(MoreMs);
    sendStart(OtherId);
    Sim.restartExecutor(Id, 0, 30);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Owner->counts().TicketRefusals == 1; }, 1'000));
    startLongRun();
    cutOff(LeaseLimitMs);
  }
};
// clang-format on

/// Guards against a second run beside one that goes on by the lease of a start
/// that was refused.
TEST(AndRefusesAStartInItsNextLife, HoldsTheLeaseThoughItsClockReadsFarLess) {
  refuseAndCutOff(FarLessMs);
}

TEST(AndRefusesAStartInItsNextLife,
     HoldsTheLeaseThoughItsClockReadsSlightlyLess) {
  refuseAndCutOff(SlightlyLessMs);
}

TEST(AndRefusesAStartInItsNextLife,
     HoldsTheLeaseThoughItsClockReadsSlightlyMore) {
  refuseAndCutOff(SlightlyMoreMs);
}

// clang-format off
/// The clock of the life before the last read most.
TEST_GROUP_BASE(AndRestartsTwice, TEST_GROUP_CppUTestGroupAnExecutorWhoseClockBeginsAnywhere) {
  executor::RenewalCall OfFirstLife;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorWhoseClockBeginsAnywhere::setup();
    OfFirstLife = renewalWithLease();
  }
  /// The last life reads more than the one before, and less than the first.
  void restartTwice(int64_t BetweenMs) {
    setNextClock(FarLessMs);
    Sim.restartExecutor(Id, 0, 100);
    Sim.runFor(BetweenMs);
    setNextClock(-FarLessMs / 2);
    Sim.restartExecutor(Id, 0, 100);
    Sim.runFor(5);
    Sim.carryOutAgain(OfFirstLife);
    CHECK(leaseLeftMs() > 9'000);
    Sim.runFor(300);
  }
};
// clang-format on

/// Guards against a lease by the clock of a life that is long over: the next
/// one has answered to its own token before it restarted.
TEST(AndRestartsTwice, HoldsALeaseByTheClockOfTheFirst) {
  restartTwice(1'000);
  startLongRun();
  cutOff(LeaseLimitMs);
}

/// Guards against the same where nobody has heard of the life between.
TEST(AndRestartsTwice, HoldsThatLeaseThoughNobodyHeardOfTheSecond) {
  restartTwice(10);
  startLongRun();
  cutOff(LeaseLimitMs);
}

/// Guards against the same with a successor.
TEST(AndRestartsTwice, HoldsThatLeaseUnderTheNextOwner) {
  restartTwice(1'000);
  Sim.takeOver("e2/1");
  startLongRun();
  cutOff(LeaseLimitMs);
}

/// Guards against a wait for orders that can't come any more: after half a
/// minute only those to the second life are left, and its clock read less.
TEST(AndRestartsTwice, HoldsNoLeaseOfTheFirstLongAfter) {
  setNextClock(FarLessMs);
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(30'000);
  size_t Before = Sim.Owner->counts().LongLeases;
  setNextClock(-FarLessMs / 2);
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(1'000);
  LONGS_EQUAL(2, Sim.Owner->counts().Restarts);
  LONGS_EQUAL(Before, Sim.Owner->counts().LongLeases);
}

// clang-format off
/// Its owner has heard of its next life, and gets no answer from it. A start
/// that may reach that one is recorded for it.
TEST_GROUP_BASE(AndIsCutOffFromItsOwner, TEST_GROUP_CppUTestGroupAnExecutorWhoseClockBeginsAnywhere) {
  executor::RenewalCall OfEarlierLife;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorWhoseClockBeginsAnywhere::setup();
    OfEarlierLife = renewalWithLease();
    setNextClock(FarLessMs);
    sendStart(LaterId);
    Sim.cutsOf(*Sim.Owner).Executors.insert(Id);
    Sim.restartExecutor(Id, 0, 100);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Owner->counts().Restarts == 1; }, 3'000));
    CHECK_TRUE(Sim.runUntil([&] { return isRecordedForNextLife(); }, 3'000));
  }
  bool isRecordedForNextLife() {
    auto Progress = Sim.storedProgress(LaterId);
    return Progress && Progress->Tasks[{0, 0, 0}].Born == executor().BornMs;
  }
};
// clang-format on

/// Guards against a successor that takes the record for a sign that the last
/// owner has called this life, and nothing late can come to it.
TEST(AndIsCutOffFromItsOwner, HoldsALateLeaseUnderTheNextOwner) {
  Sim.killOwner();
  Sim.carryOutAgain(OfEarlierLife);
  CHECK(leaseLeftMs() > 9'000);
  Sim.takeOver("e2/1");
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 3'000));
  Sim.addExecutor(Wide);
  Sim.runFor(300);
  executor().Unreachable = true;
  Sim.runFor(LateLeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against the same where the successor is replaced, too, before it has
/// written a row.
TEST(AndIsCutOffFromItsOwner, HoldsALateLeaseUnderTheOwnerAfterTheNext) {
  Sim.takeOver("e2/1");
  Sim.killOwner();
  Sim.carryOutAgain(OfEarlierLife);
  Sim.takeOver("e3/1");
  CHECK_TRUE(Sim.runUntil([&] { return runsHere(); }, 3'000));
  Sim.addExecutor(Wide);
  Sim.runFor(300);
  executor().Unreachable = true;
  Sim.runFor(LateLeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}
