#include "ShardFixture.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

namespace {

config::JobSpec jobOf(config::JobKind Kind, const std::string &Id,
                      const std::string &Class, uint32_t Tasks, uint32_t Cores,
                      Millis RunTime = Millis(2'000)) {
  config::JobSpec Spec = batchJob(Id, Tasks, Cores);
  Spec.Kind = Kind;
  Spec.Class = Class;
  Spec.RunTime = RunTime;
  return Spec;
}

} // namespace

// clang-format off
TEST_GROUP(AShardOfTwoWorkersOfFourCores) {
  ShardWorld World;
  void setup() override {
    World.addWorker("w1");
    World.addWorker("w2");
    World.run(Millis(200));
  }
  uint32_t running(const std::string &Job) {
    auto Status = World.Owner->status(Job);
    return Status ? Status->Running : 0;
  }
};

TEST_GROUP_BASE(WhenALongBatchFillsIt, TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores::setup();
    World.submit(jobOf(config::JobKind::Batch, "long", "bulk", 8, 1, Millis(600'000)));
    World.run(Millis(300));
    LONGS_EQUAL(8, running("long"));
  }
};

TEST_GROUP_BASE(WithAGangThatNeedsAllOfIt, TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores::setup();
    World.submit(jobOf(config::JobKind::Batch, "before", "bulk", 2, 1, Millis(3'000)));
    World.run(Millis(300));
    World.submit(jobOf(config::JobKind::Gang, "gang", "bulk", 2, 4, Millis(1'000)));
    World.run(Millis(300));
  }
};

TEST_GROUP_BASE(WithAnAcceleratorWorkerBesides, TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAShardOfTwoWorkersOfFourCores::setup();
    World.addWorker("gpu", 8, 2);
    config::JobSpec Waiting = jobOf(config::JobKind::Batch, "scores", "bulk", 1, 2, Millis(60'000));
    Waiting.Size.Accelerators = 1;
    World.submit(Waiting);
    World.run(Millis(300));
    LONGS_EQUAL(1, running("scores"));
  }
};
// clang-format on

TEST(WhenALongBatchFillsIt, AnUrgentTaskStartsWithinItsTargetByPreemption) {
  World.submit(jobOf(config::JobKind::Batch, "now", "urgent", 1, 1));
  World.run(Millis(2'000));
  LONGS_EQUAL(1, running("now"));
  LONGS_EQUAL(7, running("long"));
}

TEST(WhenALongBatchFillsIt, ATaskIsPreemptedAtMostThreeTimes) {
  for (int I = 0; I < 40; ++I) {
    World.submit(jobOf(config::JobKind::Batch, "u" + std::to_string(I),
                       "urgent", 8, 1, Millis(500)));
    World.run(Millis(3'000));
  }
  for (const shard::Task &Each : World.Owner->State.find("long")->Tasks)
    CHECK(Each.Preemptions <= 3);
}

TEST(WhenALongBatchFillsIt, AFullShardPreemptsNothingForLaxWork) {
  World.submit(jobOf(config::JobKind::Batch, "lax", "bulk", 1, 1));
  World.run(Millis(4'000));
  LONGS_EQUAL(8, running("long"));
}

TEST(WithAGangThatNeedsAllOfIt, ItStartsWholeOnceTheRestHasEnded) {
  LONGS_EQUAL(0, running("gang"));
  World.run(Millis(3'500));
  LONGS_EQUAL(2, running("gang"));
}

TEST(WithAGangThatNeedsAllOfIt, AStreamOfSmallWorkDoesNotStarveIt) {
  bool Started = false;
  for (int I = 0; I < 100 && !Started; ++I) {
    World.submit(jobOf(config::JobKind::Batch, "s" + std::to_string(I), "bulk",
                       2, 1, Millis(2'000)));
    World.run(Millis(200));
    Started = running("gang") == 2;
  }
  CHECK(Started);
}

TEST(WithAGangThatNeedsAllOfIt, SmallWorkThatEndsInTimeIsBackfilled) {
  World.submit(
      jobOf(config::JobKind::Batch, "quick", "bulk", 2, 1, Millis(500)));
  World.run(Millis(300));
  LONGS_EQUAL(2, running("quick"));
}

TEST(WithAGangThatNeedsAllOfIt, TwoGangsBothRunInTurn) {
  World.submit(
      jobOf(config::JobKind::Gang, "other", "bulk", 2, 4, Millis(1'000)));
  World.run(Millis(10'000));
  CHECK_FALSE(World.Owner->status("gang").has_value());
  CHECK_FALSE(World.Owner->status("other").has_value());
}

TEST(AShardOfTwoWorkersOfFourCores, AGangRestartsWholeWhenAMemberIsLost) {
  World.submit(
      jobOf(config::JobKind::Gang, "gang", "bulk", 2, 4, Millis(10'000)));
  World.run(Millis(500));
  LONGS_EQUAL(2, running("gang"));
  World.Models.erase("w1");
  World.removeFromList("w1");
  World.addWorker("w3");
  World.run(Millis(3'000));
  LONGS_EQUAL(1, World.runningOn("w2"));
  LONGS_EQUAL(1, World.runningOn("w3"));
  for (const shard::Task &Each : World.Owner->State.find("gang")->Tasks)
    LONGS_EQUAL(2, Each.Attempt);
}

TEST(WithAnAcceleratorWorkerBesides, PlainWorkLeavesRoomForItsAccelerators) {
  World.submit(
      jobOf(config::JobKind::Batch, "plain", "bulk", 16, 1, Millis(60'000)));
  World.run(Millis(500));
  // Eight on the plain workers; of the six free cores there, two are kept.
  LONGS_EQUAL(12, running("plain"));
}

TEST(AShardOfTwoWorkersOfFourCores, AServiceIsSpreadOverRacks) {
  World.submit(jobOf(config::JobKind::Service, "svc", "bulk", 2, 1));
  World.run(Millis(500));
  LONGS_EQUAL(1, World.runningOn("w1"));
  LONGS_EQUAL(1, World.runningOn("w2"));
}

TEST(AShardOfTwoWorkersOfFourCores, AWorkerThatFailsEverythingIsPutAside) {
  World.addWorker("w3"); // Of two, none may be put aside.
  World.Models.at("w1").FailAllAttempts = true;
  config::JobSpec Spec = jobOf(config::JobKind::Batch, "j", "bulk", 6, 1);
  Spec.MaxFailures = 20;
  World.submit(Spec);
  World.run(Millis(12'000));
  LONGS_EQUAL(1, World.Owner->ejectedWorkers());
  CHECK_FALSE(World.Owner->status("j").has_value());
}

TEST(AShardOfTwoWorkersOfFourCores, AFailingTaskIsGivenUpWithItsJob) {
  World.Models.at("w1").FailAllAttempts = true;
  World.Models.at("w2").FailAllAttempts = true;
  config::JobSpec Spec = jobOf(config::JobKind::Batch, "bad", "bulk", 1, 1);
  Spec.MaxFailures = 2;
  World.submit(Spec);
  World.run(Millis(30'000));
  CHECK_FALSE(World.Owner->status("bad").has_value());
}

TEST(AShardOfTwoWorkersOfFourCores, TenThousandCancelledTasksHoldUpNobody) {
  World.submit(jobOf(config::JobKind::Batch, "huge", "bulk", 10'000, 1,
                     Millis(600'000)));
  World.run(Millis(300));
  World.stop("huge");
  World.submit(jobOf(config::JobKind::Batch, "next", "bulk", 4, 1));
  World.run(Millis(2'500));
  LONGS_EQUAL(4, running("next"));
}

TEST(AShardOfTwoWorkersOfFourCores, ATeamsQuotaIsNotExceeded) {
  World.Config->Teams = {{"press", {.MilliCores = 3'000, .MemoryMb = 8'000}}};
  World.listChanged();
  World.Owner->Decisions.QuotaShares["press"] = {.MilliCores = 3'000,
                                                 .MemoryMb = 8'000};
  config::JobSpec Spec = jobOf(config::JobKind::Batch, "j", "bulk", 6, 1);
  Spec.Team = "press";
  World.submit(Spec);
  World.run(Millis(500));
  LONGS_EQUAL(3, running("j"));
}

TEST(AShardOfTwoWorkersOfFourCores, ADrainedWorkerGivesItsServicesAway) {
  World.submit(jobOf(config::JobKind::Service, "svc", "bulk", 2, 1));
  World.run(Millis(500));
  World.Config->Drained.insert("w1");
  World.listChanged();
  World.run(Millis(3'000));
  LONGS_EQUAL(0, World.runningOn("w1"));
  LONGS_EQUAL(2, World.runningOn("w2"));
}

TEST(AShardOfTwoWorkersOfFourCores, AnEndIsHeardOfWhenItIsExpected) {
  World.submit(
      jobOf(config::JobKind::Batch, "short", "bulk", 1, 1, Millis(300)));
  World.run(Millis(700));
  CHECK_FALSE(World.Owner->status("short").has_value());
}

TEST(AShardOfTwoWorkersOfFourCores, AJobWhoseClassIsRemovedGoesOn) {
  World.submit(jobOf(config::JobKind::Batch, "orphan", "bulk", 10, 1));
  World.run(Millis(300));
  World.Config = std::make_shared<config::ClusterConfig>();
  World.listChanged();
  World.run(Millis(8'000));
  CHECK_FALSE(World.Owner->status("orphan").has_value());
}
