#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using executor::EndKind;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *Job = "00000000000000a1";

std::string task(uint32_t Index, uint32_t Step = 0) {
  return taskName({.Job = Job, .Step = Step, .Index = Index});
}

void noViolation(const Sim &World) {
  for (const std::string &Each : World.violations())
    FAIL(Each.c_str());
}

} // namespace

// clang-format off
TEST_GROUP(AnOwnerOfTwoExecutors) {
  Sim World;
  std::string A = World.addExecutor(Wide);
  std::string B = World.addExecutor(Wide);

  void setup() override {
    World.takeOver();
    World.pass(200);
  }
  void teardown() override { noViolation(World); }
  bool completes(int64_t WithinMs) {
    return World.passUntil(
        [&] { return World.storedPhase(Job) == JobPhase::Completed; }, WithinMs);
  }
  void offer(const JobSpec &Of, std::optional<OfferOutcome> &Told, Millis Within = Millis(3'000)) {
    World.know(Of);
    World.Owner->offer({.Job = Of, .TimeLeft = Within, .Done = [&](OfferOutcome With) { Told = With; }},
                       World.Now, World.Now);
  }
};

TEST_GROUP_BASE(WithAJobOfThreeTasks, TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors::setup();
    World.submit(Sim::job(Job, 3, Small, 400));
  }
};

TEST_GROUP_BASE(WhenItRuns, TEST_GROUP_CppUTestGroupWithAJobOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithAJobOfThreeTasks::setup();
    World.passUntil([&] { return World.Started.size() == 3; }, 500);
  }
};

TEST_GROUP_BASE(WithAGangOfTwoWholeExecutors, TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors::setup();
    JobSpec Gang = Sim::job(Job, 2, Wide, 400);
    Gang.Steps[0].Gang = true;
    World.submit(Gang);
  }
};
// clang-format on

