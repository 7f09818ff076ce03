#include "ShardFixture.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

namespace {

config::JobSpec makeJob(config::JobKind Kind, const std::string &Id,
                        const std::string &Class, uint32_t Tasks,
                        uint32_t Cores, Millis RunTime = Millis(2'000)) {
  config::JobSpec Spec = batchJob(Id, Tasks, Cores);
  Spec.Kind = Kind;
  Spec.Class = Class;
  Spec.RunTime = RunTime;
  return Spec;
}

} // namespace

// clang-format off
TEST_GROUP(AShardWithTwoFourCoreWorkers) {
  ShardSim Sim;
  void setup() override {
    Sim.addWorker("w1");
    Sim.addWorker("w2");
    Sim.run(Millis(200));
  }
  uint32_t countRunning(const std::string &Job) {
    auto Status = Sim.Owner->status(Job);
    return Status ? Status->Running : 0;
  }
};

TEST_GROUP_BASE(WhenALongBatchFillsTheShard, TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers::setup();
    Sim.submit(makeJob(config::JobKind::Batch, "long", "bulk", 8, 1, Millis(600'000)));
    Sim.run(Millis(300));
    LONGS_EQUAL(8, countRunning("long"));
  }
};

TEST_GROUP_BASE(WithAGangThatNeedsTheWholeShard, TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers::setup();
    Sim.submit(makeJob(config::JobKind::Batch, "before", "bulk", 2, 1, Millis(3'000)));
    Sim.run(Millis(300));
    Sim.submit(makeJob(config::JobKind::Gang, "gang", "bulk", 2, 4, Millis(1'000)));
    Sim.run(Millis(300));
  }
};

TEST_GROUP_BASE(WithAnAdditionalAcceleratorWorker, TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardWithTwoFourCoreWorkers::setup();
    Sim.addWorker("gpu", 8, 2);
    config::JobSpec Waiting = makeJob(config::JobKind::Batch, "scores", "bulk", 1, 2, Millis(60'000));
    Waiting.Size.Accelerators = 1;
    Sim.submit(Waiting);
    Sim.run(Millis(300));
    LONGS_EQUAL(1, countRunning("scores"));
  }
};
// clang-format on

TEST(WhenALongBatchFillsTheShard,
     AnUrgentTaskStartsWithinItsTargetByPreemption) {
  Sim.submit(makeJob(config::JobKind::Batch, "now", "urgent", 1, 1));
  Sim.run(Millis(2'000));
  LONGS_EQUAL(1, countRunning("now"));
  LONGS_EQUAL(7, countRunning("long"));
}

TEST(WhenALongBatchFillsTheShard, ATaskIsPreemptedAtMostThreeTimes) {
  for (int I = 0; I < 40; ++I) {
    Sim.submit(makeJob(config::JobKind::Batch, "u" + std::to_string(I),
                       "urgent", 8, 1, Millis(500)));
    Sim.run(Millis(3'000));
  }
  for (const shard::TaskState &Task : Sim.Owner->State.findJob("long")->Tasks)
    CHECK(Task.Preemptions <= 3);
}

TEST(WhenALongBatchFillsTheShard, AFullShardDoesNotPreemptForNonUrgentWork) {
  Sim.submit(makeJob(config::JobKind::Batch, "lax", "bulk", 1, 1));
  Sim.run(Millis(4'000));
  LONGS_EQUAL(8, countRunning("long"));
}

TEST(WithAGangThatNeedsTheWholeShard,
     TheGangStartsOnceTheRunningTasksHaveEnded) {
  LONGS_EQUAL(0, countRunning("gang"));
  Sim.run(Millis(3'500));
  LONGS_EQUAL(2, countRunning("gang"));
}

TEST(WithAGangThatNeedsTheWholeShard, AStreamOfSmallJobsDoesNotStarveTheGang) {
  bool Started = false;
  for (int I = 0; I < 100 && !Started; ++I) {
    Sim.submit(makeJob(config::JobKind::Batch, "s" + std::to_string(I), "bulk",
                       2, 1, Millis(2'000)));
    Sim.run(Millis(200));
    Started = countRunning("gang") == 2;
  }
  CHECK(Started);
}

TEST(WithAGangThatNeedsTheWholeShard,
     JobsThatEndBeforeTheReservationAreBackfilled) {
  Sim.submit(
      makeJob(config::JobKind::Batch, "quick", "bulk", 2, 1, Millis(500)));
  Sim.run(Millis(300));
  LONGS_EQUAL(2, countRunning("quick"));
}

TEST(WithAGangThatNeedsTheWholeShard, TwoGangsRunOneAfterTheOther) {
  Sim.submit(
      makeJob(config::JobKind::Gang, "other", "bulk", 2, 4, Millis(1'000)));
  Sim.run(Millis(10'000));
  CHECK_FALSE(Sim.Owner->status("gang").has_value());
  CHECK_FALSE(Sim.Owner->status("other").has_value());
}

TEST(AShardWithTwoFourCoreWorkers, AGangRestartsAsAWholeWhenATaskIsLost) {
  Sim.submit(
      makeJob(config::JobKind::Gang, "gang", "bulk", 2, 4, Millis(10'000)));
  Sim.run(Millis(500));
  LONGS_EQUAL(2, countRunning("gang"));
  Sim.Workers.erase("w1");
  Sim.removeFromList("w1");
  Sim.addWorker("w3");
  Sim.run(Millis(3'000));
  LONGS_EQUAL(1, Sim.countRunningOn("w2"));
  LONGS_EQUAL(1, Sim.countRunningOn("w3"));
  for (const shard::TaskState &Task : Sim.Owner->State.findJob("gang")->Tasks)
    LONGS_EQUAL(2, Task.Attempt);
}

TEST(WithAnAdditionalAcceleratorWorker,
     CpuOnlyTasksLeaveHeadroomForAccelerators) {
  Sim.submit(
      makeJob(config::JobKind::Batch, "plain", "bulk", 16, 1, Millis(60'000)));
  Sim.run(Millis(500));
  // Eight on the workers without accelerators; of the six free cores of the
  // third worker, two are kept for its free accelerator.
  LONGS_EQUAL(12, countRunning("plain"));
}

TEST(AShardWithTwoFourCoreWorkers, AServiceIsSpreadOverRacks) {
  Sim.submit(makeJob(config::JobKind::Service, "svc", "bulk", 2, 1));
  Sim.run(Millis(500));
  LONGS_EQUAL(1, Sim.countRunningOn("w1"));
  LONGS_EQUAL(1, Sim.countRunningOn("w2"));
}

TEST(AShardWithTwoFourCoreWorkers, AWorkerWhoseTasksAllFailIsEjected) {
  Sim.addWorker("w3"); // Of only two workers none may be ejected.
  Sim.Workers.at("w1").FailAllAttempts = true;
  config::JobSpec Spec = makeJob(config::JobKind::Batch, "j", "bulk", 6, 1);
  Spec.MaxFailures = 20;
  Sim.submit(Spec);
  Sim.run(Millis(12'000));
  LONGS_EQUAL(1, Sim.Owner->ejectedWorkers());
  CHECK_FALSE(Sim.Owner->status("j").has_value());
}

TEST(AShardWithTwoFourCoreWorkers, AJobEndsWhenATaskExceedsItsMaxFailures) {
  Sim.Workers.at("w1").FailAllAttempts = true;
  Sim.Workers.at("w2").FailAllAttempts = true;
  config::JobSpec Spec = makeJob(config::JobKind::Batch, "bad", "bulk", 1, 1);
  Spec.MaxFailures = 2;
  Sim.submit(Spec);
  Sim.run(Millis(30'000));
  CHECK_FALSE(Sim.Owner->status("bad").has_value());
}

TEST(AShardWithTwoFourCoreWorkers, CancellingTenThousandTasksDelaysNoOtherJob) {
  Sim.submit(makeJob(config::JobKind::Batch, "huge", "bulk", 10'000, 1,
                     Millis(600'000)));
  Sim.run(Millis(300));
  Sim.stop("huge");
  Sim.submit(makeJob(config::JobKind::Batch, "next", "bulk", 4, 1));
  Sim.run(Millis(2'500));
  LONGS_EQUAL(4, countRunning("next"));
}

TEST(AShardWithTwoFourCoreWorkers, ATeamsQuotaIsNotExceeded) {
  Sim.Config->Teams = {{"press", {.MilliCores = 3'000, .MemoryMb = 8'000}}};
  Sim.publishList();
  Sim.Owner->TaskScheduler.QuotaShares["press"] = {.MilliCores = 3'000,
                                                   .MemoryMb = 8'000};
  config::JobSpec Spec = makeJob(config::JobKind::Batch, "j", "bulk", 6, 1);
  Spec.Team = "press";
  Sim.submit(Spec);
  Sim.run(Millis(500));
  LONGS_EQUAL(3, countRunning("j"));
}

TEST(AShardWithTwoFourCoreWorkers, ServicesMoveOffADrainedWorker) {
  Sim.submit(makeJob(config::JobKind::Service, "svc", "bulk", 2, 1));
  Sim.run(Millis(500));
  Sim.Config->DrainedInstances.insert("w1");
  Sim.publishList();
  Sim.run(Millis(3'000));
  LONGS_EQUAL(0, Sim.countRunningOn("w1"));
  LONGS_EQUAL(2, Sim.countRunningOn("w2"));
}

TEST(AShardWithTwoFourCoreWorkers, ATaskEndIsDetectedAtItsExpectedTime) {
  Sim.submit(
      makeJob(config::JobKind::Batch, "short", "bulk", 1, 1, Millis(300)));
  Sim.run(Millis(700));
  CHECK_FALSE(Sim.Owner->status("short").has_value());
}

TEST(AShardWithTwoFourCoreWorkers, AJobWhoseClassIsRemovedKeepsRunning) {
  Sim.submit(makeJob(config::JobKind::Batch, "orphan", "bulk", 10, 1));
  Sim.run(Millis(300));
  Sim.Config = std::make_shared<config::ClusterConfig>();
  Sim.publishList();
  Sim.run(Millis(8'000));
  CHECK_FALSE(Sim.Owner->status("orphan").has_value());
}
