#include "node/EntryContext.h"
#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

/// What the owner's row promises its successors of leases, and that the owner
/// grants none beyond that.
namespace {

constexpr Resources Whole{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *JobId = "00000000000000a1";
constexpr LeaseOptions Leases;

} // namespace

// clang-format off
TEST_GROUP(AnOwnerWithALastingTask) {
  Simulation Sim;
  std::string ExecutorA = Sim.addExecutor(Whole);
  std::string ExecutorB = Sim.addExecutor(Whole);
  std::string TaskName = taskName({.Job = JobId});

  void setup() override {
    Sim.takeOver();
    Sim.runFor(200);
    JobSpec Job = Simulation::makeJob(JobId, 1, Whole, 400);
    Job.Steps[0].LongRunning = true;
    Sim.RunTimeFor = [](const std::string &, int64_t) { return 600'000; };
    Sim.submit(Job);
    Sim.runUntil([&] { return Sim.isOpen(TaskName); }, 1'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  SimExecutor &executorOfTask() {
    return Sim.executor(Sim.executor(ExecutorA).Running.empty() ? ExecutorB : ExecutorA);
  }
  int64_t nowMs() const { return toMillis(Sim.Now.time_since_epoch()); }
  int64_t statedEndMs() const { return Sim.ownerRow().LeasesEndMs.value_or(0); }
  int64_t grantedEndMs() { return executorOfTask().LeaseEndMs; }
  /// Whether any commit or renewal of the simulated time granted a lease that
  /// outlasts what the row stated then.
  bool exceedsStatedEndWithin(int64_t Ms) {
    bool Exceeds = false;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += 5) {
      Sim.runFor(5);
      Exceeds = Exceeds || grantedEndMs() > statedEndMs();
    }
    return Exceeds;
  }
};

TEST_GROUP_BASE(WhenTheStoreNoLongerAnswersIt, TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask::setup();
    Sim.StoreSilent = true;
  }
};

TEST_GROUP_BASE(WhenItIsReplacedAndItsExecutorIsCutOff, TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask) {
  int64_t FirstStatedEndMs = 0;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask::setup();
    FirstStatedEndMs = statedEndMs();
    executorOfTask().Unreachable = true;
  }
  bool isListed() { return Sim.ownerRow().SilentLeaseEnds.count(executorOfTask().Info.Id) > 0; }
};
// clang-format on

