#include "cell/KnownIncarnations.h"
#include "unit/CellSim.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

/// Executors that start again unheard, or more than once, with clocks that read
/// less: which leases an owner has to count beside those it knows of.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *FirstId = "00000000000000b1";
constexpr const char *SecondId = "00000000000000b2";
constexpr const char *LongId = "00000000000000b3";
constexpr int64_t LongRunMs = 60'000;
/// No lease lasts longer.
constexpr int64_t LeaseLimitMs = 14'000;
constexpr int64_t NeverListedMs = 100'000;

std::string taskOf(const char *JobId) { return taskName({.Job = JobId}); }

} // namespace

// clang-format off
/// Its clock has run for 15 s, and its owner renews its lease.
TEST_GROUP(AnExecutorWithSeveralLives) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);
  int64_t NextClockMs = 500'000;
  executor::RenewalCall Renewal;

  void setup() override {
    Sim.ClockAtRestart = [this] { return NextClockMs; };
    Sim.RunTimeFor = [](const std::string &Task, int64_t Ms) { return Task == taskOf(LongId) ? LongRunMs : Ms; };
    Sim.takeOver("e1/1");
    Sim.runFor(15'000);
    Renewal = nextRenewal();
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  executor::RenewalCall nextRenewal() {
    CHECK(Sim.runUntil([&] { return Sim.Renewals.back().LeaseEndMs.has_value(); }, 1'000));
    return Sim.Renewals.back();
  }
  int64_t leaseLeftMs() { return Sim.executor(Id).LeaseEndMs - Sim.executor(Id).clockMs(Sim.Now); }
  bool runsHere() { return Sim.executor(Id).Running.count(taskOf(LongId)) > 0; }
  void submitLongRun() { Sim.submit(Simulation::makeJob(LongId, 1, Small, LongRunMs)); }
  void startLongRun() {
    submitLongRun();
    CHECK(Sim.runUntil([&] { return runsHere(); }, 8'000));
  }
  void sendStart() {
    size_t Before = Sim.Owner->counts().Starts;
    submitLongRun();
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts > Before; }, 1'000));
  }
  /// The next life takes the start that was sent to the one before; no owner
  /// hears of either.
  void nextLifeTakesTheStart(int64_t ListedAfterMs) {
    sendStart();
    Sim.executor(Id).AnswersLost = true;
    Sim.restartExecutor(Id, 0, ListedAfterMs);
    CHECK(Sim.runUntil([&] { return runsHere(); }, 100));
    CHECK(leaseLeftMs() > 9'000);
    Sim.executor(Id).Unreachable = true;
    Sim.addExecutor(Wide);
  }
  void awaitRunElsewhere(int64_t LimitMs) { CHECK(Sim.runUntil([&] { return Sim.runsOf(taskOf(LongId)) == 2; }, LimitMs)); }
  /// The run is lost to the owner, which starts it on another executor.
  void expectRunElsewhere() {
    Sim.runFor(LeaseLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LongId)));
  }
  void cutOff() {
    Sim.addExecutor(Wide);
    Sim.runFor(500);
    Sim.executor(Id).Unreachable = true;
    expectRunElsewhere();
  }
};
// clang-format on

/// Guards against a second run beside one that the next life took unheard.
/// Known red: nobody but that life knows of its lease.
IGNORE_TEST(AnExecutorWithSeveralLives,
            HoldsTheLeaseOfAStartThatTheNextOneTook) {
  nextLifeTakesTheStart(NeverListedMs);
  expectRunElsewhere();
}

/// Guards against the same where the list tells of the restart.
TEST(AnExecutorWithSeveralLives, HoldsThatLeaseIfOnlyTheListTells) {
  nextLifeTakesTheStart(300);
  awaitRunElsewhere(40'000);
}

/// Guards against the same with a successor. Known red, as above.
IGNORE_TEST(AnExecutorWithSeveralLives, HoldsThatLeaseWithASuccessor) {
  nextLifeTakesTheStart(NeverListedMs);
  Sim.killOwner();
  Sim.runFor(1'500);
  Sim.takeOver("e2/1");
  expectRunElsewhere();
}

/// Guards against the same with a successor that the list tells.
TEST(AnExecutorWithSeveralLives, HoldsThatLeaseIfTheListTellsASuccessor) {
  nextLifeTakesTheStart(0);
  Sim.killOwner();
  Sim.runFor(1'500);
  Sim.takeOver("e2/1");
  awaitRunElsewhere(40'000);
}

/// As an owner loop does that reads the instance list before the stored jobs.
TEST(AnExecutorWithSeveralLives, HoldsThatLeaseIfTheListIsReadBeforeTheJobs) {
  nextLifeTakesTheStart(0);
  Sim.killOwner();
  Sim.runFor(1'500);
  Sim.LoadTimeMs = 200;
  Sim.takeOver("e2/1");
  std::vector<executor::ExecutorInfo> List{Sim.executor(Id).Info};
  Sim.Owner->setExecutors(List, Sim.Now);
  awaitRunElsewhere(40'000);
}

/// The same where the last owner had heard of the restart, too.
TEST(AnExecutorWithSeveralLives, HoldsTheLeaseThatTheLastOwnerWaitedFor) {
  nextLifeTakesTheStart(0);
  Sim.runFor(1'000);
  Sim.LoadTimeMs = 200;
  Sim.takeOver("e2/1");
  std::vector<executor::ExecutorInfo> List{Sim.executor(Id).Info};
  Sim.Owner->setExecutors(List, Sim.Now);
  awaitRunElsewhere(40'000);
}

/// A copy of a start without an answer is carried out seconds later.
IGNORE_TEST(AnExecutorWithSeveralLives,
            HoldsTheLeaseOfAStartThatTheNextOneTakesLate) {
  sendStart();
  Sim.executor(Id).Unreachable = true;
  executor::StartOrder Start{.Target = Renewal.Target,
                             .Id = {taskOf(LongId), 1},
                             .LeaseEndMs = *Renewal.LeaseEndMs,
                             .FencingToken = Renewal.FencingToken};
  Sim.restartExecutor(Id, 0, NeverListedMs);
  Sim.addExecutor(Wide);
  Sim.runFor(8'000);
  CHECK_TRUE(Sim.runsOf(taskOf(LongId)) <= 1);
  Sim.carryOutAgain(Start);
}

/// Guards against a lease that is forgotten with the life between, of which
/// nobody heard.
TEST(AnExecutorWithSeveralLives, HoldsTheLeaseAfterTwoRestarts) {
  Sim.restartExecutor(Id, 0, NeverListedMs);
  Sim.runFor(20);
  NextClockMs = 200'000;
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  CHECK(leaseLeftMs() > 9'000);
  Sim.runFor(500);
  startLongRun();
  cutOff();
}

/// Guards against a lease that is forgotten with the life between, which had
/// answered.
TEST(AnExecutorWithSeveralLives, HoldsTheLeaseByTheClockBeforeTheLast) {
  Sim.restartExecutor(Id, 0, 10);
  Sim.runFor(1'000);
  NextClockMs = 200'000;
  Sim.restartExecutor(Id, 0, 10);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  Sim.runFor(500);
  startLongRun();
  cutOff();
}

// clang-format off
/// The next life holds a long lease and the run, and its owner knows of both.
TEST_GROUP_BASE(WhoseLongLeaseIsKnown, TEST_GROUP_CppUTestGroupAnExecutorWithSeveralLives) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorWithSeveralLives::setup();
    Sim.restartExecutor(Id, 0, 10);
    Sim.runFor(5);
    Sim.carryOutAgain(Renewal);
    Sim.runFor(300);
    startLongRun();
    Sim.runFor(100);
    Sim.executor(Id).Unreachable = true;
  }
};
// clang-format on

/// Guards against a long lease that the row of a second owner leaves out.
TEST(WhoseLongLeaseIsKnown, HoldsItWithTwoSuccessors) {
  Sim.takeOver("e2/1");
  Sim.runFor(1'000);
  Sim.takeOver("e3/1");
  Sim.addExecutor(Wide);
  expectRunElsewhere();
}

TEST(WhoseLongLeaseIsKnown, HoldsItWithASuccessorOfOneThatWasLoading) {
  Sim.LoadTimeMs = 5'000;
  Sim.takeOver("e2/1");
  Sim.runFor(1'500);
  Sim.LoadTimeMs = 0;
  Sim.takeOver("e3/1");
  Sim.runFor(700);
  Sim.takeOver("e4/1");
  Sim.addExecutor(Wide);
  expectRunElsewhere();
}

TEST(WhoseLongLeaseIsKnown, HoldsItWithItsOwnerAfterAPause) {
  Sim.pauseOwner();
  Sim.runFor(3'000);
  Sim.resumeOwner();
  Sim.addExecutor(Wide);
  expectRunElsewhere();
}

TEST(WhoseLongLeaseIsKnown, HoldsItWithASuccessorAfterARelease) {
  Sim.Owner->release();
  Sim.runFor(300);
  Sim.takeOver("e2/1");
  Sim.addExecutor(Wide);
  expectRunElsewhere();
}

TEST(WhoseLongLeaseIsKnown, HoldsItIfItsOwnerIsPaused) {
  Sim.pauseOwner();
  Sim.runFor(1'500);
  Sim.takeOver("e2/1");
  Sim.runFor(500);
  Sim.resumeOwner();
  Sim.addExecutor(Wide);
  expectRunElsewhere();
}

/// A process that was suspended between the decision and the sending of an
/// order sends it when it goes on.
IGNORE_TEST(AnExecutorWithSeveralLives, HoldsTheLeaseOfAnOrderSentAfterAPause) {
  Sim.pauseOwner();
  Sim.runFor(24'000);
  Sim.restartExecutor(Id, 0, 0);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  CHECK(leaseLeftMs() > 9'000);
  Sim.resumeOwner();
  Sim.runFor(300);
  startLongRun();
  cutOff();
}

/// An executor of another service that starts again as one of this, whose owner
/// never sent it anything.
IGNORE_TEST(AnExecutorWithSeveralLives,
            HoldsTheLeaseOfAnOwnerOfAnotherService) {
  Sim.executor(Id).Unreachable = true;
  Sim.setListed(Id, false);
  Sim.runFor(10'000);
  Id = Sim.addExecutor(Wide);
  executor::RenewalCall OfOther{
      .Target = {.Address = Sim.executor(Id).Info.Address, .Id = Id},
      .FencingToken = 1,
      .LeaseEndMs = 100'000'000};
  Sim.carryOutAgain(OfOther);
  CHECK(leaseLeftMs() > 9'000);
  Sim.runFor(300);
  startLongRun();
  cutOff();
}

/// A renewal that was sent before the doubt doesn't settle it.
TEST(AnExecutorWithSeveralLives, GetsNoStartInDoubt) {
  size_t SentBefore = Sim.Renewals.size();
  CHECK(Sim.runUntil([&] { return Sim.Renewals.size() > SentBefore; }, 3'000));
  sendStart();
  SentBefore = Sim.Renewals.size();
  Sim.restartExecutor(Id, 0, NeverListedMs);
  Sim.submit(Simulation::makeJob(FirstId, 1, Small, LongRunMs));
  Sim.submit(Simulation::makeJob(SecondId, 1, Small, LongRunMs));
  Sim.runFor(5);
  size_t Starts = Sim.Owner->counts().Starts;
  bool Sent = false;
  CHECK(Sim.runUntil(
      [&] {
        Sent |= Sim.Owner->counts().Starts > Starts;
        return Sim.Renewals.size() > SentBefore;
      },
      1'000));
  CHECK_FALSE(Sent);
}

/// What is placed there is recorded, dropped and placed again with each commit.
TEST(AnExecutorWithSeveralLives, GetsNoTaskPlacedInDoubt) {
  size_t SentBefore = Sim.Renewals.size();
  CHECK(Sim.runUntil([&] { return Sim.Renewals.size() > SentBefore; }, 3'000));
  Sim.runFor(40);
  sendStart();
  Sim.restartExecutor(Id, 0, NeverListedMs);
  Sim.runFor(5);
  Sim.executor(Id).Unreachable = true;
  Sim.submit(Simulation::makeJob(FirstId, 1, Small, LongRunMs));
  Sim.runFor(1'000);
  auto Progress = Sim.storedProgress(FirstId);
  uint32_t Run = Progress && !Progress->Tasks.empty()
                     ? Progress->Tasks.begin()->second.Run
                     : 0;
  CHECK_TRUE(Run <= 1);
}

/// An executor that doesn't state its start time, and of whose restart
/// the list doesn't tell.
IGNORE_TEST(AnExecutorWithSeveralLives, IsInDoubtForAWhileOnly) {
  Sim.executor(Id).StatesBorn = false;
  startLongRun();
  Sim.restartExecutor(Id, 0, NeverListedMs);
  Sim.runFor(5'000);
  size_t SentBefore = Sim.Renewals.size();
  Sim.runFor(5'000);
  bool Granted =
      std::any_of(Sim.Renewals.begin() + static_cast<ptrdiff_t>(SentBefore),
                  Sim.Renewals.end(), [](const executor::RenewalCall &Call) {
                    return Call.LeaseEndMs.has_value();
                  });
  CHECK_TRUE(Granted);
}

// clang-format off
/// Its next life, of which the list tells, may have taken a lasting task, and is
/// lost for good soon after.
TEST_GROUP_BASE(WhichIsLostAfterARestart, TEST_GROUP_CppUTestGroupAnExecutorWithSeveralLives) {
  void loseAfterRestart() {
    size_t Before = Sim.Owner->counts().Starts;
    JobSpec Job = Simulation::makeJob(LongId, 1, Small, LongRunMs);
    Job.Steps[0].LongRunning = true;
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts > Before; }, 1'000));
    Sim.executor(Id).AnswersLost = true;
    Sim.restartExecutor(Id, 0, 300);
    Sim.runFor(100);
    Sim.loseExecutor(Id);
    Sim.addExecutor(Wide);
  }
};
// clang-format on

IGNORE_TEST(WhichIsLostAfterARestart, HasItsLastingTaskElsewhereWithin9S) {
  loseAfterRestart();
  awaitRunElsewhere(9'000);
}

IGNORE_TEST(WhichIsLostAfterARestart, HasItElsewhereWithin9SOfATakeover) {
  loseAfterRestart();
  Sim.runFor(400);
  Sim.killOwner();
  Sim.runFor(1'500);
  Sim.takeOver("e2/1");
  awaitRunElsewhere(9'000);
}

/// No order names a lease end above the reading of the next clock.
TEST(AnExecutorWithSeveralLives, HasNoLongLeaseIfItsClockReadsMore) {
  NextClockMs = 2'000'000;
  Sim.restartExecutor(Id, 0, 10);
  Sim.runFor(1'000);
  LONGS_EQUAL(0, Sim.Owner->counts().LongLeases);
}

/// The same where the owner has taken over long ago.
TEST(AnExecutorWithSeveralLives, HasNoneWithAnOwnerThatFollowedAnother) {
  Sim.takeOver("e2/1");
  Sim.runFor(40'000);
  LONGS_EQUAL(0, Sim.Owner->counts().LongLeases);
  NextClockMs = 2'000'000;
  Sim.restartExecutor(Id, 0, 10);
  Sim.runFor(1'000);
  LONGS_EQUAL(0, Sim.Owner->counts().LongLeases);
}

/// An answer to a stop that is processed after a later one, as the owner's loop
/// was held up.
IGNORE_TEST(AnExecutorWithSeveralLives,
            IsNotInDoubtAfterAnAnswerThatWasOvertaken) {
  ExecutorPool Pool{LeaseOptions{}};
  ExecutorIndex Index = Pool.findOrAdd("i-9");
  TimePoint Begin = SimulationStart;
  Pool.recordAnswer(Index, 10'000, Begin, Begin);
  // The stop was answered at 10,010; the renewal, which waited 2 s, at 12,000.
  Pool.recordOwnAnswer(Index, 12'000, Begin + Millis(8'000), Begin);
  CHECK_TRUE(Pool.recordAnswer(Index, 10'010, Begin + Millis(8'000)));
}

// clang-format off
/// An owner with so many executors that some share a row of lives.
TEST_GROUP(AnOwnerOfExecutorsThatShareRows) {
  Simulation Sim;
  std::string Absent;
  std::string Neighbour;

  void setup() override {
    for (int I = 0; I < 30; ++I)
      Sim.addExecutor(Wide);
    Sim.takeOver("e1/1");
    Sim.runFor(2'000);
    for (int I = 0; I < 30; ++I)
      for (int J = I + 1; J < 30; ++J) {
        std::string First = "i-" + std::to_string(I);
        std::string Second = "i-" + std::to_string(J);
        if (incarnationRowKey(First) == incarnationRowKey(Second)) {
          Absent = First;
          Neighbour = Second;
        }
      }
    CHECK_FALSE(Absent.empty());
  }
  bool isStored(const std::string &Id) {
    for (const store::Row &Row : Sim.rowsOf(IncarnationTable)) {
      BornById Lives = *decodeIncarnations(Row.Value);
      auto Found = Lives.find(Id);
      if (Found != Lives.end())
        return Found->second == Sim.executor(Id).BornMs;
    }
    return false;
  }
};
// clang-format on

/// An entry that was missing for a while, as after an outage of the store.
TEST(AnOwnerOfExecutorsThatShareRows, StoresALifeThatWasUnlistedMeanwhile) {
  CHECK_TRUE(isStored(Absent));
  Sim.setListed(Absent, false);
  Sim.restartExecutor(Neighbour, 0, 10);
  Sim.runFor(2'000);
  Sim.setListed(Absent, true);
  Sim.runFor(5'000);
  CHECK_TRUE(isStored(Absent));
}

/// One that a successor hears late, after its row was written for another.
TEST(AnOwnerOfExecutorsThatShareRows, KeepsALifeThatASuccessorHearsLate) {
  Sim.executor(Absent).Unreachable = true;
  Sim.takeOver("e2/1");
  Sim.runFor(500);
  Sim.restartExecutor(Neighbour, 0, 10);
  Sim.runFor(3'000);
  CHECK_TRUE(isStored(Neighbour));
  uint64_t LongBefore = Sim.Owner->counts().LongLeases;
  Sim.executor(Absent).Unreachable = false;
  Sim.runFor(2'000);
  LONGS_EQUAL(LongBefore, Sim.Owner->counts().LongLeases);
  CHECK_TRUE(isStored(Absent));
}

TEST(AnOwnerOfExecutorsThatShareRows, StoresAllOfManyRestarts) {
  for (int I = 0; I < 30; ++I)
    Sim.restartExecutor("i-" + std::to_string(I), 0, 10);
  Sim.runFor(3'000);
  for (int I = 0; I < 30; ++I)
    CHECK_TRUE(isStored("i-" + std::to_string(I)));
}
