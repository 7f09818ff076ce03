#include "cell/RunTimes.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr RunTimeClass Work{.Queue = "q", .Image = "a"};
constexpr Millis Declared{1'000};

TimePoint at(int64_t Ms) { return TimePoint{Millis(1'000'000 + Ms)}; }

} // namespace

// clang-format off
TEST_GROUP(RunTimesOfAQueue) {
  RunTimes Times;

  void record(Millis Taken, int Count, const RunTimeClass &Class = Work, ExecutorIndex Index = 0) {
    for (int I = 0; I < Count; ++I)
      Times.record({.Executor = Index, .Work = Class, .Declared = Declared, .Taken = Taken}, at(I));
  }
  static bool isNear(Millis Left, Millis Right) {
    return 10 * Left > 9 * Right && 9 * Left < 10 * Right;
  }
};

/// Three of a hundred take seven times as long, each on another executor.
TEST_GROUP_BASE(WithATail, TEST_GROUP_CppUTestGroupRunTimesOfAQueue) {
  void setup() override {
    for (ExecutorIndex I = 0; I < 300; ++I)
      record(I % 100 < 3 ? Millis(7'000) : Millis(1'000), 1, Work, I);
  }
};
// clang-format on

TEST(RunTimesOfAQueue, AreAsDeclaredBeforeAnyAreKnown) {
  CHECK(Times.typical(Work, Declared) == Declared);
}

TEST(RunTimesOfAQueue, AreThreeTimesAsLongAsDeclared) {
  record(Millis(3'000), 30);
  CHECK(isNear(Times.typical(Work, Declared), Millis(3'000)));
}

TEST(RunTimesOfAQueue, AreKeptByImage) {
  record(Millis(3'000), 30);
  record(Millis(500), 30, {.Queue = "q", .Image = "b"});
  CHECK(isNear(Times.typical(Work, Declared), Millis(3'000)));
}

TEST(RunTimesOfAQueue, FollowAChange) {
  record(Millis(3'000), 1'000);
  record(Millis(1'000), 400);
  CHECK(isNear(Times.typical(Work, Declared), Millis(1'000)));
}

/// Guards against state that grows with each image that callers name.
TEST(RunTimesOfAQueue, AreDroppedForTheImageThatIsUsedLeast) {
  record(Millis(3'000), 30);
  for (size_t I = 0; I < RunTimes::MaxClasses; ++I)
    record(Millis(1'000), 40, {.Queue = "q", .Image = std::to_string(I)});
  LONGS_EQUAL(RunTimes::MaxClasses, Times.classCount());
  CHECK_FALSE(isNear(Times.typical(Work, Declared), Millis(3'000)));
}

TEST(RunTimesOfAQueue, OfASlowExecutorDoNotCountAsThoseOfTheQueue) {
  for (int Round = 0; Round < 30; ++Round) {
    record(Millis(1'000), 4, Work, 0);
    record(Millis(2'000), 1, Work, 1);
  }
  CHECK(Times.quantile(Work, Declared, 0.9) < Millis(1'300));
}

TEST(WithATail, MostTakeTheirUsualTime) {
  CHECK(isNear(Times.typical(Work, Declared), Millis(1'000)));
}

TEST(WithATail, AHighQuantileShowsIt) {
  CHECK(isNear(Times.quantile(Work, Declared, 0.99), Millis(7'000)));
}

TEST(WithATail, ATaskThatHasBegunEndsSoon) {
  CHECK(isNear(Times.remaining(Work, Declared, Millis(200), 1, 0.75),
               Millis(800)));
}

TEST(WithATail, AnOverdueTaskGoesOnForLong) {
  CHECK(isNear(Times.remaining(Work, Declared, Millis(1'500), 1, 0.75),
               Millis(5'500)));
}

TEST(WithATail, ATaskBeyondAllOthersEndsSomeTime) {
  CHECK(Times.remaining(Work, Declared, Millis(20'000), 1, 0.75) >
        Millis(5'000));
}
