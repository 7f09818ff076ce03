#include "ShardFixture.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::test;

// clang-format off
TEST_GROUP(AnOwnerWithTwoWorkers) {
  ShardSim Sim;
  void setup() override {
    Sim.addWorker("w1");
    Sim.addWorker("w2");
  }
};

TEST_GROUP_BASE(WithABatchOfThreeTasks, TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers::setup();
    Sim.submit(batchJob("j1", 3));
  }
};

TEST_GROUP_BASE(WhenTheBatchRuns, TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks::setup();
    Sim.run(Millis(300));
  }
};

TEST_GROUP_BASE(WhenThePlatformIsUnreachableForTenMinutes, TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithABatchOfThreeTasks::setup();
    Sim.run(Millis(300));
    Sim.PlatformDown = true;
    Sim.run(Millis(300'000));
  }
  size_t countStarts(const std::string &Job) const {
    size_t Starts = 0;
    for (const auto &Row : Sim.Journal) {
      for (const auto &Record : Row.Records) {
        const auto *Started = std::get_if<shard::TaskStarted>(&Record);
        Starts += Started && Started->Id.Job == Job;
      }
    }
    return Starts;
  }
};

TEST_GROUP_BASE(WhenTheOwnerDiesDuringThePlatformOutage, TEST_GROUP_CppUTestGroupWhenThePlatformIsUnreachableForTenMinutes) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenThePlatformIsUnreachableForTenMinutes::setup();
    Sim.Owner.reset();
    Sim.Now += std::chrono::minutes(5);
    for (auto &NameAndWorker : Sim.Workers)
      NameAndWorker.second.advance(Sim.Now, Sim.EventLog);
    Sim.PlatformDown = false;
    Sim.takeOver();
  }
};

