#include "unit/CellSim.h"
#include "unit/SingleTaskJob.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

// clang-format off
/// A job whose queue is out of the configuration for a while. Two failures of a
/// task are allowed.
TEST_GROUP(AJobWhoseQueueIsRemoved) {
  Simulation Sim;
  size_t FailuresLeft = 0;

  void setup() override {
    Sim.EndKindFor = [this](const std::string &) {
      if (FailuresLeft == 0)
        return executor::EndKind::Done;
      --FailuresLeft;
      return executor::EndKind::Failed;
    };
    for (size_t I = 0; I < 4; ++I)
      Sim.addExecutor(Size);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submit(bool HasTerms, uint64_t TermsVersion = 0) {
    JobSpec Job = Simulation::makeJob(JobId, 1, Size, RunMs);
    if (HasTerms)
      Job.Terms = Queue{.Name = "q", .Service = "s", .MaxAttempts = 2, .Stretch = 2};
    Job.TermsVersion = TermsVersion;
    Sim.submit(*decodeJob(encodeJob(Job)));
  }
  bool isShownAs(JobPhase Phase, int64_t LimitMs = 5'000) {
    return Sim.runUntil([&] { return Sim.storedPhase(JobId) == Phase; }, LimitMs);
  }
};

TEST_GROUP_BASE(BesideAnOwnerThatKnewTheQueue, TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved::setup();
    Sim.takeOver();
    Sim.runFor(ContactMs);
    submit(false);
    Sim.runFor(100);
    Sim.setQueueConfigured(false);
  }
};

TEST_GROUP_BASE(BesideAnOwnerThatNeverKnewTheQueue, TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved::setup();
    Sim.setQueueConfigured(false);
    Sim.takeOver();
    Sim.runFor(ContactMs);
  }
};

