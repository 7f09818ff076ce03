#include "cell/AdviceDispatcher.h"
#include "cell/OwnerRow.h"
#include "cell/Placement.h"
#include "cell/SpeedTracker.h"
#include "common/Base64.h"
#include "config/CellSettings.h"
#include "node/OfferPolicy.h"
#include "node/OwnerReads.h"
#include "node/OwnerWatch.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

AdviceCallCommand makeCall(uint64_t Id, double ExpectedMs, int64_t DueMs) {
  return {.Id = Id, .DueAt = at(DueMs), .ExpectedMs = ExpectedMs};
}

std::vector<AdviceQueueInfo> eightQueues() {
  std::vector<AdviceQueueInfo> Queues = {{.Entry = "own"}};
  for (int I = 1; I < 8; ++I)
    Queues.push_back(
        {.Entry = "e" + std::to_string(I), .Address = "a" + std::to_string(I)});
  return Queues;
}

} // namespace

// clang-format off
TEST_GROUP(EightAdviceQueues) {
  AdviceDispatcher Dispatcher;
  void setup() override { Dispatcher.setQueues(eightQueues()); }
  size_t assignAll() {
    size_t Count = 0;
    while (Dispatcher.assignNext(at(0)))
      ++Count;
    return Count;
  }
};

TEST_GROUP_BASE(WhenLongCallsFillThem, TEST_GROUP_CppUTestGroupEightAdviceQueues) {
  void setup() override {
    TEST_GROUP_CppUTestGroupEightAdviceQueues::setup();
    for (uint64_t I = 0; I < 50; ++I)
      Dispatcher.add(makeCall(I, 580, 10));
    assignAll();
  }
};
// clang-format on

TEST(EightAdviceQueues, TheCallThatIsDueFirstGoesFirst) {
  Dispatcher.add(makeCall(1, 25, 500));
  Dispatcher.add(makeCall(2, 25, 100));
  LONGS_EQUAL(2, Dispatcher.assignNext(at(0))->Command.Id);
}