TEST_GROUP_BASE(WithALeasedTaskOnAPausedWorker, TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers) {
  std::string PausedWorker;
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWithTwoWorkers::setup();
    config::JobSpec Spec = batchJob("m1", 1);
    Spec.Class = "movable";
    Spec.RunTime = Millis(100'000);
    Sim.submit(Spec);
    Sim.run(Millis(2'000));
    PausedWorker = Sim.countRunningOn("w1") ? "w1" : "w2";
  }
};
// clang-format on

TEST(WithABatchOfThreeTasks, NoStartIsSentToAWorkerBeforeItIsJournaled) {
  Sim.sync(); // The first sync only learns the boot.
  auto Group = Sim.Owner->nextGroup(Sim.Now);
  CHECK(Group.has_value());
  Sim.Now += Millis(5'000);
  Sim.sync();
  LONGS_EQUAL(0, Sim.countRunning());
  Sim.Owner->onGroupWritten(Sim.Now);
  Sim.sync();
  LONGS_EQUAL(3, Sim.countRunning());
}

TEST(WithABatchOfThreeTasks, EveryTaskRunsOnceAndTheJobEnds) {
  Sim.run(Millis(4'000));
  LONGS_EQUAL(0, Sim.Owner->State.Jobs.size());
  size_t Starts = 0;
  for (const auto &Row : Sim.Journal) {
    for (const auto &Record : Row.Records)
      Starts += std::holds_alternative<shard::TaskStarted>(Record);
  }
  LONGS_EQUAL(3, Starts);
}

TEST(WhenTheBatchRuns, ANewOwnerRestoresTheTasksAndRestartsNone) {
  LONGS_EQUAL(3, Sim.countRunning());
  Sim.takeOver();
  Sim.run(Millis(200));
  LONGS_EQUAL(3, Sim.countRunning());
  LONGS_EQUAL(3, Sim.Owner->status("j1")->Running);
}

TEST(WhenTheBatchRuns, APausedOwnerThatResumesIsRefusedByTheWorkers) {
  std::unique_ptr<shard::ShardOwner> PausedOwner = std::move(Sim.Owner);
  Sim.takeOver();
  Sim.run(Millis(200));
  Sim.Now += Millis(2'000);
  for (const shard::WorkerCall &Call : PausedOwner->dueSyncs(Sim.Now)) {
    auto Name = Call.Address.substr(8);
    auto Report =
        Sim.Workers.at(Name).sync(Call.Request, Sim.Now, Sim.EventLog);
    CHECK_FALSE(Report.has_value());
  }
}

TEST(WhenTheBatchRuns, ADelayedDuplicateOfASyncStartsNothing) {
  Sim.takeOver();
  Sim.Now += Millis(1'000);
  Sim.sync(); // Only learns the boot.
  Sim.Now += Millis(1'000);
  auto Calls = Sim.Owner->dueSyncs(Sim.Now);
  for (const shard::WorkerCall &Call : Calls)
    Sim.Owner->onSyncResult(Call.Instance, Errc::Timeout, Sim.Now);
  Sim.run(Millis(4'000));
  for (const shard::WorkerCall &Call : Calls) {
    auto &Model = Sim.Workers.at(Call.Address.substr(8));
    CHECK_FALSE(Model.sync(Call.Request, Sim.Now, Sim.EventLog).has_value());
  }
  LONGS_EQUAL(0, Sim.countRunning());
}

TEST(WhenTheBatchRuns, TasksOfARemovedInstanceStartElsewhere) {
  size_t Before = Sim.countRunningOn("w1");
  CHECK(Before > 0);
  Sim.Workers.erase("w1");
  Sim.removeFromList("w1");
  Sim.run(Millis(300));
  LONGS_EQUAL(3, Sim.countRunningOn("w2"));
}

TEST(WhenTheBatchRuns, AnOwnerWithAnOlderListDeclaresNothingLost) {
  Sim.takeOver();
  auto StaleOwner = Sim.makeOwner();
  StaleOwner->applyView({}, 0, Sim.Config, Sim.Now);
  StaleOwner->load({}, Sim.Journal, Sim.Journal.size(), Sim.Now);
  StaleOwner->applyView({}, 0, Sim.Config, Sim.Now);
  auto Group = StaleOwner->nextGroup(Sim.Now);
  CHECK_FALSE(Group.has_value());
  LONGS_EQUAL(3, StaleOwner->status("j1")->Running);
}

TEST(WhenTheBatchRuns, AStoppedJobEndsAndRunsNowhere) {
  Sim.stop("j1");
  Sim.run(Millis(3'000));
  LONGS_EQUAL(0, Sim.countRunning());
  LONGS_EQUAL(0, Sim.Owner->State.Jobs.size());
}

TEST(WhenTheBatchRuns, AWorkerForgetsAnEndOnlyAfterItIsJournaled) {
  Sim.Now += Millis(1'500);
  for (auto &NameAndWorker : Sim.Workers)
    NameAndWorker.second.advance(Sim.Now, Sim.EventLog);
  for (int I = 0; I < 4; ++I) { // The ends are reported repeatedly.
    Sim.sync();
    Sim.Now += Millis(1'500);
  }
  std::unique_ptr<shard::ShardOwner> DeadOwner = std::move(Sim.Owner);
  Sim.takeOver();
  Sim.run(Millis(300));
  LONGS_EQUAL(0, Sim.countRunning()); // None is restarted.
  Sim.run(Millis(3'000));
  CHECK_FALSE(Sim.Owner->status("j1").has_value());
}

TEST(WhenTheBatchRuns, ASnapshotRestoresTheSameState) {
  std::string Text = Sim.Owner->snapshotText();
  auto RestoredOwner = Sim.makeOwner();
  RestoredOwner->applyView(Sim.InstanceList, Sim.ListVersion, Sim.Config,
                           Sim.Now);
  CHECK_FALSE(RestoredOwner->load(Text, {}, Sim.Journal.size(), Sim.Now));
  LONGS_EQUAL(3, RestoredOwner->status("j1")->Running);
  for (uint32_t I = 0; I < 2; ++I)
    CHECK(RestoredOwner->State.Pool.freeCapacity(I) ==
          Sim.Owner->State.Pool.freeCapacity(I));
  STRCMP_EQUAL(Text.c_str(), RestoredOwner->snapshotText().c_str());
}

TEST(WithALeasedTaskOnAPausedWorker,
     TheTaskStartsElsewhereOnlyAfterTheLeaseExpires) {
  auto Calls = Sim.Owner->dueSyncs(Sim.Now + Millis(1'000));
  for (const shard::WorkerCall &Call : Calls)
    Sim.Owner->onSyncResult(Call.Instance, Errc::Timeout, Sim.Now);
  CHECK(Sim.Owner->status("m1")->Running == 1);
  CHECK_FALSE(Sim.Owner->nextGroup(Sim.Now).has_value());
}

TEST(WithALeasedTaskOnAPausedWorker, ARenewalReadLateDoesNotExtendTheLease) {
  // Renewals queue in the socket of the paused worker. It wakes before its
  // lease expires, reads them late, and stops answering again.
  constexpr Millis WakeDelay{4'000};
  TimePoint BeganAt = Sim.Now;
  std::vector<shard::WorkerCall> UnreadCalls;
  bool StartedElsewhere = false;
  std::string OtherWorker = PausedWorker == "w1" ? "w2" : "w1";
  while (!StartedElsewhere && Sim.Now - BeganAt < Millis(30'000)) {
    Sim.Now += Millis(100);
    Sim.Workers.at(PausedWorker).advance(Sim.Now, Sim.EventLog);
    Sim.Owner->confirmOwnership(Sim.Now);
    Sim.write();
    for (const shard::WorkerCall &Call : Sim.Owner->dueSyncs(Sim.Now)) {
      if (Call.Address != "address-" + PausedWorker) {
        Sim.deliver(*Sim.Owner, Call);
        continue;
      }
      if (Sim.Now - BeganAt < WakeDelay)
        UnreadCalls.push_back(Call);
      Sim.Owner->onSyncResult(Call.Instance, Errc::Timeout, Sim.Now);
    }
    if (Sim.Now - BeganAt == WakeDelay) {
      for (const shard::WorkerCall &Call : UnreadCalls)
        Sim.Workers.at(PausedWorker).sync(Call.Request, Sim.Now, Sim.EventLog);
      LONGS_EQUAL(1, Sim.countRunningOn(PausedWorker));
    }
    StartedElsewhere = Sim.countRunningOn(OtherWorker) == 1;
  }
  CHECK(StartedElsewhere);
  LONGS_EQUAL(0, Sim.countRunningOn(PausedWorker));
}

TEST(WhenThePlatformIsUnreachableForTenMinutes, NoTaskStartsAndNoTaskIsLost) {
  Sim.submit(batchJob("later", 2));
  Sim.run(Millis(300'000));
  LONGS_EQUAL(0, Sim.countRunning());
  Sim.PlatformDown = false;
  Sim.run(Millis(4'000));
  LONGS_EQUAL(0, Sim.Owner->State.Jobs.size());
  LONGS_EQUAL(3, countStarts("j1"));
  LONGS_EQUAL(2, countStarts("later"));
}

TEST(WhenTheOwnerDiesDuringThePlatformOutage,
     TheNextOwnerLearnsTheEndsAndRestartsNothing) {
  Sim.run(Millis(300));
  LONGS_EQUAL(0, Sim.countRunning());
  Sim.run(Millis(3'000));
  LONGS_EQUAL(0, Sim.Owner->State.Jobs.size());
  LONGS_EQUAL(3, countStarts("j1"));
}

TEST(AnOwnerWithTwoWorkers, TasksThatExceedTheCoresOfTheirWorkerAreThrottled) {
  config::JobSpec Spec = batchJob("greedy", 6);
  Spec.RunTime = Millis(60'000);
  Sim.submit(Spec);
  Sim.Workers.at("w1").UsageFactor = 8;
  Sim.run(Millis(3'500));
  CHECK(Sim.Workers.at("w1").ThrottlePercent < 100);
  LONGS_EQUAL(100, Sim.Workers.at("w2").ThrottlePercent);
}

TEST(AnOwnerWithTwoWorkers, ATaskIsStoppedWhenItsWorkerRunsOutOfMemory) {
  config::JobSpec Spec = batchJob("fat", 6);
  Spec.RunTime = Millis(60'000);
  Spec.Size.MemoryMb = 2'000;
  Sim.submit(Spec);
  Sim.Workers.at("w1").UsageFactor = 2;
  Sim.run(Millis(8'000));
  CHECK(Sim.countRunningOn("w1") < 3);
}
