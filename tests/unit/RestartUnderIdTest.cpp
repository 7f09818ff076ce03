#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Executors that start again under the id that they had.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *EarlierId = "00000000000000a1";
constexpr const char *LaterId = "00000000000000a2";
constexpr int64_t RunMs = 300;

std::string taskOf(const char *JobId, uint32_t Index = 0) {
  return taskName({.Job = JobId, .Index = Index});
}

} // namespace

// clang-format off
/// It has ended six runs, all of which have been acknowledged.
TEST_GROUP(AnExecutorThatHasEndedRuns) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);

  void setup() override {
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(EarlierId, 6, Small, RunMs));
    CHECK_TRUE(Sim.runUntil([&] { return Sim.executor(Id).EndCount == 6 && Sim.executor(Id).Ended.empty(); }, 3'000));
    Sim.runFor(50);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submitLater(uint32_t Tasks = 2) { Sim.submit(Simulation::makeJob(LaterId, Tasks, Small, RunMs)); }
  void runLaterJob(uint32_t Tasks = 2) {
    submitLater(Tasks);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000));
    for (uint32_t I = 0; I < Tasks; ++I)
      LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId, I)));
  }
};
// clang-format on

/// The renewals tell of the restart.
TEST(AnExecutorThatHasEndedRuns, RestartsAndNumbersItsEndsAnew) {
  Sim.restartExecutor(Id, 200, 500);
  Sim.runFor(1'500);
  runLaterJob();
}

/// The instance list tells of the restart before a renewal does.
TEST(AnExecutorThatHasEndedRuns, RestartsWithinMillisecondsAndIsListedAtOnce) {
  Sim.restartExecutor(Id, 10, 5);
  Sim.runFor(100);
  runLaterJob();
}

TEST(AnExecutorThatHasEndedRuns, RestartsTwiceInARow) {
  Sim.restartExecutor(Id, 50, 500);
  Sim.runFor(150);
  Sim.restartExecutor(Id, 50, 500);
  Sim.runFor(1'500);
  runLaterJob();
}

/// An answer of the earlier incarnation has been overtaken.
TEST(AnExecutorThatHasEndedRuns, AnswersOfItsEarlierIncarnationTellNothing) {
  int64_t EarlierBorn = Sim.executor(Id).BornMs;
  Sim.restartExecutor(Id, 10, 5);
  Sim.runFor(100);
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 5'000; };
  submitLater(1);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(LaterId)); }, 1'000));
  Sim.runFor(100);
  executor::RenewalAnswer Overtaken{.Outcome = executor::OrderOutcome::Done,
                                    .ClockMs = 1'500'000,
                                    .Born = EarlierBorn};
  for (ExecutorIndex Index : {0, 1})
    Sim.Owner->onRenewal(Index, Overtaken, Sim.Now);
  Sim.runFor(1'000);
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
  CHECK_TRUE(Sim.isOpen(taskOf(LaterId)));
}

// clang-format off
/// A start has been sent, and finds the next incarnation there.
TEST_GROUP_BASE(WhileAStartIsUnderWay, TEST_GROUP_CppUTestGroupAnExecutorThatHasEndedRuns) {
  void restartUnderStart(int64_t LaterRunMs) {
    Sim.RunTimeFor = [LaterRunMs](const std::string &, int64_t) { return LaterRunMs; };
    submitLater(1);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Owner->counts().Starts == 7; }, 1'000));
    LONGS_EQUAL(0, Sim.runsOf(taskOf(LaterId)));
    Sim.restartExecutor(Id, 0, 2'000);
  }
  void checkThatItRanOnce() {
    CHECK_TRUE(Sim.runUntil([&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000));
    LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
  }
};
// clang-format on

/// Its end has a number that the earlier incarnation's ends had.
TEST(WhileAStartIsUnderWay, TheRunEndsBeforeTheRestartIsKnown) {
  restartUnderStart(20);
  checkThatItRanOnce();
}

TEST(WhileAStartIsUnderWay, TheRunOutlastsTheNewsOfTheRestart) {
  restartUnderStart(1'000);
  checkThatItRanOnce();
}

TEST(WhileAStartIsUnderWay, ItRestartsOnceMore) {
  restartUnderStart(400);
  Sim.runFor(50);
  Sim.restartExecutor(Id, 100, 500);
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000));
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

// clang-format off
/// A start was carried out and not answered, so that it may be again.
TEST_GROUP_BASE(WithAStartThatGotNoAnswer, TEST_GROUP_CppUTestGroupAnExecutorThatHasEndedRuns) {
  executor::StartOrder Copy;

  void start(int64_t LaterRunMs) {
    Sim.RunTimeFor = [LaterRunMs](const std::string &, int64_t) { return LaterRunMs; };
    Sim.executor(Id).AnswersLost = true;
    submitLater(1);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.runsOf(taskOf(LaterId)) == 1; }, 1'000));
    Copy = Sim.Started.back();
    Sim.runFor(700);
    Sim.executor(Id).AnswersLost = false;
  }
  bool isCompleted() { return Sim.storedPhase(LaterId) == JobPhase::Completed; }
};
// clang-format on

TEST(WithAStartThatGotNoAnswer, TheCopyComesWhileTheTaskRunsAgain) {
  start(2'000);
  std::string OtherId = Sim.addExecutor(Wide);
  Sim.restartExecutor(Id, 0, 2'000);
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.executor(OtherId).Running.size() == 1; }, 3'000));
  Sim.carryOutAgain(Copy);
  CHECK_TRUE(Sim.runUntil([&] { return isCompleted(); }, 10'000));
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

TEST(WithAStartThatGotNoAnswer, TheCopyComesAfterTheTaskIsDone) {
  start(800);
  CHECK_TRUE(Sim.runUntil(
      [&] { return isCompleted() && Sim.executor(Id).Ended.empty(); }, 5'000));
  Sim.restartExecutor(Id, 100, 500);
  Sim.runFor(1'000);
  Sim.carryOutAgain(Copy);
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

// clang-format off
/// A run is under way there, and there is room elsewhere.
TEST_GROUP_BASE(WithARunAndRoomElsewhere, TEST_GROUP_CppUTestGroupAnExecutorThatHasEndedRuns) {
  std::string OtherId;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorThatHasEndedRuns::setup();
    Sim.RunTimeFor = [](const std::string &, int64_t) { return 3'000; };
    submitLater(1);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(LaterId)); }, 1'000));
    OtherId = Sim.addExecutor(Wide);
    Sim.runFor(300);
  }
  void checkThatItRunsTwice() {
    CHECK_TRUE(Sim.runUntil([&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 20'000));
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
  }
};
// clang-format on

TEST(WithARunAndRoomElsewhere, TheRestartEndsTheRunAtOnce) {
  Sim.restartExecutor(Id, 50, 2'000);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(LaterId)); }, 1'000));
  checkThatItRunsTwice();
}

TEST(WithARunAndRoomElsewhere, TheOwnerIsReplacedAfterTheRestart) {
  Sim.killOwner();
  Sim.restartExecutor(Id, 50, 200);
  Sim.runFor(1'000);
  Sim.takeOver();
  checkThatItRunsTwice();
}

TEST(WithARunAndRoomElsewhere, TheOwnerIsReplacedAndTheListIsOutdated) {
  Sim.killOwner();
  Sim.restartExecutor(Id, 50, 5'000);
  Sim.runFor(1'000);
  Sim.takeOver();
  checkThatItRunsTwice();
}

TEST(WithARunAndRoomElsewhere, TheExecutorRestartsWhileTheNextOwnerLoads) {
  Sim.LoadTimeMs = 500;
  Sim.killOwner();
  Sim.takeOver();
  Sim.restartExecutor(Id, 50, 200);
  checkThatItRunsTwice();
}

/// Guards against a task that runs twice at once: an executor that goes on
/// states a later start than before, as of a clock that was set, and its run
/// counted as over although it lists it.
TEST(WithARunAndRoomElsewhere, TheExecutorStatesALaterStartAndGoesOn) {
  Sim.StopTimeMs = 1'000;
  Sim.executor(Id).BornMs += 600'000;
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 20'000));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// The same, of one answer alone: the others count as of an earlier incarnation
/// and renew no lease here, so that the run is over once the lease has ended.
TEST(WithARunAndRoomElsewhere, OneAnswerStatesALaterStart) {
  Sim.StopTimeMs = 1'000;
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 300; };
  Sim.executor(Id).Running.begin()->second.EndsAt = Sim.Now + Millis(60'000);
  Sim.Owner->onRenewal(0,
                       {.Outcome = executor::OrderOutcome::Done,
                        .ClockMs = Sim.executor(Id).clockMs(Sim.Now),
                        .Born = Sim.executor(Id).BornMs + 600'000,
                        .Running = {{.Id = {taskOf(LaterId), 1}}}},
                       Sim.Now);
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 30'000));
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Leases are by the clock of the later incarnation, which reads less.
TEST(WithARunAndRoomElsewhere, TheNextIncarnationIsCutOffWithARun) {
  Sim.executor(OtherId).Unreachable = true;
  Sim.restartExecutor(Id, 50, 100);
  CHECK_TRUE(
      Sim.runUntil([&] { return Sim.runsOf(taskOf(LaterId)) == 2; }, 5'000));
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 300; };
  Sim.executor(Id).Running.begin()->second.EndsAt = Sim.Now + Millis(60'000);
  Sim.runFor(300);
  Sim.executor(OtherId).Unreachable = false;
  Sim.runFor(300);
  Sim.executor(Id).Unreachable = true;
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 20'000));
  LONGS_EQUAL(3, Sim.runsOf(taskOf(LaterId)));
}

// clang-format off
/// A task has its ticket, and waits for room that a long run holds.
TEST_GROUP(AnExecutorWithATicketForAWaitingTask) {
  Simulation Sim;
  std::string Id;

  void setup() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 25, .PerExecutorMs = 0.35, .Validity = Millis(60'000)}});
    Id = Sim.addExecutor(Small);
    Sim.takeOver();
    Sim.RunTimeFor = [](const std::string &Task, int64_t) { return Task.starts_with(EarlierId) ? 60'000 : RunMs; };
    Sim.submit(Simulation::makeJob(EarlierId, 1, Small, RunMs));
    Sim.submit(Simulation::makeJob(LaterId, 1, Small, RunMs));
    CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(EarlierId)); }, 3'000));
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
};
// clang-format on

TEST(AnExecutorWithATicketForAWaitingTask, TheNextIncarnationNeedsAnother) {
  Sim.RunTimeFor = [](const std::string &, int64_t) { return RunMs; };
  Sim.restartExecutor(Id, 50, 200);
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000));
  LONGS_EQUAL(0, Sim.Owner->counts().TicketRefusals);
}

// clang-format off
TEST_GROUP(AnIncarnationInThePool) {
  ExecutorPool Pool{LeaseOptions{}};
  executor::ExecutorInfo Info{.Id = "i-1", .Service = "s", .Address = "a", .Capacity = Small, .Born = 100};

  size_t list(int64_t Born) {
    Info.Born = Born;
    return Pool.update(std::span(&Info, 1), SimulationStart).size();
  }
  void setup() override { list(100); }
};
// clang-format on

TEST(AnIncarnationInThePool, IsFollowedByOneThatStartedLater) {
  LONGS_EQUAL(1, list(200));
  LONGS_EQUAL(2, Pool.size());
  CHECK_FALSE(Pool[0].Listed);
  CHECK_TRUE(Pool[1].Listed);
  LONGS_EQUAL(1, Pool.findOrAdd("i-1"));
}

TEST(AnIncarnationInThePool, IsNotFollowedByOneThatStartedEarlier) {
  LONGS_EQUAL(0, list(50));
  LONGS_EQUAL(1, Pool.size());
  LONGS_EQUAL(100, Pool[0].Info.Born);
  CHECK_FALSE(Pool[0].Listed);
  CHECK_TRUE(Pool[0].EntryOutdated);
}

TEST(AnIncarnationInThePool, StaysTheSameInEntriesWithoutATime) {
  LONGS_EQUAL(0, list(0));
  LONGS_EQUAL(1, Pool.size());
  LONGS_EQUAL(100, Pool[0].Info.Born);
  CHECK_TRUE(Pool[0].Listed);
}

/// Its capacity may be another.
TEST(AnIncarnationInThePool, GetsNothingWhileTheListDescribesTheOneBefore) {
  LONGS_EQUAL(1, Pool.findOrAdd("i-1", 200));
  LONGS_EQUAL(0, list(100));
  CHECK_FALSE(Pool[0].Listed);
  CHECK_FALSE(Pool[1].Listed);
  CHECK_TRUE(Pool[1].EntryOutdated);
}

TEST_GROUP(StoredProgress){};

TEST(StoredProgress, TellsIncarnationsApart) {
  JobProgress Original{.Phase = JobPhase::Running};
  for (uint32_t I = 0; I < 3; ++I)
    Original.Tasks[{0, 0, I}] = {.Phase = TaskPhase::Starting,
                                 .Run = 1,
                                 .Executor = "i-1",
                                 .Address = "x:1",
                                 .Born = 1'900'000'000'000 + I / 2};
  auto Decoded = decodeProgress(encodeProgress(Original));
  CHECK_TRUE(static_cast<bool>(Decoded));
  CHECK(Decoded->Tasks == Original.Tasks);
}

/// Rows of versions that don't know start times have none.
TEST(StoredProgress, MayLackStartTimes) {
  auto Read = [](const std::string &Times) {
    return decodeProgress("2;running;0;;3:i-13:x:1" + Times + ";0.0=o1e0");
  };
  LONGS_EQUAL(0, Read("")->Tasks.at({0, 0, 0}).Born);
  LONGS_EQUAL(7, Read("0:1:7")->Tasks.at({0, 0, 0}).Born);
  for (const char *Malformed : {"0:1:x", "0:3:7,8", "0:0:", "0:9:7"})
    CHECK_FALSE(static_cast<bool>(Read(Malformed)));
}