TEST(AnOwnerWithALastingTask, StatesTheEndOfAllItsLeases) {
  CHECK_FALSE(exceedsStatedEndWithin(3'000));
  CHECK(statedEndMs() <=
        nowMs() + leaseHorizon(Leases, Leases.OwnershipTimeout).count());
}

/// Guards against a successor that takes a run as over which the owner before
/// it still renews.
TEST(WhenTheStoreNoLongerAnswersIt, ItGrantsNoLeaseBeyondTheStatedEnd) {
  CHECK_FALSE(exceedsStatedEndWithin(12'000));
}

/// Guards against a start whose lease outlasts what the row states.
TEST(WhenTheStoreNoLongerAnswersIt, ItSendsNoStartOnceItMayHaveBeenReplaced) {
  Sim.StoreSilent = false;
  Sim.submit(Simulation::makeJob("00000000000000b2", 1, Whole, 400));
  Sim.RefusalFor = [](const executor::StartOrder &) {
    return executor::OrderOutcome::LeaseTooLate;
  };
  Sim.runFor(100);
  Sim.StoreSilent = true;
  Sim.runFor(Leases.OwnershipTimeout.count() + 500);
  Sim.RefusalFor = nullptr;
  size_t StartedBefore = Sim.Started.size();
  Sim.runFor(1'000);
  LONGS_EQUAL(StartedBefore, Sim.Started.size());
}

TEST(WhenItIsReplacedAndItsExecutorIsCutOff, TheLoadingOwnerKeepsTheStatedEnd) {
  Sim.LoadTimeMs = 3'000;
  Sim.takeOver();
  Sim.runFor(2'500);
  LONGS_EQUAL(FirstStatedEndMs, statedEndMs());
}

TEST(WhenItIsReplacedAndItsExecutorIsCutOff, TheNextRowListsTheExecutor) {
  Sim.takeOver();
  Sim.runFor(300);
  CHECK_TRUE(isListed());
  int64_t ListedEndMs =
      Sim.ownerRow().SilentLeaseEnds[executorOfTask().Info.Id];
  CHECK(ListedEndMs >= FirstStatedEndMs);
  CHECK(ListedEndMs <= FirstStatedEndMs + 1);
}

/// Guards against a successor that waits for leases which a silent executor
/// can't have been granted.
TEST(WhenItIsReplacedAndItsExecutorIsCutOff, TheRowSoonTellsWhenItsLeasesEnd) {
  Sim.runFor(Leases.MaxNoticeTime.count());
  CHECK_TRUE(isListed());
  int64_t ListedEndMs =
      Sim.ownerRow().SilentLeaseEnds[executorOfTask().Info.Id];
  CHECK(ListedEndMs >= grantedEndMs());
  CHECK(ListedEndMs < statedEndMs());
  int64_t GrantedBefore = grantedEndMs();
  Sim.runFor(2'000);
  LONGS_EQUAL(GrantedBefore, grantedEndMs());
  LONGS_EQUAL(ListedEndMs,
              Sim.ownerRow().SilentLeaseEnds[executorOfTask().Info.Id]);
}

TEST(AnOwnerWithALastingTask, ThatReleasesTheServiceStatesAnEarlierEnd) {
  int64_t BeforeMs = statedEndMs();
  Sim.Owner->release();
  Sim.runUntil([&] { return Sim.Owner->released(); }, 1'000);
  CHECK(statedEndMs() < BeforeMs);
  CHECK(statedEndMs() >= grantedEndMs());
}

/// Guards against two runs at once: a successor relies on the listed end.
TEST(WhenItIsReplacedAndItsExecutorIsCutOff, NoLeaseIsGrantedWhileItIsListed) {
  Sim.takeOver();
  Sim.runFor(300);
  Sim.StoreSilent = true;
  int64_t GrantedBefore = grantedEndMs();
  executorOfTask().Unreachable = false;
  Sim.runFor(1'000);
  LONGS_EQUAL(GrantedBefore, grantedEndMs());
  Sim.StoreSilent = false;
  Sim.runFor(2'000);
  CHECK_FALSE(isListed());
  CHECK(grantedEndMs() > GrantedBefore);
}

TEST(WhenItIsReplacedAndItsExecutorIsCutOff, OneThatAnswersSoonIsNotListed) {
  executorOfTask().Unreachable = false;
  Sim.takeOver();
  size_t CommitsBefore = Sim.AppliedCommits.size();
  Sim.runUntil([&] { return Sim.AppliedCommits.size() > CommitsBefore; }, 500);
  CHECK_FALSE(isListed());
}

// clang-format off
TEST_GROUP(AStoreWhoseClockIsRead) {
  node::StoreMonitor Store;
  static TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }
};
// clang-format on

TEST(AStoreWhoseClockIsRead, IsKnownWithinTheTimeOfTheRead) {
  Store.recordClock(at(0), at(40), 7'000);
  LONGS_EQUAL(7'060, Store.clock(at(100)).MinMs);
  LONGS_EQUAL(7'100, Store.clock(at(100)).MaxMs);
}

TEST(AStoreWhoseClockIsRead, IsKnownMoreExactlyByAQuickRead) {
  Store.recordClock(at(0), at(40), 7'000);
  Store.recordClock(at(300), at(304), 7'290);
  Store.recordClock(at(600), at(900), 7'700);
  LONGS_EQUAL(7'990, Store.clock(at(1'000)).MaxMs);
}

TEST(AStoreWhoseClockIsRead, IsReadAnewAfterSomeSeconds) {
  Store.recordClock(at(0), at(4), 7'000);
  Store.recordClock(at(15'000), at(15'200), 22'100);
  LONGS_EQUAL(22'300, Store.clock(at(15'200)).MaxMs);
}
