#include "cell/PlaceWait.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr Resources TaskSize{.MilliCores = 4'000, .MemoryMb = 1'000};
constexpr Resources OnePlace{.MilliCores = 5'000, .MemoryMb = 1'000};
/// Far places take three times as long.
constexpr Millis NearTime{1'000};
constexpr Millis FarTime{3'000};
constexpr Millis MuchSlack{60'000};
constexpr double EachHits = 1;

} // namespace

// clang-format off
/// A rack with one place, and others that are free and far.
TEST_GROUP(AStepThatAsksForANearPlace) {
  std::vector<RoomForecast> Rooms;
  std::vector<PlaceBid> Bids;

  void addExecutor(const Resources &Free = OnePlace) { Rooms.emplace_back(Free); }
  /// One with a place that is expected to be free \p FreeIn from now.
  void addBusyExecutor(Millis FreeIn) {
    addExecutor({});
    Rooms.back().addRelease(FreeIn, OnePlace);
  }
  PlaceBid &addBid(uint32_t Tasks, Millis RunTime = NearTime) {
    Bids.push_back({.Demand = TaskSize, .Tasks = Tasks,
                    .Terms = {.NearRunTime = RunTime, .FarRunTime = 3 * RunTime, .Slack = MuchSlack},
                    .HasFarPlace = true});
    for (size_t I = 0; I < Rooms.size(); ++I)
      Bids.back().Places.push_back({.Room = I});
    return Bids.back();
  }
  std::vector<PlaceShare> share(double HitShare = EachHits) {
    auto Rest = Rooms; // Each decision begins anew.
    return sharePlaces(Bids, Rest, HitShare);
  }
};

TEST_GROUP_BASE(WhoseNearPlaceIsBusy, TEST_GROUP_CppUTestGroupAStepThatAsksForANearPlace) {
  void setup() override { addBusyExecutor(Millis(1'000)); }
};

/// 60 of 100 steps want one rack of ten places.
TEST_GROUP_BASE(OnAHotRack, TEST_GROUP_CppUTestGroupAStepThatAsksForANearPlace) {
  void setup() override {
    for (int I = 0; I < 10; ++I)
      addExecutor();
    for (int I = 0; I < 60; ++I)
      addBid(1);
  }
  static uint32_t sum(std::span<const PlaceShare> Shares, uint32_t PlaceShare::*Member) {
    uint32_t Sum = 0;
    for (const PlaceShare &Share : Shares)
      Sum += Share.*Member;
    return Sum;
  }
};
// clang-format on

TEST(AStepThatAsksForANearPlace, TakesAFreeOne) {
  addExecutor();
  addBid(1);
  LONGS_EQUAL(1, share()[0].NearTasks);
}

TEST(AStepThatAsksForANearPlace, TakesAQuickFarOneBeforeASlowNearOne) {
  addExecutor();
  addBid(1);
  Bids[0].Terms.FarRunTime = Millis(1'500); // On an executor of twice the speed
  Bids[0].Places[0].Slowness = 2;
  PlaceShare Share = share()[0];
  LONGS_EQUAL(0, Share.NearTasks);
  LONGS_EQUAL(0, Share.WaitingTasks);
}

TEST(AStepThatAsksForANearPlace, HasNoMoreTasksThereThanAntiAffinityAllows) {
  addExecutor({.MilliCores = 16'000, .MemoryMb = 16'000});
  addBid(4);
  Bids[0].Places[0].MaxTasks = 2;
  LONGS_EQUAL(2, share()[0].NearTasks);
}

TEST(WhoseNearPlaceIsBusy, WaitsForItIfThatIsSooner) {
  addBid(1);
  PlaceShare Share = share()[0];
  LONGS_EQUAL(1, Share.WaitingTasks);
  CHECK(Share.NearFinish == Millis(2'000));
  CHECK(Share.FarFinish == FarTime);
}

TEST(WhoseNearPlaceIsBusy, DoesNotWaitOnceItIsNoLongerSooner) {
  addBid(1, Millis(400));
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, WaitsWithThoseTasksOnlyForWhichItPays) {
  addBid(3);
  PlaceShare Share = share()[0];
  LONGS_EQUAL(1, Share.WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, DoesNotWaitBeyondTheUsefulTimeOfItsJob) {
  addBid(1);
  Bids[0].Terms.Slack = Millis(2'900); // A far place must start within 900 ms.
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, WaitsIfItsJobIsInTimeOnlyThere) {
  addBid(1);
  Bids[0].Terms.Slack = Millis(1'500);
  LONGS_EQUAL(1, share()[0].WaitingTasks);
}

/// Guards against estimates that slip from turn to turn.
TEST(WhoseNearPlaceIsBusy, TakesAFarOneWhenItsFirstWaitIsOver) {
  addBid(1);
  Bids[0].Terms.WaitLeft = Millis(0);
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

/// The executor that is awaited drains: it is not among the places of the next
/// turn.
TEST(WhoseNearPlaceIsBusy, TakesAFarOneAtOnceIfTheExecutorLeaves) {
  addBid(1);
  Bids[0].Places.clear();
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, TakesAFarOneAtOnceIfTheExecutorSlowsDown) {
  addBid(1);
  Bids[0].Places[0].Slowness = 2.4;
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, DoesNotWaitIfItNeedsALongCallThen) {
  addBid(1);
  Bids[0].Places[0].StartDelay = Millis(900);
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, DoesNotWaitIfFewWaitsEndWell) {
  addBid(1);
  LONGS_EQUAL(0, share(0.3)[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, LeavesItToAStepThatLosesMore) {
  addBid(1, Millis(1'000));
  addBid(1, Millis(5'000));
  auto Shares = share();
  LONGS_EQUAL(0, Shares[0].WaitingTasks);
  LONGS_EQUAL(1, Shares[1].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, LeavesItToAStepThatIsInTimeOnlyThere) {
  addBid(1, Millis(1'000));
  addBid(1, Millis(1'000));
  Bids[1].Terms.Slack = Millis(1'500);
  auto Shares = share();
  LONGS_EQUAL(0, Shares[0].WaitingTasks);
  LONGS_EQUAL(1, Shares[1].WaitingTasks);
}

TEST(OnAHotRack, TheFirstTakeItsPlaces) {
  LONGS_EQUAL(10, sum(share(), &PlaceShare::NearTasks));
}

/// One more round of tasks ends sooner than at far places, and no further one.
TEST(OnAHotRack, AsManyWaitAsEndSoonerThanElsewhere) {
  LONGS_EQUAL(10, sum(share(), &PlaceShare::WaitingTasks));
}

TEST(OnAHotRack, AStepWithoutAnotherPlaceIsNotDeniedOne) {
  addBid(1, Millis(100));
  Bids.back().HasFarPlace = false;
  LONGS_EQUAL(1, share().back().NearTasks);
}

TEST(AStepThatAsksForANearPlace, AGangWaitsForItsRackOnlyIfItEndsSooner) {
  WaitTerms Terms{
      .NearRunTime = NearTime, .FarRunTime = FarTime, .Slack = MuchSlack};
  CHECK_TRUE(paysToWait(Terms, Millis(1'000), EachHits));
  CHECK_FALSE(paysToWait(Terms, Millis(1'900), EachHits));
}

/// Guards against a rack that is full all the time, where each wait only takes
/// the place of work that comes later.
TEST(WhoseNearPlaceIsBusy, DoesNotWaitWhereNewWorkTakesEachPlace) {
  addBid(1);
  Bids[0].Terms.Contention = 1.5;
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

TEST(WhoseNearPlaceIsBusy, WaitsLessLongWhereNewWorkTakesSomePlaces) {
  addBid(1);
  Bids[0].Terms.Contention = 0.3;
  LONGS_EQUAL(1, share()[0].WaitingTasks);
  Bids[0].Terms.Contention = 0.6;
  LONGS_EQUAL(0, share()[0].WaitingTasks);
}

// clang-format off
TEST_GROUP(TheDemandForARack) {
  RackDemand Demand;

  static TimePoint at(int64_t Ms) { return TimePoint{Millis(1'000'000 + Ms)}; }
  /// In each second, work for \p Executors of four.
  void add(double Executors, int64_t Seconds) {
    for (int64_t I = 0; I < Seconds; ++I)
      Demand.add("r", 1'000 * Executors, at(1'000 * I));
  }
  double load(int64_t Second) const { return Demand.load("r", 4, at(1'000 * Second)); }
};
// clang-format on

TEST(TheDemandForARack, IsNoneBeforeAnyWorkAsksForIt) {
  DOUBLES_EQUAL(0, Demand.load("r", 4, at(0)), 0);
}

TEST(TheDemandForARack, IsThatOfSteadyWork) {
  add(3, 200);
  DOUBLES_EQUAL(0.75, load(200), 0.05);
}

TEST(TheDemandForARack, IsSmallAfterABurst) {
  add(8, 5);
  CHECK(load(5) < 0.5);
}

TEST(TheDemandForARack, IsForgottenOnceTheWorkIsOver) {
  add(3, 200);
  CHECK(load(400) < 0.01);
}
