#include "cell/AdviceLines.h"
#include "cell/OwnerRow.h"
#include "cell/Placement.h"
#include "cell/SpeedTracker.h"
#include "common/Base64.h"
#include "config/CellSettings.h"
#include "node/OfferPolicy.h"
#include "node/OwnerWatch.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

AdviceCommand call(uint64_t Id, double ExpectedMs, int64_t DueMs) {
  return {.Id = Id, .Due = at(DueMs), .ExpectedMs = ExpectedMs};
}

std::vector<LineInfo> eightLines() {
  std::vector<LineInfo> Out = {{.Entry = "own"}};
  for (int I = 1; I < 8; ++I)
    Out.push_back(
        {.Entry = "e" + std::to_string(I), .Address = "a" + std::to_string(I)});
  return Out;
}

} // namespace

// clang-format off
TEST_GROUP(EightLinesForAdvice) {
  AdviceLines Lines;
  void setup() override { Lines.setLines(eightLines()); }
  size_t assignAll() {
    size_t Count = 0;
    while (Lines.next(at(0)))
      ++Count;
    return Count;
  }
};

TEST_GROUP_BASE(WhenLongCallsFloodThem, TEST_GROUP_CppUTestGroupEightLinesForAdvice) {
  void setup() override {
    TEST_GROUP_CppUTestGroupEightLinesForAdvice::setup();
    for (uint64_t I = 0; I < 50; ++I)
      Lines.add(call(I, 580, 10));
    assignAll();
  }
};
// clang-format on

TEST(EightLinesForAdvice, TheCallThatIsDueFirstGoesFirst) {
  Lines.add(call(1, 25, 500));
  Lines.add(call(2, 25, 100));
  LONGS_EQUAL(2, Lines.next(at(0))->Command.Id);
}

