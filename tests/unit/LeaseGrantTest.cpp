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

// clang-format off
TEST_GROUP(AnOwnerAfterOneWithLongerLeases) {
  Simulation Sim;
  std::string TaskName = taskName({.Job = JobId});

  void setup() override {
    Sim.addExecutor(Whole);
    Sim.addExecutor(Whole);
    Sim.RunTimeFor = [](const std::string &, int64_t) { return 600'000; };
    Sim.Leases.LeaseDuration = 2 * LeaseOptions{}.LeaseDuration;
    Sim.takeOver();
    Sim.runFor(1'000);
    Sim.Leases = {};
    Sim.takeOver();
    Sim.runFor(200);
  }
};
// clang-format on

/// Guards against two runs at once in a rolling upgrade: an executor that was
/// idle may keep the lease that the last owner gave it.
TEST(AnOwnerAfterOneWithLongerLeases, WaitsForTheseOnExecutorsThatWereIdle) {
  JobSpec Job = Simulation::makeJob(JobId, 1, Whole, 400);
  Job.Steps[0].LongRunning = true;
  Sim.submit(Job);
  CHECK(Sim.runUntil([&] { return Sim.isOpen(TaskName); }, 1'000));
  Sim.executor(Sim.Started.back().Target.Id).Unreachable = true;
  Sim.runFor(20'000);
  LONGS_EQUAL(2, Sim.runsOf(TaskName));
  for (const std::string &Violation : Sim.violations())
    FAIL(Violation.c_str());
}

// clang-format off
/// A start is recorded by the same commit that lists its executor as silent.
TEST_GROUP_BASE(WhenAnExecutorFallsSilentBeforeItsStartIsRecorded, TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask) {
  static constexpr const char *OtherTask = "00000000000000b2.0.0.0";

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithALastingTask::setup();
    std::string Chosen = Sim.executor(ExecutorA).Running.empty() ? ExecutorA : ExecutorB;
    Sim.StoreSilent = true;
    Sim.runFor(LeaseOptions{}.OwnershipTimeout.count() / 4);
    Sim.submit(Simulation::makeJob("00000000000000b2", 1, Whole, 400));
    Sim.runFor(20);
    Sim.executor(Chosen).Dead = true;
    Sim.addExecutor(Whole);
    Sim.runFor(300);
    Sim.StoreSilent = false;
    Sim.Owner->onStoreBack(Sim.Now);
  }
};
// clang-format on

/// Guards against a start that waits forever: no lease may be granted there.
TEST(WhenAnExecutorFallsSilentBeforeItsStartIsRecorded, TheTaskRunsElsewhere) {
  CHECK(Sim.runUntil([&] { return Sim.isOpen(OtherTask); }, 2'000));
}

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

/// Guards against a row that states too early an end once the store is quick
/// again: the permission that the slow store led to still holds.
TEST(AnOwnerWithALastingTask, StatesTheEndOfLeasesThatASlowStoreLedTo) {
  Sim.CommitTimeMs = 1'500;
  Sim.runFor(8'000);
  Sim.CommitTimeMs = 10;
  size_t Applied = Sim.AppliedCommits.size();
  CHECK(Sim.runUntil([&] { return Sim.AppliedCommits.size() >= Applied + 2; },
                     4'000));
  Sim.runFor(20);
  Sim.Faults.CommitAnswerLost = 1;
  CHECK_FALSE(exceedsStatedEndWithin(6'000));
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

/// Guards against runs that end after a takeover although their executors are
/// in reach: a renewal without a lease would wait there before the next one.
TEST(AnOwnerWithALastingTask,
     ItsSuccessorWaitsAtNoExecutorBeforeItGrantsLeases) {
  Sim.CommitTimeMs = 100;
  Sim.takeOver();
  Sim.Renewals.clear();
  Sim.runFor(500);
  CHECK_FALSE(Sim.Renewals.empty());
  for (const executor::RenewalCall &Call : Sim.Renewals)
    CHECK_TRUE(Call.LeaseEndMs || Call.MaxWait == Millis(0));
}

TEST(WhenItIsReplacedAndItsExecutorIsCutOff, OneThatAnswersSoonIsNotListed) {
  executorOfTask().Unreachable = false;
  Sim.takeOver();
  size_t CommitsBefore = Sim.AppliedCommits.size();
  Sim.runUntil([&] { return Sim.AppliedCommits.size() > CommitsBefore; }, 500);
  CHECK_FALSE(isListed());
}