TEST_GROUP_BASE(WhoseStartsNeedTickets, TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAJobWhoseQueueIsRemoved::setup();
    Sim.requireAdvice({.Settings = {.BaseMs = 20, .PerExecutorMs = 1, .Validity = Millis(2'000)},
                       .AllowedShare = 1,
                       .Entries = 4});
    Sim.takeOver();
    Sim.runFor(ContactMs);
  }
};
// clang-format on

/// Guards against a job that is failed by one failure of a task while its
/// queue, which allows more, is out of the configuration.
TEST(BesideAnOwnerThatKnewTheQueue, IsNotFailedByTheFirstFailure) {
  FailuresLeft = 1;
  CHECK_TRUE(isShownAs(JobPhase::Completed));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against more attempts than the queue allowed.
TEST(BesideAnOwnerThatKnewTheQueue, IsFailedByTheLastAllowedFailure) {
  FailuresLeft = 2;
  CHECK_TRUE(isShownAs(JobPhase::Failed));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against limits that are lost with the owner: its successor has only
/// what is stored.
TEST(BesideAnOwnerThatNeverKnewTheQueue, IsRunByTheTermsThatAreStoredWithIt) {
  submit(true);
  FailuresLeft = 1;
  CHECK_TRUE(isShownAs(JobPhase::Completed));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against decisions by a limit that isn't known, for a job without
/// stored terms.
TEST(BesideAnOwnerThatNeverKnewTheQueue, WaitsIfItsTermsAreNotStored) {
  submit(false);
  Sim.runFor(3'000);
  LONGS_EQUAL(0, Sim.runsOf(TaskId));
  CHECK_TRUE(Sim.storedPhase(JobId) == JobPhase::Queued);
  Sim.setQueueConfigured(true);
  CHECK_TRUE(isShownAs(JobPhase::Completed));
}

/// Guards against a limit of an older configuration than the one by which the
/// job was accepted.
TEST(AJobWhoseQueueIsRemoved, IsRunByItsTermsUnderAnOwnerThatIsBehind) {
  Sim.changeConfig(
      [](CellConfig &Config) { Config.Queues.front().MaxAttempts = 1; });
  Sim.takeOver();
  Sim.runFor(ContactMs);
  constexpr uint64_t NextVersion = 3;
  submit(true, NextVersion);
  FailuresLeft = 1;
  CHECK_TRUE(isShownAs(JobPhase::Completed));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against a failure that is forgotten since it came before the limit
/// was known: the run of an earlier owner ends under one that doesn't know the
/// queue.
TEST(AJobWhoseQueueIsRemoved, IsFailedOnceTheLimitIsKnown) {
  Sim.takeOver();
  Sim.runFor(ContactMs);
  FailuresLeft = 2;
  submit(false);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.runsOf(TaskId) == 2; }, 3'000));
  Sim.setQueueConfigured(false);
  Sim.takeOver();
  Sim.runFor(3'000);
  CHECK_FALSE(isFinal(Sim.storedPhase(JobId)));
  Sim.setQueueConfigured(true);
  CHECK_TRUE(isShownAs(JobPhase::Failed));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against a start beyond the limit by an owner that is the first to
/// know it, as the failures came under one that didn't.
TEST(AJobWhoseQueueIsRemoved, IsFailedByTheNextOwnerThatKnowsTheLimit) {
  Sim.takeOver();
  Sim.runFor(ContactMs);
  FailuresLeft = 5;
  submit(false);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.runsOf(TaskId) == 2; }, 3'000));
  Sim.setQueueConfigured(false);
  Sim.takeOver();
  Sim.runFor(3'000);
  CHECK_FALSE(isFinal(Sim.storedPhase(JobId)));
  Sim.killOwner();
  Sim.setQueueConfigured(true);
  Sim.takeOver();
  CHECK_TRUE(isShownAs(JobPhase::Failed, 6'000));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against starts without a ticket while the queue is out of the
/// configuration: each was refused, and repeated at once.
TEST(WhoseStartsNeedTickets, IsStartedWithOneOnly) {
  FailuresLeft = 1;
  submit(false);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.runsOf(TaskId) == 1; }, 1'000));
  Sim.setQueueConfigured(false);
  Sim.runFor(2'500); // Its ticket expires meanwhile.
  CHECK_TRUE(isShownAs(JobPhase::Completed));
  LONGS_EQUAL(0, Sim.Owner->counts().TicketRefusals);
}

/// Guards against terms that make another request of a copy.
TEST(AJobWhoseQueueIsRemoved, KeepsItsTermsApartFromItsWork) {
  JobSpec Job = Simulation::makeJob(JobId, 1, Size, RunMs);
  JobSpec WithTerms = Job;
  WithTerms.Terms =
      Queue{.Name = "q",
            .Service = "s",
            .Priority = 3,
            .MaxAttempts = 4,
            .Stretch = 1.5,
            .TargetLatency = Millis(250),
            .Advice = AdviceSettings{
                .BaseMs = 25, .PerExecutorMs = 0.35, .Validity = Millis(700)}};
  CHECK_TRUE(isSameWork(Job, WithTerms));
  CHECK_TRUE(workHash(Job) == workHash(WithTerms));
  auto Decoded = decodeJob(encodeJob(WithTerms));
  CHECK_TRUE(Decoded && Decoded->Terms);
  LONGS_EQUAL(3, Decoded->Terms->Priority);
  LONGS_EQUAL(4, Decoded->Terms->MaxAttempts);
  DOUBLES_EQUAL(1.5, Decoded->Terms->Stretch, 0);
  LONGS_EQUAL(250, Decoded->Terms->TargetLatency.count());
  DOUBLES_EQUAL(0.35, Decoded->Terms->Advice->PerExecutorMs, 0);
  LONGS_EQUAL(700, Decoded->Terms->Advice->Validity.count());
  CHECK_FALSE(decodeJob(encodeJob(Job))->Terms.has_value());
}