TEST(WithAJobOfThreeTasks, ItIsDoneAndShownSo) {
  CHECK_TRUE(completes(1'000));
  LONGS_EQUAL(3, World.Started.size());
}

TEST(WithAJobOfThreeTasks, NothingStartsWhileTheStoreIsDown) {
  World.StoreDown = true;
  World.pass(500);
  LONGS_EQUAL(0, World.Started.size());
  World.StoreDown = false;
  CHECK_TRUE(completes(1'500));
}

TEST(WithAJobOfThreeTasks, CancelledBeforeTheFirstCommitItNeverStarts) {
  World.cancel(Job);
  World.pass(500);
  LONGS_EQUAL(0, World.Started.size());
  CHECK(World.storedPhase(Job) == JobPhase::Cancelled);
}

TEST(WhenItRuns, AnEndIsAcknowledgedOnlyOnceItIsStored) {
  World.StoreDown = true;
  World.pass(1'500);
  CHECK_EQUAL(size_t{3},
              World.executor(A).Ended.size() + World.executor(B).Ended.size());
  World.StoreDown = false;
  CHECK_TRUE(completes(500));
  World.pass(300);
  CHECK_TRUE(World.executor(A).Ended.empty());
  CHECK_TRUE(World.executor(B).Ended.empty());
}

TEST(WhenItRuns, CancelledItsRunsAreStopped) {
  World.cancel(Job);
  World.Owner->cancel(Job, World.Now);
  World.pass(100);
  CHECK_FALSE(World.isOpen(task(0)));
  World.pass(1'000);
  CHECK(World.storedPhase(Job) == JobPhase::Cancelled);
}

TEST(WhenItRuns, ALostAnswerToACommitIsResolvedByItsRow) {
  World.Trouble.CommitAnswerLost = 0.7;
  CHECK_TRUE(completes(8'000));
  LONGS_EQUAL(3, World.Started.size());
}

TEST(WhenItRuns, TheNextOwnerGoesOnWithWhatRuns) {
  World.takeOver();
  CHECK_TRUE(completes(1'500));
  LONGS_EQUAL(3, World.Started.size());
}

TEST(WhenItRuns, TheEarlierOwnersLateOrdersAreFencedOff) {
  World.Trouble.OrderLate = 1;
  World.submit(Sim::job("00000000000000b2", 2, Small, 300));
  World.pass(100);
  World.Trouble.OrderLate = 0;
  World.takeOver();
  World.pass(6'000);
  CHECK(World.storedPhase("00000000000000b2") == JobPhase::Completed);
}

TEST(WhenItRuns, WhatACutOffExecutorRunsWaitsForTheEndOfItsLease) {
  World.Takes = [](const std::string &, int64_t) { return 60'000; };
  JobSpec Long = Sim::job("00000000000000c3", 1, Wide, 60'000);
  World.submit(Long);
  World.passUntil([&] { return World.isOpen("00000000000000c3.0.0.0"); },
                  1'500);
  std::string On =
      World.executor(A).Running.count("00000000000000c3.0.0.0") ? A : B;
  World.executor(On).Cut = true;
  World.pass(2'500);
  LONGS_EQUAL(1, World.runsOf("00000000000000c3.0.0.0"));
  World.pass(5'000);
  LONGS_EQUAL(2, World.runsOf("00000000000000c3.0.0.0"));
}

TEST(WhenItRuns, AnOwnerThatMeetsAnotherEpochStops) {
  auto Old = std::move(World.Owner);
  World.takeOver();
  std::swap(Old, World.Owner);
  World.pass(500);
  CHECK_TRUE(World.Owner->deposed());
}

TEST(AnOwnerOfTwoExecutors, AStartWithoutAnAnswerIsTriedAgainInTheSamePlace) {
  World.Trouble.OrderAnswerLost = 0.6;
  World.submit(Sim::job(Job, 4, Small, 300));
  CHECK_TRUE(completes(8'000));
  LONGS_EQUAL(4, World.Started.size());
}

TEST(AnOwnerOfTwoExecutors, NothingStartsOnBeliefsThatAreTooOld) {
  World.FeedsSilent = true;
  World.pass(1'500);
  World.submit(Sim::job(Job, 2, Small, 100));
  World.pass(1'000);
  LONGS_EQUAL(0, World.Started.size());
  World.FeedsSilent = false;
  CHECK_TRUE(completes(500));
}

TEST(AnOwnerOfTwoExecutors,
     AStartRefusedAfterOneThatMayComeLateIsStoppedFirst) {
  World.Trouble.OrderLate = 1;
  World.submit(Sim::job(Job, 1, Small, 2'000));
  World.pass(100);
  World.Trouble.OrderLate = 0;
  bool Once = true;
  World.Refuses = [&](const executor::StartOrder &) {
    bool First = std::exchange(Once, false);
    return First ? std::optional(executor::OrderOutcome::Unhealthy)
                 : std::nullopt;
  };
  CHECK_TRUE(completes(12'000));
  LONGS_EQUAL(1, World.runsOf(task(0)));
}

TEST(AnOwnerOfTwoExecutors, StepsRunInTheirOrder) {
  JobSpec Two = Sim::job(Job, 2, Small, 200);
  Two.Steps.push_back({.Count = 2,
                       .Size = Small,
                       .Estimate = Millis(200),
                       .Dependencies = {0}});
  World.submit(Two);
  CHECK_TRUE(completes(1'500));
}

TEST(AnOwnerOfTwoExecutors, ATaskThatFailsTooOftenFailsItsJob) {
  World.HowEnds = [](const std::string &Task) {
    return Task == task(1) ? EndKind::Failed : EndKind::Done;
  };
  World.submit(Sim::job(Job, 3, Small, 100));
  World.pass(2'000);
  CHECK(World.storedPhase(Job) == JobPhase::Failed);
  LONGS_EQUAL(2, World.runsOf(task(1)));
}

TEST(AnOwnerOfTwoExecutors, ATaskThatLastsIsStartedAgainHoweverItEnds) {
  JobSpec Lasting = Sim::job(Job, 1, Small, 300);
  Lasting.Steps[0].LongRunning = true;
  World.submit(Lasting);
  World.pass(2'000);
  CHECK(World.runsOf(task(0)) >= 3);
  CHECK(World.storedPhase(Job) == JobPhase::Running);
}

TEST(AnOwnerOfTwoExecutors, NoMoreTasksOfAStepOnOneThanItsLimit) {
  JobSpec Apart = Sim::job(Job, 2, Small, 500);
  Apart.Steps[0].AntiAffinity = 1;
  World.submit(Apart);
  World.pass(200);
  LONGS_EQUAL(1, World.executor(A).Running.size());
  LONGS_EQUAL(1, World.executor(B).Running.size());
}

TEST(AnOwnerOfTwoExecutors, AnOfferedJobIsToldOnceItIsStored) {
  std::optional<OfferOutcome> Told;
  JobSpec Offered = Sim::job(Job, 1, Small, 100);
  World.submit(Sim::job("00000000000000d4", 1, Small, 100));
  World.StoreDown = true;
  offer(Offered, Told);
  World.pass(300);
  CHECK_FALSE(Told.has_value());
  World.StoreDown = false;
  World.pass(200);
  CHECK(Told == OfferOutcome::Stored);
  CHECK_FALSE(World.stored(JobTable, Job).empty());
}

TEST(AnOwnerOfTwoExecutors, AnOfferIsNotKeptOutByManyOthersThatChange) {
  for (int I = 0; I < 150; ++I)
    World.submit(Sim::job(fmt::format("{:016x}", I), 1, Wide, 60'000));
  World.pass(500);
  World.CommitTakesMs = 400;
  for (int I = 0; I < 150; ++I)
    World.cancel(fmt::format("{:016x}", I));
  World.pass(10); // The first commit is full without it.
  std::optional<OfferOutcome> Told;
  JobSpec Offered = Sim::job("ffffffffffffffff", 1, Small, 100);
  offer(Offered, Told);
  World.pass(850);
  CHECK(Told == OfferOutcome::Stored);
}

TEST(AnOwnerOfTwoExecutors,
     AnOfferThatCannotBeStoredInTimeIsToldSoAndNeverRuns) {
  World.Owner->setStoreReadMs(400);
  World.CommitTakesMs = 1'500;
  World.submit(Sim::job("00000000000000d4", 1, Small, 100));
  World.pass(100);
  std::optional<OfferOutcome> Told;
  std::optional<OfferOutcome> ToldLater;
  JobSpec Patient = Sim::job("00000000000000d5", 1, Small, 100);
  offer(Sim::job(Job, 1, Small, 100), Told, Millis(1'800));
  offer(Patient, ToldLater, Millis(10'000));
  World.pass(1'500);
  CHECK(Told == OfferOutcome::Expired);
  World.pass(2'000);
  CHECK(ToldLater == OfferOutcome::Stored);
  CHECK_TRUE(World.stored(JobTable, Job).empty());
  LONGS_EQUAL(0, World.runsOf(task(0)));
}

TEST(AnOwnerOfTwoExecutors, AnOfferThatAnotherEntryStoredMeanwhileIsNotLost) {
  World.Owner->setStoreReadMs(400);
  World.CommitTakesMs = 1'500;
  World.submit(Sim::job("00000000000000d4", 1, Small, 100));
  World.pass(100);
  std::optional<OfferOutcome> Told;
  JobSpec Same = Sim::job(Job, 1, Small, 100);
  offer(Same, Told, Millis(1'800));
  World.submit(Same); // And the feed tells of it.
  CHECK(Told == OfferOutcome::StoredBefore);
  World.CommitTakesMs = 10;
  CHECK_TRUE(completes(4'000));
}

TEST(AnOwnerOfTwoExecutors, AJobWhoseStartsGetNoAnswerIsStillPending) {
  World.executor(A).Cut = true;
  World.executor(B).Cut = true;
  World.submit(Sim::job(Job, 1, Small, 100));
  World.pass(700);
  auto Row = decodeOwnerRow(World.stored(OwnerTable, OwnerKey));
  LONGS_EQUAL(1, Row->Pending["q"]);
}

TEST(AnOwnerOfTwoExecutors, ASlowStoreIsNotSentCopiesOfACommit) {
  World.Owner->setStoreReadMs(400);
  World.CommitTakesMs = 3'000;
  size_t Before = World.CommitsSent;
  World.submit(Sim::job(Job, 1, Small, 100));
  World.pass(2'900);
  LONGS_EQUAL(Before + 1, World.CommitsSent);
}

TEST(AnOwnerOfTwoExecutors, AnOfferOfAJobThatIsStoredAlreadyRunsOnce) {
  std::optional<OfferOutcome> Told;
  JobSpec Same = Sim::job(Job, 1, Small, 100);
  auto Owner = std::move(World.Owner);
  World.submit(Same); // Stored by an entry; the owner has not heard of it.
  World.Owner = std::move(Owner);
  offer(Same, Told);
  CHECK_TRUE(completes(1'000));
  CHECK(Told == OfferOutcome::StoredBefore);
  LONGS_EQUAL(1, World.Started.size());
}

TEST(AnOwnerOfTwoExecutors,
     AWholeExecutorsTaskIsNotStarvedByAStreamOfSmallOnes) {
  auto Small500 = [&](int Number) {
    JobSpec Out =
        Sim::job(fmt::format("{:016x}", 0x100 + Number), 2, Small, 500);
    Out.Steps[0].Estimate = Millis(500);
    return Out;
  };
  int Number = 0;
  auto Stream = [&](int64_t ForMs) {
    for (int64_t Ms = 0; Ms < ForMs; Ms += 150) {
      World.submit(Small500(Number++));
      World.pass(150);
    }
  };
  Stream(900);
  JobSpec Whole = Sim::job(Job, 1, Wide, 400);
  Whole.Steps[0].Estimate = Millis(400);
  World.submit(Whole);
  Stream(1'500);
  LONGS_EQUAL(1, World.runsOf(task(0)));
}

TEST(AnOwnerOfTwoExecutors,
     WhatEndsBeforeAWholeExecutorIsFreeMayRunThereMeanwhile) {
  JobSpec Long = Sim::job("00000000000000d1", 2,
                          {.MilliCores = 3'000, .MemoryMb = 100}, 2'000);
  Long.Steps[0].Estimate = Millis(2'000);
  World.submit(Long);
  World.pass(100);
  JobSpec Whole = Sim::job(Job, 1, Wide, 400);
  Whole.Steps[0].Estimate = Millis(400);
  World.submit(Whole);
  JobSpec Short = Sim::job("00000000000000d2", 2, Small, 300);
  Short.Steps[0].Estimate = Millis(300);
  World.submit(Short);
  World.pass(100);
  LONGS_EQUAL(1, World.runsOf("00000000000000d2.0.0.0"));
  LONGS_EQUAL(1, World.runsOf("00000000000000d2.0.0.1"));
}

TEST(WithAGangOfTwoWholeExecutors, ItRunsAllAtOnceUnderOneNumber) {
  CHECK_TRUE(completes(1'500));
  LONGS_EQUAL(2, World.Started.size());
  LONGS_EQUAL(World.Started[0].What.Run, World.Started[1].What.Run);
}

TEST(WithAGangOfTwoWholeExecutors, AMembersFailureStartsAllAnew) {
  bool First = true;
  World.HowEnds = [&](const std::string &) {
    return std::exchange(First, false) ? EndKind::Failed : EndKind::Done;
  };
  CHECK_TRUE(completes(4'000));
  LONGS_EQUAL(4, World.Started.size());
  LONGS_EQUAL(2, World.Started.back().What.Run);
}

// clang-format off
TEST_GROUP(AnOwnerThatTakesHalfAGangOver) {
  std::shared_ptr<CellConfig> Config = std::make_shared<CellConfig>();
  JobSpec Gang = Sim::job(Job, 2, Wide, 400);
  JobProgress Progress;
  TimePoint Now{Millis(100'000)};
  std::optional<CellOwner> Owner;

  void setup() override {
    Gang.Steps[0].Gang = true;
    Progress.Phase = JobPhase::Running;
    Progress.Tasks[{0, 0, 0}] = {.Phase = TaskPhase::Waiting, .Run = 1};
    Progress.Tasks[{0, 0, 1}] = {.Phase = TaskPhase::Starting, .Run = 1, .Executor = "i-1", .Address = "x:1"};
    Owner.emplace(OwnerOptions{.Service = "s", .InheritedLeaseEnd = Now + Millis(5'000)}, Config);
    Owner->restore(Gang, Progress, false, Now, Now);
  }
};
// clang-format on

TEST(AnOwnerThatTakesHalfAGangOver, StopsWhatIsLeftOfIt) {
  OwnerCommands Out = Owner->advance(Now, 0);
  LONGS_EQUAL(1, Out.Stops.size());
  STRCMP_EQUAL(task(1).c_str(), Out.Stops[0].Order.What.Task.c_str());
  LONGS_EQUAL(1, Out.Stops[0].Order.What.Run);
}

TEST(WithAGangOfTwoWholeExecutors, ItWaitsWholeWhileOneExecutorIsTaken) {
  JobSpec Filling = Sim::job("00000000000000e5", 1, Small, 800);
  World.pass(1'000);
  World.submit(Filling);
  World.pass(50);
  World.submit([] {
    JobSpec Gang = Sim::job("00000000000000f6", 2, Wide, 200);
    Gang.Steps[0].Gang = true;
    return Gang;
  }());
  World.pass(300);
  LONGS_EQUAL(0, World.runsOf("00000000000000f6.0.0.0"));
  World.pass(2'000);
  CHECK(World.storedPhase("00000000000000f6") == JobPhase::Completed);
}

/// Lost and late orders and commits, dead and cut executors and owners that
/// take over from each other: no task twice, none overbooked, none unrecorded,
/// and nothing lost.
TEST_GROUP(AStormOfFaults){};

namespace {

void playStorm(uint64_t Seed) {
  Sim World(Seed);
  Random Dice(Seed * 7 + 1);
  for (int I = 0; I < 6; ++I)
    World.addExecutor(Wide, I % 2 ? "r1" : "r2");
  World.takeOver();
  World.Trouble = {.OrderAnswerLost = 0.1,
                   .OrderLate = 0.05,
                   .CommitAnswerLost = 0.1,
                   .CommitLate = 0.05};
  std::vector<std::string> Ids;
  for (uint64_t Round = 0; Round < 40; ++Round) {
    std::string Id = "00000000000000" + std::to_string(10 + Round);
    JobSpec Next = Sim::job(Id, 1 + static_cast<uint32_t>(Dice.below(4)), Small,
                            100 + static_cast<int64_t>(Dice.below(900)));
    if (Dice.below(3) == 0)
      Next.Steps.push_back({.Count = 2,
                            .Size = Small,
                            .Estimate = Millis(150),
                            .Dependencies = {0}});
    Next.Steps[0].Gang = Dice.below(4) == 0;
    World.submit(Next);
    Ids.push_back(Id);
    if (Dice.below(6) == 0)
      World.takeOver();
    std::string Some = "i-" + std::to_string(Dice.below(6));
    World.executor(Some).Cut = Dice.below(3) == 0;
    World.StoreDown = Dice.below(8) == 0;
    World.pass(200 + static_cast<int64_t>(Dice.below(400)));
  }
  World.Trouble = {};
  World.StoreDown = false;
  for (int I = 0; I < 6; ++I)
    World.executor("i-" + std::to_string(I)).Cut = false;
  World.pass(25'000);
  for (const std::string &Each : World.violations())
    FAIL(("seed " + std::to_string(Seed) + ": " + Each).c_str());
  for (const std::string &Each : Ids) {
    std::string What = "seed " + std::to_string(Seed) + ": " + Each + " " +
                       std::string(phaseName(World.storedPhase(Each)));
    CHECK_TEXT(World.storedPhase(Each) == JobPhase::Completed, What.c_str());
  }
}

/// Entries and owners store the same jobs while the store is slow, so that
/// commits are sent in copies, and many of them are refused.
void playSlowStore(uint64_t Seed) {
  Sim World(Seed);
  Random Dice(Seed * 13 + 5);
  for (int I = 0; I < 6; ++I)
    World.addExecutor(Wide);
  World.takeOver();
  std::vector<std::string> Ids;
  std::map<std::string, OfferOutcome> Told;
  for (uint64_t Round = 0; Round < 40; ++Round) {
    World.CommitTakesMs = 10 + static_cast<int64_t>(Dice.below(400));
    std::string Id = "00000000000000" + std::to_string(10 + Round);
    JobSpec Next = Sim::job(Id, 1 + static_cast<uint32_t>(Dice.below(3)), Small,
                            100 + static_cast<int64_t>(Dice.below(600)));
    World.know(Next);
    Ids.push_back(Id);
    World.Owner->offer(
        {.Job = Next,
         .TimeLeft = Millis(600 + Dice.below(3'000)),
         .Done = [&, Id](OfferOutcome With) { Told[Id] = With; }},
        World.Now, World.Now);
    if (Dice.below(2) == 0)
      World.storeOnly(Next);
    World.Owner->setStoreReadMs(static_cast<double>(World.CommitTakesMs) / 3);
    World.pass(20 + static_cast<int64_t>(Dice.below(200)));
  }
  World.CommitTakesMs = 10;
  World.pass(15'000);
  for (const std::string &Each : World.violations())
    FAIL(("seed " + std::to_string(Seed) + ": " + Each).c_str());
  for (const std::string &Each : Ids) {
    bool IsStored = !World.stored(JobTable, Each).empty();
    CHECK_TEXT(IsStored || Told.at(Each) == OfferOutcome::Expired,
               Each.c_str());
    if (IsStored)
      CHECK_TEXT(World.storedPhase(Each) == JobPhase::Completed, Each.c_str());
  }
}

} // namespace

TEST(AStormOfFaults, OnASlowStoreBreaksNoPromise) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    playSlowStore(Seed);
}

TEST(AStormOfFaults, BreaksNoPromise) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    playStorm(Seed);
}
