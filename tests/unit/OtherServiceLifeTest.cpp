#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Executors whose next life under their id is of another service, as the
/// instance list tells.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *EarlierId = "00000000000000a1";
constexpr const char *LaterId = "00000000000000a2";
constexpr const char *OtherService = "t";
constexpr int64_t ShortRunMs = 300;
constexpr int64_t LongRunMs = 60'000;
constexpr int64_t CommitMs = 30;
/// Until no start, and no lease that was sent before a restart, is in force.
constexpr int64_t DoubtMs = 25'000;
/// The same for a successor, which doesn't know when the last order was sent:
/// up to 20.5 s after its takeover orders may come, and grant 10.2 s.
constexpr int64_t SuccessorDoubtMs = 31'000;

std::string taskOf(const char *JobId) { return taskName({.Job = JobId}); }

} // namespace

// clang-format off
/// It has carried out a task, and its owner's configuration names another
/// service beside its own.
TEST_GROUP(AnExecutorThatMayChangeItsService) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);

  void setup() override {
    Sim.CommitTimeMs = CommitMs;
    Sim.changeConfig([](CellConfig &Config) { Config.Services = {ServiceName, OtherService}; });
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(EarlierId, 1, Small, ShortRunMs));
    CHECK(Sim.runUntil([&] { return isCompleted(EarlierId) && Sim.executor(Id).Ended.empty(); }, 3'000));
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  bool isCompleted(const char *JobId) { return Sim.storedPhase(JobId) == JobPhase::Completed; }
  bool runsOn(const std::string &ExecutorId) { return Sim.executor(ExecutorId).Running.count(taskOf(LaterId)) > 0; }
  void submitLater(int64_t RunMs) {
    Sim.RunTimeFor = [RunMs](const std::string &, int64_t) { return RunMs; };
    Sim.submit(Simulation::makeJob(LaterId, 1, Small, RunMs));
  }
  /// Its start waits for its commit.
  void recordLater() {
    submitLater(ShortRunMs);
    Sim.runFor(CommitMs / 2);
    LONGS_EQUAL(1, Sim.Owner->counts().Starts);
  }
  void sendLater(int64_t RunMs) {
    submitLater(RunMs);
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts == 2; }, 1'000));
    LONGS_EQUAL(0, Sim.runsOf(taskOf(LaterId)));
  }
  /// Its next life is of that service. Of starts before it is listed, nothing
  /// tells it apart.
  void restartIn(const char *Service, int64_t BackAfterMs = 0, int64_t ListedAfterMs = 0) {
    Sim.ChecksPlacesInNextLife = false;
    Sim.ChangeAtRestart = [Service](executor::ExecutorInfo &Info) { Info.Service = Service; };
    Sim.restartExecutor(Id, BackAfterMs, ListedAfterMs);
  }
  /// Another writer's entry stands for its own.
  void listAs(const char *Service, int64_t BornLaterByMs) {
    executor::ExecutorInfo Entry = Sim.executor(Id).Info;
    Entry.Service = Service;
    Entry.Born += BornLaterByMs;
    Sim.executor(Id).OutdatedEntry = Entry;
    Sim.setListed(Id, true);
  }
  void listAsItIs() {
    Sim.executor(Id).OutdatedEntry.reset();
    Sim.setListed(Id, true);
  }
  uint64_t token() { return Sim.executor(Id).FencingToken; }
};
// clang-format on

