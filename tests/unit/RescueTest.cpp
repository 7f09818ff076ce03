#include "ShardFixture.h"
#include "entry/RescueLoop.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

// clang-format off
TEST_GROUP(AZoneThatIsLost) {
  ShardSim World;
  std::vector<table::Instance> Everywhere;
  void setup() override {
    World.addWorker("w1");
    config::JobSpec Movable = batchJob("m", 3, 1);
    Movable.Class = "movable";
    World.submit(Movable);
    config::JobSpec Held = batchJob("h", 1, 1);
    Held.RunTime = Millis(100'000);
    World.submit(Held);
    World.run(Millis(2'500));
    Everywhere = World.InstanceList;
    table::Instance Other = workerInstance("other");
    Other.AvailabilityZone = "zb";
    Everywhere.push_back(Other);
  }
  shard::JournalGroup rescue() {
    return entry::planRescue(World.Owner->State, Everywhere, *World.Config, "za", 1, World.Now);
  }
};

TEST_GROUP_BASE(WithAMovableJobHalfDone, TEST_GROUP_CppUTestGroupAZoneThatIsLost) {
  bool halfDone() const {
    auto Status = World.Owner->status("half");
    return Status && Status->Succeeded > 0 && Status->Running > 0;
  }
  void setup() override {
    TEST_GROUP_CppUTestGroupAZoneThatIsLost::setup();
    config::JobSpec Half = batchJob("half", 5, 1);
    Half.Class = "movable";
    Half.RunTime = Millis(1'000);
    World.submit(Half);
    for (int I = 0; I < 50 && !halfDone(); ++I)
      World.run(Millis(100));
    CHECK(halfDone());
  }
};
// clang-format on

TEST(AZoneThatIsLost, KeepsTheWorkThatIsBoundToIt) {
  auto Group = rescue();
  LONGS_EQUAL(0, Group.MovedJobs.size());
  CHECK(World.Owner->State.findJob("h") != nullptr);
}

TEST(WithAMovableJobHalfDone, OnlyWhatIsLeftOfItMoves) {
  uint32_t Succeeded = World.Owner->status("half")->Succeeded;
  auto Group = rescue();
  LONGS_EQUAL(1, Group.MovedJobs.size());
  STRCMP_EQUAL("zb.0", Group.MovedJobs[0].TargetShard.c_str());
  LONGS_EQUAL(Succeeded, Group.MovedJobs[0].Job.SucceededTasks.size());
  shard::ShardState There(1);
  There.apply(Group.MovedJobs[0].Job, World.Now);
  LONGS_EQUAL(5 - Succeeded, There.findJob("half")->PendingTasks);
}

TEST(WithAMovableJobHalfDone, AnAttemptNumberIsNotUsedAgain) {
  auto Group = rescue();
  CHECK(Group.MovedJobs[0].Job.AttemptBase >= 1);
}

TEST(WithAMovableJobHalfDone, ATaskWithoutALeaseKeepsItsJobThere) {
  for (shard::TaskState &Each : World.Owner->State.findJob("half")->Tasks)
    Each.Leased = false;
  LONGS_EQUAL(0, rescue().MovedJobs.size());
}

TEST(WithAMovableJobHalfDone, TheJournalRemembersTheMove) {
  auto Group = rescue();
  auto Copy = shard::journalRowFromText(shard::journalRowToText(Group.Row));
  CHECK(static_cast<bool>(Copy));
  LONGS_EQUAL(Group.Row.Records.size(), Copy->Records.size());
  shard::JournalRow Accepted;
  Accepted.Records.emplace_back(Group.MovedJobs[0].Job);
  auto Again = shard::journalRowFromText(shard::journalRowToText(Accepted));
  auto *Job = std::get_if<shard::JobAccepted>(&Again->Records[0]);
  CHECK(Job->SucceededTasks == Group.MovedJobs[0].Job.SucceededTasks);
  LONGS_EQUAL(Group.MovedJobs[0].Job.AttemptBase, Job->AttemptBase);
}