TEST(WhenLongCallsFillThem, AShortCallStillFindsAQueue) {
  Dispatcher.add(makeCall(100, 25, 5'000));
  auto Next = Dispatcher.assignNext(at(0));
  CHECK_TRUE(Next.has_value());
  LONGS_EQUAL(100, Next->Command.Id);
}

TEST(WhenLongCallsFillThem, TheOtherCallsWaitInTheDispatcher) {
  CHECK(Dispatcher.waitingCount() > 40);
}

TEST(EightAdviceQueues, AQueueThatFailsBacksOff) {
  Dispatcher.add(makeCall(1, 25, 10));
  std::string First = Dispatcher.assignNext(at(0))->Address;
  Dispatcher.onCallEnded(First, 1, true, at(0));
  for (uint64_t I = 0; I < 20; ++I)
    Dispatcher.add(makeCall(10 + I, 25, 10));
  while (auto Next = Dispatcher.assignNext(at(10)))
    CHECK(Next->Address != First);
}

TEST(EightAdviceQueues, AQueueThatFailedIsUsedAfterTheOthers) {
  Dispatcher.add(makeCall(1, 580, 10));
  std::string First = Dispatcher.assignNext(at(0))->Address;
  Dispatcher.onCallEnded(First, 1, true, at(0));
  Dispatcher.add(makeCall(2, 580, 10));
  CHECK(Dispatcher.assignNext(at(10'000))->Address != First);
}

// clang-format off
TEST_GROUP_BASE(WhenACallGetsNoAnswer, TEST_GROUP_CppUTestGroupEightAdviceQueues) {
  static constexpr int64_t OverdueMs = 1'400;
  std::string First;
  void setup() override {
    TEST_GROUP_CppUTestGroupEightAdviceQueues::setup();
    Dispatcher.add(makeCall(1, 580, 10));
    First = Dispatcher.assignNext(at(0))->Address;
  }
  std::optional<AdviceDispatcher::Assignment> copyAt(int64_t Ms) {
    Dispatcher.addCopies(at(Ms));
    return Dispatcher.assignNext(at(Ms));
  }
};
// clang-format on

/// Guards against a step that waits out the time limits of one silent entry
/// after the other.
TEST(WhenACallGetsNoAnswer, ACopyGoesToAnotherQueue) {
  CHECK_FALSE(copyAt(500).has_value());
  auto Copy = copyAt(OverdueMs);
  CHECK_TRUE(Copy.has_value());
  CHECK(Copy->Address != First);
  CHECK_FALSE(copyAt(2 * OverdueMs).has_value());
}

TEST(WhenACallGetsNoAnswer, TheFirstAnswerToEitherCounts) {
  auto Copy = copyAt(OverdueMs);
  CHECK_FALSE(Dispatcher.onCallEnded(First, 1, true, at(OverdueMs + 10)));
  CHECK_TRUE(
      Dispatcher.onCallEnded(Copy->Address, 1, false, at(OverdueMs + 20)));
  CHECK_FALSE(
      Dispatcher.onCallEnded(Copy->Address, 1, false, at(OverdueMs + 30)));
}

TEST(WhenACallGetsNoAnswer, ACopyDoesNotDelayOtherCalls) {
  Dispatcher.add(makeCall(2, 580, 99'000));
  LONGS_EQUAL(2, copyAt(OverdueMs)->Command.Id);
}

TEST(EightAdviceQueues, WithAllShortQueuesDownTheOthersTakeShortCalls) {
  constexpr int ShortQueues = 3;
  for (int Round = 0; Round < ShortQueues; ++Round) {
    Dispatcher.add(makeCall(1, 25, 10));
    Dispatcher.onCallEnded(Dispatcher.assignNext(at(0))->Address, 1, true,
                           at(0));
  }
  Dispatcher.add(makeCall(2, 25, 10));
  CHECK_TRUE(Dispatcher.assignNext(at(0)).has_value());
}

// clang-format off
TEST_GROUP(SpeedsOfThreeExecutors) {
  SpeedTracker Speeds;
  void setup() override {
    for (int I = 0; I < 20; ++I) {
      Speeds.recordRunTime(0, "q", Millis(1'000), Millis(1'000), at(I));
      Speeds.recordRunTime(1, "q", Millis(1'000), Millis(1'100), at(I));
    }
  }
};
// clang-format on

TEST(SpeedsOfThreeExecutors, OneThatTakesFourTimesAsLongStandsOut) {
  for (int I = 0; I < 6; ++I)
    Speeds.recordRunTime(2, "q", Millis(1'000), Millis(4'000), at(20));
  CHECK(Speeds.slowness(2, at(20)) > 2.5);
  CHECK(Speeds.slowness(0, at(20)) < 1.5);
}

TEST(SpeedsOfThreeExecutors, ItsSlownessDecaysSoThatItIsTriedAgain) {
  for (int I = 0; I < 6; ++I)
    Speeds.recordRunTime(2, "q", Millis(1'000), Millis(4'000), at(20));
  CHECK(Speeds.slowness(2, at(20'000)) < 1.5);
}

TEST(SpeedsOfThreeExecutors, EstimatesOfAQueueAreCorrected) {
  for (int I = 0; I < 200; ++I)
    Speeds.recordRunTime(0, "wrong", Millis(1'000), Millis(3'000), at(I));
  CHECK(Speeds.expectedRunTime("wrong", Millis(500)) > Millis(1'300));
  CHECK(Speeds.expectedRunTime("unknown", Millis(500)) == Millis(500));
}

// clang-format off
TEST_GROUP(AWatchedOwner) {
  node::OwnerWatch Watch{node::OwnerWatchOptions{}};
  OwnerRow Row{.Holder = "a/1", .Epoch = 4};
  Micros Quick = Millis(5);
  void setup() override { Watch.recordRow(10, Row, Quick, at(0)); }
};
// clang-format on

TEST(AWatchedOwner, IsLeftAloneWhileItRenews) {
  for (int64_t Ms = 300; Ms < 6'000; Ms += 300)
    Watch.recordRow(10 + static_cast<uint64_t>(Ms), Row, Quick, at(Ms));
  CHECK_FALSE(Watch.shouldAcquire("b/1", 0, at(6'000)));
}

TEST(AWatchedOwner, IsReplacedWithinTwoSecondsOfItsDeath) {
  Watch.recordRow(10, Row, Quick, at(1'500));
  CHECK_TRUE(Watch.shouldAcquire("b/1", 0, at(1'500)));
  CHECK_EQUAL(EpochStride, Watch.successorRow("b/1").Epoch);
}

TEST(AWatchedOwner, IsNotReplacedForSilenceInAStoreOutage) {
  Watch.recordReadFailure();
  CHECK_FALSE(Watch.shouldAcquire("b/1", 0, at(5'000)));
  Watch.recordRow(10, Row, Quick, at(5'100));
  CHECK_FALSE(Watch.shouldAcquire("b/1", 0, at(5'400)));
}

TEST(AWatchedOwner, OnASlowStoreGetsMoreTime) {
  Watch.recordRow(10, Row, Millis(240), at(1'500));
  CHECK_FALSE(Watch.shouldAcquire("b/1", 0, at(1'500)));
  CHECK_TRUE(Watch.shouldAcquire("b/1", 0, at(2'600)));
}

TEST(AWatchedOwner, IsGivenTimeToCommitAfterASlowStore) {
  Watch.recordRow(11, Row, Millis(400), at(1'000));
  Watch.recordRow(11, Row, Millis(400), at(2'400));
  Watch.recordRow(11, Row, Quick, at(2'500));
  CHECK_FALSE(Watch.shouldAcquire("b/1", 0, at(2'500)));
  for (int64_t Ms = 2'800; Ms < 4'300; Ms += 300)
    Watch.recordRow(11, Row, Quick, at(Ms));
  CHECK_TRUE(Watch.shouldAcquire("b/1", 0, at(4'300)));
}

TEST(AWatchedOwner, IsReplacedAtOnceByItsNextIncarnation) {
  CHECK_TRUE(Watch.shouldAcquire("a/2", 0, at(10)));
}

TEST(AWatchedOwner, PassesItsPendingCountsToTheNextOwner) {
  Row.Pending.ByQueue["q"] = 7;
  Watch.recordRow(11, Row, Quick, at(100));
  LONGS_EQUAL(7, Watch.successorRow("b/1").Pending.ByQueue["q"]);
}

TEST(AWatchedOwner, ThatReleasedTheServiceIsReplacedAtOnce) {
  Row.Released = true;
  Watch.recordRow(11, Row, Quick, at(100));
  CHECK_TRUE(Watch.shouldAcquire("b/1", 0, at(100)));
}

TEST(AWatchedOwner, TellsItsSuccessorWhenItsLeasesHaveExpired) {
  Row.LeasesEndMs = 7'000;
  Row.SilentLeaseEnds["i-1"] = 4'000;
  auto Stored = decodeOwnerRow(encodeOwnerRow(Row));
  Watch.recordRow(11, *Stored, Quick, at(100));
  LONGS_EQUAL(7'000, *Watch.successorRow("b/1").LeasesEndMs);
  LONGS_EQUAL(4'000, Watch.successorRow("b/1").SilentLeaseEnds["i-1"]);
}

/// Guards against runs that are taken as over while an owner of an earlier
/// version, whose rows say nothing of leases, may still have renewed theirs.
TEST(AWatchedOwner, OfAnEarlierVersionLeavesItsSuccessorWithoutALeaseEnd) {
  auto Stored = decodeOwnerRow(encodeOwnerRow(Row));
  Watch.recordRow(11, *Stored, Quick, at(100));
  CHECK_FALSE(Watch.successorRow("b/1").LeasesEndMs.has_value());
}

TEST(AWatchedOwner, ThatNeverWasLeavesNoLeases) {
  node::OwnerWatch Unowned{node::OwnerWatchOptions{}};
  Unowned.recordRow(0, std::nullopt, Quick, at(0));
  LONGS_EQUAL(0, *Unowned.successorRow("b/1").LeasesEndMs);
}

TEST(AWatchedOwner, TellsOthersOfTheLargestEntry) {
  Row.LargestEntry = {.MilliCores = 500, .LinkKbitPerSecond = 200'000};
  auto Stored = decodeOwnerRow(encodeOwnerRow(Row));
  Watch.recordRow(11, *Stored, Quick, at(100));
  CHECK(Watch.largestEntry() == Row.LargestEntry);
  CHECK(Watch.successorRow("b/1").LargestEntry == Row.LargestEntry);
}

TEST_GROUP(EntriesOfUnequalSize){};

TEST(EntriesOfUnequalSize, OneOfAQuarterOfTheProcessorIsMuchSmaller) {
  CHECK_TRUE(isMuchSmaller({.MilliCores = 120, .LinkKbitPerSecond = 200'000},
                           {.MilliCores = 500, .LinkKbitPerSecond = 200'000}));
}

TEST(EntriesOfUnequalSize, OneOfAQuarterOfTheLinkIsMuchSmaller) {
  CHECK_TRUE(isMuchSmaller({.MilliCores = 500, .LinkKbitPerSecond = 50'000},
                           {.MilliCores = 500, .LinkKbitPerSecond = 200'000}));
}

/// Guards against an owner that can't carry its service while larger entries
/// own none.
TEST(EntriesOfUnequalSize, ASmallOneTriesAfterEveryLargerOne) {
  node::AcquisitionRank Small{.IsMuchSmaller = true};
  node::AcquisitionRank BusyLarge{.OwnedServices = 1, .Jitter = 2};
  CHECK(Small.value() > BusyLarge.value());
}

TEST(EntriesOfUnequalSize, OneOfHalfTheSizeCountsAsEqual) {
  CHECK_FALSE(isMuchSmaller({.MilliCores = 250, .LinkKbitPerSecond = 100'000},
                            {.MilliCores = 500, .LinkKbitPerSecond = 200'000}));
  CHECK_FALSE(isMuchSmaller({}, {}));
}

TEST(EntriesOfUnequalSize, TheirCapacityRoundTrips) {
  EntryCapacity Capacity{.MilliCores = 120, .LinkKbitPerSecond = 10'000};
  CHECK(*decodeEntryCapacity(encodeEntryCapacity(Capacity)) == Capacity);
  CHECK_FALSE(bool(decodeEntryCapacity("{}")));
}

TEST(AWatchedOwner, ThatThisEntryReleasedIsLeftToOthersFirst) {
  OwnerRow Released{.Holder = "e1/a", .Epoch = 4, .Released = true};
  Watch.recordRow(7, Released, Millis(5), at(0));
  CHECK_FALSE(Watch.shouldAcquire("e1/a", 0, at(500)));
  CHECK_TRUE(Watch.shouldAcquire("e2/b", 0, at(500)));
  CHECK_TRUE(Watch.shouldAcquire("e1/a", 0, at(2'000)));
}

// clang-format off
TEST_GROUP(ReadsOfAnOwnerRow) {
  static constexpr double QuickReadMs = 5;
  node::OwnerReads Reads;

  void setup() override { Reads.recordSent(at(0)); }
};
// clang-format on

TEST(ReadsOfAnOwnerRow, FollowAnAnswerAfterAnInterval) {
  CHECK_TRUE(Reads.recordEnd(at(0), true, at(5)));
  CHECK_FALSE(Reads.isDue(at(200), QuickReadMs));
  CHECK_TRUE(Reads.isDue(at(305), QuickReadMs));
}

/// Guards against a store that answers again and is taken for silent until the
/// last read has timed out.
TEST(ReadsOfAnOwnerRow, AreRepeatedWhileTheStoreIsSilent) {
  CHECK_FALSE(Reads.isDue(at(100), QuickReadMs));
  CHECK_TRUE(Reads.isDue(at(250), QuickReadMs));
  Reads.recordSent(at(250));
  CHECK_FALSE(Reads.isDue(at(400), QuickReadMs));
  CHECK_TRUE(Reads.isDue(at(500), QuickReadMs));
  LONGS_EQUAL(500, toMillis(Reads.oldestAge(at(500))));
}

TEST(ReadsOfAnOwnerRow, AreNotRepeatedWhileTheStoreIsSlow) {
  CHECK_FALSE(Reads.isDue(at(900), 300));
}

TEST(ReadsOfAnOwnerRow, CountOnlyUntilANewerOneIsAnswered) {
  Reads.recordSent(at(250));
  CHECK_TRUE(Reads.recordEnd(at(250), true, at(260)));
  CHECK_TRUE(Reads.hasOlder(at(250)));
  LONGS_EQUAL(0, toMillis(Reads.oldestAge(at(800))));
  CHECK_FALSE(Reads.recordEnd(at(0), false, at(900)));
  CHECK_FALSE(Reads.hasOlder(at(250)));
}

// clang-format off
TEST_GROUP(OffersToAnOwner) {
  node::OfferPolicy Policy;
};
// clang-format on

TEST(OffersToAnOwner, PauseAfterOneThatGotNoAnswer) {
  CHECK_TRUE(Policy.mayOffer(at(0)));
  Policy.recordFailure(at(0));
  CHECK_FALSE(Policy.mayOffer(at(100)));
  CHECK_TRUE(Policy.mayOffer(at(1'000)));
}

TEST(OffersToAnOwner, WaitLongerWhenAnswersTakeLonger) {
  Millis TimeoutBefore = Policy.adaptiveTimeout();
  for (int I = 0; I < 10; ++I)
    Policy.recordAnswer(Millis(200));
  CHECK(Policy.adaptiveTimeout() > TimeoutBefore);
  CHECK(Policy.adaptiveTimeout() <= Millis(1'500));
}

TEST(OffersToAnOwner, WaitForAllTheTimeLeftOnASlowStore) {
  CHECK(Policy.offerTimeout(Millis(2'800), 5) == Policy.adaptiveTimeout());
  CHECK(Policy.offerTimeout(Millis(1'000), 5) == Millis(500));
  CHECK(Policy.offerTimeout(Millis(2'800), 160) == Millis(2'800));
  CHECK(Policy.offerTimeout(Millis(-50), 160) > Millis(0));
}

TEST(OffersToAnOwner, AreNotFollowedByAWriteThatCannotBeAnsweredInTime) {
  CHECK_TRUE(node::OfferPolicy::canWriteInTime(Millis(300), 5));
  CHECK_FALSE(node::OfferPolicy::canWriteInTime(Millis(300), 160));
  CHECK_FALSE(node::OfferPolicy::canWriteInTime(Millis(-1), 5));
}

// clang-format off
TEST_GROUP(ThreeExecutorsWithFreeCapacity) {
  ExecutorPool Pool{LeaseOptions{}};
  std::vector<ExecutorLoad> Loads{3};
  StepSpec Step{.Count = 1, .Size = {.MilliCores = 1'000, .MemoryMb = 100}};
  void setup() override {
    std::vector<executor::ExecutorInfo> List;
    List.reserve(10);
    for (int I = 0; I < 3; ++I)
      List.push_back({.Id = "i-" + std::to_string(I),
                      .Service = "s",
                      .Address = "x:1",
                      .AvailabilityZone = "z",
                      .Rack = I == 2 ? "r2" : "r1",
                      .Labels = {I == 0 ? "b" : "a", I == 2 ? "r2" : "r1"},
                      .Capacity = {.MilliCores = 8'000, .MemoryMb = 1'000}});
    Pool.update(List, at(0));
    for (ExecutorIndex I = 0; I < 3; ++I) {
      Pool.recordAnswer(I, 1'000, at(0));
      Pool[I].TokenConfirmed = true;
    }
  }
  std::optional<ExecutorIndex> chooseOne() {
    return chooseExecutor(Pool, Loads, {.Step = &Step}, at(10));
  }
};
// clang-format on

TEST(ThreeExecutorsWithFreeCapacity, TheFullestThatFitsIsChosen) {
  Pool.reserve(1, {.MilliCores = 6'000});
  LONGS_EQUAL(1, *chooseOne());
}

TEST(ThreeExecutorsWithFreeCapacity, OnlyAnExecutorWithTheLabelIsChosen) {
  Step.Constraint = "b";
  LONGS_EQUAL(0, *chooseOne());
}

TEST(ThreeExecutorsWithFreeCapacity, TheRackNearTheDataIsPreferred) {
  Step.Affinity = "r2";
  LONGS_EQUAL(2, *chooseOne());
}

TEST(ThreeExecutorsWithFreeCapacity, ABestEffortTaskReservesMemoryButNoCores) {
  Step.BestEffort = true;
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.reserve(I, {.MilliCores = 8'000});
  CHECK_TRUE(chooseOne().has_value());
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.reserve(I, {.MemoryMb = 950});
  CHECK_FALSE(chooseOne().has_value());
}

TEST(ThreeExecutorsWithFreeCapacity,
     ABestEffortTaskAvoidsExecutorsThatServeUsers) {
  Step.BestEffort = true;
  Loads[0].ServingTasks = Loads[1].ServingTasks = 1;
  Pool.reserve(2, {.MilliCores = 7'000});
  LONGS_EQUAL(2, *chooseOne());
}

TEST(ThreeExecutorsWithFreeCapacity, OneThatIsMuchSlowerGetsNoTasks) {
  Pool.reserve(1, {.MilliCores = 6'000});
  Loads[1].Slowness = 4;
  CHECK(*chooseOne() != 1);
}

TEST(ThreeExecutorsWithFreeCapacity, AColocatedGangStaysOnOneRack) {
  Step.Colocate = true;
  Pool.reserve(0, {.MilliCores = 7'500});
  auto Executors = chooseGangExecutors(Pool, Loads, {.Step = &Step}, 2, at(10));
  CHECK_TRUE(Executors.has_value());
  CHECK(Pool[(*Executors)[0]].Info.Rack == Pool[(*Executors)[1]].Info.Rack);
}

TEST(ThreeExecutorsWithFreeCapacity,
     OneThatFallsSilentGetsNoTasksUntilItAnswers) {
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.recordUnanswered(I, at(20));
  CHECK_FALSE(chooseOne().has_value());
  Pool.recordAnswer(1, 1'100, at(60));
  LONGS_EQUAL(1, *chooseOne());
}

TEST(ThreeExecutorsWithFreeCapacity,
     AFourthInTheirZoneIsNotUsableIfAllFallSilent) {
  std::vector<executor::ExecutorInfo> List;
  List.reserve(4);
  for (ExecutorIndex I = 0; I < 3; ++I)
    List.push_back(Pool[I].Info);
  List.push_back(List.front());
  List.back().Id = "i-3";
  Pool.update(List, at(10));
  Loads.resize(4);
  Pool.recordAnswer(3, 1'000, at(10));
  Pool[3].TokenConfirmed = true;
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.recordUnanswered(I, at(1'000));
  CHECK_FALSE(Pool.isUsable(3, at(1'000)));
  Pool.recordAnswer(3, 2'000, at(1'010));
  CHECK_TRUE(Pool.isUsable(3, at(1'010)));
}

TEST_GROUP(StoredForms){};

TEST(StoredForms, Base64RoundTrips) {
  for (const char *Text : {"", "a", "ab", "abc", "abcd", "\xff\x01"})
    STRCMP_EQUAL(Text, decodeBase64(encodeBase64(Text))->c_str());
  CHECK_FALSE(static_cast<bool>(decodeBase64("a*c=")));
  CHECK_FALSE(static_cast<bool>(decodeBase64("abc")));
}

TEST(StoredForms, ProgressRoundTrips) {
  JobProgress Original{.Phase = JobPhase::Running, .DoneOccurrences = {0, 2}};
  Original.Tasks[{3, 1, 2}] = {.Phase = TaskPhase::Starting,
                               .Run = 4,
                               .Failures = 1,
                               .Crashes = 2,
                               .Executor = "i-\"1",
                               .Address = "x:1",
                               .Checkpoint = "c"};
  auto Decoded = decodeProgress(encodeProgress(Original));
  CHECK_TRUE(static_cast<bool>(Decoded));
  CHECK(Decoded->Tasks == Original.Tasks);
  CHECK(Decoded->DoneOccurrences == Original.DoneOccurrences);
}

TEST(StoredForms, ProgressKeepsWhichTasksHaveNotRun) {
  JobProgress Original{.Phase = JobPhase::Running, .EndedMs = 7};
  for (uint32_t I : {1U, 2U, 3U, 7U})
    Original.Tasks[{0, 2, I}] = {.Phase = TaskPhase::Done, .Run = 1};
  Original.Tasks[{0, 2, 4}] = {.Run = 2, .Checkpoint = "a*3 ;:"};
  Original.Tasks[{1, 0, 0}] = {.Phase = TaskPhase::Starting,
                               .Run = 1,
                               .Executor = "a,b;c",
                               .Address = "x:1"};
  auto Decoded = decodeProgress(encodeProgress(Original));
  CHECK_TRUE(static_cast<bool>(Decoded));
  CHECK(Decoded->Tasks == Original.Tasks);
  LONGS_EQUAL(7, Decoded->EndedMs);
}

TEST(StoredForms, ProgressOfAWideJobIsSmall) {
  constexpr uint32_t Tasks = 180;
  constexpr uint32_t Open = 10;
  JobProgress Wide{.Phase = JobPhase::Running};
  for (uint32_t I = 0; I < Tasks; ++I)
    Wide.Tasks[{0, 0, I}] = {.Phase = TaskPhase::Done, .Run = 1};
  for (uint32_t I = 0; I < Open; ++I)
    Wide.Tasks[{0, 0, I * (Tasks / Open)}] = {
        .Phase = TaskPhase::Starting,
        .Run = 1,
        .Executor = "i-0123456789",
        .Address = "10.10.10." + std::to_string(100 + I) + ":8684"};
  size_t BytesAnOpenRun = 64;
  CHECK(encodeProgress(Wide).size() < Open * BytesAnOpenRun);
}

TEST(StoredForms, ProgressOfAnotherJobIsNoticed) {
  JobSpec Job;
  Job.Steps.push_back({.Count = 2});
  auto Fits = [&](TaskPosition Position) {
    JobProgress Progress;
    Progress.Tasks[Position].Run = 1;
    return fitsJob(Progress, Job);
  };
  CHECK_TRUE(Fits({0, 0, 1}));
  CHECK_FALSE(Fits({0, 0, 2}));
  CHECK_FALSE(Fits({0, 1, 0}));
  CHECK_FALSE(Fits({1, 0, 0}));
}

TEST(StoredForms, ProgressOfAnEarlierVersionIsRead) {
  auto Decoded = decodeProgress(
      R"({"phase":"running","tasks":[[0,0,1,"o",2,0,"i-1","c"]]})");
  CHECK_TRUE(static_cast<bool>(Decoded));
  CHECK(Decoded->Tasks.at({0, 0, 1}).Executor == "i-1");
  LONGS_EQUAL(0, Decoded->Tasks.at({0, 0, 1}).Crashes);
}

TEST(StoredForms, UnreadableProgressIsAnError) {
  CHECK_FALSE(static_cast<bool>(decodeProgress("{}")));
  CHECK_FALSE(static_cast<bool>(
      decodeProgress(R"({"phase":"running","tasks":[[0,0]]})")));
  CHECK_FALSE(static_cast<bool>(decodeProgress("\xff")));
  for (const char *Text :
       {"2;", "2;running", "2;running;0;", "2;running;0;;;0.0=d",
        "2;running;0;;;0.0=o1", "2;running;0;;;0.0=o1e0",
        "2;running;0;;9:i-1;0.0=o1e0", "2;running;0;;;0.0=d1*900",
        "2;running;0;;;0.0=_*4000000000d1", "2;running;0;;;0.0=x1",
        "2;running;0;;;0.0=w1k9:c"})
    CHECK_FALSE_TEXT(static_cast<bool>(decodeProgress(Text)), Text);
}

TEST(StoredForms, TaskNamesRoundTrip) {
  auto Ref = parseTaskName("5c0e7a21d94b36f8.1.2.17");
  CHECK_TRUE(static_cast<bool>(Ref));
  STRCMP_EQUAL("5c0e7a21d94b36f8.1.2.17", taskName(*Ref).c_str());
  CHECK_FALSE(static_cast<bool>(parseTaskName("5c0e7a21d94b36f8.1.2")));
  CHECK_FALSE(static_cast<bool>(parseTaskName("x.1.2.-3")));
}

TEST(StoredForms, ASettingOutOfRangeIsReportedWithItsLine) {
  std::vector<config::SettingsProblem> Problems;
  auto Read = config::parseCellSettings("[entry]\nname = \"e\"\nzone = \"z\"\n"
                                        "drain_limit_ms = 5\n[listen]\n"
                                        "callers = \"127.0.0.1:1\"\n"
                                        "readiness = \"127.0.0.1:2\"\n"
                                        "relay = \"127.0.0.1:3\"\n"
                                        "operators = \"127.0.0.1:4\"\n"
                                        "[services]\nstore = \"127.0.0.1:5\"\n",
                                        "f.toml", Problems);
  CHECK_FALSE(static_cast<bool>(Read));
  LONGS_EQUAL(1, Problems.size());
  LONGS_EQUAL(4, Problems[0].Line);
  STRCMP_EQUAL("entry.drain_limit_ms", Problems[0].Key.c_str());
}