TEST(WhenLongCallsFloodThem, AShortCallStillFindsALine) {
  Lines.add(call(100, 25, 5'000));
  auto Next = Lines.next(at(0));
  CHECK_TRUE(Next.has_value());
  LONGS_EQUAL(100, Next->Command.Id);
}

TEST(WhenLongCallsFloodThem, TheOthersWaitHereAndNotOnALine) {
  CHECK(Lines.waiting() > 40);
}

TEST(EightLinesForAdvice, ALineThatFailsRests) {
  Lines.add(call(1, 25, 10));
  std::string First = Lines.next(at(0))->Line;
  Lines.done(First, 25, true, at(0));
  for (uint64_t I = 0; I < 20; ++I)
    Lines.add(call(10 + I, 25, 10));
  while (auto Next = Lines.next(at(10)))
    CHECK(Next->Line != First);
}

TEST(EightLinesForAdvice, WithAllShortLinesDownTheOthersTakeShortCalls) {
  constexpr int ShortLines = 3;
  for (int Round = 0; Round < ShortLines; ++Round) {
    Lines.add(call(1, 25, 10));
    Lines.done(Lines.next(at(0))->Line, 25, true, at(0));
  }
  Lines.add(call(2, 25, 10));
  CHECK_TRUE(Lines.next(at(0)).has_value());
}

// clang-format off
TEST_GROUP(SpeedsOfThreeExecutors) {
  SpeedTracker Speeds;
  void setup() override {
    for (int I = 0; I < 20; ++I) {
      Speeds.saw(0, "q", Millis(1'000), Millis(1'000), at(I));
      Speeds.saw(1, "q", Millis(1'000), Millis(1'100), at(I));
    }
  }
};
// clang-format on

TEST(SpeedsOfThreeExecutors, OneThatTakesFourTimesAsLongStandsOut) {
  for (int I = 0; I < 6; ++I)
    Speeds.saw(2, "q", Millis(1'000), Millis(4'000), at(20));
  CHECK(Speeds.slowness(2, at(20)) > 2.5);
  CHECK(Speeds.slowness(0, at(20)) < 1.5);
}

TEST(SpeedsOfThreeExecutors, WhatIsKnownOfItFadesSoThatItIsTriedAgain) {
  for (int I = 0; I < 6; ++I)
    Speeds.saw(2, "q", Millis(1'000), Millis(4'000), at(20));
  CHECK(Speeds.slowness(2, at(20'000)) < 1.5);
}

TEST(SpeedsOfThreeExecutors, EstimatesOfAQueueAreCorrected) {
  for (int I = 0; I < 200; ++I)
    Speeds.saw(0, "wrong", Millis(1'000), Millis(3'000), at(I));
  CHECK(Speeds.expected("wrong", Millis(500)) > Millis(1'300));
  CHECK(Speeds.expected("unknown", Millis(500)) == Millis(500));
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
  LONGS_EQUAL(5, Watch.successorRow("b/1").Epoch);
}

TEST(AWatchedOwner, IsNotTakenForDeadAcrossAnOutageOfTheStore) {
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

TEST(AWatchedOwner, IsTakenAtOnceByItsOwnNextLife) {
  CHECK_TRUE(Watch.shouldAcquire("a/2", 0, at(10)));
}

TEST(AWatchedOwner, LeavesItsCountsToTheNext) {
  Row.Pending["q"] = 7;
  Watch.recordRow(11, Row, Quick, at(100));
  LONGS_EQUAL(7, Watch.successorRow("b/1").Pending["q"]);
}

TEST(AWatchedOwner, ThatGaveUpIsTakenAtOnce) {
  Row.Released = true;
  Watch.recordRow(11, Row, Quick, at(100));
  CHECK_TRUE(Watch.shouldAcquire("b/1", 0, at(100)));
  LONGS_EQUAL(0, Watch.minSilence(at(200)).count());
}

// clang-format off
TEST_GROUP(OffersToAnOwner) {
  node::OfferPolicy Policy;
};
// clang-format on

TEST(OffersToAnOwner, PauseAfterOneThatGotNoWord) {
  CHECK_TRUE(Policy.mayOffer(at(0)));
  Policy.recordFailure(at(0));
  CHECK_FALSE(Policy.mayOffer(at(100)));
  CHECK_TRUE(Policy.mayOffer(at(1'000)));
}

TEST(OffersToAnOwner, WaitLongerWhenAnswersTakeLonger) {
  Millis Before = Policy.adaptiveTimeout();
  for (int I = 0; I < 10; ++I)
    Policy.recordAnswer(Millis(200));
  CHECK(Policy.adaptiveTimeout() > Before);
  CHECK(Policy.adaptiveTimeout() <= Millis(1'500));
}

TEST(OffersToAnOwner, WaitForAllTheCallersTimeOnASlowStore) {
  CHECK(Policy.offerTimeout(Millis(2'800), 5) == Policy.adaptiveTimeout());
  CHECK(Policy.offerTimeout(Millis(1'000), 5) == Millis(500));
  CHECK(Policy.offerTimeout(Millis(2'800), 160) == Millis(2'800));
  CHECK(Policy.offerTimeout(Millis(-50), 160) > Millis(0));
}

TEST(OffersToAnOwner, AreNotFollowedByAWriteThatCannotBeToldInTime) {
  CHECK_TRUE(node::OfferPolicy::canWriteInTime(Millis(300), 5));
  CHECK_FALSE(node::OfferPolicy::canWriteInTime(Millis(300), 160));
  CHECK_FALSE(node::OfferPolicy::canWriteInTime(Millis(-1), 5));
}

// clang-format off
TEST_GROUP(ThreeExecutorsWithRoom) {
  ExecutorPool Pool{ContactOptions{}};
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
      Pool.heard(I, 1'000, at(0));
      Pool[I].Greeted = true;
    }
  }
  std::optional<ExecutorIndex> place() {
    return choose(Pool, Loads, {.Step = &Step}, at(10));
  }
};
// clang-format on

TEST(ThreeExecutorsWithRoom, TheFullestThatFitsIsChosen) {
  Pool.take(1, {.MilliCores = 6'000});
  LONGS_EQUAL(1, *place());
}

TEST(ThreeExecutorsWithRoom, ALabelIsAskedFor) {
  Step.Constraint = "b";
  LONGS_EQUAL(0, *place());
}

TEST(ThreeExecutorsWithRoom, DataDrawsItsTasks) {
  Step.Affinity = "r2";
  LONGS_EQUAL(2, *place());
}

TEST(ThreeExecutorsWithRoom, AFillerTakesNoCoresButItsMemory) {
  Step.Filler = true;
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.take(I, {.MilliCores = 8'000});
  CHECK_TRUE(place().has_value());
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.take(I, {.MemoryMb = 950});
  CHECK_FALSE(place().has_value());
}

TEST(ThreeExecutorsWithRoom, AFillerKeepsAwayFromTasksThatServe) {
  Step.Filler = true;
  Loads[0].ServingTasks = Loads[1].ServingTasks = 1;
  Pool.take(2, {.MilliCores = 7'000});
  LONGS_EQUAL(2, *place());
}

TEST(ThreeExecutorsWithRoom, OneThatIsMuchSlowerGetsNothing) {
  Pool.take(1, {.MilliCores = 6'000});
  Loads[1].Slowness = 4;
  CHECK(*place() != 1);
}

TEST(ThreeExecutorsWithRoom, AGangThatKeepsTogetherStaysOnOneRack) {
  Step.Colocate = true;
  Pool.take(0, {.MilliCores = 7'500});
  auto Places = chooseGang(Pool, Loads, {.Step = &Step}, 2, at(10));
  CHECK_TRUE(Places.has_value());
  CHECK(Pool[(*Places)[0]].Info.Rack == Pool[(*Places)[1]].Info.Rack);
}

TEST(ThreeExecutorsWithRoom, OneThatFallsSilentGetsNothingUntilItIsHeard) {
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.unanswered(I, at(20));
  CHECK_FALSE(place().has_value());
  Pool.heard(1, 1'100, at(60));
  LONGS_EQUAL(1, *place());
}

TEST(ThreeExecutorsWithRoom, AFourthOfTheirZoneIsNotTrustedIfAllFallSilent) {
  std::vector<executor::ExecutorInfo> List;
  List.reserve(4);
  for (ExecutorIndex I = 0; I < 3; ++I)
    List.push_back(Pool[I].Info);
  List.push_back(List.front());
  List.back().Id = "i-3";
  Pool.update(List, at(10));
  Loads.resize(4);
  Pool.heard(3, 1'000, at(10));
  Pool[3].Greeted = true;
  for (ExecutorIndex I = 0; I < 3; ++I)
    Pool.unanswered(I, at(1'000));
  CHECK_FALSE(Pool.usable(3, at(1'000)));
  Pool.heard(3, 2'000, at(1'010));
  CHECK_TRUE(Pool.usable(3, at(1'010)));
}

TEST_GROUP(StoredForms){};

TEST(StoredForms, Base64GoesBothWays) {
  for (const char *Each : {"", "a", "ab", "abc", "abcd", "\xff\x01"})
    STRCMP_EQUAL(Each, decodeBase64(encodeBase64(Each))->c_str());
  CHECK_FALSE(static_cast<bool>(decodeBase64("a*c=")));
  CHECK_FALSE(static_cast<bool>(decodeBase64("abc")));
}

TEST(StoredForms, ProgressGoesBothWays) {
  JobProgress Before{.Phase = JobPhase::Running, .DoneOccurrences = {0, 2}};
  Before.Tasks[{3, 1, 2}] = {.Phase = TaskPhase::Starting,
                             .Run = 4,
                             .Failures = 1,
                             .Executor = "i-\"1",
                             .Address = "x:1",
                             .Checkpoint = "c"};
  auto After = decodeProgress(encodeProgress(Before));
  CHECK_TRUE(static_cast<bool>(After));
  CHECK(After->Tasks == Before.Tasks);
  CHECK(After->DoneOccurrences == Before.DoneOccurrences);
}

TEST(StoredForms, ProgressOfAnEarlierVersionIsRead) {
  auto After = decodeProgress(
      R"({"phase":"running","tasks":[[0,0,1,"o",2,0,"i-1","c"]]})");
  CHECK_TRUE(static_cast<bool>(After));
  CHECK(After->Tasks.at({0, 0, 1}).Executor == "i-1");
}

TEST(StoredForms, ProgressThatCannotBeReadIsNotTakenForNone) {
  CHECK_FALSE(static_cast<bool>(decodeProgress("{}")));
  CHECK_FALSE(static_cast<bool>(
      decodeProgress(R"({"phase":"running","tasks":[[0,0]]})")));
  CHECK_FALSE(static_cast<bool>(decodeProgress("\xff")));
}

TEST(StoredForms, TaskNamesGoBothWays) {
  auto Ref = parseTaskName("5c0e7a21d94b36f8.1.2.17");
  CHECK_TRUE(static_cast<bool>(Ref));
  STRCMP_EQUAL("5c0e7a21d94b36f8.1.2.17", taskName(*Ref).c_str());
  CHECK_FALSE(static_cast<bool>(parseTaskName("5c0e7a21d94b36f8.1.2")));
  CHECK_FALSE(static_cast<bool>(parseTaskName("x.1.2.-3")));
}

TEST(StoredForms, ASettingOutOfRangeIsNamedWithItsLine) {
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
