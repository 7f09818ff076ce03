#include "unit/CellSim.h"
#include "unit/SingleTaskJob.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

/// Further paths on which a task that is done, or that runs, could be started
/// once more.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

// clang-format off
/// An executor with a run, whose answers to renewals the test gives.
TEST_GROUP(AnExecutorThatCarriesOutNoRenewal) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Size);

  void setup() override {
    Sim.RunTimeFor = [](const std::string &, int64_t) { return 60'000; };
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(JobId, 1, Size, RunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 3'000));
    Sim.runFor(300);
  }
  void answerFor(int64_t Ms, const executor::RenewalAnswer &Answer) {
    constexpr int64_t TurnMs = 50;
    TimePoint Now = Sim.Now;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += TurnMs) {
      Now += Millis(TurnMs);
      auto Commands = Sim.Owner->advance(Now, toMillis(Now.time_since_epoch()));
      Sim.Owner->onRenewal(0, Answer, Now);
    }
  }
};
// clang-format on

/// Guards against a run that is waited for without end: its executor was asked,
/// and refused.
TEST(AnExecutorThatCarriesOutNoRenewal, HasLostItsRunIfItRefusesThem) {
  answerFor(7'000, {.Outcome = executor::OrderOutcome::Unhealthy});
  LONGS_EQUAL(1, Sim.Owner->counts().ExpiredRuns);
}

/// Guards against the same wait for an incarnation that is over.
TEST(AnExecutorThatCarriesOutNoRenewal, HasLostItsRunIfAnEarlierOneAnswers) {
  answerFor(7'000, {.Outcome = executor::OrderOutcome::Done,
                    .Born = Sim.executor(Id).BornMs - 1});
  LONGS_EQUAL(1, Sim.Owner->counts().ExpiredRuns);
}

// clang-format off
/// Its first run was done out of reach, and taken for lapsed; its second one
/// has begun.
TEST_GROUP(ATaskWithASecondRun) {
  Simulation Sim;
  uint32_t Members = 1;
  size_t FailedRuns = 0; ///< Of the first ones.
  bool IsLastToFail = false;

  SimExecutor &executorOf(size_t Start) { return Sim.executor(Sim.Started.at(Start).Target.Id); }
  size_t lastStarts() const { return Members * (FailedRuns + 2); }
  bool isCompleted() { return Sim.storedPhase(JobId) == JobPhase::Completed; }
  void begin(uint32_t Count) {
    Members = Count;
    for (uint32_t I = 0; I < 3 * Members; ++I)
      Sim.addExecutor(Size);
    Sim.RunTimeFor = [this](const std::string &, int64_t Estimate) {
      return Sim.Started.size() <= Members * (FailedRuns + 1) ? Estimate : IsLastToFail ? 3'000 : 60'000;
    };
    Sim.EndKindFor = [this](const std::string &) {
      bool IsFailed = Sim.Started.size() <= Members * FailedRuns || Sim.Started.size() == lastStarts();
      return IsFailed && (FailedRuns > 0 || IsLastToFail) ? executor::EndKind::Failed : executor::EndKind::Done;
    };
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, RunMs);
    Job.Steps[0].Gang = Members > 1;
    Sim.submit(Job);
    awaitStarts(Members * (FailedRuns + 1));
    Sim.runFor(50);
    for (uint32_t I = 0; I < Members; ++I)
      doneExecutor(I).Unreachable = true;
    // While it ends, the lease of the next run is not at stake.
    Sim.runFor(1'000);
    Sim.EndKindFor = [this](const std::string &) { return IsLastToFail ? executor::EndKind::Failed : executor::EndKind::Done; };
    awaitStarts(lastStarts());
    Sim.runFor(100);
  }
  SimExecutor &doneExecutor(size_t Member) { return executorOf(Members * FailedRuns + Member); }
  SimExecutor &lastExecutor(size_t Member) { return executorOf(Members * (FailedRuns + 1) + Member); }
  void awaitStarts(size_t Count) {
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == Count; }, 12'000));
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
};
// clang-format on

/// Guards against an end that is acknowledged while a later run goes on.
TEST(ATaskWithASecondRun, KeepsTheEndOfTheFirstUntilItIsOver) {
  begin(1);
  Sim.StopTimeMs = 1'500;
  doneExecutor(0).Unreachable = false;
  Sim.runFor(ContactMs);
  CHECK(Sim.isOpen(TaskId));
  LONGS_EQUAL(1, doneExecutor(0).Ended.size());
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 5'000));
}

