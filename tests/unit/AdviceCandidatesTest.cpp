#include "cell/AdviceCandidates.h"
#include "executor/AdvicePort.h"

#include <fmt/format.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

TimePoint now() { return TimePoint(Millis(1'000'000)); }

constexpr size_t FleetSize = 200;
constexpr Resources ExecutorSize{
    .MilliCores = 16'000, .MemoryMb = 64'000, .Accelerators = 8};

} // namespace

// clang-format off
TEST_GROUP(AFleetOfTwoHundredExecutors) {
  ExecutorPool Pool{LeaseOptions{}};
  std::vector<ExecutorLoad> Loads{FleetSize};
  StepPermissions Known;
  StepSpec Step{.Count = 10, .Size = {.MilliCores = 2'600, .MemoryMb = 100}};

  void setup() override {
    std::vector<executor::ExecutorInfo> List;
    for (size_t I = 0; I < FleetSize; ++I)
      List.push_back({.Id = fmt::format("i-{}", I),
                      .Service = "s",
                      .Address = fmt::format("a-{}", I),
                      .Rack = fmt::format("r{}", I / 20),
                      .Capacity = ExecutorSize});
    Pool.update(List, now());
    for (ExecutorIndex I = 0; I < FleetSize; ++I) {
      Pool[I].TokenConfirmed = true;
      Pool.recordAnswer(I, 1'000, now());
    }
  }
  AdviceNeed need(uint64_t Seed = 1) const {
    return {.Step = &Step, .Tasks = Step.Count, .Known = &Known, .AllowedShare = 0.5, .Seed = Seed};
  }
  std::vector<ExecutorIndex> choose(const AdviceNeed &Need) const {
    return chooseAdviceCandidates(Pool, Loads, Need, now());
  }
  void occupyAllBut(ExecutorIndex FirstFree) {
    for (ExecutorIndex I = 0; I < FirstFree; ++I)
      Pool.reserve(I, ExecutorSize);
  }
};

TEST_GROUP_BASE(WithAStepThatWasAdvised, TEST_GROUP_CppUTestGroupAFleetOfTwoHundredExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetOfTwoHundredExecutors::setup();
    for (ExecutorIndex I = 0; I < 20; ++I)
      Known[I] = {.Allowed = I % 2 == 0};
  }
  AdviceNeed furtherNeed() const {
    AdviceNeed Need = need();
    Need.OnlyWithFreeCapacity = true;
    return Need;
  }
};
// clang-format on

TEST_GROUP(AQueueOfAdviceCalls){};

/// Guards against lead times that assume idle queues, or follow one lost call.
TEST(AQueueOfAdviceCalls, IsExpectedToTakeAsLongAsTheLastCallsDid) {
  constexpr double ExpectedMs = 800;
  AdviceDelays Delays;
  DOUBLES_EQUAL(1, Delays.factor("q"), 0);
  for (int Call = 0; Call < 20; ++Call)
    Delays.record("q", ExpectedMs, Millis(1'600));
  DOUBLES_EQUAL(2, Delays.factor("q"), 0.01);
  Delays.record("q", ExpectedMs, Millis(60'000));
  CHECK(Delays.factor("q") < 2.5);
  DOUBLES_EQUAL(1, Delays.factor("other"), 0);
}

TEST(AFleetOfTwoHundredExecutors, ACallNamesNoMoreThanTheStepNeeds) {
  CHECK(choose(need()).size() <= 20);
}

TEST(AFleetOfTwoHundredExecutors, AWideStepNamesMoreUpToTheLimitOfACall) {
  Step.Count = 500;
  LONGS_EQUAL(executor::MaxExecutorsPerAdviceCall, choose(need()).size());
}

TEST(AFleetOfTwoHundredExecutors, ThoseWithRoomAreNamedFirst) {
  occupyAllBut(190);
  std::set<ExecutorIndex> Named;
  for (ExecutorIndex Index : choose(need()))
    Named.insert(Index);
  for (ExecutorIndex I = 190; I < FleetSize; ++I)
    CHECK(Named.count(I) > 0);
}

TEST(AFleetOfTwoHundredExecutors, StepsAreSpreadOverTheFleet) {
  std::set<ExecutorIndex> Named;
  for (uint64_t Seed = 0; Seed < 50; ++Seed) {
    for (ExecutorIndex Index : choose(need(Seed)))
      Named.insert(Index);
  }
  CHECK(Named.size() > FleetSize * 9 / 10);
}

TEST(AFleetOfTwoHundredExecutors, TheRackOfTheDataIsNamedFirst) {
  Step.Affinity = "r7";
  for (ExecutorIndex Index : choose(need()))
    STRCMP_EQUAL("r7", Pool[Index].Info.Rack.c_str());
}

TEST(AFleetOfTwoHundredExecutors, AColocatedGangNamesWholeRacks) {
  Step.Gang = true;
  Step.Colocate = true;
  std::set<std::string> Racks;
  for (ExecutorIndex Index : choose(need()))
    Racks.insert(Pool[Index].Info.Rack);
  LONGS_EQUAL(1, Racks.size());
}

TEST(WithAStepThatWasAdvised, ExecutorsAreNamedOnce) {
  for (ExecutorIndex Index : choose(furtherNeed()))
    CHECK(Index >= 20);
}

/// Guards against a backlog that fills the advice queues with calls that place
/// nothing.
TEST(WithAStepThatWasAdvised, NothingIsAskedWhereThereIsNoRoom) {
  occupyAllBut(FleetSize);
  CHECK_TRUE(choose(furtherNeed()).empty());
}

/// In a backlog all waiting steps would ask about the same few executors, and
/// most of the answers would come too late.
TEST(WithAStepThatWasAdvised, NothingIsAskedWhereEnoughOthersHaveAsked) {
  std::vector<uint32_t> OpenCalls(FleetSize, 2);
  OpenCalls[190] = 1;
  AdviceNeed Need = furtherNeed();
  Need.OpenCalls = OpenCalls;
  std::vector<ExecutorIndex> Named = choose(Need);
  LONGS_EQUAL(1, Named.size());
  LONGS_EQUAL(190, Named.front());
}

TEST(WithAStepThatWasAdvised, AGangIsNotAskedAboutTooFewFreeExecutors) {
  Step.Gang = true;
  Step.Count = 4;
  Step.Size.Accelerators = 8;
  occupyAllBut(FleetSize - 3);
  AdviceNeed Alone = furtherNeed();
  Alone.OnlyForWholeGang = true;
  CHECK_TRUE(choose(Alone).empty());
  LONGS_EQUAL(3, choose(furtherNeed()).size());
  AdviceNeed WithOthers = furtherNeed();
  WithOthers.OnlyForWholeGang = true;
  WithOthers.FreeAllowedPlaces = 3;
  LONGS_EQUAL(3, choose(WithOthers).size());
}

TEST_GROUP(TheShareThatAPolicyAllows){};

TEST(TheShareThatAPolicyAllows, IsLearnedFromItsAnswers) {
  AllowedShares Shares;
  CHECK(Shares.share("q") < 0.5);
  for (int I = 0; I < 50; ++I)
    Shares.record("q", 10, 7);
  DOUBLES_EQUAL(0.7, Shares.share("q"), 0.01);
}

/// Guards against a step that asks about no further executors because the
/// allowed ones would have places, which long-running tasks never free.
TEST(WithAStepThatWasAdvised, PlacesOfLongRunningTasksAreNotExpectedToBeFree) {
  AllowedPlaces Before =
      countAllowedPlaces(Pool, Loads, Step, Known, {}, now());
  for (ExecutorIndex I = 0; I < 10; ++I) {
    Loads[I].LongRunningDemand = ExecutorSize;
    Pool.reserve(I, ExecutorSize);
  }
  AllowedPlaces After = countAllowedPlaces(Pool, Loads, Step, Known, {}, now());
  LONGS_EQUAL(Before.Total / 2, After.Total);
}

/// Guards against a step that asks about no further executors because the
/// allowed ones have room, which its anti-affinity forbids.
TEST(WithAStepThatWasAdvised, PlacesBesideItsOwnTasksCountByAntiAffinity) {
  Step.AntiAffinity = 1;
  TaskCounts OnHalfOfTheAllowed = {{0, 1}, {2, 1}, {4, 1}, {6, 1}, {8, 1}};
  AllowedPlaces Places =
      countAllowedPlaces(Pool, Loads, Step, Known, OnHalfOfTheAllowed, now());
  LONGS_EQUAL(5, Places.Total);
  LONGS_EQUAL(5, Places.Free);
}
