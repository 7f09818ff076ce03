#include "cell/ExecutorPool.h"

#include <CppUTest/TestHarness.h>

/// What readings of an executor's clock tell of the life that answers, and of
/// leases that orders to the lives before may have granted it.
using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr TimePoint Start{Millis(1'000'000)};
constexpr int64_t FirstReading = 50'000;
constexpr int64_t CallMs = 20;

TimePoint at(int64_t Ms) { return Start + Millis(Ms); }

Millis lease(Millis Length) { return maxLeaseTime(LeaseOptions{}, Length); }

} // namespace

// clang-format off
/// The first call was sent at 0 and is answered after 20 ms.
TEST_GROUP(AnExecutorWhoseClockWasRead) {
  ExecutorPool Pool{LeaseOptions{}, 1};
  ExecutorIndex Index = 0;

  void setup() override {
    Index = Pool.findOrAdd("i-1", 1);
    Pool.recordAnswer(Index, FirstReading, at(CallMs), at(0));
  }
  /// An order sent at \p SentMs is answered 20 ms later.
  bool goesOn(int64_t Reading, int64_t SentMs) { return Pool.recordAnswer(Index, Reading, at(SentMs + CallMs), at(SentMs)); }
};
// clang-format on

TEST(AnExecutorWhoseClockWasRead, MayBeSlowByTwoPercent) {
  CHECK_TRUE(goesOn(FirstReading + 9'800, 10'000 + CallMs));
  CHECK_FALSE(Pool[Index].InDoubt);
}

TEST(AnExecutorWhoseClockWasRead, HasBeenReadAtAnyTimeOfTheCall) {
  CHECK_TRUE(goesOn(FirstReading + 10'000 + 2 * CallMs, 10'000));
}

/// Guards against doubt after an answer that another one has overtaken.
TEST(AnExecutorWhoseClockWasRead, MayAnswerACallThatWasSentBefore) {
  CHECK_TRUE(goesOn(FirstReading + 5'000, 5'000));
  CHECK_TRUE(goesOn(FirstReading + 4'500, 4'490));
  CHECK_FALSE(Pool[Index].InDoubt);
}

/// Guards against doubt of an owner that was held up, which reads answers late.
TEST(AnExecutorWhoseClockWasRead, MayBeHeardLate) {
  CHECK_TRUE(
      Pool.recordAnswer(Index, FirstReading + 1'000, at(9'000), at(990)));
}

/// Guards against a next life that isn't noticed, as its clock is less behind
/// than an answer may be late.
TEST(AnExecutorWhoseClockWasRead, IsAnotherIfItReadsLess) {
  CHECK_FALSE(goesOn(FirstReading + 8'700, 10'000));
  CHECK_TRUE(Pool[Index].InDoubt);
}

/// Guards against a next life that isn't noticed, as its clock reads more.
TEST(AnExecutorWhoseClockWasRead, IsAnotherIfItReadsMore) {
  CHECK_FALSE(goesOn(FirstReading + 10'400, 10'000));
  CHECK_TRUE(Pool[Index].InDoubt);
  LONGS_EQUAL(FirstReading, Pool[Index].ClockMs);
}

/// The renewal's answer names the life, so that its clock is what it says.
TEST(AnExecutorWhoseClockWasRead, IsTheSameIfItSaysSo) {
  CHECK_TRUE(
      Pool.recordOwnAnswer(Index, FirstReading + 60'000, at(1'000), at(900)));
  LONGS_EQUAL(FirstReading + 60'000, Pool[Index].ClockMs);
}

// clang-format off
/// The last lease was sent to the life before at 100 ms.
TEST_GROUP_BASE(WhichHasStartedAgain, TEST_GROUP_CppUTestGroupAnExecutorWhoseClockWasRead) {
  int64_t LeaseEndMs = 0;
  ExecutorIndex Next = 0;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorWhoseClockWasRead::setup();
    LeaseEndMs = *Pool.extendLease(Index, at(100));
    Next = Pool.findOrAdd("i-1", 2);
  }
  /// Of its first answer.
  TimePoint leaseEnd(int64_t Reading, int64_t Ms) { return Pool.longLeaseEnd(Pool[Next].Earlier, Reading, at(Ms)); }
};
// clang-format on

TEST(WhichHasStartedAgain, HasNoLeaseByAnEndThatItsClockHasPassed) {
  CHECK(leaseEnd(LeaseEndMs, 500) == TimePoint{});
  CHECK(leaseEnd(LeaseEndMs + 1'000'000, 500) == TimePoint{});
}

TEST(WhichHasStartedAgain, HasALeaseToThatEndAtMost) {
  CHECK(leaseEnd(LeaseEndMs - 3'000, 500) == at(500) + lease(Millis(3'000)));
}

TEST(WhichHasStartedAgain, HasTheLongestLeaseIfTheEndIsFarAhead) {
  CHECK(leaseEnd(5, 500) == at(500) + lease(MaxGrantedLease));
}

/// Guards against a wait that begins with the first answer, however long after
/// the last order that is.
TEST(WhichHasStartedAgain, HasNoneOnceNoOrderComes) {
  TimePoint LastOrderAt = at(100) + MaxSendTime + MaxOrderDelay;
  CHECK(leaseEnd(5, 60'000) == LastOrderAt + lease(MaxGrantedLease));
  CHECK(leaseEnd(5, 60'000) < at(60'000));
}

TEST(WhichHasStartedAgain, IsKnownByTheOrdersOfAllLivesBefore) {
  ExecutorIndex Third = Pool.findOrAdd("i-1", 3);
  LONGS_EQUAL(LeaseEndMs, Pool[Third].Earlier.MaxLeaseEndMs);
}

TEST(AnExecutorWhoseClockWasRead, LeavesNoLeaseToTheNextIfItWasSentNone) {
  ExecutorIndex Next = Pool.findOrAdd("i-1", 2);
  CHECK(Pool.longLeaseEnd(Pool[Next].Earlier, 5, at(500)) == TimePoint{});
}
