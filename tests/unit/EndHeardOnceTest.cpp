#include "unit/CellSim.h"
#include "unit/SingleTaskJob.h"

#include <CppUTest/TestHarness.h>

/// Ends as done that an owner might forget, or take another run's for.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using daisylanding::executor::OrderOutcome;

namespace {

constexpr const char *EntryName = "e-again";

} // namespace

// clang-format off
TEST_GROUP(ATaskThatEndsAsDone) {
  Simulation Sim;
  std::string First;

  void setup() override {
    Sim.addExecutor(Size);
    Sim.addExecutor(Size);
    Sim.takeOver(EntryName);
    Sim.submit(Simulation::makeJob(JobId, 1, Size, RunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 3'000));
    First = Sim.Started.front().Target.Id;
  }
  void teardown() override {
    Sim.runFor(3'000);
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  bool isCompleted() { return Sim.storedPhase(JobId) == JobPhase::Completed; }
  void awaitEndHeard() {
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().EndsDone == 1; }, 2'000));
  }
  void checkDoneOnce() {
    CHECK(Sim.runUntil([&] { return isCompleted(); }, 15'000));
    Sim.runFor(1'000);
    LONGS_EQUAL(1, Sim.runsOf(TaskId));
  }
};

/// Its entry loses the service and owns it again, under a higher epoch.
TEST_GROUP_BASE(WhoseOwnerOwnsAgain, TEST_GROUP_CppUTestGroupATaskThatEndsAsDone) {
  size_t countRecordedEnds() {
    auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
    return Progress && Progress->Phase == JobPhase::Completed ? 1 : 0;
  }
};

/// Its owner stalls for longer than a lease, after a renewal was not carried
/// out.
TEST_GROUP_BASE(WhoseOwnerStalls, TEST_GROUP_CppUTestGroupATaskThatEndsAsDone) {
  static constexpr int64_t StallMs = 8'000;
  void stallAfter(OrderOutcome Outcome) {
    constexpr int64_t AnswerMs = 65; // Less than until the next renewal.
    Sim.executor(First).AnswersLost = Outcome == OrderOutcome::Unknown;
    size_t Renewals = Sim.Renewals.size();
    auto IsRenewed = [&] {
      return Sim.Renewals.size() > Renewals &&
             Sim.Renewals.back().Target.Id == First;
    };
    CHECK(Sim.runUntil(IsRenewed, 500));
    Sim.runFor(AnswerMs);
    if (Outcome != OrderOutcome::Unknown)
      Sim.Owner->onRenewal(index(), {.Outcome = Outcome}, Sim.Now);
    Sim.pauseOwner();
    Sim.executor(First).AnswersLost = false;
    Sim.runFor(StallMs);
    Sim.resumeOwner();
    Sim.runFor(1'000);
    LONGS_EQUAL(0, Sim.Owner->counts().ExpiredRuns);
  }
  ExecutorIndex index() const { return static_cast<ExecutorIndex>(First == "i-0" ? 0 : 1); }
};

TEST_GROUP_BASE(WhoseNextStartIsLate, TEST_GROUP_CppUTestGroupATaskThatEndsAsDone) {
  executor::StartOrder Copy;

  /// Run 1 is done out of reach; the start of run 2 gets no answer, and is given
  /// up for the end of run 1.
  void setup() override {
    TEST_GROUP_CppUTestGroupATaskThatEndsAsDone::setup();
    Copy = Sim.Started.front();
    Copy.Id.Run = 2;
    Copy.Target.Id = First == "i-0" ? "i-1" : "i-0";
    Sim.executor(First).Unreachable = true;
    size_t Starts = Sim.Owner->counts().Starts;
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns == 1; }, 8'000));
    Sim.Faults.OrderLate = 1;
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts > Starts; }, 2'000));
    Copy.LeaseEndMs = Sim.executor(Copy.Target.Id).clockMs(Sim.Now) + Sim.Leases.LeaseDuration.count();
    Copy.FencingToken = Sim.ownerRow().Epoch;
    Sim.executor(Copy.Target.Id).Unreachable = true;
    Sim.executor(First).Unreachable = false;
    awaitEndListed();
    Sim.Faults = {};
  }
  void awaitEndListed() { Sim.runFor(ContactMs); }
};
// clang-format on

/// Guards against an owner that acknowledges an end, loses its service before
/// that is stored, and reads older progress as the next owner.
TEST(WhoseOwnerOwnsAgain, BeforeItsEndIsStored) {
  Sim.StoreSilent = true;
  awaitEndHeard();
  Sim.runFor(500);
  LONGS_EQUAL(0, countRecordedEnds());
  LONGS_EQUAL(1, Sim.executor(First).Ended.size());
  Sim.StoreSilent = false;
  Sim.takeOver(EntryName);
  checkDoneOnce();
}

/// The same with a commit that is carried out, and not answered.
TEST(WhoseOwnerOwnsAgain, AfterACommitWithoutAnAnswer) {
  Sim.Faults.CommitAnswerLost = 1;
  awaitEndHeard();
  Sim.runFor(100);
  Sim.takeOver(EntryName);
  Sim.Faults = {};
  checkDoneOnce();
}

/// The same with a commit that is carried out after the next owner has loaded,
/// if it still can be.
TEST(WhoseOwnerOwnsAgain, BeforeALateCommitOfItsEnd) {
  Sim.Faults.CommitLate = 1;
  awaitEndHeard();
  Sim.runFor(50);
  Sim.takeOver(EntryName);
  Sim.Faults = {};
  checkDoneOnce();
}

/// Guards against a second run of a task that is done: its owner takes its own
/// stall for a silence of the executor, which had only refused a renewal.
TEST(WhoseOwnerStalls, AfterARefusalOfAnUnhealthyExecutor) {
  stallAfter(OrderOutcome::Unhealthy);
  checkDoneOnce();
}

TEST(WhoseOwnerStalls, AfterARefusalOfABusyExecutor) {
  stallAfter(OrderOutcome::NoRoom);
  checkDoneOnce();
}

/// The same after a renewal without an answer, which no other has followed.
TEST(WhoseOwnerStalls, AfterARenewalWithoutAnAnswer) {
  stallAfter(OrderOutcome::Unknown);
  checkDoneOnce();
}

/// Guards against a late copy of a start that runs a done task again, as its
/// owner can't reach the executor to have it refused.
TEST(WhoseNextStartIsLate, IsRefusedOnceItsLeaseIsOver) {
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 15'000));
  Sim.executor(Copy.Target.Id).Unreachable = false;
  Sim.carryOutAgain(Copy);
  LONGS_EQUAL(1, Sim.runsOf(TaskId));
}

/// The same with an owner that is lost: the next one knows of no late starts.
TEST(WhoseNextStartIsLate, IsRefusedAfterItsOwnerIsLost) {
  Sim.killOwner();
  Sim.runFor(500);
  Sim.takeOver();
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 15'000));
  Sim.executor(Copy.Target.Id).Unreachable = false;
  Sim.carryOutAgain(Copy);
  LONGS_EQUAL(1, Sim.runsOf(TaskId));
}
