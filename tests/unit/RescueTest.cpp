#include "ShardFixture.h"
#include "entry/RescueLoop.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

// clang-format off
TEST_GROUP(ALostZone) {
  ShardSim World;
  std::vector<table::Instance> AllInstances;
  void setup() override {
    World.addWorker("w1");
    config::JobSpec MovableJob = batchJob("m", 3, 1);
    MovableJob.Class = "movable";
    World.submit(MovableJob);
    config::JobSpec ZoneBoundJob = batchJob("h", 1, 1);
    ZoneBoundJob.RunTime = Millis(100'000);
    World.submit(ZoneBoundJob);
    World.run(Millis(2'500));
    AllInstances = World.InstanceList;
    table::Instance OtherZoneWorker = workerInstance("other");
    OtherZoneWorker.AvailabilityZone = "zb";
    AllInstances.push_back(OtherZoneWorker);
  }
  shard::JournalGroup planMoves() {
    return entry::planRescue(World.Owner->State, AllInstances, *World.Config, "za", 1, World.Now);
  }
};

TEST_GROUP_BASE(WithAHalfDoneMovableJob, TEST_GROUP_CppUTestGroupALostZone) {
  bool halfDone() const {
    auto Status = World.Owner->status("half");
    return Status && Status->Succeeded > 0 && Status->Running > 0;
  }
  void setup() override {
    TEST_GROUP_CppUTestGroupALostZone::setup();
    config::JobSpec HalfDoneJob = batchJob("half", 5, 1);
    HalfDoneJob.Class = "movable";
    HalfDoneJob.RunTime = Millis(1'000);
    World.submit(HalfDoneJob);
    for (int I = 0; I < 50 && !halfDone(); ++I)
      World.run(Millis(100));
    CHECK(halfDone());
  }
};
// clang-format on

TEST(ALostZone, KeepsZoneBoundJobs) {
  auto Group = planMoves();
  LONGS_EQUAL(0, Group.MovedJobs.size());
  CHECK(World.Owner->State.findJob("h") != nullptr);
}

TEST(WithAHalfDoneMovableJob, OnlyItsRemainingTasksMove) {
  uint32_t Succeeded = World.Owner->status("half")->Succeeded;
  auto Group = planMoves();
  LONGS_EQUAL(1, Group.MovedJobs.size());
  STRCMP_EQUAL("zb.0", Group.MovedJobs[0].TargetShard.c_str());
  LONGS_EQUAL(Succeeded, Group.MovedJobs[0].Job.SucceededTasks.size());
  shard::ShardState TargetShard(1);
  TargetShard.apply(Group.MovedJobs[0].Job, World.Now);
  LONGS_EQUAL(5 - Succeeded, TargetShard.findJob("half")->PendingTasks);
}

TEST(WithAHalfDoneMovableJob, AttemptNumbersAreNotReused) {
  auto Group = planMoves();
  CHECK(Group.MovedJobs[0].Job.AttemptBase >= 1);
}

TEST(WithAHalfDoneMovableJob, ATaskWithoutALeaseKeepsTheJobInTheZone) {
  for (shard::TaskState &Task : World.Owner->State.findJob("half")->Tasks)
    Task.Leased = false;
  LONGS_EQUAL(0, planMoves().MovedJobs.size());
}

TEST(WithAHalfDoneMovableJob, TheMoveSurvivesAJournalRoundTrip) {
  auto Group = planMoves();
  auto Parsed = shard::journalRowFromText(shard::journalRowToText(Group.Row));
  CHECK(static_cast<bool>(Parsed));
  LONGS_EQUAL(Group.Row.Records.size(), Parsed->Records.size());
  shard::JournalRow Accepted;
  Accepted.Records.emplace_back(Group.MovedJobs[0].Job);
  auto ParsedAccept =
      shard::journalRowFromText(shard::journalRowToText(Accepted));
  auto *Job = std::get_if<shard::JobAccepted>(&ParsedAccept->Records[0]);
  CHECK(Job->SucceededTasks == Group.MovedJobs[0].Job.SucceededTasks);
  LONGS_EQUAL(Group.MovedJobs[0].Job.AttemptBase, Job->AttemptBase);
}