/// Guards against a recorded start that is sent to a life of another service.
TEST(AnExecutorThatMayChangeItsService, GetsNoRecordedStartInAnother) {
  recordLater();
  restartIn(OtherService);
  Sim.runFor(1'000);
  LONGS_EQUAL(1, Sim.Owner->counts().Starts);
  LONGS_EQUAL(0, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a task that stays with the life that is over.
TEST(AnExecutorThatMayChangeItsService, LeavesItsRecordedStartToOthers) {
  recordLater();
  restartIn(OtherService);
  Sim.addExecutor(Wide);
  CHECK(Sim.runUntil([&] { return isCompleted(LaterId); }, 3'000));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a recorded start that is sent to an executor which the list
/// names in another service, though it may not have restarted.
TEST(AnExecutorThatMayChangeItsService,
     GetsNoRecordedStartWhileListedInAnother) {
  recordLater();
  listAs(OtherService, 0);
  Sim.runFor(1'000);
  LONGS_EQUAL(1, Sim.Owner->counts().Starts);
  listAsItIs();
  CHECK(Sim.runUntil([&] { return isCompleted(LaterId); }, 3'000));
}

/// Guards against a run whose end is not heard: its executor was asked before
/// the list named it in another service, so that its tokens are known.
TEST(AnExecutorThatMayChangeItsService, IsAskedOnIfItHasAnswered) {
  sendLater(2'000);
  restartIn(OtherService, 0, 500);
  CHECK(Sim.runUntil([&] { return isCompleted(LaterId); }, 3'000));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

// clang-format off
/// A run is under way there, which a renewal has told of, and there is room
/// elsewhere.
TEST_GROUP_BASE(WithARunThatIsListed, TEST_GROUP_CppUTestGroupAnExecutorThatMayChangeItsService) {
  std::string OtherId;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorThatMayChangeItsService::setup();
    submitLater(LongRunMs);
    CHECK(Sim.runUntil([&] { return runsOn(Id); }, 1'000));
    OtherId = Sim.addExecutor(Wide);
    Sim.runFor(500);
  }
};
// clang-format on

/// Guards against renewals to a life of another service, whose owner's tokens
/// they may outbid, and against a wait for what has ended with the life before.
TEST(WithARunThatIsListed, IsNotCalledInAnotherService) {
  restartIn(OtherService, 50);
  // A call that is under way as it is listed would reach it.
  Sim.executor(Id).Unreachable = true;
  Sim.runFor(100);
  Sim.executor(Id).Unreachable = false;
  CHECK(Sim.runUntil([&] { return runsOn(OtherId); }, 500));
  Sim.runFor(3'000);
  LONGS_EQUAL(0, token());
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against the same by a successor, which finds the run in its rows: not
/// knowing what was sent, it waits until no start can be in force.
TEST(WithARunThatIsListed, IsNotCalledInAnotherServiceByTheNextOwner) {
  Sim.killOwner();
  restartIn(OtherService, 50);
  Sim.runFor(1'500);
  Sim.takeOver();
  CHECK(Sim.runUntil([&] { return runsOn(OtherId); }, SuccessorDoubtMs));
  LONGS_EQUAL(0, token());
}

/// The same if the list is read before the rows, and has lost the entry since.
TEST(WithARunThatIsListed, IsNotCalledInAnotherServiceThatWasListedFirst) {
  Sim.killOwner();
  restartIn(OtherService, 50);
  Sim.runFor(1'500);
  Sim.LoadTimeMs = 500;
  Sim.takeOver();
  Sim.Owner->setExecutors({&Sim.executor(Id).Info, 1}, Sim.Now);
  Sim.setListed(Id, false);
  CHECK(Sim.runUntil([&] { return runsOn(OtherId); }, SuccessorDoubtMs));
  LONGS_EQUAL(0, token());
}

/// Guards against an executor of this service that is taken for over, as its
/// entry names another service for a while.
TEST(WithARunThatIsListed, GoesOnWithItWhileListedInAnother) {
  listAs(OtherService, 0);
  Sim.runFor(8'000);
  listAsItIs();
  Sim.runFor(1'000);
  CHECK_TRUE(runsOn(Id));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// The same of an entry that no executor has written: its service isn't one,
/// and its start isn't that of a life.
TEST(WithARunThatIsListed, GoesOnWithItWhileAnEntryNamesNoService) {
  listAs("none", 5'000);
  Sim.runFor(8'000);
  listAsItIs();
  Sim.runFor(1'000);
  CHECK_TRUE(runsOn(Id));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a third life, in this service again, that gets no tasks, or
/// carries out what was sent to the first.
TEST(WithARunThatIsListed, IsUsedAgainInItsThirdLife) {
  uint64_t FirstToken = token();
  executor::StartOrder Start = Sim.Started.back();
  restartIn(OtherService, 50);
  Sim.runFor(1'000);
  Sim.executor(OtherId).Unreachable = true;
  Sim.loseExecutor(OtherId);
  restartIn(ServiceName, 50);
  CHECK(Sim.runUntil([&] { return runsOn(Id); }, DoubtMs));
  CHECK(token() > FirstToken);
  CHECK(Sim.ownerRow().HighestToken >= token());
  CHECK(Sim.carryOutAgain(Start).Outcome == executor::OrderOutcome::Fenced);
}

// clang-format off
/// The next life, of another service, carries out a start that was under way.
TEST_GROUP_BASE(WhenAStartWasUnderWay, TEST_GROUP_CppUTestGroupAnExecutorThatMayChangeItsService) {
  std::string OtherId;
  uint64_t StartToken = 0;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorThatMayChangeItsService::setup();
    sendLater(LongRunMs);
    restartIn(OtherService);
    CHECK(Sim.runUntil([&] { return runsOn(Id); }, 100));
    StartToken = token();
    OtherId = Sim.addExecutor(Wide);
  }
  /// Once the lease has expired there.
  void checkThatItRunsElsewhere() {
    CHECK(Sim.runUntil([&] { return runsOn(OtherId); }, DoubtMs));
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
    CHECK(StartToken == token());
  }
};
// clang-format on

/// Guards against a second run beside one in another service.
TEST(WhenAStartWasUnderWay, ItsTaskWaitsUntilThatRunIsOver) {
  checkThatItRunsElsewhere();
}

/// Guards against the same by a successor.
TEST(WhenAStartWasUnderWay, ItsTaskWaitsUnderTheNextOwner) {
  Sim.runFor(1'000);
  Sim.takeOver();
  checkThatItRunsElsewhere();
}

/// Guards against stops that are sent there.
TEST(WhenAStartWasUnderWay, ItIsNotStoppedAsItsJobIsCancelled) {
  Sim.runFor(500);
  Sim.Owner->cancel(LaterId, Sim.Now);
  Sim.runFor(1'000);
  CHECK(StartToken == token());
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Cancelled; }, 1'000));
}

/// Guards against a wait for a run that the third life, in this service again,
/// doesn't have.
TEST(WhenAStartWasUnderWay, ItsTaskRunsOnceTheExecutorIsBack) {
  Sim.runFor(1'000);
  restartIn(ServiceName, 50);
  CHECK(Sim.runUntil([&] { return runsOn(Id) || runsOn(OtherId); }, 1'000));
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}