/// Guards against an end that is acknowledged before it is stored that the task
/// is done: the next owner would start it once more.
TEST(ATaskWithASecondRun, KeepsTheEndOfTheFirstUntilItIsStored) {
  begin(1);
  Sim.CommitTimeMs = 900;
  doneExecutor(0).Unreachable = false;
  Sim.runFor(ContactMs);
  CHECK(Sim.runUntil([&] { return doneExecutor(0).Ended.empty(); }, 5'000));
  CHECK(isCompleted());
}

/// Guards against a job that is shown as failed for a run that was not needed.
TEST(ATaskWithASecondRun, IsDoneThoughThatRunFailsAtItsLastAttempt) {
  FailedRuns = 1;
  IsLastToFail = true;
  begin(1);
  Sim.StopTimeMs = 5'000;
  doneExecutor(0).Unreachable = false;
  CHECK(Sim.runUntil([&] { return isFinal(Sim.storedPhase(JobId)); }, 8'000));
  CHECK(isCompleted());
}

/// Guards against the same for a gang, of which one member tells that it is
/// done and another that it has failed.
TEST(ATaskWithASecondRun, AsAGangIsDoneThoughThatRunFailsAtItsLastAttempt) {
  FailedRuns = 1;
  IsLastToFail = true;
  begin(2);
  Sim.StopTimeMs = 5'000;
  doneExecutor(1).Unreachable = false;
  CHECK(Sim.runUntil([&] { return isFinal(Sim.storedPhase(JobId)); }, 12'000));
  CHECK(isCompleted());
}

/// Guards against a gang that counts as done, and an end that is acknowledged,
/// while a later run of another member goes on.
TEST(ATaskWithASecondRun, AsAGangKeepsTheEndUntilAllMembersAreOver) {
  begin(2);
  Sim.StopTimeMs = 2'000;
  std::string Other = Sim.Started.at(3).Id.Task;
  CHECK(Sim.Started.at(0).Id.Task != Other);
  Sim.crashExecutor(lastExecutor(0).Info.Id, 50);
  Sim.runFor(200);
  doneExecutor(0).Unreachable = false;
  Sim.runFor(ContactMs);
  CHECK(Sim.isOpen(Other));
  LONGS_EQUAL(1, doneExecutor(0).Ended.size());
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 8'000));
  LONGS_EQUAL(lastStarts(), Sim.Started.size());
}

// clang-format off
/// One of two tasks was done out of reach, and taken for lapsed; there is no
/// place for it while the other one runs.
TEST_GROUP(ATaskThatWaitsForAPlaceAndIsDone) {
  Simulation Sim;

  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(Size);
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) { return Task == TaskId ? Estimate : 60'000; };
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(JobId, 2, Size, RunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 2; }, 3'000));
    Sim.runFor(50);
    first().Unreachable = true;
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns == 1; }, 8'000));
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  SimExecutor &first() {
    return Sim.executor(Sim.Started[Sim.Started[0].Id.Task == TaskId ? 0 : 1].Target.Id);
  }
};
// clang-format on

/// Guards against an end that is acknowledged though nobody has stored that its
/// task is done.
TEST(ATaskThatWaitsForAPlaceAndIsDone, IsNotStartedByTheNextOwner) {
  first().Unreachable = false;
  CHECK(Sim.runUntil([&] { return first().Ended.empty(); }, 4'000));
  Sim.takeOver();
  Sim.runFor(3'000);
  LONGS_EQUAL(1, Sim.runsOf(TaskId));
}

// clang-format off
/// Tickets expire before the answers to starts.
TEST_GROUP(AnOwnerWithShortTickets) {
  static constexpr Millis Validity{400};
  Simulation Sim;

  void setup() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 20, .PerExecutorMs = 1, .Validity = Validity},
                       .AllowedShare = 1,
                       .Entries = 4});
    for (int I = 0; I < 4; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submit(uint32_t Members) {
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, RunMs);
    Job.Steps[0].Gang = Members > 1;
    Sim.submit(Job);
  }
  bool isCompleted() { return Sim.storedPhase(JobId) == JobPhase::Completed; }
  void setAnswersLost(bool AreLost) {
    for (int I = 0; I < 4; ++I)
      Sim.executor("i-" + std::to_string(I)).AnswersLost = AreLost;
  }
};
// clang-format on

/// Guards against a second run beside one whose start got no answer, once its
/// ticket has expired: that start is not one that was never sent.
TEST(AnOwnerWithShortTickets, StopsAStartWithoutAnAnswerBeforeTheNext) {
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 5'000; };
  submit(1);
  CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts == 1; }, 1'000));
  setAnswersLost(true);
  Sim.runFor(10);
  setAnswersLost(false);
  Sim.executor(Sim.Started.at(0).Target.Id).AnswersLost = true;
  Sim.runFor(1'000);
  setAnswersLost(false);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 12'000));
}

/// Guards against an owner that ends when the starts of a gang expire at once:
/// the first that is dropped ends the others.
TEST(AnOwnerWithShortTickets, PlacesAGangAnewWhoseTicketsHaveExpired) {
  Sim.CommitTimeMs = 1'000;
  submit(3);
  Sim.runFor(700);
  Sim.CommitTimeMs = 10;
  LONGS_EQUAL(0, Sim.Started.size());
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 5'000));
  LONGS_EQUAL(3, Sim.Started.size());
}

TEST_GROUP(ALeaseThatIsGrantedLate){};

/// Guards against leases that outlast what the owner's row states: an
/// executor's clock may be slow.
TEST(ALeaseThatIsGrantedLate, AllowsForASlowClock) {
  constexpr int64_t LateMs = 5'000;
  LeaseOptions Options;
  ExecutorPool Pool{Options};
  ExecutorIndex Index = Pool.findOrAdd("i-1");
  Pool.recordAnswer(Index, 100'000, SimulationStart);
  int64_t LeaseEndMs =
      *Pool.extendLease(Index, SimulationStart + Millis(LateMs));
  auto SlowClockMs = static_cast<int64_t>(LateMs * (1 - Options.MaxClockDrift));
  LONGS_EQUAL(100'000 + SlowClockMs + Options.LeaseDuration.count(),
              LeaseEndMs);
}

// clang-format off
/// There is no other place for it. One of its executors is lost for good.
TEST_GROUP(AGangDoneOnTwoExecutors) {
  Simulation Sim;
  std::string Left = Sim.addExecutor(Size);
  std::string Lost = Sim.addExecutor(Size);

  void setup() override {
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, 2, Size, RunMs);
    Job.Steps[0].Gang = true;
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 2; }, 3'000));
    Sim.runFor(50);
    for (const std::string &Id : {Left, Lost})
      Sim.executor(Id).Unreachable = true;
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns == 2; }, 8'000));
    Sim.loseExecutor(Lost);
  }
};
// clang-format on

/// Guards against members that wait for another run of a gang that is done.
TEST(AGangDoneOnTwoExecutors, IsDoneByTheEndOfOneMember) {
  Sim.executor(Left).Unreachable = false;
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 3'000));
  LONGS_EQUAL(2, Sim.Started.size());
}

// clang-format off
/// It was out of reach for a moment, long before.
TEST_GROUP(AnExecutorThatHasMissedARenewal) {
  static constexpr int64_t StallMs = 6'000;
  Simulation Sim;

  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    Sim.runFor(500);
    setUnreachable(true);
    Sim.runFor(200);
    setUnreachable(false);
    Sim.runFor(2'000);
    Sim.submit(Simulation::makeJob(JobId, 1, Size, RunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 3'000));
    Sim.runFor(50);
    Sim.OwnerTurnMs = StallMs;
  }
  void setUnreachable(bool IsUnreachable) {
    for (const char *Id : {"i-0", "i-1"})
      Sim.executor(Id).Unreachable = IsUnreachable;
  }
};
// clang-format on

/// Guards against an old miss that is taken for a renewal in vain.
TEST(AnExecutorThatHasMissedARenewal, IsAskedBeforeItsRunIsTakenForLapsed) {
  Sim.runFor(2 * StallMs + 100);
  Sim.OwnerTurnMs = 0;
  Sim.runFor(3'000);
  LONGS_EQUAL(0, Sim.Owner->counts().ExpiredRuns);
  LONGS_EQUAL(1, Sim.Started.size());
}
