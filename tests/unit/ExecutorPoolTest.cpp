#include "cell/ExecutorPool.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr int64_t ClockAtStart = 50'000;

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

} // namespace

// clang-format off
TEST_GROUP(AnExecutorInTouch) {
  ExecutorPool Pool{ContactOptions{}};
  ExecutorIndex One = 0;

  void setup() override {
    executor::ExecutorInfo Info{.Id = "i-1",
                                .Service = "s",
                                .Address = "10.0.0.1:80",
                                .Capacity = {.MilliCores = 1'000}};
    Pool.update(std::span(&Info, 1), at(0));
    Pool.recordAnswer(One, ClockAtStart, at(0));
    Pool[One].TokenConfirmed = true;
  }
};
// clang-format on

TEST(AnExecutorInTouch, GetsLeasesOnItsOwnClock) {
  LONGS_EQUAL(ClockAtStart + 100 + Pool.options().LeaseDuration.count(),
              *Pool.extendLease(One, at(100)));
}

TEST(AnExecutorInTouch, IsNotLapsedWhileALeaseMayRunOnASlowClock) {
  int64_t End = *Pool.extendLease(One, at(0)) - ClockAtStart;
  CHECK_FALSE(Pool.areLeasesExpired(One, at(End + 10)));
  CHECK_TRUE(Pool.areLeasesExpired(One, at(End * 103 / 100)));
}

TEST(AnExecutorInTouch, IsUsableUntilItFallsSilent) {
  CHECK_TRUE(Pool.isUsable(One, at(1'000)));
  CHECK_FALSE(Pool.isUsable(One, at(5'000)));
}

TEST(AnExecutorInTouch, AnOlderClockReadingThatOvertookTellsNothing) {
  Pool.recordAnswer(One, ClockAtStart - 500, at(200));
  LONGS_EQUAL(ClockAtStart + 200 + Pool.options().LeaseDuration.count(),
              *Pool.extendLease(One, at(200)));
}

// clang-format off
/// An owner that goes on trying to reach an executor must not put off the
/// end of its leases with every try.
TEST_GROUP_BASE(WhenItFallsSilentAndHoldsGoOn, TEST_GROUP_CppUTestGroupAnExecutorInTouch) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorInTouch::setup();
    for (int64_t Ms = 0; Ms <= 10'000; Ms += 150)
      Pool.extendLease(One, at(Ms));
  }
};
// clang-format on

TEST(WhenItFallsSilentAndHoldsGoOn, ItsRunsLapse) {
  CHECK_TRUE(Pool.areLeasesExpired(One, at(10'000)));
}

/// A replaced executor, a crashed one and one that fails all it is given.
// clang-format off
TEST_GROUP(AFleetOfTen) {
  ExecutorPool Pool{ContactOptions{}};

  void setup() override {
    std::vector<executor::ExecutorInfo> List;
    List.reserve(10);
    for (int I = 0; I < 10; ++I)
      List.push_back({.Id = "i-" + std::to_string(I),
                      .Service = "s",
                      .Address = "10.0.0.1:80",
                      .Capacity = {.MilliCores = 1'000}});
    Pool.update(List, at(0));
    for (ExecutorIndex I = 0; I < 10; ++I) {
      Pool.recordAnswer(I, ClockAtStart, at(0));
      Pool[I].TokenConfirmed = true;
    }
  }
};
// clang-format on

TEST(AFleetOfTen, OneThatFailsInARowIsSetAsideForAWhile) {
  for (int I = 0; I < 4; ++I)
    Pool.recordFailure(0, at(0));
  CHECK_FALSE(Pool.isUsable(0, at(100)));
  CHECK_TRUE(Pool.isUsable(0, at(2'000)));
}

TEST(AFleetOfTen, IsNeverSetAsideAsAWhole) {
  for (ExecutorIndex Each = 0; Each < 10; ++Each) {
    for (int I = 0; I < 8; ++I)
      Pool.recordFailure(Each, at(0));
  }
  size_t Usable = 0;
  for (ExecutorIndex Each = 0; Each < 10; ++Each)
    Usable += Pool.isUsable(Each, at(100));
  CHECK(Usable >= 6);
}

TEST(AFleetOfTen, WhatLeftTheListGetsNothingNew) {
  Pool.update({}, at(100));
  CHECK_FALSE(Pool.isUsable(3, at(100)));
}
