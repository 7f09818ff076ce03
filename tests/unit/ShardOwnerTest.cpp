#include "ShardFixture.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

// clang-format off
TEST_GROUP(AnOwnerWithTwoWorkers) {
  ShardWorld World;
  void setup() override {
    World.addWorker("w1");
    World.addWorker("w2");
  }
};

TEST_GROUP_BASE(WithABatchOfThreeTasks, TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers::setup();
    World.submit(batchJob("j1", 3));
  }
};

TEST_GROUP_BASE(WhenTheBatchRuns, TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks::setup();
    World.run(Millis(300));
  }
};

TEST_GROUP_BASE(WhenThePlatformIsAwayForTenMinutes, TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks::setup();
    World.run(Millis(300));
    World.PlatformAway = true;
    World.run(Millis(300'000));
  }
  size_t written(const std::string &Job) const {
    size_t Starts = 0;
    for (const auto &Row : World.Journal) {
      for (const auto &Each : Row.Records) {
        const auto *Started = std::get_if<shard::TaskStarted>(&Each);
        Starts += Started && Started->Id.Job == Job;
      }
    }
    return Starts;
  }
};

TEST_GROUP_BASE(AndItsOwnerDiesInside, TEST_GROUP_CppUTestGroupWhenThePlatformIsAwayForTenMinutes) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenThePlatformIsAwayForTenMinutes::setup();
    World.Owner.reset();
    World.Now += std::chrono::minutes(5);
    for (auto &Each : World.Models)
      Each.second.advance(World.Now, World.Log);
    World.PlatformAway = false;
    World.takeOver();
  }
};

TEST_GROUP_BASE(WithALeasedTaskOnAPausedWorker, TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers) {
  std::string Paused;
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers::setup();
    config::JobSpec Spec = batchJob("m1", 1);
    Spec.Class = "movable";
    Spec.RunTime = Millis(100'000);
    World.submit(Spec);
    World.run(Millis(2'000));
    Paused = World.runningOn("w1") ? "w1" : "w2";
  }
};
// clang-format on

TEST(WithABatchOfThreeTasks, NothingIsSaidToAWorkerBeforeItIsWritten) {
  World.sync(); // The first exchange only asks who is there.
  auto Group = World.Owner->nextGroup(World.Now);
  CHECK(Group.has_value());
  World.Now += Millis(5'000);
  World.sync();
  LONGS_EQUAL(0, World.runningEverywhere());
  World.Owner->onWritten(World.Now);
  World.sync();
  LONGS_EQUAL(3, World.runningEverywhere());
}

TEST(WithABatchOfThreeTasks, AllRunOnceAndTheJobEnds) {
  World.run(Millis(4'000));
  LONGS_EQUAL(0, World.Owner->State.Jobs.size());
  size_t Starts = 0;
  for (const auto &Row : World.Journal) {
    for (const auto &Each : Row.Records)
      Starts += std::holds_alternative<shard::TaskStarted>(Each);
  }
  LONGS_EQUAL(3, Starts);
}

TEST(WhenTheBatchRuns, ANewOwnerFindsTheSameTasksAndStartsNoneAgain) {
  LONGS_EQUAL(3, World.runningEverywhere());
  World.takeOver();
  World.run(Millis(200));
  LONGS_EQUAL(3, World.runningEverywhere());
  LONGS_EQUAL(3, World.Owner->status("j1")->Running);
}

TEST(WhenTheBatchRuns, APausedOwnerThatResumesIsRefusedByTheWorkers) {
  std::unique_ptr<shard::ShardOwner> Old = std::move(World.Owner);
  World.takeOver();
  World.run(Millis(200));
  World.Now += Millis(2'000);
  for (const shard::WorkerCall &Call : Old->dueSyncs(World.Now)) {
    auto Name = Call.Address.substr(8);
    auto Report =
        World.Models.at(Name).sync(Call.Request, World.Now, World.Log);
    CHECK_FALSE(Report.has_value());
  }
}

TEST(WhenTheBatchRuns, ADelayedDuplicateOfASyncStartsNothing) {
  World.takeOver();
  World.Now += Millis(1'000);
  World.sync(); // Hello.
  World.Now += Millis(1'000);
  auto Calls = World.Owner->dueSyncs(World.Now);
  for (const shard::WorkerCall &Call : Calls)
    World.Owner->onSynced(Call.Instance, Errc::Timeout, World.Now);
  World.run(Millis(4'000));
  for (const shard::WorkerCall &Call : Calls) {
    auto &Model = World.Models.at(Call.Address.substr(8));
    CHECK_FALSE(Model.sync(Call.Request, World.Now, World.Log).has_value());
  }
  LONGS_EQUAL(0, World.runningEverywhere());
}

TEST(WhenTheBatchRuns, TasksOfAnInstanceThatIsGoneStartElsewhere) {
  size_t Before = World.runningOn("w1");
  CHECK(Before > 0);
  World.Models.erase("w1");
  World.removeFromList("w1");
  World.run(Millis(300));
  LONGS_EQUAL(3, World.runningOn("w2"));
}

TEST(WhenTheBatchRuns, AnOwnerWithAnOlderListDeclaresNothingLost) {
  World.takeOver();
  auto Stale = World.makeOwner();
  Stale->applyView({}, 0, World.Config, World.Now);
  Stale->load({}, World.Journal, World.Journal.size(), World.Now);
  Stale->applyView({}, 0, World.Config, World.Now);
  auto Group = Stale->nextGroup(World.Now);
  CHECK_FALSE(Group.has_value());
  LONGS_EQUAL(3, Stale->status("j1")->Running);
}

TEST(WhenTheBatchRuns, AStoppedJobEndsAndRunsNowhere) {
  World.stop("j1");
  World.run(Millis(3'000));
  LONGS_EQUAL(0, World.runningEverywhere());
  LONGS_EQUAL(0, World.Owner->State.Jobs.size());
}

TEST(WhenTheBatchRuns, AnEndIsForgottenByTheWorkerOnlyWhenItIsWritten) {
  World.Now += Millis(1'500);
  for (auto &Each : World.Models)
    Each.second.advance(World.Now, World.Log);
  for (int I = 0; I < 4; ++I) { // The ends are heard of again and again.
    World.sync();
    World.Now += Millis(1'500);
  }
  std::unique_ptr<shard::ShardOwner> Dead = std::move(World.Owner);
  World.takeOver();
  World.run(Millis(300));
  LONGS_EQUAL(0, World.runningEverywhere()); // None runs again.
  World.run(Millis(3'000));
  CHECK_FALSE(World.Owner->status("j1").has_value());
}

TEST(WhenTheBatchRuns, ASnapshotRestoresTheSameState) {
  std::string Text = World.Owner->snapshotText();
  auto Other = World.makeOwner();
  Other->applyView(World.List, World.ListVersion, World.Config, World.Now);
  CHECK_FALSE(Other->load(Text, {}, World.Journal.size(), World.Now));
  LONGS_EQUAL(3, Other->status("j1")->Running);
  for (uint32_t I = 0; I < 2; ++I)
    CHECK(Other->State.Pool.free(I) == World.Owner->State.Pool.free(I));
  STRCMP_EQUAL(Text.c_str(), Other->snapshotText().c_str());
}

TEST(WithALeasedTaskOnAPausedWorker, ItStartsElsewhereOnlyAfterTheLease) {
  auto Calls = World.Owner->dueSyncs(World.Now + Millis(1'000));
  for (const shard::WorkerCall &Call : Calls)
    World.Owner->onSynced(Call.Instance, Errc::Timeout, World.Now);
  CHECK(World.Owner->status("m1")->Running == 1);
  CHECK_FALSE(World.Owner->nextGroup(World.Now).has_value());
}

TEST(WithALeasedTaskOnAPausedWorker, ARenewalInItsSocketExtendsNothing) {
  // Renewals reach the paused worker's socket. It wakes while its lease still
  // holds, reads them late, and falls silent again.
  constexpr Millis WakesAfter{4'000};
  TimePoint Began = World.Now;
  std::vector<shard::WorkerCall> Unread;
  bool StartedElsewhere = false;
  std::string Other = Paused == "w1" ? "w2" : "w1";
  while (!StartedElsewhere && World.Now - Began < Millis(30'000)) {
    World.Now += Millis(100);
    World.Models.at(Paused).advance(World.Now, World.Log);
    World.Owner->confirmOwnership(World.Now);
    World.write();
    for (const shard::WorkerCall &Call : World.Owner->dueSyncs(World.Now)) {
      if (Call.Address != "address-" + Paused) {
        World.deliver(*World.Owner, Call);
        continue;
      }
      if (World.Now - Began < WakesAfter)
        Unread.push_back(Call);
      World.Owner->onSynced(Call.Instance, Errc::Timeout, World.Now);
    }
    if (World.Now - Began == WakesAfter) {
      for (const shard::WorkerCall &Call : Unread)
        World.Models.at(Paused).sync(Call.Request, World.Now, World.Log);
      LONGS_EQUAL(1, World.runningOn(Paused));
    }
    StartedElsewhere = World.runningOn(Other) == 1;
  }
  CHECK(StartedElsewhere);
  LONGS_EQUAL(0, World.runningOn(Paused));
}

TEST(WhenThePlatformIsAwayForTenMinutes, NothingNewStartsAndNothingIsLost) {
  World.submit(batchJob("later", 2));
  World.run(Millis(300'000));
  LONGS_EQUAL(0, World.runningEverywhere());
  World.PlatformAway = false;
  World.run(Millis(4'000));
  LONGS_EQUAL(0, World.Owner->State.Jobs.size());
  LONGS_EQUAL(3, written("j1"));
  LONGS_EQUAL(2, written("later"));
}

TEST(AndItsOwnerDiesInside, TheNextOwnerHearsOfTheEndsAndRunsNothingAgain) {
  World.run(Millis(300));
  LONGS_EQUAL(0, World.runningEverywhere());
  World.run(Millis(3'000));
  LONGS_EQUAL(0, World.Owner->State.Jobs.size());
  LONGS_EQUAL(3, written("j1"));
}

TEST(AnOwnerWithTwoWorkers, TasksThatUseMoreCoresThanThereAreAreThrottled) {
  config::JobSpec Spec = batchJob("greedy", 6);
  Spec.RunTime = Millis(60'000);
  World.submit(Spec);
  World.Models.at("w1").UsageFactor = 8;
  World.run(Millis(3'500));
  CHECK(World.Models.at("w1").ThrottlePercent < 100);
  LONGS_EQUAL(100, World.Models.at("w2").ThrottlePercent);
}

TEST(AnOwnerWithTwoWorkers, ATaskStopsWhereMemoryDoesNotHoldAllOfThem) {
  config::JobSpec Spec = batchJob("fat", 6);
  Spec.RunTime = Millis(60'000);
  Spec.Size.MemoryMb = 2'000;
  World.submit(Spec);
  World.Models.at("w1").UsageFactor = 2;
  World.run(Millis(8'000));
  CHECK(World.runningOn("w1") < 3);
}
